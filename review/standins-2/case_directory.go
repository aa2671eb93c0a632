package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"
)

func init() { cases["directory-dead"] = directoryDead }

const (
	deadMachines = 5
	deadRounds   = 6
	// outageTime is how long the store is down; the pages name 4.5 s. A machine is killed deadAfter later.
	outageTime = 4500 * time.Millisecond
	deadAfter  = 200 * time.Millisecond
	// askTime is how long the directory is asked once all machines are in touch again, and deadGrace the time after which a
	// dead machine must not be named.
	askTime   = 1500 * time.Millisecond
	deadGrace = contact + 3*time.Second
	// maxNamed is the number of answers that may name a dead machine.
	maxNamed = 3
)

// directoryDead kills a machine for good while the store is down, and asks the directory once the store has been back for the
// contact time.
func directoryDead(e *Env) error {
	config := map[string]any{"version": 3,
		"routes": []map[string]any{{"name": "renueva-uno", "hostname": "leno12.example", "prefix": "/renueva/", "route_type": "safe", "timeout_ms": 5000, "target_latency_ms": 500,
			"priority": 1, "service": "renovacion", "max_attempts": 2}},
		"services": []map[string]any{{"name": "renovacion", "health_path": healthPath, "max_connections": 110}},
		"limits":   limits,
	}
	site := smallSite()
	site.Zones = site.Zones[:1]
	if err := e.prepare(site, deadMachines, config); err != nil {
		return err
	}
	began := time.Now()
	if err := e.startAll(); err != nil {
		return err
	}
	if err := e.awaitReady(8 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(10 * time.Second)))
	var broken error
	for round := range deadRounds {
		dead := e.nodes[deadMachines-1-round%(deadMachines-2)]
		if e.trouble {
			e.store.SetDown(true)
		}
		time.Sleep(deadAfter)
		killed := time.Now()
		if e.trouble {
			dead.Signal(syscall.SIGKILL)
		}
		time.Sleep(outageTime - deadAfter)
		e.store.SetDown(false)
		back := time.Now()
		time.Sleep(contact)
		if err := e.judgeDirectory(dead, killed, back); err != nil {
			broken = err
		}
		if e.trouble {
			if err := dead.Restart(); err != nil {
				return err
			}
		}
		time.Sleep(3*time.Second + rand.N(1500*time.Millisecond))
	}
	return broken
}

// judgeDirectory asks two running machines' directories, and counts the answers that name a machine which was killed too long ago.
func (e *Env) judgeDirectory(dead *Node, killed, back time.Time) error {
	named := 0
	var last time.Time
	client := &http.Client{Timeout: time.Second}
	for time.Since(back) < contact+askTime {
		for _, n := range e.nodes[:2] {
			response, err := client.Get("http://" + n.Dir + "/api/resolve?name=leno12.example&region=" + n.Region + "&zone=" + n.Zone)
			if err != nil {
				continue
			}
			var body struct {
				Addrs []string `json:"addrs"`
			}
			_ = json.NewDecoder(response.Body).Decode(&body)
			_ = response.Body.Close()
			e.rec.Printf("directory of %s: %v", n.Name, body.Addrs)
			if e.trouble && slices.Contains(body.Addrs, dead.Front) && time.Since(killed) > deadGrace {
				named++
				last = time.Now()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	e.rec.Say("%s, killed at %d ms: %d answers named it later than %d ms after that, with the store back for %d ms or more; allowed: %d",
		dead.Name, e.rec.At(killed), named, deadGrace.Milliseconds(), contact.Milliseconds(), maxNamed)
	if named > maxNamed {
		return fmt.Errorf("%w: %d answers named the dead machine %s, the last %d ms after the store was back", errBroken, named, dead.Name, last.Sub(back).Milliseconds())
	}
	return nil
}
