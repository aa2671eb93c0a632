package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["poison-silent"] = poisonSilent }

const (
	silentMachines = 3
	silentLeafs    = 9
	silentDeadline = 800 * time.Millisecond
	silentDown     = 3 * time.Second
	silentPause    = 1200 * time.Millisecond
	silentRun      = 30 * time.Second
)

// poisonSilent sends a request again and again that crashes each leaf which begins to run it. With the disruption, a crashed leaf
// is silent until it is back; without it, its connections are reset at once.
func poisonSilent(e *Env) error {
	config := map[string]any{"version": 3,
		"routes": []map[string]any{{"name": "chequeo-porton", "hostname": "leno12.example", "prefix": "/chequeo/", "route_type": "safe", "timeout_ms": silentDeadline.Milliseconds(),
			"target_latency_ms": 80, "priority": 0, "service": "renovacion", "max_attempts": 2}},
		"services": []map[string]any{{"name": "renovacion", "health_path": healthPath, "max_connections": 110}},
		"limits":   limits,
	}
	if err := e.prepare(smallSite(), silentMachines, config); err != nil {
		return err
	}
	path := "/chequeo/poison-1"
	for i := range silentLeafs {
		l := &Leaf{ID: fmt.Sprintf("i-%02d", i), Service: "renovacion", Zone: smallSite().Zones[i%3][0], Work: 10 * time.Millisecond, Poison: path, CrashDown: silentDown, SilentCrash: e.trouble}
		if err := e.fleet.Add(l, e.network+".2"); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := e.startAll(); err != nil {
		return err
	}
	if err := e.awaitReady(8 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(10 * time.Second)))
	stop := make(chan struct{})
	var running sync.WaitGroup
	callers := &Callers{rec: e.rec, directories: e.directories(), host: "leno12.example"}
	for i := range 12 {
		c := callers.NewCaller("", smallSite().Zones[i%3])
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(300*time.Millisecond + rand.N(400*time.Millisecond)):
				}
				c.Ask(fmt.Sprintf("/chequeo/%d-%d", i, n), silentDeadline)
			}
		})
	}
	time.Sleep(3 * time.Second)
	c := callers.NewCaller("", smallSite().Zones[0])
	for end := time.Now().Add(silentRun); time.Now().Before(end); time.Sleep(silentPause) {
		c.Send(http.MethodGet, path, silentDeadline, true)
	}
	close(stop)
	running.Wait()
	return e.judgePoison(path)
}
