// Package naming distributes the weight versions that trainers publish to every daemon with few calls to the platform's
// store.
//
// # Usage
//
//	n := naming.New(naming.Options{Feed: feed, Source: objects, …})
//	err := n.Run(ctx)
//
// Two daemons, those whose engines have the lowest ids, watch the store and send new versions to the others by UDP. The
// others list the versions periodically, which costs far less than a watch, in case a datagram is lost or both watchers
// are disconnected from the store. Datagrams are authenticated with an HMAC of the shared secret. Correctness does not
// depend on their delivery: a version that arrives late is loaded late.
package naming

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const (
	// watchers is the number of daemons that watch the store, so that one may be disconnected from it.
	watchers = 2
	// listInterval is the time between two lists by a daemon that does not watch.
	listInterval = 2500 * time.Millisecond
	// roleInterval is the time between two checks whether this daemon is a watcher.
	roleInterval = 10 * time.Second
	// maxDatagramBytes is the size limit of a datagram; one version takes less than 100 bytes.
	maxDatagramBytes = 1200
)

// Source reads the store. ListStale is cheaper than List, but its result may be out of date.
type Source interface {
	catalog.Source
	ListStale(ctx context.Context, kind string) ([]store.Record, int64, error)
}

// Options configure a Naming.
type Options struct {
	Address string // of the engine on this instance, as in the server list
	Service string
	Listen  string // UDP address to receive at
	Port    int    // UDP port of the daemons on all instances
	Secret  []byte
	Feed    catalog.Feed
	Source  Source
	Catalog *catalog.Catalog
	Servers func(ctx context.Context) ([]catalog.Server, error) // the server list, at most seconds old
	Logger  *slog.Logger
}

// Naming keeps the published versions of a catalog up to date.
type Naming struct {
	Options
	socket net.PacketConn

	mu            sync.Mutex
	peers         []string // addresses of the other daemons
	watcher       bool
	roleCheckedAt time.Time
}

// New returns a Naming.
func New(o Options) *Naming { return &Naming{Options: o} }

// Run keeps the versions up to date until ctx is done.
func (n *Naming) Run(ctx context.Context) error {
	socket, err := net.ListenPacket("udp4", n.Listen)
	if err != nil {
		return err
	}
	n.socket = socket
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	go n.receive()
	// The first list must not be stale, since the fencing token of load orders is taken from it.
	for ctx.Err() == nil && !n.list(ctx, n.Source.List) {
		sleep.For(ctx, listInterval/5)
	}
	for ctx.Err() == nil {
		if n.isWatcher(ctx, time.Now()) {
			n.watch(ctx)
			continue
		}
		sleep.For(ctx, listInterval)
		n.list(ctx, n.Source.ListStale)
	}
	return ctx.Err()
}

func (n *Naming) list(ctx context.Context, read func(context.Context, string) ([]store.Record, int64, error)) bool {
	list, revision, err := read(ctx, n.Feed.Kind)
	if err != nil {
		return false // logged by the client
	}
	n.Feed.Replace(list, revision, time.Now())
	return true
}

// watch follows the store and broadcasts changes for roleInterval.
func (n *Naming) watch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roleInterval)
	defer cancel()
	f := n.Feed
	apply := f.Apply
	f.Apply = func(c store.Change, now time.Time) {
		apply(c, now)
		n.broadcast()
	}
	replace := f.Replace
	f.Replace = func(l []store.Record, revision int64, now time.Time) {
		replace(l, revision, now)
		n.broadcast()
	}
	// Follow returns only when ctx is done.
	_ = catalog.Follow(ctx, n.Source, f, n.Logger)
}

// isWatcher reports whether this daemon is to watch the store.
func (n *Naming) isWatcher(ctx context.Context, now time.Time) bool {
	n.mu.Lock()
	fresh, watcher := now.Sub(n.roleCheckedAt) < roleInterval && !n.roleCheckedAt.IsZero(), n.watcher
	n.mu.Unlock()
	if fresh {
		return watcher
	}
	list, err := n.Servers(ctx)
	if err != nil {
		return watcher
	}
	listed, watcher, peers := role(list, n.Service, n.Address, n.Port)
	n.mu.Lock()
	changed := watcher != n.watcher
	n.watcher, n.peers, n.roleCheckedAt = watcher, peers, now
	if !listed {
		n.roleCheckedAt = time.Time{} // check again after the next list of versions
	}
	n.mu.Unlock()
	if changed {
		event.VersionWatchRole.Log(n.Logger, "reader", watcher, "others", len(peers))
	}
	return watcher
}

// role returns whether the engine at address is listed, whether the daemon beside it is a watcher, and the UDP addresses of
// the other daemons.
func role(list []catalog.Server, service, address string, port int) (listed, watcher bool, peers []string) {
	var engines []catalog.Server
	for _, s := range list {
		if s.Service == service {
			engines = append(engines, s)
		}
	}
	slices.SortFunc(engines, func(a, b catalog.Server) int { return strings.Compare(a.ID, b.ID) })
	for i, s := range engines {
		if s.Address == address {
			listed, watcher = true, i < watchers
			continue
		}
		if host, _, err := net.SplitHostPort(s.Address); err == nil {
			peers = append(peers, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	return listed, watcher, peers
}

// broadcast sends the published versions to the other daemons.
func (n *Naming) broadcast() {
	var l []wire.PublishedVersion
	for _, v := range n.Catalog.Versions() {
		l = append(l, wire.PublishedVersion{Model: v.Model, Version: v.Number, Rev: v.Revision})
	}
	b, err := seal(n.Secret, l)
	if err != nil {
		event.DatagramFailed.Log(n.Logger, "cause", err.Error())
		return
	}
	n.mu.Lock()
	peers := n.peers
	n.mu.Unlock()
	for _, address := range peers {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = n.socket.WriteTo(b, to)
		}
		if err != nil {
			event.DatagramFailed.Log(n.Logger, "to", address, "cause", err.Error())
		}
	}
}

// receive handles datagrams of other daemons until the socket is closed.
func (n *Naming) receive() {
	b := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.socket.ReadFrom(b)
		if err != nil {
			return // the socket is closed
		}
		supervise.Guard(n.Logger, "datagram", func() { n.handle(b[:size], from) })
	}
}

// handle applies the versions of a datagram, or logs it if it is not authenticated.
func (n *Naming) handle(b []byte, from net.Addr) {
	l, ok := open(n.Secret, b)
	if !ok {
		event.DatagramFailed.Log(n.Logger, "from", from.String(), "cause", "invalid HMAC or encoding")
		return
	}
	for _, v := range l {
		n.Catalog.ApplyVersion(catalog.Version{Model: v.Model, Number: v.Version, Revision: v.Rev})
	}
}

// seal encodes versions and prepends their HMAC.
func seal(secret []byte, l []wire.PublishedVersion) ([]byte, error) {
	body, err := cbor.Marshal(l)
	if err != nil {
		return nil, err
	}
	return append(mac(secret, body), body...), nil
}

// open checks the HMAC of a datagram and decodes it.
func open(secret, b []byte) ([]wire.PublishedVersion, bool) {
	if len(b) < sha256.Size || !hmac.Equal(b[:sha256.Size], mac(secret, b[sha256.Size:])) {
		return nil, false
	}
	var l []wire.PublishedVersion
	err := cbor.Unmarshal(b[sha256.Size:], &l)
	return l, err == nil
}

func mac(secret, body []byte) []byte {
	m := hmac.New(sha256.New, secret)
	// Writing to a digest never fails.
	_, _ = m.Write(body)
	return m.Sum(nil)
}
