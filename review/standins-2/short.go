package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// runShort plays two trainers whose incomplete groups come again in their next step. The model servers answer without a length;
// in the trouble two of twelve crash 0.15 s after a step was handed in.
func runShort(rec *record, dir string, trouble bool) {
	w := &world{rec: rec, st: newStore(), n: newNetwork(), models: []string{"daka510000", "rada7437b5"}, version: 1}
	serveOn(w.n.ip(250)+":8169", w.st)
	var servers []*closer
	for i := range 12 {
		c := &closer{w: w, address: w.n.ip(101+i) + ":8165", zone: zones[i%3]}
		c.start()
		servers = append(servers, c)
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			for _, c := range servers {
				c.publish()
			}
		}
	}()
	w.configure(route("r-drafts", "/pufi791/", "rollout", "plan-models"))
	for i, f := range frontNames {
		p := newProcess(dir, f.name, filepath.Join(root(), "target/entry"), settings(w.n, "front", f.name, f.zone, 1+i))
		w.fronts = append(w.fronts, p)
		p.start()
	}
	for i := range w.fronts {
		awaitReady(w.n, 1+i)
	}
	time.Sleep(4 * time.Second)
	stop := time.Now().Add(82 * time.Second)
	var mu sync.Mutex
	crashed := time.Time{}
	next := 0
	onSubmit := func() {
		mu.Lock()
		defer mu.Unlock()
		if !trouble || time.Since(crashed) < 3700*time.Millisecond {
			return // not before the others are back
		}
		crashed = time.Now()
		for range 2 {
			c := servers[(next*5)%len(servers)]
			next++
			time.AfterFunc(150*time.Millisecond, c.crash)
		}
	}
	var trainers sync.WaitGroup
	for i, m := range w.models {
		trainers.Go(func() { w.train(rec, m, i+1, stop, onSubmit) })
	}
	trainers.Wait()
}

// train plays a trainer: steps of 24 groups of four items, of which it waits for nine tenths; the others come again.
func (w *world) train(rec *record, model string, front int, stop time.Time, onSubmit func()) {
	const groups, size, prefix = 24, 4, "/pufi791/"
	var carried []map[string]any
	lengths := map[string]int{}
	for n := 0; time.Now().Before(stop); n++ {
		j := &job{id: newID(), model: model, length: map[string]int{}}
		j.items = slices.Clone(carried)
		for len(j.items) < groups*size {
			events := 8 + rand.IntN(30)
			if k := len(j.items); k == 70 || k == 90 {
				events = 170 + rand.IntN(10) // the tail of the lengths, in two groups
			}
			g := newJob(model, prefix, n, 1, 1, events)
			g.items[0]["group"] = fmt.Sprintf("g%d-%s", len(j.items)/size, j.id)
			j.items = append(j.items, g.items[0])
			lengths[g.items[0]["id"].(string)] = events
		}
		handedIn := time.Now()
		if !w.submit(j, n, 1, groups, prefix, front) {
			continue
		}
		onSubmit()
		listed, open := map[string]bool{}, map[string]bool{}
		for read := 0; time.Since(handedIn) < 12*time.Second; {
			status, p, _ := w.read(j, read, front)
			if status == http.StatusOK {
				read = p.Next
			}
			for _, r := range p.Results {
				listed[r.ID] = true
				w.judge(rec, j.id, r, lengths[r.ID])
			}
			clear(open)
			for _, it := range j.items {
				if !listed[it["id"].(string)] {
					open[it["group"].(string)] = true
				}
			}
			if len(open) <= groups/10 {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		w.end(j, front)
		carried = nil
		for _, it := range j.items {
			if open[it["group"].(string)] && len(open) <= groups/2 {
				carried = append(carried, it)
			}
		}
		rec.line("step %d of %s ends with %d groups open", n, model, len(open))
		time.Sleep(500 * time.Millisecond)
	}
}

// judge checks the text of a completed result.
func (w *world) judge(rec *record, job string, r result, length int) {
	if r.State != "completed" {
		return
	}
	var want []string
	for n := 1; n <= length; n++ {
		want = append(want, fmt.Sprintf("%s.%d", r.ID, n))
	}
	if r.Text != strings.Join(want, "\n") {
		rec.broken("MIXED: item %s of job %s is completed with %d of its %d events", r.ID, job, strings.Count(r.Text, "\n")+1, length)
	}
}
