// Package claim runs non-idempotent calls at most once per idempotency key.
//
// # Usage
//
//	runner := claim.New(store, pool, dispatcher, config, claim.Defaults(), logger)
//	reply, err := runner.Run(ctx, claim.Call{Work: work, Key: key, Deadline: deadline})
//	var refused *refusal.Error
//	if errors.As(err, &refused) { … }
//
// The store object claim/<workspace>.<key> names the only daemon incarnation that may run the call. Only the request
// that wrote the current version of the object sends the call, and it sends it once. A claim moves to another
// incarnation only after the current one has proved that it never ran the call and never will, either by refusing it
// as not run or by recording a tombstone for the key.
//
// A result is acknowledged with a drop message once it has been received. The daemon still keeps the result of a key
// for later queries, as long as it has memory for it and has not forgotten the era of the key.
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

// Kind is the object kind of claims in the store.
const Kind = "claim"

const maxKeyBytes = 200

// Call is a non-idempotent call.
type Call struct {
	Work     wire.Work // has Call set; Attempt, Server, Key, Inc, Era and Once are filled in by Run
	Key      string    // idempotency key chosen by the caller
	Deadline time.Time
}

// Store is the part of the object store that calls use.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (int64, error)
	Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error)
}

// Pool sends messages to daemons.
type Pool interface {
	Start(ctx context.Context, daemon string, w wire.Work) (dispatch.Stream, error)
	Query(ctx context.Context, daemon string, a wire.Ask) (wire.Fate, error)
	Drop(daemon string, attempts ...string)
}

// Dispatcher selects servers, enforces the retry budget and records traces.
type Dispatcher interface {
	Acquire(now time.Time, w *wire.Work, skip func(dispatch.Candidate) bool) (*dispatch.Reservation, error)
	NewAttemptID(now time.Time) string
	// CountRequest counts a request towards the budgets.
	CountRequest(workspace string, hedge bool)
	// AllowRetry takes a retry from the workspace's budget and reports whether it was granted.
	AllowRetry(workspace string) bool
	BeginTrace(w *wire.Work) *dispatch.Trace
}

// Settings holds the timing and retry parameters of a Runner.
type Settings struct {
	// PollInterval is the initial interval between status queries for a running call. It doubles up to MaxPollInterval.
	PollInterval    time.Duration
	MaxPollInterval time.Duration
	// MaxFailedQueries is the number of consecutive failed status queries after which the outcome is reported as unknown.
	MaxFailedQueries int
	// QueryGrace is the minimum age of another request's claim before its daemon is queried. The writer may be about to
	// send the call, and a query for an unseen key records a tombstone that forbids it. Without the grace period, two
	// concurrent requests with the same key kept blocking each other's send.
	QueryGrace time.Duration
	// MaxMoves limits how often one request may move a claim to another daemon.
	MaxMoves int
	// RetryAfter is the retry delay suggested to refused callers.
	RetryAfter time.Duration
}

// Defaults returns the production settings.
func Defaults() Settings {
	return Settings{
		PollInterval:     20 * time.Millisecond,
		MaxPollInterval:  500 * time.Millisecond,
		MaxFailedQueries: 3,
		QueryGrace:       500 * time.Millisecond,
		MaxMoves:         3,
		RetryAfter:       time.Second,
	}
}

// Runner runs non-idempotent calls.
type Runner struct {
	store      Store
	pool       Pool
	dispatcher Dispatcher
	config     dispatch.Config
	settings   Settings
	logger     *slog.Logger
}

// New returns a Runner. The config may be nil.
func New(s Store, p Pool, d Dispatcher, config dispatch.Config, settings Settings, logger *slog.Logger) *Runner {
	return &Runner{store: s, pool: p, dispatcher: d, config: config, settings: settings, logger: logger}
}

// Run runs a call at most once per workspace and key. If an earlier request has already claimed the key, Run returns the
// outcome of that call. Any error is a *refusal.Error.
func (rn *Runner) Run(ctx context.Context, k Call) (wire.Reply, error) {
	if !validKey(k.Key) {
		return wire.Reply{}, refusal.New(refusal.BadRequest, refusal.NotRun,
			"claim: the key must have 1 to %d printable ASCII characters", maxKeyBytes)
	}
	if !k.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, k.Deadline)
		defer cancel()
	}
	r := &request{
		Runner: rn, call: k, work: k.Work, digest: digest(&k.Work), objectName: k.Work.Workspace + "." + k.Key,
		excluded: make(map[string]bool),
	}
	r.work.Once, r.work.Key = true, r.objectName
	rn.dispatcher.CountRequest(r.work.Workspace, false)
	r.trace = rn.dispatcher.BeginTrace(&r.work)
	a, err := r.execute(ctx)
	r.trace.End(err)
	return a, err
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// digest returns a hash of the request that detects reuse of a key for a different request. It includes the workspace
// because names that contain dots can map different pairs of workspace and key to the same object name.
func digest(w *wire.Work) uint64 {
	h := xxhash.New()
	for _, s := range []string{w.Workspace, w.Model, w.Call.Method, w.Call.Path} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(w.Call.Body)
	return h.Sum64()
}

// storedClaim is a claim with its version in the store.
type storedClaim struct {
	wire.Claim
	version int64
}

// request is the state of one request while its call is claimed and run.
type request struct {
	*Runner
	call       Call
	work       wire.Work
	digest     uint64
	objectName string
	excluded   map[string]bool // incarnations that have proved that they will not run the call
	moves      int
	trace      *dispatch.Trace
}

