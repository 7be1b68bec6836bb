// Package claim runs calls that must not be repeated, at most once for each idempotency key.
//
// # Usage
//
//	c := claim.New(store, pool, dispatcher, config, claim.Defaults(), logger)
//	reply, err := c.Run(ctx, claim.Call{Work: work, Key: key, Deadline: deadline})
//	var refused *refusal.Error
//	if errors.As(err, &refused) { … }
//
// The object claim/<workspace>.<key> names the daemon incarnation that alone may run the call. Only the writer of a
// version of that object sends the call, and it sends it once. A claim is moved only after its incarnation has proved
// that it never ran the call and never will: by refusing it as not run, or by a tombstone.
//
// A result that was received is dropped like any other; the daemon keeps that of a key for later questions while it has
// room and remembers its era.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// Kind is the kind of the objects in the store.
const Kind = "claim"

// maxKey is the largest length of an idempotency key in bytes.
const maxKey = 200

// Call is one call that must not be repeated.
type Call struct {
	Work     wire.Work // with Call; without attempt, server, key, inc, era, once
	Key      string    // idempotency key of the caller
	Deadline time.Time
}

// Store is the object store.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (int64, error)
	Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error)
}

// Pool reaches the daemons.
type Pool interface {
	Start(ctx context.Context, daemon string, w wire.Work) (dispatch.Stream, error)
	Ask(ctx context.Context, daemon string, a wire.Ask) (wire.Fate, error)
	Drop(daemon string, attempts ...string)
}

// Chooser chooses a server for a call.
type Chooser interface {
	Choose(now time.Time, w *wire.Work, skip func(dispatch.Candidate) bool) (*dispatch.Place, error)
	Attempt(now time.Time) string
	// Offer counts a request, and Repeat reports whether the workspace may repeat one.
	Offer(workspace string, hedge bool)
	Repeat(workspace string) bool
	Trace(w *wire.Work) *dispatch.Trace
}

// Settings are the constants of claims.
type Settings struct {
	// Poll is the time between two questions for a call that runs; it doubles up to PollMost.
	Poll     time.Duration
	PollMost time.Duration
	// Asks is the number of questions that may stay unanswered before the outcome counts as unknown.
	Asks int
	// Grace is the age below which a claim of another request is not asked about: its writer may be about to send the
	// call, and the question would forbid it. Without it two requests with one key kept forbidding each other's send.
	Grace time.Duration
	// Moves bounds how often one request moves a claim.
	Moves int
	// Retry is the time after which a refused caller is asked to come back.
	Retry time.Duration
}

// Defaults returns the settings for production.
func Defaults() Settings {
	return Settings{
		Poll:     20 * time.Millisecond,
		PollMost: 500 * time.Millisecond,
		Asks:     3,
		Grace:    500 * time.Millisecond,
		Moves:    3,
		Retry:    time.Second,
	}
}

// Claims runs calls.
type Claims struct {
	store    Store
	pool     Pool
	chooser  Chooser
	config   dispatch.Config
	settings Settings
	logger   *slog.Logger
}

// New returns a runner of calls.
func New(s Store, p Pool, c Chooser, config dispatch.Config, settings Settings, logger *slog.Logger) *Claims {
	return &Claims{store: s, pool: p, chooser: c, config: config, settings: settings, logger: logger}
}

// Run runs a call at most once for its workspace and key, or finds out what became of it. The error is a *refusal.Error.
func (c *Claims) Run(ctx context.Context, k Call) (wire.Reply, error) {
	if !valid(k.Key) {
		return wire.Reply{}, refusal.New(refusal.BadRequest, refusal.NotRun,
			"claim: the key must have 1 to %d printable ASCII characters", maxKey)
	}
	if !k.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, k.Deadline)
		defer cancel()
	}
	r := &run{
		Claims: c, call: k, work: k.Work, digest: digest(&k.Work), name: k.Work.Workspace + "." + k.Key,
		skip: make(map[string]bool),
	}
	r.work.Once, r.work.Key = true, r.name
	c.chooser.Offer(r.work.Workspace, false)
	r.trace = c.chooser.Trace(&r.work)
	a, err := r.run(ctx)
	r.trace.End(err)
	return a, err
}

