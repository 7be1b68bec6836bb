package duty

import (
	"testing"
	"time"

	"bulrushspoke/wire"
)

// Guards against windows that are reported once more, with other counts, after the object of the duty has been deleted or
// replaced by one that this version cannot read.
func TestInvalidObject(t *testing.T) {
	for name, c := range map[string]struct {
		first, want int64 // first window that cannot have been written, and the last one in the object
	}{"known": {900, 1000}, "unknown": {1003, 1002}} {
		for _, deleted := range []bool{true, false} {
			s := NewSeat("a", "a1", testTiming(), 0)
			s.Heard(wire.DutyNotice{Sender: "b", Holder: "b", Inc: "b1", Token: 7, Rev: 10, Last: 1000}, time.Second)
			view := View{Quorum: true, FirstWindow: c.first}
			none := func(int64) []wire.DutyReport { return nil }
			now := 20 * time.Second
			read, ok := s.NextStore(now, view, none)
			if !ok || read.Op != Read {
				t.Fatalf("%s: call %+v, %t, want a read", name, read, ok)
			}
			if deleted {
				s.Absent(now)
			} else {
				s.Saw(read, wire.DutySeat{}, 11, now)
			}
			now += 20 * time.Second
			write, ok := s.NextStore(now, view, none)
			if !ok || write.Op == Read || write.Spec.Last != c.want || write.Spec.Token <= 7 {
				t.Errorf("%s, deleted %t: call %+v, %t, want a write with window %d", name, deleted, write, ok, c.want)
			}
			s.Wrote(write, 12, now)
			s.NextStore(now, view, func(after int64) []wire.DutyReport {
				if after != c.want {
					t.Errorf("%s, deleted %t: windows after %d are closed, want %d", name, deleted, after, c.want)
				}
				return nil
			})
		}
	}
}
