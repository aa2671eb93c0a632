package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval of a leaf's entry, as the sheets state it.
	heartbeat = 1200 * time.Millisecond
	// crashPath is the path of the requests that crash the leaves that run them.
	crashPath = "/crash/"
)

// Run is a request that a leaf has begun to work on.
type Run struct {
	At             time.Time
	ID, Path, Leaf string
}

// Leaf is a stand-in for one backend server.
type Leaf struct {
	Service, Zone, Address string
	Slots                  int
	// Work is the time that one request takes.
	Work time.Duration
	// Header is added to each answer to a request that ran.
	Header http.Header
	// Warmup is how long the leaf is cold after a restart.
	Warmup time.Duration
	// CrashFor is how long the leaf is away after a crash. It starts again with a new identifier unless KeepID is set.
	CrashFor time.Duration
	KeepID   bool

	store *Store
	rec   *Recorder

	mu      sync.Mutex
	id      string
	boots   int
	born    time.Time
	server  *http.Server
	slots   chan struct{}
	leaving bool
	runs    []Run
	starts  []time.Time
	running int
}

// NewLeaf starts a leaf on a free port and registers it.
func NewLeaf(store *Store, rec *Recorder, id, service, zone string, work time.Duration) (*Leaf, error) {
	l := &Leaf{Service: service, Zone: zone, Slots: 6, Work: work, CrashFor: 3 * time.Second, store: store, rec: rec, id: id, Header: http.Header{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.Address = listener.Addr().String()
	l.start(listener)
	l.Register("ready")
	return l, nil
}

func (l *Leaf) start(listener net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.boots++
	l.born, l.slots, l.leaving, l.running = time.Now(), make(chan struct{}, l.Slots), false, 0
	l.starts = append(l.starts, l.born)
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	go l.server.Serve(listener)
}

// ID returns the leaf's present identifier.
func (l *Leaf) ID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// Register writes the leaf's entry.
func (l *Leaf) Register(state string) {
	l.mu.Lock()
	id, warmup := l.id, l.warmupLeft()
	entry := map[string]any{"service": l.Service, "address": l.Address, "zone": l.Zone, "version": "v1", "slots": l.Slots,
		"state": state, "warmup_left_ms": warmup.Milliseconds(), "sequence": 1, "born": l.born.UnixMilli()}
	l.mu.Unlock()
	l.store.Put("servers/"+id, entry)
}

// warmupLeft returns how long the leaf stays cold. A leaf is warm at its first start, before the traffic.
func (l *Leaf) warmupLeft() time.Duration {
	if l.boots <= 1 {
		return 0
	}
	return max(0, l.Warmup-time.Since(l.born))
}

// Leave makes the leaf leave: its entry says so or is removed, and so do its answers. It goes on serving.
func (l *Leaf) Leave(abrupt bool) {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	if abrupt {
		l.store.Remove("servers/" + l.ID())
	} else {
		l.Register("draining")
	}
}

// Stop ends the leaf's process.
func (l *Leaf) Stop() {
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	server.Close()
}

// Crash ends the leaf's process and starts it again after CrashFor. Its entry is removed after three heartbeats, or as soon
// as the leaf is back under another identifier.
func (l *Leaf) Crash() {
	id := l.ID()
	l.Stop()
	l.rec.Printf("leaf %s of %s has crashed", id, l.Service)
	go func() {
		silent := time.After(3 * heartbeat)
		back := time.After(l.CrashFor)
		for silent != nil || back != nil {
			select {
			case <-silent:
				silent = nil
				if l.ID() != id || back != nil {
					l.store.Remove("servers/" + id)
				}
			case <-back:
				back = nil
				l.restart(id)
			}
		}
	}()
}

func (l *Leaf) restart(id string) {
	var listener net.Listener
	for {
		var err error
		if listener, err = net.Listen("tcp", l.Address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.mu.Lock()
	if !l.KeepID {
		l.id = fmt.Sprintf("%s+%d", strings.SplitN(id, "+", 2)[0], l.boots)
	}
	l.mu.Unlock()
	l.start(listener)
	l.Register("ready")
	l.rec.Printf("leaf %s of %s is back as %s, cold for %v", id, l.Service, l.ID(), l.Warmup)
}

// Runs returns what the leaf has run.
func (l *Leaf) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Starts returns when the leaf was started.
func (l *Leaf) Starts() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.starts...)
}

func (l *Leaf) serve(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	id, slots, boots := l.id, l.slots, l.boots
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", l.running, l.Slots))
	if l.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	l.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	requestID := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", requestID)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-slots }()
	l.mu.Lock()
	if l.boots != boots {
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	l.running++
	l.runs = append(l.runs, Run{time.Now(), requestID, r.URL.Path, id})
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.running--
	}()
	l.rec.Printf("leaf %s runs request %s %s", id, requestID, r.URL.Path)
	if strings.HasPrefix(r.URL.Path, crashPath) {
		l.Crash()
		panic(http.ErrAbortHandler)
	}
	if !sleep(r.Context(), l.Work) {
		return
	}
	for name, values := range l.Header {
		w.Header()[name] = values
	}
	w.Header().Set("X-Server-Stamp", id+"."+requestID)
	fmt.Fprintf(w, "answer of %s to %s\n", id, requestID)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
