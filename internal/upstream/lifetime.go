package upstream

import "time"

const (
	// idleMargin is subtracted from the idle timeout that a server announces, so that no request is sent while the server
	// closes the connection. Servers announce whole seconds, which may be rounded up.
	idleMargin = 700 * time.Millisecond
	// observedMargin is subtracted from the idle time for which connections were observed to stay open. It covers the
	// transfer of the answer before and the request after the idle time (12 ms each between regions), and a process that
	// waits for its processor in between.
	observedMargin = 200 * time.Millisecond
	// defaultIdleTime is the idle timeout of connections whose server announced none; common server defaults are longer.
	// Requests that must not run twice always use new connections.
	defaultIdleTime = 8 * time.Second
)

// timeoutKey identifies servers that are expected to close idle connections after the same time: those of a service that
// announce the same timeout.
type timeoutKey struct {
	service   string
	announced time.Duration // 0 if the server announced none
}

// lifetimes holds how long idle connections were observed to stay open. An announced timeout in whole seconds leaves open
// when the server closes a connection, and a request that crosses the close is lost. An observation settles that.
type lifetimes map[timeoutKey]time.Duration

// usable returns for how long an idle connection may be used; not positive if it may not be kept.
func (l lifetimes) usable(k timeoutKey, announced bool) time.Duration {
	if !announced {
		return defaultIdleTime
	}
	return max(k.announced-idleMargin, min(l[k], k.announced)-observedMargin)
}

// settled reports whether nothing is left to observe, as connections were open for as long as announced.
func (l lifetimes) settled(k timeoutKey) bool { return l[k] >= k.announced }

// open records that a connection was still open after an idle time.
func (l lifetimes) open(k timeoutKey, idle time.Duration) {
	if k.announced > 0 {
		l[k] = max(l[k], idle)
	}
}

// closed records that the server had closed a connection before the end of the time for which it was usable. Then
// observations of the past may not hold any more; the announced timeout with its margin applies until there are new ones.
func (l lifetimes) closed(k timeoutKey) { delete(l, k) }
