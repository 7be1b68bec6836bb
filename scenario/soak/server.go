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
	eventInterval = 8 * time.Millisecond   // between two events of an item
	plainDuration = 15 * time.Millisecond  // of a plain request
	longDuration  = 2 * time.Second        // of a plain request that its client abandons
	loadTime      = 150 * time.Millisecond // of a weight version
	plainBodySize = 400                    // bytes of a plain response
	engineSlots   = 8
	plainSlots    = 6
)

// behaviour is how a server behaves.
type behaviour int

const (
	correct      behaviour = iota
	slow                   // requests take five times as long
	failing                // some responses have status 500
	truncated              // some responses end early
	malformed              // some responses are not HTTP, or are followed by another response
	unanswered             // some requests run, but the connection is closed without a response
	unresponsive           // requests get no response
	delayedOrder           // some orders get no response and are carried out later
)

// crashBodyPrefix is the prefix of the body of a request that crashes its server.
const crashBodyPrefix = "poison "

// faultRatio is the fraction of the responses that a misbehaving server affects.
const faultRatio = 0.3

// server is a server of a plain service or an engine.
type server struct {
	env     *env
	service string
	address string
	engine  bool

	starting sync.Mutex // held from the look at up to the end of start

	mu             sync.Mutex
	random         *rand.Rand
	id             string
	startedAt      int64 // Unix milliseconds
	incarnation    int
	up             bool
	draining       bool
	deregistered   bool // it drains without a notice: its record is removed while it still serves
	behaviour      behaviour
	versions       map[string]int
	acceptedOrders int64
	fencingToken   int64  // of the last accepted order
	loadingModel   string // model whose weights are being loaded, empty for none
	running        int
	limit          call.Limit // stated in its responses
	http           *http.Server
}

// start starts a new incarnation of the server, with a new ID.
func (s *server) start(now time.Time) error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.incarnation++
	s.id, s.startedAt = fmt.Sprintf("%s-%s-%d", s.service, strings.ReplaceAll(s.address, ":", "-"), s.incarnation), now.UnixMilli()
	s.up, s.draining, s.deregistered, s.acceptedOrders, s.fencingToken, s.loadingModel, s.running = true, false, false, 0, 0, "", 0
	s.recordLimit()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ErrorLog: discardLog}
	h := s.http
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }() // returns when the server is closed
	s.publish()
	return nil
}

// crash ends the incarnation and returns its ID. Its record stays in the store.
func (s *server) crash() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		s.up = false
		_ = s.http.Close()
	}
	return s.id
}

// publish writes the record of the server to the store, as each of its heartbeats does.
func (s *server) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up && !s.deregistered {
		s.env.objects.Put(platformtest.Servers, s.id, platformtest.EncodeServer(catalog.Server{
			Service: s.service, Address: s.address, Domain: domain, Slots: s.slots(), Draining: s.draining, StartedAt: s.startedAt,
			Versions: s.versions,
		}, s.acceptedOrders))
	}
}

func (s *server) slots() int {
	if s.engine {
		return engineSlots
	}
	return plainSlots
}

func (s *server) setBehaviour(b behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// responseBehaviour returns the behaviour for one response. Slow and unresponsive servers behave so for every response, others
// for a fraction of faultRatio.
func (s *server) responseBehaviour() behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behaviour > slow && s.behaviour != unresponsive && s.random.Float64() > faultRatio {
		return correct
	}
	return s.behaviour
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, hasSlot := s.id, s.running < s.slots()
	s.mu.Unlock()
	platformtest.Identity(w.Header(), id)
	reqInfo := platformtest.DecodeServerRequest(r.Header)
	if reqInfo.Server != "" && reqInfo.Server != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case platformtest.IsReport(r):
		_, _ = w.Write(platformtest.EncodeReport(s.report())) // fails only if the daemon has disconnected
		return
	case platformtest.IsOrder(r):
		s.handleOrder(w, r, id)
		return
	}
	s.env.checker.recordArrival(reqInfo.ID, id, time.Now())
	s.env.checker.checkSender(reqInfo.ID, r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.env.checker.recordUnanswered(reqInfo.ID, time.Now())
		return
	}
	b := s.responseBehaviour()
	if b == unresponsive {
		s.env.checker.recordUnanswered(reqInfo.ID, time.Now())
		<-r.Context().Done()
		return
	}
	if !hasSlot || s.engine && s.isLoading(r.URL.Path) {
		platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: reqInfo.ID, NotRun: true, Limit: s.stated(reqInfo.ID)})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.addRunning(1)
	defer s.addRunning(-1)
	if s.engine {
		s.streamItem(w, r, reqInfo, id, body, b)
		return
	}
	s.servePlain(w, r, reqInfo, id, body, b)
}

