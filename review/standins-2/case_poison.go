package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison-grey"] = poisonGrey }

const (
	poisonMachines = 3
	poisonLeafs    = 15
	poisonPrefix   = "/renueva/poison-"
	poisonRounds   = 5
	contact        = 4 * time.Second
	// The grey leafs are 2 of 15 (0.13; the pages name 0.14), fail 0.45 of their requests, and do so for 6.5 s.
	greyLeafs = 2
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
	// poisonPause is the time between two requests of the caller whose requests crash leafs.
	poisonPause = 250 * time.Millisecond
	poisonTime  = 9 * time.Second
	// greyLead is how long the leafs are grey before the request comes.
	greyLead = time.Second
	// calmTime is the pause between two rounds.
	calmTime = 7 * time.Second
	// phaseStep makes the rounds begin at different times between two reads of the store.
	phaseStep  = 300 * time.Millisecond
	crashDown  = 2800 * time.Millisecond
	maxRetries = 3
)

// poisonConfig has one route to one service.
func poisonConfig() map[string]any {
	return map[string]any{"version": 3,
		"routes": []map[string]any{{"name": "renueva-uno", "hostname": "leno12.example", "prefix": "/renueva/", "route_type": "safe", "timeout_ms": 5000, "target_latency_ms": 500,
			"priority": 1, "service": "renovacion", "max_attempts": 2}},
		"services": []map[string]any{{"name": "renovacion", "health_path": healthPath, "max_connections": 110}},
		"limits":   limits,
	}
}

// poisonGrey sends, in each round, one request again and again that crashes each leaf which begins to run it, while some leafs
// fail a part of their requests.
func poisonGrey(e *Env) error {
	if err := e.prepare(smallSite(), poisonMachines, poisonConfig()); err != nil {
		return err
	}
	var grey atomic.Bool
	for i := range poisonLeafs {
		l := &Leaf{ID: fmt.Sprintf("i-%02d", i), Service: "renovacion", Zone: smallSite().Zones[i%3][0], Work: 60 * time.Millisecond, Poison: poisonPrefix, CrashDown: crashDown}
		if i < greyLeafs {
			l.Fails = func() bool { return grey.Load() && rand.Float64() < greyShare }
		}
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
				c.Ask(fmt.Sprintf("/renueva/%d-%d", i, n), 5*time.Second)
			}
		})
	}
	time.Sleep(3 * time.Second)
	var broken error
	for round := range poisonRounds {
		if e.trouble {
			e.rec.Say("%d leafs fail %.2f of their requests from now on", greyLeafs, greyShare)
			grey.Store(true)
			time.AfterFunc(greyTime, func() { grey.Store(false); e.rec.Say("they are well again") })
		}
		time.Sleep(greyLead)
		path := fmt.Sprintf("%s%d", poisonPrefix, round)
		c := callers.NewCaller("", smallSite().Zones[0])
		for end := time.Now().Add(poisonTime); time.Now().Before(end); time.Sleep(poisonPause) {
			c.Send(http.MethodGet, path, 5*time.Second, true)
		}
		time.Sleep(calmTime + time.Duration(round)*phaseStep)
		if err := e.judgePoison(path); err != nil {
			broken = err
		}
	}
	close(stop)
	running.Wait()
	return broken
}

// judgePoison counts the attempts of the crashing request that reached leafs later than the contact time after the third crash.
func (e *Env) judgePoison(path string) error {
	crashed, third := 0, time.Time{}
	late := map[string]bool{}
	for _, a := range e.fleet.Arrivals() {
		if a.Path != path {
			continue
		}
		if a.Crashed {
			if crashed++; crashed == 3 {
				third = a.At
			}
		}
		if crashed >= 3 && a.At.Sub(third) > contact {
			late[a.ID] = true
		}
	}
	e.rec.Say("%s has crashed leafs %d times, the third time at %d ms; attempts that reached leafs later than %d ms after that: %d; allowed: %d",
		path, crashed, e.rec.At(third), contact.Milliseconds(), len(late), maxRetries)
	if len(late) > maxRetries {
		return fmt.Errorf("%w: %d attempts of %s reached leafs", errBroken, len(late), path)
	}
	return nil
}
