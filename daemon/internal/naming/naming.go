// Package naming brings the weight versions that trainers name to every daemon with few calls to the platform's store.
//
// # Usage
//
//	n := naming.New(naming.Options{Feed: feed, Source: objects, …})
//	err := n.Run(ctx)
//
// Two daemons, the first by the ids of their engines, watch the store and tell the others by datagram. The others read a
// list now and then, at a price far below that of a watch, in case that a datagram is lost or both readers are cut off.
// A datagram bears a proof of the shared secret. Naming is no matter of safety: a version that comes late is loaded late.
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
	// readers is how many daemons watch the store; one may be cut off from it.
	readers = 2
	// pollEvery is the time between two lists of a daemon that does not watch.
	pollEvery = 2500 * time.Millisecond
	// roleEvery is the time between two looks whether this daemon is a reader.
	roleEvery = 10 * time.Second
	// maxDatagram bounds a datagram in bytes; a naming takes less than a hundred.
	maxDatagram = 1200
)

// Source reads the store.
type Source interface {
	catalog.Source
	ListStale(ctx context.Context, kind string) ([]store.Record, int64, error)
}

// Options are the parts that a Naming works with.
type Options struct {
	Address string // of the engine on this instance, as in the list of servers
	Service string
	Listen  string // address for datagrams
	Port    int    // for datagrams on every instance
	Secret  []byte
	Feed    catalog.Feed
	Source  Source
	Catalog *catalog.Catalog
	Servers func(ctx context.Context) ([]catalog.Server, error) // the list of servers, seconds old at most
	Logger  *slog.Logger
}

// Naming keeps the named versions of a catalog up to date.
type Naming struct {
	Options
	socket net.PacketConn

	mu     sync.Mutex
	others []string // addresses of the other daemons
	reader bool
	looked time.Time
}

// New returns a Naming.
func New(o Options) *Naming { return &Naming{Options: o} }

// Run keeps the versions up to date until ctx ends.
func (n *Naming) Run(ctx context.Context) error {
	socket, err := net.ListenPacket("udp4", n.Listen)
	if err != nil {
		return err
	}
	n.socket = socket
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	go n.receive()
	// The first list must be the newest: the fencing token of orders rests on it.
	for ctx.Err() == nil && !n.list(ctx, n.Source.List) {
		sleep.For(ctx, pollEvery/5)
	}
	for ctx.Err() == nil {
		if n.isReader(ctx, time.Now()) {
			n.watch(ctx)
			continue
		}
		sleep.For(ctx, pollEvery)
		n.list(ctx, n.Source.ListStale)
	}
	return ctx.Err()
}

func (n *Naming) list(ctx context.Context, read func(context.Context, string) ([]store.Record, int64, error)) bool {
	list, revision, err := read(ctx, n.Feed.Kind)
	if err != nil {
		return false // the client has logged it
	}
	n.Feed.Replace(list, revision, time.Now())
	return true
}

// watch follows the store and tells the others, until the role is to be looked at again.
func (n *Naming) watch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roleEvery)
	defer cancel()
	f := n.Feed
	apply := f.Apply
	f.Apply = func(c store.Change, now time.Time) {
		apply(c, now)
		n.tell()
	}
	replace := f.Replace
	f.Replace = func(l []store.Record, revision int64, now time.Time) {
		replace(l, revision, now)
		n.tell()
	}
	// It ends with ctx only.
	_ = catalog.Follow(ctx, n.Source, f, n.Logger)
}

// isReader reports whether this daemon is to watch the store.
func (n *Naming) isReader(ctx context.Context, now time.Time) bool {
	n.mu.Lock()
	fresh, reader := now.Sub(n.looked) < roleEvery && !n.looked.IsZero(), n.reader
	n.mu.Unlock()
	if fresh {
		return reader
	}
	list, err := n.Servers(ctx)
	if err != nil {
		return reader
	}
	listed, reader, others := role(list, n.Service, n.Address, n.Port)
	n.mu.Lock()
	changed := reader != n.reader
	n.reader, n.others, n.looked = reader, others, now
	if !listed {
		n.looked = time.Time{} // look again at the next list of versions
	}
	n.mu.Unlock()
	if changed {
		event.NamingRole.Log(n.Logger, "reader", reader, "others", len(others))
	}
	return reader
}

// role tells whether the engine at address is listed, whether the daemon beside it is a reader, and where the other
// daemons listen.
func role(list []catalog.Server, service, address string, port int) (listed, reader bool, others []string) {
	var engines []catalog.Server
	for _, s := range list {
		if s.Service == service {
			engines = append(engines, s)
		}
	}
	slices.SortFunc(engines, func(a, b catalog.Server) int { return strings.Compare(a.ID, b.ID) })
	for i, s := range engines {
		if s.Address == address {
			listed, reader = true, i < readers
			continue
		}
		if host, _, err := net.SplitHostPort(s.Address); err == nil {
			others = append(others, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	return listed, reader, others
}

// tell sends the named versions to the other daemons.
func (n *Naming) tell() {
	var l []wire.Naming
	for _, v := range n.Catalog.Versions() {
		l = append(l, wire.Naming{Model: v.Model, Version: v.Number, Rev: v.Revision})
	}
	b, err := seal(n.Secret, l)
	if err != nil {
		event.DatagramFailed.Log(n.Logger, "cause", err.Error())
		return
	}
	n.mu.Lock()
	others := n.others
	n.mu.Unlock()
	for _, address := range others {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = n.socket.WriteTo(b, to)
		}
		if err != nil {
			event.DatagramFailed.Log(n.Logger, "to", address, "cause", err.Error())
		}
	}
}

// receive takes datagrams of other daemons until the socket is closed.
func (n *Naming) receive() {
	b := make([]byte, maxDatagram)
	for {
		size, from, err := n.socket.ReadFrom(b)
		if err != nil {
			return // the socket is closed
		}
		supervise.Guard(n.Logger, "datagram", func() { n.take(b[:size], from) })
	}
}

func (n *Naming) take(b []byte, from net.Addr) {
	l, ok := open(n.Secret, b)
	if !ok {
		event.DatagramFailed.Log(n.Logger, "from", from.String(), "cause", "no valid proof")
		return
	}
	for _, v := range l {
		n.Catalog.ApplyVersion(catalog.Version{Model: v.Model, Number: v.Version, Revision: v.Rev})
	}
}

// seal encodes versions behind a proof of the secret.
func seal(secret []byte, l []wire.Naming) ([]byte, error) {
	body, err := cbor.Marshal(l)
	if err != nil {
		return nil, err
	}
	return append(proof(secret, body), body...), nil
}

// open checks the proof of a datagram and decodes it.
func open(secret, b []byte) ([]wire.Naming, bool) {
	if len(b) < sha256.Size || !hmac.Equal(b[:sha256.Size], proof(secret, b[sha256.Size:])) {
		return nil, false
	}
	var l []wire.Naming
	err := cbor.Unmarshal(b[sha256.Size:], &l)
	return l, err == nil
}

func proof(secret, body []byte) []byte {
	m := hmac.New(sha256.New, secret)
	// Writing to a digest never fails.
	_, _ = m.Write(body)
	return m.Sum(nil)
}