func (s *server) addRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

// servePlain serves a request to a plain service.
func (s *server) servePlain(w http.ResponseWriter, r *http.Request, reqInfo platformtest.ServerRequest, id string, body []byte, b behaviour) {
	work := plainDuration
	if strings.HasSuffix(r.URL.Path, "/long") {
		work = longDuration
	}
	if b == slow {
		work *= 5
	}
	run := s.env.checker.recordRun(reqInfo.ID, id, s.service, r.Method+" "+r.URL.RequestURI(), string(body), time.Now())
	if strings.HasPrefix(string(body), crashBodyPrefix) {
		s.env.checker.recordCrash(string(body), reqInfo.ID, time.Now())
		go s.env.crashServer(context.Background(), s, minDown)
		panic(http.ErrAbortHandler)
	}
	responseBody := fmt.Sprintf("%s run %d by %s ", reqInfo.ID, run, s.service)
	responseBody += strings.Repeat("x", max(plainBodySize-len(responseBody), 0))
	if !pause(r.Context(), work) {
		s.env.checker.recordCancelSeen(reqInfo.ID, time.Now())
		return
	}
	platformtest.SetResponseHeaders(w.Header(), call.Answer{
		ID: reqInfo.ID, Signature: platformtest.Signature, Leaving: s.leaving(), Limit: s.stated(reqInfo.ID),
	})
	switch b {
	case failing:
		w.WriteHeader(http.StatusInternalServerError)
	case unanswered:
		panic(http.ErrAbortHandler)
	case truncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(responseBody)))
		_, _ = io.WriteString(w, responseBody[:len(responseBody)/2])
		panic(http.ErrAbortHandler)
	case malformed:
		s.sendMalformed(w, reqInfo.ID, responseBody)
	default:
		s.env.checker.recordResponse(reqInfo.ID, responseBody)
		_, _ = io.WriteString(w, responseBody)
	}
}

// leaving reports whether the server is draining, announced or not.
func (s *server) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.deregistered
}

// duplicateDelay is the time between a response and an unrequested second one. By then the connection may be in use again.
const duplicateDelay = 20 * time.Millisecond

// sendMalformed sends bytes that are not HTTP, or a complete response and another one after it, at once or after
// duplicateDelay.
func (s *server) sendMalformed(w http.ResponseWriter, id, responseBody string) {
	c, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	duplicate, delayed := s.random.IntN(2) == 0, s.random.IntN(2) == 0
	s.mu.Unlock()
	if !duplicate {
		_, _ = out.WriteString("\x00\x01 no answer\r\n\r\n")
		_ = out.Flush()
		return
	}
	s.env.checker.recordResponse(id, responseBody)
	header := "HTTP/1.1 200 OK\r\n" + platformtest.RawResponseHeaders(call.Answer{ID: id, Signature: platformtest.Signature})
	_, _ = fmt.Fprintf(out, "%sContent-Length: %d\r\n\r\n%s", header, len(responseBody), responseBody)
	if delayed {
		_ = out.Flush()
		time.Sleep(duplicateDelay)
	}
	_, _ = fmt.Fprintf(out, "%sContent-Length: 5\r\n\r\nstale", header)
	_ = out.Flush()
}

