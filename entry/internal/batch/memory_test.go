package batch

import (
	"net/http"
	"testing"
	"time"

	"bulrushspoke/internal/budget"
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
	m.Memory = budget.New(need*3/2).Account("jobs", need*3/2)
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
