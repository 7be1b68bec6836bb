package batch

import (
	"net/http"
	"testing"
	"time"

	"bulrushspoke/internal/budget"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

// Guards against jobs that together exceed the memory for them, against open jobs that keep out new ones for good, and against memory
// that is not returned when a job ends or is refused.
func TestJobMemory(t *testing.T) {
	r := newRig(t)
	m, stop := r.manager("a", "a1")
	defer stop()
	body := payload(1, "g-1", "g-2")
	size, err := m.reserve(body)
	if err != nil {
		t.Fatal(err)
	}
	need := size.lease.Held()
	size.release()
	m.Memory = budget.New(2*need).Account("jobs", 2*need)
	submit := func(id string, body []byte) int {
		return m.Submit(t.Context(), nobody, &r.route, id, body, time.Now()).Status
	}
	if s := submit("malformed", []byte(`{"items":[{}]}`)); s != http.StatusBadRequest || m.Memory.Used() != 0 {
		t.Errorf("malformed job: status %d, %d bytes stay reserved", s, m.Memory.Used())
	}
	if s := submit("huge", payload(1, "1", "2", "3", "4", "5", "6", "7", "8")); s != http.StatusRequestEntityTooLarge {
		t.Errorf("job larger than the budget: status %d, want 413", s)
	}
	if s := submit("a", body); s != http.StatusAccepted {
		t.Fatalf("status %d of a job that fits", s)
	}
	held := m.Memory.Used()
	if held <= 0 || held > need {
		t.Errorf("%d bytes reserved for an open job, measured %d", held, need)
	}
	filler := m.Memory.Lease()
	if err := filler.Grow(m.Memory.Limit()-held-need+1, 0); err != nil {
		t.Fatal(err)
	}
	reply := m.Submit(t.Context(), nobody, &r.route, "b", body, time.Now())
	if reply.Status != http.StatusTooManyRequests || reply.RetryAfter <= 0 {
		t.Errorf("job beside an open one: status %d, retry after %s; want 429 with a time", reply.Status, reply.RetryAfter)
	}
	m.End(t.Context(), nobody, "a")
	if s := submit("b", body); s != http.StatusAccepted {
		t.Errorf("status %d of a job after the other one has ended", s)
	}
	filler.Release()
	if s := m.Results(t.Context(), nobody, "a", 0, 0).Status; s != http.StatusOK {
		t.Errorf("status %d of the results of an ended job that has given way", s)
	}
	m.mu.Lock()
	for _, j := range m.jobs {
		m.remove(j)
	}
	m.mu.Unlock()
	if n := m.Memory.Used(); n != 0 {
		t.Errorf("%d bytes stay reserved", n)
	}
}

// Guards against ended jobs that are evicted although this makes too little room, or while the store cannot be read, and against
// asking the trainer of a job that can never be accepted to repeat it.
func TestEviction(t *testing.T) {
	r := newRig(t)
	m, stop := r.manager("a", "a1")
	defer stop()
	body := payload(1, "g-1", "g-2")
	size, err := m.reserve(body)
	if err != nil {
		t.Fatal(err)
	}
	need := size.lease.Held()
	size.release()
	m.Memory = budget.New(need+int64(len(body))).Account("jobs", need+int64(len(body)))
	submit := func(id string) int { return m.Submit(t.Context(), nobody, &r.route, id, body, time.Now()).Status }
	if s := submit("a"); s != http.StatusAccepted {
		t.Fatalf("status %d", s)
	}
	m.End(t.Context(), nobody, "a")
	filler := m.Memory.Lease()
	if err := filler.Grow(m.Memory.Limit()-m.Memory.Used(), 0); err != nil {
		t.Fatal(err)
	}
	if s := submit("b"); s != http.StatusTooManyRequests || m.local("a") == nil {
		t.Errorf("status %d, ended job kept: %t; want 429 and true", s, m.local("a") != nil)
	}
	filler.Release()
	outage := m.Outage
	m.Outage = func(time.Time) time.Duration { return time.Second }
	if s := submit("b"); s != http.StatusTooManyRequests || m.local("a") == nil {
		t.Errorf("while the store is down: status %d, ended job kept: %t; want 429 and true", s, m.local("a") != nil)
	}
	m.Outage = outage
	if s := submit("b"); s != http.StatusAccepted || m.local("a") != nil {
		t.Errorf("status %d, ended job kept: %t; want 202 and false", s, m.local("a") != nil)
	}
	m.Memory = budget.New(need+int64(len(body))-1).Account("jobs", need+int64(len(body)))
	if s := submit("c"); s != http.StatusRequestEntityTooLarge {
		t.Errorf("a job that can never be held together with its body: status %d, want 413", s)
	}
}

// Guards against an accepted job whose owner has no memory for it: an entry without memory must leave the owner as it is, so
// that another one can take the job, and the entry that accepted a job must still have memory for it if the owner refuses.
func TestTakeoverWithoutMemory(t *testing.T) {
	r := newRig(t)
	accepting, stop := r.manager("a", "a1")
	defer stop()
	small, stopSmall := r.manager("b", "b1")
	defer stopSmall()
	small.Memory = budget.New(10).Account("jobs", 10)
	body := payload(1, "g-1", "g-2")
	state := wire.JobState{Owner: "gone", Inc: "gone-1", Epoch: 1, Host: r.route.Host, Path: r.route.Prefix, Total: 2, Model: "m"}
	if _, err := accepting.putPayload(t.Context(), "j", body); err != nil {
		t.Fatal(err)
	}
	if _, err := accepting.createState(t.Context(), "j", state); err != nil {
		t.Fatal(err)
	}
	if reply := small.takeOver(t.Context(), "j", nil, 1); reply.Status != http.StatusServiceUnavailable {
		t.Errorf("takeover without memory: status %d, want 503", reply.Status)
	}
	if s, _, err := small.readState(t.Context(), "j"); err != nil || s.Owner != "gone" || s.Epoch != 1 {
		t.Errorf("owner %q in epoch %d after a takeover that failed, error %v; want that before", s.Owner, s.Epoch, err)
	}
	// The reservation for the accepted job takes all memory.
	memory, err := accepting.reserve(body)
	if err != nil {
		t.Fatal(err)
	}
	need := memory.lease.Held()
	memory.release()
	accepting.Memory = budget.New(need+int64(len(body))).Account("jobs", need)
	if memory, err = accepting.reserve(body); err != nil {
		t.Fatal(err)
	}
	spec, err := platform.DecodeStoredJob("j", body)
	if err != nil {
		t.Fatal(err)
	}
	accepting.delegate("j", state, body, &loadedSpec{spec: spec, memory: memory})
	if s, _, err := accepting.readState(t.Context(), "j"); err != nil || s.Owner != "a" || accepting.local("j") == nil {
		t.Errorf("owner %q, error %v; want the entry that accepted the job", s.Owner, err)
	}
}
