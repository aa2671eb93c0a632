// Command standins runs the cases of the review: stand-ins of the platform's store, of leaves and of clients around real
// processes of the system.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// Env is what a case runs in.
type Env struct {
	*Recorder
	Trouble bool
	Dir     string
	Store   *Store
	Nodes   []*Node
	Leaves  []*Leaf
}

var cases = map[string]func(*Env) (int, error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD FOLDER")
		os.Exit(notRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	rec, err := NewRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	store, err := NewStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	e := &Env{Recorder: rec, Trouble: os.Getenv("TROUBLE") != "0", Dir: os.Args[3], Store: store}
	rec.Printf("disruption: %v", e.Trouble)
	go e.watch()
	code, err := run(e)
	e.killNodes()
	for _, l := range e.Leaves {
		l.Stop()
	}
	if err != nil {
		rec.Say("the case could not run: %v", err)
		code = notRun
	}
	rec.Say("exit code %d", code)
	os.Exit(code)
}

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

// watch ends the case, and the processes that it has started, on a signal or after maxTime.
func (e *Env) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		e.Say("ended by signal %v", s)
	case <-time.After(maxTime):
		e.Say("not finished after %v", maxTime)
	}
	e.killNodes()
	os.Exit(notRun)
}

func (e *Env) killNodes() {
	for _, n := range e.Nodes {
		n.Kill()
	}
}

// AddLeaves starts count leaves of a service, one in each zone in turn.
func (e *Env) AddLeaves(service string, count int, work time.Duration) ([]*Leaf, error) {
	var list []*Leaf
	for i := range count {
		l, err := NewLeaf(e.Store, e.Recorder, fmt.Sprintf("%s-%d", service, i), service, fmt.Sprintf("z%d", 1+i%3), work)
		if err != nil {
			return nil, err
		}
		list = append(list, l)
	}
	e.Leaves = append(e.Leaves, list...)
	return list, nil
}

// AddNodes starts nodes, one in each zone in turn, and waits until all are ready.
func (e *Env) AddNodes(count int) error {
	for i := range count {
		n, err := NewNode(e.Recorder, e.Dir, fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", 1+i%3), e.Store.Address(), 0.4)
		if err != nil {
			return err
		}
		e.Nodes = append(e.Nodes, n)
	}
	for _, n := range e.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return e.AwaitReady()
}

var errNotReady = errors.New("the nodes are not ready")

// AwaitReady waits until all nodes are ready.
func (e *Env) AwaitReady() error {
	return await(20*time.Second, errNotReady, func() bool {
		for _, n := range e.Nodes {
			if !n.IsReady() {
				return false
			}
		}
		return true
	})
}

func await(limit time.Duration, failure error, check func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if check() {
			return nil
		}
	}
	return failure
}

// Route is a route to one service.
type Route struct {
	Prefix, Kind, Service string
	TimeoutMS, TargetMS   int
	MaxAttempts           int
}

// Configure writes a configuration. warmupRate is the rate that each cold leaf tolerates.
func (e *Env) Configure(version int, warmupRate float64, list ...Route) {
	var routes, services []map[string]any
	seen := map[string]bool{}
	for i, r := range list {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r%d", i), "hostname": host, "prefix": r.Prefix, "route_type": r.Kind,
			"timeout_ms": r.TimeoutMS, "target_latency_ms": r.TargetMS, "priority": 1, "service": r.Service, "max_attempts": r.MaxAttempts, "allowed_regions": []string{}})
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false,
				"warmup_s": 3.0, "warmup_per_s": warmupRate})
		}
	}
	e.Store.Put("op/config", map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}
