package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/internal/refusal"
)

// Guards against a sound sample that is refused for minutes, or for good, because several servers crashed while they ran it.
func TestSampleOutlivesCrashesOfItsServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(3)
		crash := script{end: "crash", after: 1}
		p.script = scripted(crash, crash, crash, crash, crash)
		d := newDispatcher(p)
		begin := time.Now()
		for {
			j := newJob("sound", 20)
			j.Work.Class = Train
			r, err := d.Run(t.Context(), j)
			if err == nil {
				checkResult(t, r, "sound", 20)
				break
			}
			var e *refusal.Error
			if !errors.As(err, &e) || e.Code() == refusal.Poison {
				t.Fatalf("the sample is refused for %s after %d attempts: %v", e.RetryAfter(), p.starts, err)
			}
			time.Sleep(e.RetryAfter())
		}
		if waited := time.Since(begin); waited > 10*time.Second {
			t.Errorf("the sample was done after %s", waited)
		}
		if _, err := d.Run(t.Context(), newJob("sound", 20)); err != nil {
			t.Errorf("a live request with the same content is refused: %v", err)
		}
	})
}