// outcome is the result of a request: either a reply or an error.
type outcome struct {
	reply wire.Reply
	err   error
}

func (r *request) refuse(code refusal.Code, ran refusal.Ran, format string, args ...any) *outcome {
	return &outcome{err: refusal.New(code, ran, format, args...).WithRetryAfter(r.settings.RetryAfter)}
}

func (r *request) outcomeUnknown(reason string) *outcome {
	return &outcome{err: refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "claim: %s", reason)}
}

func (r *request) execute(ctx context.Context) (wire.Reply, error) {
	h, place, o := r.acquire(ctx)
	for o == nil {
		if place != nil {
			h, place, o = r.send(ctx, h, place)
		} else {
			h, place, o = r.resolve(ctx, h)
		}
	}
	return o.reply, o.err
}

// acquire creates the claim or returns the existing one. A place is returned only if this request may send the call.
func (r *request) acquire(ctx context.Context) (storedClaim, *dispatch.Reservation, *outcome) {
	place, err := r.choose()
	if err != nil {
		return r.findExisting(ctx, err)
	}
	h, o := r.write(ctx, place, 0)
	return r.releaseUnlessOwned(h, place, o)
}

// findExisting looks up the claim of an earlier request when no server is available for a new one. If there is no claim,
// the request fails with chooseErr.
func (r *request) findExisting(ctx context.Context, chooseErr error) (storedClaim, *dispatch.Reservation, *outcome) {
	h, err := r.read(ctx)
	var absent *store.NotFoundError
	switch {
	case errors.As(err, &absent):
		return h, nil, &outcome{err: chooseErr}
	case err != nil:
		return h, nil, r.storeUnavailable(err)
	default:
		return h, nil, r.checkDigest(h)
	}
}

func (r *request) choose() (*dispatch.Reservation, error) {
	return r.dispatcher.Acquire(time.Now(), &r.work, func(c dispatch.Candidate) bool { return r.excluded[c.Inc] })
}

// releaseUnlessOwned releases the place unless the stored claim is the one that this request has just written for it.
func (r *request) releaseUnlessOwned(h storedClaim, place *dispatch.Reservation, o *outcome) (storedClaim, *dispatch.Reservation, *outcome) {
	if o == nil && h.Writer == r.work.Attempt {
		return h, place, nil
	}
	place.Release(time.Now(), false)
	return h, nil, o
}

// write stores a claim for the place, conditional on the given version, or on absence if the version is 0. It returns
// the claim that is stored afterwards, which may belong to another request.
func (r *request) write(ctx context.Context, p *dispatch.Reservation, version int64) (storedClaim, *outcome) {
	// The attempt identifier also identifies the write, so each send corresponds to exactly one version of the claim.
	r.work.Attempt = r.dispatcher.NewAttemptID(time.Now())
	k := wire.Claim{
		Daemon: p.Daemon, Inc: p.Inc, Era: p.Era, Server: p.Server.Name, Digest: r.digest, Writer: r.work.Attempt,
	}
	value, err := json.Marshal(k)
	if err != nil {
		return storedClaim{}, r.refuse(refusal.Internal, refusal.NotRun, "claim: %s", err)
	}
	var v int64
	if version == 0 {
		v, err = r.store.Create(ctx, Kind, r.objectName, value)
	} else {
		v, err = r.store.Update(ctx, Kind, r.objectName, value, version)
	}
	if err == nil {
		return storedClaim{Claim: k, version: v}, nil
	}
	return r.resolveWriteError(ctx, err)
}

// resolveWriteError returns the claim that is stored after a write that failed or whose response was lost.
func (r *request) resolveWriteError(ctx context.Context, err error) (storedClaim, *outcome) {
	var conflict *store.ConflictError
	var down *store.UnavailableError
	switch {
	case errors.As(err, &conflict) && conflict.Current().Version == 0:
		return storedClaim{}, r.refuse(refusal.Conflict, refusal.Unknown, "claim: the claim was removed")
	case errors.As(err, &conflict):
		h, err := decode(conflict.Current())
		if err != nil {
			return h, r.storeUnavailable(err)
		}
		return h, r.checkDigest(h)
	case errors.As(err, &down) && down.Ambiguous():
		h, err := r.read(ctx)
		if err != nil {
			return h, r.storeUnavailable(err)
		}
		event.StoreReadBack.Log(r.logger, "kind", Kind, "request", r.work.Request)
		return h, r.checkDigest(h)
	default:
		return storedClaim{}, r.storeUnavailable(err)
	}
}

// storeUnavailable refuses the request because the claim could not be read or written. This request has sent nothing,
// but without the claim it is unknown whether an earlier request with the same key ran. The refusal must not say "not
// run", because the caller could then repeat the work under a new key.
func (r *request) storeUnavailable(err error) *outcome {
	return r.refuse(refusal.StoreDown, refusal.Unknown, "claim: the claim cannot be read or written: %s", err)
}

func (r *request) read(ctx context.Context) (storedClaim, error) {
	o, err := r.store.Get(ctx, Kind, r.objectName)
	if err != nil {
		return storedClaim{}, err
	}
	return decode(o)
}

func decode(o store.Object) (storedClaim, error) {
	h := storedClaim{version: o.Version}
	return h, json.Unmarshal(o.Value, &h.Claim)
}

// checkDigest refuses the request if the key was already used for a different one.
func (r *request) checkDigest(h storedClaim) *outcome {
	if h.Digest == r.digest {
		return nil
	}
	return &outcome{err: refusal.New(refusal.KeyReused, refusal.NotRun, "claim: the key was used for another request")}
}
