package truetime

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

const day = 20_000 * 24 * time.Hour

// Guards against requests that are counted in the wrong window since clocks of some instances were wrong at their start: the
// estimates of all processes must agree with the true time to within the error of the best samples.
func TestMedianIgnoresWrongClocks(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	const processes = 23
	var all [processes]*Estimator
	var boots [processes]time.Duration // steady clock of each process at the true time day
	for i := range all {
		wrong := time.Duration(0)
		if i%3 == 0 {
			wrong = time.Duration(r.IntN(12000)-6000) * time.Millisecond
		}
		boots[i] = time.Duration(r.IntN(1e9)) * time.Microsecond
		all[i] = New(time.Unix(0, int64(day+wrong)), boots[i])
	}
	for i, e := range all {
		for j := range all {
			for range 5 {
				there, back := time.Duration(r.IntN(12))*time.Millisecond, time.Duration(r.IntN(12))*time.Millisecond
				if i != j {
					e.Sample(strconv.Itoa(j), all[j].Reading(boots[j]+there), boots[i], boots[i]+there+back)
				}
			}
		}
	}
	for i, e := range all {
		if diff := (e.Offset(boots[i]+time.Second) + boots[i] - day).Abs(); diff > 6*time.Millisecond {
			t.Errorf("estimate of process %d is off by %v", i, diff)
		}
	}
}

// Guards against an old sample that outlives a restart of the other process with another clock.
func TestRestartReplacesSample(t *testing.T) {
	e := New(time.Unix(0, int64(day)), 0)
	e.Sample("a", day+time.Second, time.Second, time.Second+time.Millisecond)
	e.Sample("a", day+4*time.Second, 2*time.Second, 2*time.Second+20*time.Millisecond)
	if got := e.Offset(2 * time.Second).Round(100 * time.Millisecond); got != day+time.Second {
		t.Fatalf("offset %v, want the mean of own clock and the new sample", got-day)
	}
}