func valid(key string) bool {
	if key == "" || len(key) > maxKey {
		return false
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// digest tells requests with the same key apart. It includes the workspace: a workspace and key with a dot in them could
// give the object name of another pair.
func digest(w *wire.Work) uint64 {
	h := xxhash.New()
	for _, s := range []string{w.Workspace, w.Model, w.Call.Method, w.Call.Path} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(w.Call.Body)
	return h.Sum64()
}

// held is a claim as it stands in the store.
type held struct {
	wire.Claim
	version int64
}

// run is one call on its way.
type run struct {
	*Claims
	call   Call
	work   wire.Work
	digest uint64
	name   string
	skip   map[string]bool // incarnations that have proved that they will not run it
	moves  int
	trace  *dispatch.Trace
}

// outcome is the end of a call.
type outcome struct {
	reply wire.Reply
	err   error
}

func (r *run) refuse(code refusal.Code, ran refusal.Ran, format string, args ...any) *outcome {
	return &outcome{err: refusal.New(code, ran, format, args...).After(r.settings.Retry)}
}

func (r *run) unknown(why string) *outcome {
	return &outcome{err: refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "claim: %s", why)}
}

func (r *run) run(ctx context.Context) (wire.Reply, error) {
	h, place, o := r.open(ctx)
	for o == nil {
		if place != nil {
			h, place, o = r.send(ctx, h, place)
		} else {
			h, place, o = r.resolve(ctx, h)
		}
	}
	return o.reply, o.err
}

// open creates the claim, or finds the one that is there. A place is returned if this request may send the call.
func (r *run) open(ctx context.Context) (held, *dispatch.Place, *outcome) {
	place, err := r.choose()
	if err != nil {
		return r.find(ctx, err)
	}
	h, o := r.write(ctx, place, 0)
	return r.mine(h, place, o)
}

// find looks for a claim of an earlier request although there is no server for a new one.
func (r *run) find(ctx context.Context, none error) (held, *dispatch.Place, *outcome) {
	h, err := r.read(ctx)
	var absent *store.AbsentError
	switch {
	case errors.As(err, &absent):
		return h, nil, &outcome{err: none}
	case err != nil:
		return h, nil, r.down(err)
	default:
		return h, nil, r.check(h)
	}
}

func (r *run) choose() (*dispatch.Place, error) {
	return r.chooser.Choose(time.Now(), &r.work, func(c dispatch.Candidate) bool { return r.skip[c.Inc] })
}

// mine gives the place back unless the claim that stands is the one just written for it.
func (r *run) mine(h held, place *dispatch.Place, o *outcome) (held, *dispatch.Place, *outcome) {
	if o == nil && h.Writer == r.work.Attempt {
		return h, place, nil
	}
	place.End(time.Now(), false)
	return h, nil, o
}

// write writes the claim for a place, over the given version or only if it is absent. It returns the claim that
// stands afterwards, which may be another one.
func (r *run) write(ctx context.Context, p *dispatch.Place, version int64) (held, *outcome) {
	// The attempt identifier also names the write, so that each send has its own version of the claim.
	r.work.Attempt = r.chooser.Attempt(time.Now())
	k := wire.Claim{
		Daemon: p.Daemon, Inc: p.Inc, Era: p.Era, Server: p.Server.Name, Digest: r.digest, Writer: r.work.Attempt,
	}
	value, err := json.Marshal(k)
	if err != nil {
		return held{}, r.refuse(refusal.Internal, refusal.NotRun, "claim: %s", err)
	}
	var v int64
	if version == 0 {
		v, err = r.store.Create(ctx, Kind, r.name, value)
	} else {
		v, err = r.store.Update(ctx, Kind, r.name, value, version)
	}
	if err == nil {
		return held{Claim: k, version: v}, nil
	}
	return r.stands(ctx, err)
}

// stands returns the claim that stands after a write that failed or whose answer was lost.
func (r *run) stands(ctx context.Context, err error) (held, *outcome) {
	var conflict *store.ConflictError
	var down *store.DownError
	switch {
	case errors.As(err, &conflict) && conflict.Winner().Version == 0:
		return held{}, r.refuse(refusal.Conflict, refusal.Unknown, "claim: the claim was removed")
	case errors.As(err, &conflict):
		h, err := decode(conflict.Winner())
		if err != nil {
			return h, r.down(err)
		}
		return h, r.check(h)
	case errors.As(err, &down) && down.Ambiguous():
		h, err := r.read(ctx)
		if err != nil {
			return h, r.down(err)
		}
		event.StoreReadBack.Log(r.logger, "kind", Kind, "request", r.work.Request)
		return h, r.check(h)
	default:
		return held{}, r.down(err)
	}
}

// down refuses because the claim could not be written or read. This request has not sent anything, but without the
// claim nobody knows whether an earlier request with the key ran, so it must not be refused as not run: its caller
// would take a new key and repeat the work.
func (r *run) down(err error) *outcome {
	return r.refuse(refusal.StoreDown, refusal.Unknown, "claim: the claim cannot be read or written: %s", err)
}

func (r *run) read(ctx context.Context) (held, error) {
	o, err := r.store.Get(ctx, Kind, r.name)
	if err != nil {
		return held{}, err
	}
	return decode(o)
}

func decode(o store.Object) (held, error) {
	h := held{version: o.Version}
	return h, json.Unmarshal(o.Value, &h.Claim)
}

// check refuses another request with the same key.
func (r *run) check(h held) *outcome {
	if h.Digest == r.digest {
		return nil
	}
	return &outcome{err: refusal.New(refusal.KeyReused, refusal.NotRun, "claim: the key was used for another request")}
}
