// Package cloud simulates the API of the users' platform that receives usage reports.
//
// # Usage
//
//	a := cloud.New(func(r *http.Request, accepted bool) { ... })	// sees every call that the API receives
//	server := httptest.NewServer(a)
//	a.SetFault(cloud.Fault{NoResponse: true})
//
// Calls that a fault affects are received like all others; the fault concerns their answers only.
package cloud

import (
	"net/http"
	"sync"
	"time"
)

// Fault describes how the API fails; the zero value is no fault.
type Fault struct {
	Unavailable bool          // calls are answered with 503
	NoResponse  bool          // calls get no response
	CallDelay   time.Duration // delay of each answer
}

// API is an http.Handler.
type API struct {
	receive func(r *http.Request, accepted bool)

	mu    sync.Mutex
	fault Fault
}

// New returns an API that hands each call to receive, with whether it will be answered with 200.
func New(receive func(r *http.Request, accepted bool)) *API { return &API{receive: receive} }

// SetFault replaces the current fault.
func (a *API) SetFault(f Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = f
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/usage" {
		http.NotFound(w, r)
		return
	}
	a.mu.Lock()
	f := a.fault
	a.mu.Unlock()
	a.receive(r, !f.Unavailable && !f.NoResponse)
	if f.NoResponse {
		<-r.Context().Done()
		return
	}
	time.Sleep(f.CallDelay)
	if f.Unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
