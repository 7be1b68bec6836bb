package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/platform"
	"bulrushspoke/platform/platformtest"
)

const (
	eventPause  = 8 * time.Millisecond   // between two events of an item
	plainWork   = 15 * time.Millisecond  // of a plain request
	longWork    = 2 * time.Second        // of a plain request that its client abandons
	loadTime    = 150 * time.Millisecond // of a weight version
	plainBody   = 400                    // bytes of a plain answer
	engineSlots = 8
	plainSlots  = 6
)

// behaviour is how a server misbehaves.
type behaviour int

const (
	sound     behaviour = iota
	slow                // everything takes five times as long
	failing             // part of the answers are 500
	truncated           // part of the answers end early
	garbled             // part of the answers are no HTTP, or another answer follows
	swallowed           // part of the requests run, and the connection is closed without an answer
	deaf                // nothing is answered
	lateOrder           // orders get no answer and are carried out later
)

// poisonBody begins the body of a request that crashes its server.
const poisonBody = "poison "

// faultShare is the part of the answers that a misbehaving server spoils.
const faultShare = 0.3

// server is a plain service or an engine.
type server struct {
	world   *world
	service string
	address string
	engine  bool

	mu       sync.Mutex
	random   *rand.Rand
	id       string
	born     int64
	starts   int
	up       bool
	draining bool
	unlisted bool // it leaves without a word: its entry is gone although it serves
	behaves  behaviour
	versions map[string]int
	orders   int64
	fence    int64
	loading  string // model whose version is changing
	running  int
	http     *http.Server
}

// start begins a new incarnation.
func (s *server) start(now time.Time) error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.id, s.born = fmt.Sprintf("%s-%s-%d", s.service, strings.ReplaceAll(s.address, ":", "-"), s.starts), now.UnixMilli()
	s.up, s.draining, s.unlisted, s.orders, s.fence, s.loading, s.running = true, false, false, 0, 0, "", 0
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ErrorLog: silent}
	h := s.http
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }() // ends with the server
	s.publish()
	return nil
}

// crash ends the incarnation; its entry stays in the list until it lapses.
func (s *server) crash() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		s.up = false
		_ = s.http.Close()
	}
	return s.id
}

// publish writes the server's entry, as each of its heartbeats does.
func (s *server) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up && !s.unlisted {
		s.world.objects.Put(platformtest.Servers, s.id, platformtest.EncodeServer(catalog.Server{
			Service: s.service, Address: s.address, Domain: domain, Slots: s.slots(), Draining: s.draining, Born: s.born,
			Versions: s.versions,
		}, s.orders))
	}
}

func (s *server) slots() int {
	if s.engine {
		return engineSlots
	}
	return plainSlots
}

func (s *server) behave(b behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaves = b
}

// spoils returns how an answer is spoilt, sound for not at all.
func (s *server) spoils() behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behaves > slow && s.behaves != deaf && s.random.Float64() > faultShare {
		return sound
	}
	return s.behaves
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, place := s.id, s.running < s.slots()
	s.mu.Unlock()
	platformtest.Identity(w.Header(), id)
	asked := platformtest.Asked(r.Header)
	if asked.Server != "" && asked.Server != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case platformtest.IsReport(r):
		_, _ = w.Write(platformtest.EncodeReport(s.report())) // the daemon has left if this fails
		return
	case platformtest.IsOrder(r):
		s.order(w, r, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b := s.spoils()
	if b == deaf {
		<-r.Context().Done()
		return
	}
	if !place || s.engine && s.changes(r.URL.Path) {
		platformtest.Answer(w.Header(), call.Answer{ID: asked.ID, NotRun: true})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.count(1)
	defer s.count(-1)
	if s.engine {
		s.generate(w, r, asked, id, body, b)
		return
	}
	s.plain(w, r, asked, id, body, b)
}

func (s *server) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

// plain serves a request of a plain service.
func (s *server) plain(w http.ResponseWriter, r *http.Request, asked platformtest.Told, id string, body []byte, b behaviour) {
	work := plainWork
	if strings.HasSuffix(r.URL.Path, "/long") {
		work = longWork
	}
	if b == slow {
		work *= 5
	}
	run := s.world.ledger.ran(asked.ID, id, s.service, r.Method+" "+r.URL.RequestURI(), string(body), time.Now())
	if strings.HasPrefix(string(body), poisonBody) {
		s.world.ledger.poisoned(string(body), asked.ID, time.Now())
		go s.world.crash(context.Background(), s, downLeast)
		panic(http.ErrAbortHandler)
	}
	answer := fmt.Sprintf("%s run %d by %s ", asked.ID, run, s.service)
	answer += strings.Repeat("x", max(plainBody-len(answer), 0))
	if !pause(r.Context(), work) {
		s.world.ledger.abandoned(asked.ID, time.Now())
		return
	}
	platformtest.Answer(w.Header(), call.Answer{ID: asked.ID, Signature: platformtest.Stamp, Leaving: s.leaves()})
	switch b {
	case failing:
		w.WriteHeader(http.StatusInternalServerError)
	case swallowed:
		panic(http.ErrAbortHandler)
	case truncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	case garbled:
		s.garble(w, asked.ID, answer)
	default:
		s.world.ledger.answered(asked.ID, answer)
		_, _ = io.WriteString(w, answer)
	}
}

// leaves reports whether the server has announced that it leaves.
func (s *server) leaves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.unlisted
}

