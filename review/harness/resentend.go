package main

import (
	"fmt"
	"time"
)

// resentEnd plays the first steps of two trainers, one after the other. Front A runs the jobs. In each step another client
// sends the end request once more, at front D, after the trainer's has been acknowledged by front B. With trouble, front D is
// restarted in each step.
func resentEnd(e *env) error {
	if err := e.start(11); err != nil {
		return err
	}
	for i, model := range models {
		if i > 0 && (e.brokenRules() > 0 || time.Since(e.began) > 75*time.Second) {
			break
		}
		if err := e.train(model); err != nil {
			return err
		}
	}
	return nil
}

// train plays steps of the trainer of a model until a rule is broken.
func (e *env) train(model string) error {
	const groups, size, want = 30, 4, 10
	known := map[string]item{}
	var carried []item
	for step := 0; step < 6 && time.Since(e.began) < 92*time.Second && e.brokenRules() == 0; step++ {
		items := append([]item{}, carried...)
		fresh := groups - len(carried)/size
		items = append(items, e.newGroups(want, size, func() int { return 1300 + e.random.IntN(300) })...)
		items = append(items, e.newGroups(fresh-want, size, func() int { return 2700 + e.random.IntN(900) })...)
		for _, it := range items {
			known[it.id] = it
		}
		id := e.newID()
		if s := e.submit(frontA, id, model, step, max(1, step-1), want, items); s != 202 {
			return fmt.Errorf("%w: submit answered %d", errSetup, s)
		}
		back := make(chan error, 1)
		if e.trouble {
			go func() { back <- e.restart(frontD) }()
		} else {
			back <- nil
		}
		listed := map[string]bool{}
		limit := time.Now().Add(12 * time.Second)
		for after := 0; !enough(items, carried, listed, want) && time.Now().Before(limit); {
			_, results := e.readPage(frontA, id, after)
			for _, r := range results {
				after++
				listed[r.ID] = true
				e.checkResult(id, step, known, r)
			}
			time.Sleep(200 * time.Millisecond)
		}
		if err := <-back; err != nil {
			return err
		}
		for !e.ready(frontD) {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		if s := e.end(frontB, id, "the trainer"); s != 200 {
			return fmt.Errorf("%w: the end was answered %d", errSetup, s)
		}
		time.Sleep(100 * time.Millisecond)
		if s := e.end(frontD, id, "another client"); s != 200 {
			return fmt.Errorf("%w: the end was answered %d", errSetup, s)
		}
		time.Sleep(500 * time.Millisecond) // training
		if step > 0 {
			e.store.put("versions", model, map[string]any{"model": model, "version": step + 1})
		}
		time.Sleep(2500 * time.Millisecond) // until the time at which the next step is planned
		// Groups that were not complete come again; they make up at most half of group_count.
		done := completeGroups(items, listed)
		carried = nil
		taken := map[string]bool{}
		for _, it := range items {
			if done[it.group] || !taken[it.group] && len(taken) == want/2 {
				continue
			}
			taken[it.group] = true
			carried = append(carried, it)
		}
	}
	return nil
}

// enough reports whether the trainer has what it waits for: so many complete groups, and all that came again.
func enough(items, carried []item, listed map[string]bool, want int) bool {
	done := completeGroups(items, listed)
	for _, it := range carried {
		if !done[it.group] {
			return false
		}
	}
	return len(done) >= want
}

// checkResult checks a result of a job against MIXED and ORDER.
func (e *env) checkResult(id string, step int, known map[string]item, r result) {
	it, ok := known[r.ID]
	if !ok {
		e.breaks("MIXED: job %s lists item %s, which it doesn't have", id, r.ID)
		return
	}
	if r.State != "completed" {
		return
	}
	if wrong := checkText(it, r); wrong != "" {
		e.breaks("MIXED, ORDER: step %d, job %s, item %s is completed: %s", step, id, r.ID, wrong)
	}
}
