// Command standins runs one case of the review: it starts the programs of the project with the commands of the deploy file,
// and the platform, servers and clients as stand-ins on loopback addresses.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxTime bounds a run, which may take 120 s. One that takes longer could not run.
const maxTime = 112 * time.Second

var cases = map[string]func(l *lab) error{
	"failures": failures,
	"sweep":    sweep,
	"records":  records,
	"poison":   poison,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE RECORD")
		os.Exit(2)
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	l.note("case %s, trouble %t", os.Args[1], l.trouble)
	ended := make(chan error, 1)
	go func() { ended <- cases[os.Args[1]](l) }()
	select {
	case err = <-ended:
	case <-time.After(maxTime):
		err = fmt.Errorf("not ended after %s", maxTime)
	}
	os.Exit(l.end(err))
}
