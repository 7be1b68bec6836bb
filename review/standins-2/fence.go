package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// runFence plays the daemons of a small deployment (eleven model servers, two models) with two trainers that name a version
// each four seconds, and kills daemons, which come back after a short delay.
func runFence(rec *record, dir string, trouble bool) {
	const count = 11
	st := newStore()
	n := newNetwork()
	serveOn(n.ip(250)+":8169", st)
	zones := []string{"pamplemousses", "grand-port", "riviere-rempart"}
	models := []string{"daka510000", "rada7437b5", "tavo218a91"}
	var engines []*engine
	var daemons []*process
	for i := range count {
		zone := zones[i%3]
		e := newEngine(fmt.Sprintf("i-%08x", rand.Uint32()), n.ip(1+i)+":8165", zone, st, rec, models...)
		serveOn(e.address, e)
		e.publish()
		engines = append(engines, e)
		name := fmt.Sprintf("side-%s-%d", zone, 1+i/3)
		daemons = append(daemons, newProcess(dir, name, filepath.Join(root(), "target/daemon"), settings(n, "side", name, zone, 1+i)))
	}
	for _, d := range daemons {
		d.start()
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			for _, e := range engines {
				e.publish()
			}
		}
	}()
	time.Sleep(3 * time.Second)
	seconds, _ := strconv.Atoi(os.Getenv("FENCE_S"))
	if seconds == 0 {
		seconds = 100
	}
	k, _ := strconv.Atoi(os.Getenv("FENCE_KILL"))
	if k == 0 {
		k = 3
	}
	version := []int{1, 2, 3}
	name := func(i int) {
		version[i]++
		rev := st.put("versions", models[i], map[string]any{"model": models[i], "version": version[i]})
		rec.line("trainer names version %d of %s at revision %d", version[i], models[i], rev)
	}
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
		began := time.Now()
		name(0)
		time.Sleep(200 * time.Millisecond)
		name(1)
		time.Sleep(100 * time.Millisecond)
		name(2)
		time.Sleep(300 * time.Millisecond)
		if trouble {
			for _, i := range rand.Perm(count)[:k] {
				rec.line("%s is killed", daemons[i].name)
				daemons[i].kill()
				time.AfterFunc(500*time.Millisecond, func() {
					daemons[i].start()
					rec.line("%s is started", daemons[i].name)
				})
			}
		}
		time.Sleep(time.Until(began.Add(4 * time.Second)))
	}
}
