// Command reviewstandins plays the cases of the second review: it starts the project's programs as processes, with stand-ins
// of the platform, of servers and of clients in this process, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxRun bounds a run.
const maxRun = 117 * time.Second

func root() string {
	d, err := filepath.Abs(os.Getenv("REPO"))
	if err != nil {
		cannot("%v", err)
	}
	return d
}

func main() {
	cases := map[string]func(*record, string, bool){"fence": runFence, "route": runRoute, "forgotten": runForgotten, "poison": runPoison, "split": runSplit, "midstream": runMidstream, "empty": runEmpty, "short": runShort}
	run := cases[os.Args[1]]
	if run == nil {
		cannot("no case %s", os.Args[1])
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannot("%v", err)
	}
	tempDir = dir
	time.AfterFunc(maxRun, func() { cannot("the case did not end in %s", maxRun) })
	rec := newRecord(os.Args[2])
	run(rec, dir, os.Getenv("TROUBLE") != "0")
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	if len(rec.bad) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(rec.bad), rec.bad[0])
		os.Exit(1)
	}
	fmt.Println("held")
}
