package main

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// silentBeats is the number of heartbeats after which the entry of a silent leaf is removed.
	silentBeats = 3
	leafQueue   = 24
	healthPath  = "/health"
)

// Arrival is a request that has reached a leaf and was not answered with 421.
type Arrival struct {
	At     time.Time
	ID     string
	Path   string
	Tenant string
	Leaf   string
	// From is the machine that sent it, by its address.
	From string
	// Ran is set if the leaf has begun to work on it. Crashed is set if that ended the leaf.
	Ran, Crashed bool
	Status       int
}

// Fleet holds all leaves and what has reached them.
type Fleet struct {
	store *Store
	rec   *Record

	mu       sync.Mutex
	arrivals []*Arrival
	leaves   []*Leaf
}

// Leaf is a stand-in for one leaf. Each start listens at the same address.
type Leaf struct {
	fleet   *Fleet
	ID      string
	Service string
	Zone    string
	Slots   int
	Work    time.Duration
	// Poison is the prefix of the paths of requests that crash the leaf. It is back after CrashDown.
	Poison    string
	CrashDown time.Duration
	// SilentCrash is set if a crash takes the leaf's machine with it: its connections stay silent until it is back.
	SilentCrash bool
	// Warmup is how long a boot that starts during traffic is cold.
	Warmup time.Duration
	// Fails returns whether the leaf fails a request with 500 although its health is good. It may be nil.
	Fails func() bool

	// hung is set while the leaf answers nothing.
	hung atomic.Bool

	mu        sync.Mutex
	ip        string
	address   string
	listener  net.Listener
	server    *http.Server
	boot      time.Time
	up        bool
	lastSeen  time.Time
	sequence  int
	coldUntil time.Time
	slots     chan struct{}
	waiting   int
	conns     map[net.Conn]bool
}

// Add starts a leaf and its heartbeats.
func (f *Fleet) Add(l *Leaf, ip string) error {
	l.fleet, l.ip = f, ip
	if l.Slots == 0 {
		l.Slots = 6
	}
	if err := l.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.leaves = append(f.leaves, l)
	f.mu.Unlock()
	go l.beat()
	return nil
}

// Start starts a boot of the leaf.
func (l *Leaf) Start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	address := l.address
	if address == "" {
		address = l.ip + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.listener, l.address = listener, listener.Addr().String()
	l.boot, l.up, l.slots, l.waiting, l.sequence = time.Now(), true, make(chan struct{}, l.Slots), 0, 0
	l.conns = map[net.Conn]bool{}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve), IdleTimeout: 20 * time.Second, ConnState: l.track}
	go func(s *http.Server) { _ = s.Serve(listener) }(l.server)
	l.register()
	l.fleet.rec.Printf("leaf %s starts", l.ID)
	return nil
}

// StartCold starts a boot that is cold for Warmup.
func (l *Leaf) StartCold() error {
	l.mu.Lock()
	l.coldUntil = time.Now().Add(l.Warmup)
	l.mu.Unlock()
	return l.Start()
}

