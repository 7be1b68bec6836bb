package stagger

import (
	"fmt"
	"testing"
	"time"
)

const window = 10 * time.Second

// Guards against servers without places that all swap at the same moment, and against a delay that changes between two
// reads.
func TestSwapsAreSpread(t *testing.T) {
	halves := [2]int{}
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10", "e11", "e12"} {
		d := Delay(name, Place{}, window)
		if d < 0 || d >= window || d != Delay(name, Place{}, window) || Delay(name, Place{}, 0) != 0 {
			t.Fatalf("delay of %s is %v", name, d)
		}
		halves[d/(5*time.Second)]++
	}
	if halves[0] < 3 || halves[1] < 3 {
		t.Fatalf("servers by half of the window: %v", halves)
	}
}

// Guards against a failure domain in which more than half of the servers swap at once, and against a place that makes
// no sense.
func TestHalfOfADomainStays(t *testing.T) {
	for n := 2; n <= 300; n++ {
		delays := make([]time.Duration, n)
		for i := range delays {
			delays[i] = Delay("e", Place{Rank: i, Servers: n}, window)
			if delays[i] < 0 || delays[i] >= window {
				t.Fatalf("%d servers: delay %v", n, delays[i])
			}
		}
		for _, from := range delays {
			at := 0
			for _, d := range delays {
				if d >= from && d < from+window/2 {
					at++
				}
			}
			if at > (n+1)/2 {
				t.Fatalf("%d of %d servers begin within half the window", at, n)
			}
		}
	}
	for _, p := range []Place{{Rank: 3, Servers: 3}, {Rank: -1, Servers: 3}, {Rank: 1, Servers: -1}} {
		if d := Delay("e", p, window); d != Delay("e", Place{}, window) {
			t.Fatalf("delay of %+v is %v", p, d)
		}
	}
}

func ExampleDelay() {
	for rank := range 4 {
		fmt.Println(Delay("engine", Place{Rank: rank, Servers: 4}, window))
	}
	// Output:
	// 0s
	// 2.5s
	// 5s
	// 7.5s
}
