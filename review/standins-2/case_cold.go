package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

func init() { cases["cold-restart"] = coldRestart }

const (
	coldMachines = 3
	coldLeafs    = 3
	coldClients  = 30
	coldRounds   = 6
	// A cold leaf bears coldRate requests a second, for coldTime after its start.
	coldRate = 5.0
	coldTime = 5 * time.Second
	// coldBound is coldRate x warmup_overage (1.5) + warmup_slack (5).
	coldBound = coldRate*1.5 + 5
	// The leaf is silent for silentTime, silentStep longer in each round. The pages name 4.5 s.
	silentTime = 800 * time.Millisecond
	silentStep = 350 * time.Millisecond
)

// coldRestart silences one leaf after the other for a moment. Each is back, cold, under the id that it had.
func coldRestart(e *Env) error {
	config := map[string]any{"version": 3,
		"routes": []map[string]any{{"name": "renueva-uno", "hostname": "leno12.example", "prefix": "/renueva/", "route_type": "safe", "timeout_ms": 5000, "target_latency_ms": 500,
			"priority": 1, "service": "renovacion", "max_attempts": 2}},
		"services": []map[string]any{{"name": "renovacion", "health_path": healthPath, "max_connections": 110, "warmup_s": coldTime.Seconds(), "warmup_per_s": coldRate}},
		"limits":   limits,
	}
	if err := e.prepare(smallSite(), coldMachines, config); err != nil {
		return err
	}
	var leafs []*Leaf
	for i := range coldLeafs {
		l := &Leaf{ID: fmt.Sprintf("i-%02d", i), Service: "renovacion", Zone: smallSite().Zones[i%3][0], Work: 20 * time.Millisecond, Warmup: coldTime, Slots: 12}
		leafs = append(leafs, l)
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
	for i := range coldClients {
		c := callers.NewCaller("", smallSite().Zones[i%3])
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100*time.Millisecond + rand.N(100*time.Millisecond)):
				}
				c.Ask(fmt.Sprintf("/renueva/%d-%d", i, n), 5*time.Second)
			}
		})
	}
	time.Sleep(3 * time.Second)
	var broken error
	for round := range coldRounds {
		l := leafs[round%coldLeafs]
		start := time.Now()
		if e.trouble {
			silent := silentTime + time.Duration(round)*silentStep
			e.rec.Say("leaf %s is silent for %v and then back, cold", l.ID, silent)
			l.hung.Store(true)
			time.Sleep(silent)
			l.Crash()
			l.hung.Store(false)
			start = time.Now()
			if err := l.StartCold(); err != nil {
				return err
			}
		}
		time.Sleep(coldTime + time.Second)
		if err := e.judgeCold(l, start, e.trouble, callers.Attempts()); err != nil {
			broken = err
		}
	}
	close(stop)
	running.Wait()
	return broken
}

// judgeCold counts the requests that were sent and reached the leaf inside one second while it was cold.
func (e *Env) judgeCold(l *Leaf, start time.Time, cold bool, attempts []Attempt) error {
	sent := map[string]time.Time{}
	for _, a := range attempts {
		sent[a.ID] = a.Sent
	}
	var list []Arrival
	for _, a := range e.fleet.Arrivals() {
		if cold && a.Leaf == l.ID && a.At.After(start) && a.At.Sub(start) < coldTime {
			list = append(list, a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	most, from := 0, start
	for _, last := range list {
		n := 0
		for _, a := range list {
			begin := last.At.Add(-time.Second)
			if s, ok := sent[a.ID]; ok && !a.At.After(last.At) && !a.At.Before(begin) && !s.Before(begin) {
				n++
			}
		}
		if n > most {
			most, from = n, last.At.Add(-time.Second)
		}
	}
	e.rec.Say("leaf %s: %d requests in the %v after its cold start at %d ms, most in one second: %d, from %d ms on; allowed: %.1f", l.ID, len(list), coldTime, e.rec.At(start), most, e.rec.At(from), coldBound)
	if float64(most) > coldBound {
		return fmt.Errorf("%w: cold leaf %s got %d requests in a second, %.1f are allowed", errBroken, l.ID, most, coldBound)
	}
	return nil
}