func (l *Leaf) track(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		l.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// Crash ends the boot: its connections are reset, and its port refuses new ones.
func (l *Leaf) Crash() {
	l.mu.Lock()
	if !l.up {
		l.mu.Unlock()
		return
	}
	l.up = false
	server := l.server
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	l.mu.Unlock()
	l.fleet.rec.Printf("leaf %s is down", l.ID)
	_ = server.Close()
}

// register writes the entry; l.mu must be held.
func (l *Leaf) register() {
	if l.fleet.store.Put("servers/"+l.ID, map[string]any{"service": l.Service, "address": l.address, "zone": l.Zone, "version": "v1", "slots": l.Slots,
		"state": "ready", "warmup_left_ms": max(0, time.Until(l.coldUntil).Milliseconds()), "sequence": l.sequence, "born": l.boot.UnixMilli()}) {
		l.lastSeen = time.Now()
	}
}

// beat tells the store every heartbeat that the leaf lives. An entry changes only if more than its sequence does, so it is
// written only while the store lacks it. That of a silent leaf is removed, as the platform does.
func (l *Leaf) beat() {
	for {
		time.Sleep(heartbeat)
		l.mu.Lock()
		l.sequence++
		switch present, readable := l.fleet.store.Has("servers/" + l.ID); {
		case l.hung.Load():
		case l.up && readable && present:
			l.lastSeen = time.Now()
		case l.up && readable:
			l.register()
		case !l.up && time.Since(l.lastSeen) > silentBeats*heartbeat:
			l.fleet.store.Remove("servers/" + l.ID)
		}
		l.mu.Unlock()
	}
}

// serve answers one request.
func (l *Leaf) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("Keep-Alive", "timeout=20")
	h["Date"] = nil
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		l.health(w)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != l.ID {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if l.hung.Load() {
		<-r.Context().Done()
		return
	}
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	a := &Arrival{At: time.Now(), ID: id, Path: r.URL.Path, Tenant: r.Header.Get("X-Tenant"), Leaf: l.ID, From: from}
	f := l.fleet
	f.mu.Lock()
	f.arrivals = append(f.arrivals, a)
	f.mu.Unlock()
	status, crash := l.run(w, r, a)
	f.mu.Lock()
	a.Status = status
	f.mu.Unlock()
	f.rec.Printf("leaf %s got %s %s tenant=%q ran=%v status=%d crashed=%v", l.ID, id, r.URL.Path, a.Tenant, a.Ran, status, crash)
	if !crash {
		return
	}
	if l.SilentCrash {
		l.silentCrash()
		<-r.Context().Done()
	} else {
		go l.crashAndReturn()
	}
	panic(http.ErrAbortHandler)
}

// health answers whether the leaf is well, and how long it stays cold.
func (l *Leaf) health(w http.ResponseWriter) {
	l.mu.Lock()
	left := max(0, time.Until(l.coldUntil).Milliseconds())
	l.mu.Unlock()
	w.Header().Set("X-Instance-Id", l.ID)
	w.Header().Set("X-Warmup-Ms", strconv.FormatInt(left, 10))
	w.WriteHeader(http.StatusOK)
}

// run works on a request in a slot, or turns it away.
func (l *Leaf) run(w http.ResponseWriter, r *http.Request, a *Arrival) (status int, crash bool) {
	h := w.Header()
	l.mu.Lock()
	slots := l.slots
	if l.waiting >= leafQueue {
		l.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return http.StatusServiceUnavailable, false
	}
	l.waiting++
	l.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		l.mu.Lock()
		l.waiting--
		l.mu.Unlock()
		return 0, false
	}
	defer func() { <-slots }()
	l.mu.Lock()
	l.waiting--
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(slots), l.waiting, l.Slots))
	l.mu.Unlock()
	l.fleet.mu.Lock()
	a.Ran = true
	l.fleet.mu.Unlock()
	if l.Fails != nil && l.Fails() {
		h.Set("X-Server-Stamp", stamp(l.ID, a.ID))
		w.WriteHeader(http.StatusInternalServerError)
		return http.StatusInternalServerError, false
	}
	if l.hung.Load() {
		<-r.Context().Done()
		return 0, false
	}
	if l.Poison != "" && strings.HasPrefix(r.URL.Path, l.Poison) {
		l.fleet.mu.Lock()
		a.Crashed = true
		l.fleet.mu.Unlock()
		return 0, true
	}
	select {
	case <-time.After(l.Work/2 + rand.N(l.Work+1)):
	case <-r.Context().Done():
		return 0, false
	}
	h.Set("X-Server-Stamp", stamp(l.ID, a.ID))
	_, _ = io.WriteString(w, strings.Repeat("0123456789abcdef", 4))
	return http.StatusOK, false
}

func (l *Leaf) crashAndReturn() {
	l.Crash()
	time.Sleep(l.CrashDown)
	for l.Start() != nil {
		time.Sleep(50 * time.Millisecond)
	}
}

// silentCrash makes the leaf answer nothing, and ends its connections once it is back.
func (l *Leaf) silentCrash() {
	if l.hung.Swap(true) {
		return
	}
	l.fleet.rec.Printf("leaf %s is silent", l.ID)
	time.AfterFunc(l.CrashDown, func() {
		l.Crash()
		l.hung.Store(false)
		for l.Start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	})
}

func stamp(leaf, id string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, leaf+" "+id)
	return hex.EncodeToString(h.Sum(nil))
}

// Arrivals returns copies of all arrivals so far.
func (f *Fleet) Arrivals() []Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Arrival, len(f.arrivals))
	for i, a := range f.arrivals {
		list[i] = *a
	}
	return list
}