// lateCopy is how long after an answer its second copy comes, when the connection may be in use again.
const lateCopy = 20 * time.Millisecond

// garble sends bytes that are no answer, or a whole answer and the same once more, at once or later.
func (s *server) garble(w http.ResponseWriter, id, answer string) {
	c, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	extra, late := s.random.IntN(2) == 0, s.random.IntN(2) == 0
	s.mu.Unlock()
	if !extra {
		_, _ = out.WriteString("\x00\x01 no answer\r\n\r\n")
		_ = out.Flush()
		return
	}
	s.world.ledger.answered(id, answer)
	head := "HTTP/1.1 200 OK\r\n" + platformtest.Head(call.Answer{ID: id, Signature: platformtest.Stamp})
	_, _ = fmt.Fprintf(out, "%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
	if late {
		_ = out.Flush()
		time.Sleep(lateCopy)
	}
	_, _ = fmt.Fprintf(out, "%sContent-Length: 5\r\n\r\nstale", head)
	_ = out.Flush()
}

// generate streams an item; its path ends with the model and the number of events.
func (s *server) generate(w http.ResponseWriter, r *http.Request, asked platformtest.Told, id string, body []byte, b behaviour) {
	model, length := itemOf(r.URL.Path)
	s.world.ledger.began(asked.ID, id, r.URL.Path, string(body), time.Now())
	platformtest.Answer(w.Header(), call.Answer{ID: asked.ID, Signature: platformtest.Stamp, Leaving: s.leaves()})
	if b == failing {
		s.world.ledger.failed(asked.ID)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	version := s.version(model)
	w.Header().Set("Content-Type", "text/event-stream")
	if asked.After < length {
		platformtest.Answer(w.Header(), call.Answer{Version: version})
	}
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	gap := eventPause
	if b == slow {
		gap *= 5
	}
	for n := asked.After + 1; n <= length; n++ {
		if !pause(r.Context(), gap) {
			return
		}
		change := ""
		if v := s.version(model); v != version {
			version, change = v, platformtest.NewVersion(v)
		}
		data := fmt.Sprintf("%s.%d.%d", asked.ID, n, version)
		if n > length/2 && b >= truncated && b <= swallowed {
			_, _ = fmt.Fprintf(w, "%sid: %d\nda", change, n) // in the middle of an event
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		s.world.ledger.made(data)
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", change, n, data); err != nil {
			return
		}
		_ = out.Flush()
	}
	s.world.ledger.finished(asked.ID)
}

func (s *server) version(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[model]
}

// changes reports whether the model of a path is getting another version.
func (s *server) changes(path string) bool {
	model, _ := itemOf(path)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loading == model
}

func (s *server) report() platform.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Report{Versions: maps.Clone(s.versions), Born: s.born, Busy: s.loading != "", Orders: s.orders, Running: s.running}
}

// order takes an order, or loses its answer and carries it out later.
func (s *server) order(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o, err := platformtest.DecodeOrder(body)
	if err != nil || o.Model == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.world.ledger.ordered(id, o)
	if s.spoils() == lateOrder {
		time.AfterFunc(time.Second, func() { s.apply(o, id) })
		<-r.Context().Done()
		return
	}
	w.WriteHeader(s.apply(o, id))
}

// apply carries an order out, if its condition holds, and returns the status of its answer.
func (s *server) apply(o platform.Order, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	have, known := s.versions[o.Model]
	switch {
	case !known || o.Version > s.world.named(o.Model):
		return http.StatusBadRequest
	case have == o.Version:
		return http.StatusOK
	case s.loading != "" || o.Orders >= 0 && o.Orders != s.orders || s.id != id:
		return http.StatusConflict
	case o.Fence < s.fence:
		return http.StatusPreconditionFailed
	}
	if o.Version < have {
		s.world.ledger.broken("ONE", "engine %s is ordered from version %d back to %d of %s", id, have, o.Version, o.Model)
	}
	s.orders++
	s.fence, s.loading = o.Fence, o.Model
	time.AfterFunc(loadTime, func() {
		s.mu.Lock()
		if s.id == id {
			// The map is replaced, since the list of servers may be encoding it.
			s.versions, s.loading = maps.Clone(s.versions), ""
			s.versions[o.Model] = o.Version
		}
		s.mu.Unlock()
		s.publish()
	})
	return http.StatusAccepted
}

// pause waits and reports whether the client is still there.
func pause(ctx context.Context, d time.Duration) bool {
	sleep.For(ctx, d)
	return ctx.Err() == nil
}
