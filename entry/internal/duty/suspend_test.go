package duty

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"bulrushspoke/internal/meter"
	"bulrushspoke/wire"
)

type apiFunc func(ctx context.Context, ready func() bool)

// ReportUsage implements API.
func (f apiFunc) ReportUsage(ctx context.Context, _ string, _ int64, _ []byte, ready func() bool) (int, error) {
	f(ctx, ready)
	return 0, context.Canceled
}

// Guards against a call that leaves the process after the end of the lease, if the process is suspended between the decision and
// the call.
func TestSuspendedBeforeCall(t *testing.T) {
	m, _, err := meter.New("entry")
	if err != nil {
		t.Fatal(err)
	}
	for suspended, want := range map[time.Duration]bool{0: true, time.Second: true, time.Minute: false} {
		boot, called := time.Hour, false
		d := New(Options{
			Name: "a", Inc: "a1", Bounds: fleetBounds, Rate: 50, MaxObject: 1 << 20, Logger: slog.New(slog.DiscardHandler), Meter: m,
			Wall: time.Now, Boot: func() time.Duration { return boot },
			API: apiFunc(func(_ context.Context, ready func() bool) {
				called = true
				boot += suspended
				if got := ready(); got != want {
					t.Errorf("after %v the call may leave: %t, want %t", suspended, got, want)
				}
			}),
		})
		object := wire.DutySeat{Holder: "a", Inc: "a1", Token: 1, Reports: []wire.DutyReport{{Window: 1, Body: "x"}}}
		d.seat.Wrote(StoreCall{Op: Create, Spec: object, start: boot}, 1, boot)
		c, ok := d.seat.NextCall(boot)
		if !ok {
			t.Fatal("no call is due")
		}
		d.callAPI(t.Context(), c)
		if !called {
			t.Error("no call was made")
		}
	}
}

// Guards against a successor whose first call arrives before one that the former holder has given up.
func TestReleaseAfterUnansweredCall(t *testing.T) {
	s := NewSeat("a", "a1", testTiming(), 0)
	object := wire.DutySeat{Holder: "a", Inc: "a1", Token: 1, Reports: []wire.DutyReport{{Window: 1, Body: "x"}}}
	s.Wrote(StoreCall{Op: Create, Spec: object}, 1, 0)
	if _, ok := s.NextCall(0); !ok {
		t.Fatal("no call is due")
	}
	const failed = time.Second
	s.Called(Unanswered, failed)
	s.Stop()
	none := func(int64) []wire.DutyReport { return nil }
	for _, after := range []time.Duration{0, arrivalMargin - 1} {
		if c, ok := s.NextStore(failed+after, View{Quorum: true}, none); ok {
			t.Errorf("%v after the call: store call %+v", after, c)
		}
	}
	if c, ok := s.NextStore(failed+arrivalMargin, View{Quorum: true}, none); !ok || !c.Spec.Released {
		t.Errorf("store call %+v, %t, want a release", c, ok)
	}
}
