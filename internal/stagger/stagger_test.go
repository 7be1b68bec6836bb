package stagger

import (
	"fmt"
	"testing"
	"time"
)

const window = 10 * time.Second

// Guards against servers of unknown position that all load at the same time, and against a delay that differs between
// two calls.
func TestLoadsAreSpread(t *testing.T) {
	halves := [2]int{}
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10", "e11", "e12"} {
		d := Delay(name, Position{}, window)
		if d < 0 || d >= window || d != Delay(name, Position{}, window) || Delay(name, Position{}, 0) != 0 {
			t.Fatalf("delay of %s is %v", name, d)
		}
		halves[d/(5*time.Second)]++
	}
	if halves[0] < 3 || halves[1] < 3 {
		t.Fatalf("servers in each half of the window: %v", halves)
	}
}

// Guards against a failure domain in which more than half of the servers load at the same time, and against the use of
// an invalid position.
func TestHalfOfDomainStaysInService(t *testing.T) {
	for n := 2; n <= 300; n++ {
		delays := make([]time.Duration, n)
		for i := range delays {
			delays[i] = Delay("e", Position{Rank: i, Servers: n}, window)
			if delays[i] < 0 || delays[i] >= window {
				t.Fatalf("%d servers: delay %v", n, delays[i])
			}
		}
		for _, start := range delays {
			loading := 0
			for _, d := range delays {
				if d >= start && d < start+window/2 {
					loading++
				}
			}
			if loading > (n+1)/2 {
				t.Fatalf("%d of %d servers start within half the window", loading, n)
			}
		}
	}
	for _, p := range []Position{{Rank: 3, Servers: 3}, {Rank: -1, Servers: 3}, {Rank: 1, Servers: -1}} {
		if d := Delay("e", p, window); d != Delay("e", Position{}, window) {
			t.Fatalf("delay of %+v is %v", p, d)
		}
	}
}

func ExampleDelay() {
	for rank := range 4 {
		fmt.Println(Delay("engine", Position{Rank: rank, Servers: 4}, window))
	}
	// Output:
	// 0s
	// 2.5s
	// 5s
	// 7.5s
}
