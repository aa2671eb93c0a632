package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["quota-herd"] = quotaHerd }

const (
	quotaMachines = 12
	quotaRate     = 2.0
	quotaBurst    = 2.0
	quotaWindow   = 5 * time.Second
	// quotaBound is (rate x window + burst) x 1.1 + 20.
	quotaBound = (quotaRate*5+quotaBurst)*1.1 + 20
	// The tenant sends far more than its quota, spread over its clients.
	quotaClients = 28
	quotaPerS    = 24.0
)

// quotaConfig has one route to one service and one tenant with a quota.
func quotaConfig() map[string]any {
	return map[string]any{"version": 3,
		"routes": []map[string]any{{"name": "swap", "hostname": "leno12.example", "prefix": "/swap/", "route_type": "safe", "timeout_ms": 4000, "target_latency_ms": 500,
			"priority": 1, "service": "billing", "max_attempts": 2}},
		"services": []map[string]any{{"name": "billing", "max_connections": 420}},
		"limits":   limits,
		"tenants": []map[string]any{{"name": "t-small", "api_keys": []string{"key-small"}, "priority": 1, "rate_per_s": quotaRate, "burst": quotaBurst},
			{"name": "t-other", "api_keys": []string{"key-other"}, "priority": 1, "rate_per_s": 40, "burst": 40}},
	}
}

// quotaHerd lets a tenant send more than its quota, and kills all machines at the same moment a while after their start.
func quotaHerd(e *Env) error {
	if err := e.prepare(smallSite(), quotaMachines, quotaConfig()); err != nil {
		return err
	}
	for i := range 9 {
		l := &Leaf{ID: fmt.Sprintf("i-%02d", i), Service: "billing", Zone: smallSite().Zones[i%3][0], Work: 20 * time.Millisecond}
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
	time.Sleep(time.Until(began.Add(10 * time.Second))) // traffic starts 10 s after the machines do
	stop := make(chan struct{})
	var running sync.WaitGroup
	callers := &Callers{rec: e.rec, directories: e.directories(), host: "leno12.example"}
	for i := range quotaClients {
		c := callers.NewCaller("key-small", smallSite().Zones[i%3])
		running.Go(func() {
			perSecond := quotaPerS / quotaClients
			pause := time.Duration(float64(time.Second) / perSecond)
			time.Sleep(pause * time.Duration(i) / quotaClients)
			for {
				select {
				case <-stop:
					return
				default:
				}
				next := time.Now().Add(pause)
				c.Ask("/swap/2f", 4*time.Second)
				time.Sleep(time.Until(next))
			}
		})
	}
	time.Sleep(1800 * time.Millisecond)
	if e.trouble {
		if err := e.killAll(); err != nil {
			return err
		}
	}
	time.Sleep(6500*time.Millisecond - 1800*time.Millisecond)
	close(stop)
	running.Wait()
	return e.judgeQuota(callers.Attempts(), "t-small", quotaBound)
}

// killAll kills all machines' processes at the same moment. Each is started again a short time later.
func (e *Env) killAll() error {
	e.rec.Say("all %d processes are killed", len(e.nodes))
	for _, n := range e.nodes {
		n.Signal(syscall.SIGKILL)
	}
	errs := make(chan error, len(e.nodes))
	for _, n := range e.nodes {
		go func() { errs <- n.Restart() }()
	}
	for range e.nodes {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// judgeQuota counts the requests of a tenant that clients sent in a window and that arrived in it at leafs that ran them.
func (e *Env) judgeQuota(attempts []Attempt, tenant string, bound float64) error {
	arrived := map[string]time.Time{}
	for _, a := range e.fleet.Arrivals() {
		if at, ok := arrived[a.ID]; a.Tenant == tenant && a.Ran && (!ok || a.At.Before(at)) {
			arrived[a.ID] = a.At
		}
	}
	most, from := 0, time.Time{}
	for _, first := range attempts {
		n := 0
		for _, a := range attempts {
			at, ran := arrived[a.ID]
			if ran && !a.Sent.Before(first.Sent) && at.Sub(first.Sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, first.Sent
		}
	}
	e.rec.Say("tenant %s: %d requests sent, %d ran, most in 5 s: %d from %d ms on; allowed: %.1f", tenant, len(attempts), len(arrived), most, e.rec.At(from), bound)
	if float64(most) > bound {
		return fmt.Errorf("%w: %d requests of %s ran in 5 s, %.1f are allowed", errBroken, most, tenant, bound)
	}
	return nil
}