// streamItem streams the events of an item. The path of the item ends with the model and the number of events.
func (s *server) streamItem(w http.ResponseWriter, r *http.Request, reqInfo platformtest.ServerRequest, id string, body []byte, b behaviour) {
	model, length := parseItemPath(r.URL.Path)
	s.env.checker.recordItemRun(reqInfo.ID, id, r.URL.Path, string(body), time.Now())
	platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: reqInfo.ID, Signature: platformtest.Signature, Leaving: s.leaving()})
	if b == failing {
		s.env.checker.recordItemFailed(reqInfo.ID)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	version := s.version(model)
	w.Header().Set("Content-Type", "text/event-stream")
	if reqInfo.ResumeAfter < length {
		platformtest.SetResponseHeaders(w.Header(), call.Answer{Version: version})
	}
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	interval := eventInterval
	if b == slow {
		interval *= 5
	}
	for n := reqInfo.ResumeAfter + 1; n <= length; n++ {
		if !pause(r.Context(), interval) {
			return
		}
		versionLine := ""
		if v := s.version(model); v != version {
			version, versionLine = v, platformtest.NewVersion(v)
		}
		data := fmt.Sprintf("%s.%d.%d", reqInfo.ID, n, version)
		if n > length/2 && b >= truncated && b <= unanswered {
			_, _ = fmt.Fprintf(w, "%sid: %d\nda", versionLine, n) // in the middle of an event
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		s.env.checker.recordEvent(data)
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", versionLine, n, data); err != nil {
			return
		}
		_ = out.Flush()
	}
	s.env.checker.recordItemFinished(reqInfo.ID)
}

func (s *server) version(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[model]
}

// isLoading reports whether the weights of the model in a path are being loaded.
func (s *server) isLoading(path string) bool {
	model, _ := parseItemPath(path)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadingModel == model
}

func (s *server) report() platform.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Report{Versions: maps.Clone(s.versions), StartedAt: s.startedAt, Busy: s.loadingModel != "", AcceptedOrders: s.acceptedOrders, Running: s.running}
}

// handleOrder carries out an order and responds, or carries it out later without a response.
func (s *server) handleOrder(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o, err := platformtest.DecodeOrder(body)
	if err != nil || o.Model == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.env.checker.checkOrder(id, o)
	if s.responseBehaviour() == delayedOrder {
		time.AfterFunc(time.Second, func() { s.applyOrder(o, id) })
		<-r.Context().Done()
		return
	}
	w.WriteHeader(s.applyOrder(o, id))
}

// applyOrder carries out an order if its preconditions hold, and returns the status of the response.
func (s *server) applyOrder(o platform.Order, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	have, known := s.versions[o.Model]
	switch {
	case !known || o.Version > s.env.newestVersion(o.Model):
		return http.StatusBadRequest
	case have == o.Version:
		return http.StatusOK
	case s.loadingModel != "" || o.ExpectedOrders >= 0 && o.ExpectedOrders != s.acceptedOrders || s.id != id:
		return http.StatusConflict
	case o.FencingToken < s.fencingToken:
		return http.StatusPreconditionFailed
	}
	if o.Version < have {
		s.env.checker.report("ONE", "engine %s was ordered from version %d back to %d of %s", id, have, o.Version, o.Model)
	}
	s.acceptedOrders++
	s.fencingToken, s.loadingModel = o.FencingToken, o.Model
	time.AfterFunc(loadTime, func() {
		s.mu.Lock()
		if s.id == id {
			// The map is replaced and not changed, since the list of servers may be encoding it.
			s.versions, s.loadingModel = maps.Clone(s.versions), ""
			s.versions[o.Model] = o.Version
		}
		s.mu.Unlock()
		s.publish()
	})
	return http.StatusAccepted
}

// pause waits for d or until ctx ends, and reports whether ctx is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	sleep.For(ctx, d)
	return ctx.Err() == nil
}
