// Command standins2 runs the cases of the second review. Each starts the project's own processes on loopback addresses with
// stand-ins of the store, the leafs and the clients, and checks one rule from what these have seen.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds the run of a case.
const maxRun = 115 * time.Second

var errBroken = errors.New("the rule is broken")

// Env is the deployment of one case.
type Env struct {
	rec     *Record
	root    string
	folder  string
	network string
	trouble bool
	store   *Store
	fleet   *Fleet
	nodes   []*Node
	once    sync.Once
}

var cases = map[string]func(*Env) error{}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]]))
}

func runCase(run func(*Env) error) int {
	rec, err := NewRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.Close()
	env := &Env{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	if env.root, err = filepath.Abs(filepath.Join("..", "..")); err == nil {
		env.folder, err = os.MkdirTemp("", "case")
	}
	if err != nil {
		rec.Say("cannot run: %v", err)
		return exitNotRun
	}
	defer env.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- run(env) }()
	select {
	case err = <-result:
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(maxRun):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		rec.Say("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.Say("result: %v", err)
		return exitBroken
	}
	rec.Say("result: cannot run: %v", err)
	return exitNotRun
}

// end ends all processes of the case.
func (e *Env) end() {
	e.once.Do(func() {
		for _, n := range e.nodes {
			n.Stop()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(e.folder)
		} else {
			fmt.Println("kept:", e.folder)
		}
	})
}

// prepare starts the store, and writes the configuration and the settings of the machines.
func (e *Env) prepare(site Site, machines int, config any) error {
	network, err := freeNetwork(machines)
	if err != nil {
		return err
	}
	e.network, site.Network = network, network
	if e.store, err = NewStore(network+".1", e.rec); err != nil {
		return err
	}
	e.fleet = &Fleet{store: e.store, rec: e.rec}
	e.store.Put("op/config", config)
	for i := range machines {
		n, err := NewNode(e.root, e.folder, site, i, e.store.Address(), e.rec)
		if err != nil {
			return err
		}
		e.nodes = append(e.nodes, n)
	}
	return nil
}

// startAll starts all machines at the same time.
func (e *Env) startAll() error {
	for _, n := range e.nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all machines are ready.
func (e *Env) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for _, n := range e.nodes {
		for {
			response, err := client.Get("http://" + n.Ready + "/api/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("machine %s is not ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (e *Env) directories() []string {
	var list []string
	for _, n := range e.nodes {
		list = append(list, n.Dir)
	}
	return list
}

// smallSite has the bounds of the pages' first deployment, and the quota bounds of that with tenants.
func smallSite() Site {
	return Site{
		Bounds: map[string]string{"grace_s": "6", "ttl_max_s": "5", "config_apply_ms": "3000", "drain_ms": "3000", "retry_budget_ratio": "0.2",
			"budget_slack": "56", "warmup_overage": "1.5", "warmup_slack": "5", "quota_window_s": "5", "quota_overage": "0.1", "quota_slack": "20", "revoke_ms": "5000"},
		Zones:  [][2]string{{"zona-rivera", "reg-norte"}, {"zona-paysandu", "reg-litoral"}, {"zona-rocha", "reg-este"}},
		Limits: map[string]string{"cpu_share": "0.4", "cores": "1", "memory_mb": "284", "max_fds": "4100"},
	}
}

var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 5000, "idle_timeout_ms": 30000}
