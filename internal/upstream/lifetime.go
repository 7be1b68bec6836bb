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
	// closeRetention is how long an observed close counts. A server that crashes closes connections of any idle time, and must not
	// shorten their use for good.
	closeRetention = 5 * time.Minute
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

// lifetime holds the idle times after which connections were observed.
type lifetime struct {
	open   time.Duration // longest idle time after which one was still open; 0 if unknown
	closed time.Duration // shortest idle time after which the server had closed one; 0 if unknown
	at     time.Time     // when that was observed
}

// lifetimes holds how long idle connections were observed to stay open. An announced timeout in whole seconds leaves open
// when the server closes a connection, and a request that crosses the close is lost. An observation settles that.
type lifetimes map[timeoutKey]lifetime

// usable returns for how long an idle connection may be used; not positive if it may not be kept.
func (l lifetimes) usable(k timeoutKey, announced bool, now time.Time) time.Duration {
	if !announced {
		return defaultIdleTime
	}
	return max(k.announced-idleMargin, min(l[k].open, l[k].limit(k, now))-observedMargin)
}

// limit returns the idle time after which connections are closed at the latest.
func (l lifetime) limit(k timeoutKey, now time.Time) time.Duration {
	if l.closed > 0 && now.Sub(l.at) < closeRetention {
		return min(l.closed, k.announced)
	}
	return k.announced
}

// fullyObserved reports whether nothing is left to observe, as connections were open for as long as they may be used.
func (l lifetimes) fullyObserved(k timeoutKey, now time.Time) bool {
	return l[k].open >= l[k].limit(k, now)
}

// open records that a connection was still open after an idle time.
func (l lifetimes) open(k timeoutKey, idle time.Duration) {
	if k.announced <= 0 {
		return
	}
	o := l[k]
	o.open = max(o.open, idle)
	l[k] = o
}

// closed records that the server had closed a connection after an idle time. The shortest one counts, as the servers of a
// service may differ. A close long before the announced time, such as that of a server that has crashed, says nothing about the
// timeout, but observations of the past may not hold any more; the announced timeout with its margin applies until there are
// new ones.
func (l lifetimes) closed(k timeoutKey, idle time.Duration, now time.Time) {
	if k.announced <= 0 {
		return
	}
	o := l[k]
	switch {
	case idle < k.announced-idleMargin:
		o.open = 0
	case o.closed == 0 || idle < o.closed || now.Sub(o.at) >= closeRetention:
		o.closed, o.at = idle, now
	}
	l[k] = o
}
