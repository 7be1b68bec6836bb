// Command harness plays the cases of the review: it starts the programs of this project as separate processes, with
// stand-ins of the platform's store, the model servers and the trainer in its own process.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

func init() { runtime.LockOSThread() } // the processes end with the thread that has started them

var cases = map[string]struct {
	run func(*env) error
	o   options
}{
	"resent-end":    {resentEnd, options{slots: 12, eventInterval: 2 * time.Millisecond, maxQueue: 40}},
	"lost-end":      {lostEnd, options{slots: 12, eventInterval: 60 * time.Millisecond, maxQueue: 40}},
	"removed-route": {removedRoute, options{slots: 12, eventInterval: 40 * time.Millisecond, maxQueue: 40}},
	"late-end":      {lateEnd, options{slots: 12, eventInterval: 60 * time.Millisecond, maxQueue: 40}},
	"failed-item":   {failedItem, options{slots: 12, eventInterval: 60 * time.Millisecond, maxQueue: 40}},
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	keep := flag.String("keep", "", "folder for logs and settings; a temporary one if empty")
	flag.Parse()
	os.Exit(play(*name, *root, *record, *keep))
}

// play returns 1 if a rule was broken, 0 if not, and 2 if the case could not run.
func play(name, root, record, keep string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return 2
	}
	dir := keep
	if dir == "" {
		d, err := os.MkdirTemp("", "review")
		if err != nil {
			fmt.Println(err)
			return 2
		}
		defer os.RemoveAll(d)
		dir = d
	}
	o := c.o
	o.root, o.dir, o.record, o.trouble = root, dir, record, os.Getenv("TROUBLE") != "0"
	e, err := newEnv(o)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer e.close()
	over := make(chan os.Signal, 1)
	signal.Notify(over, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-over:
		case <-time.After(117 * time.Second):
		}
		e.note("stopped")
		e.close()
		os.Exit(2)
	}()
	if err := c.run(e); err != nil {
		fmt.Println(err)
		e.note("error: %v", err)
		return 2
	}
	n := e.brokenRules()
	e.note("%d breaks of rules", n)
	if n > 0 {
		return 1
	}
	fmt.Println("held")
	return 0
}
