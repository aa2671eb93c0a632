package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer, as the sheets state it.
const storeLatency = 4 * time.Millisecond

// maxPageBytes bounds the values in one page of a range read.
const maxPageBytes = 1 << 20

// Item is a key of the store with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// change is a write or a removal of a key. Item.Value is nil for a removal.
type change struct {
	at time.Time
	Item
	removed bool
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// Store is a stand-in for the platform's store.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	changes  []change
	current  map[string]Item
	revision uint64
	leases   map[uint64]*lease
	// downSince is when the store went down, or zero. It answers no call then, and leases pause.
	downSince time.Time
	// PageItems is the largest number of items in a page of a range read.
	PageItems int
	// Lag returns how old the answer of a serializable read of the page after the given key is.
	Lag func(after string) time.Duration
}

// NewStore starts an empty store on a free port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, current: map[string]Item{}, revision: 100, leases: map[uint64]*lease{}, PageItems: 500,
		Lag: func(string) time.Duration { return 0 }}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("POST /api/kv-txn", s.commit)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		if s.isDown() { // no answer
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})}
	go s.server.Serve(listener)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// Address returns the store's address.
func (s *Store) Address() string { return s.listener.Addr().String() }

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.downSince.IsZero()
}

// SetDown makes the store answer no call, or ends that. Leases pause meanwhile.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.expire()
		s.downSince = time.Now()
		return
	}
	for _, l := range s.leases {
		l.expiry = l.expiry.Add(time.Since(s.downSince))
	}
	s.downSince = time.Time{}
}

// Put writes a key without a lease, as operators and leaves do. The write is confirmed when Put returns.
func (s *Store) Put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, encoded, 0)
}

// Remove removes a key. The removal is confirmed when Remove returns.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.current[key]
	return ok
}

func (s *Store) put(key string, value []byte, leaseID uint64) {
	item := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if known, ok := s.current[key]; ok {
		item.Created = known.Created
	}
	s.current[key] = item
	s.changes = append(s.changes, change{at: time.Now(), Item: item})
}

func (s *Store) remove(key string) {
	if _, ok := s.current[key]; !ok {
		return
	}
	s.revision++
	delete(s.current, key)
	s.changes = append(s.changes, change{at: time.Now(), Item: Item{Key: key, Revision: s.revision}, removed: true})
}

// expire ends the leases whose time is over, unless the store is down.
func (s *Store) expire() {
	if !s.downSince.IsZero() {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.current {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// at returns the content and the revision that the store had a while ago.
func (s *Store) at(lag time.Duration) (map[string]Item, uint64) {
	if lag <= 0 {
		return s.current, s.revision
	}
	content, revision := map[string]Item{}, uint64(100)
	until := time.Now().Add(-lag)
	for _, c := range s.changes {
		if c.at.After(until) {
			break
		}
		revision = c.Revision
		if c.removed {
			delete(content, c.Key)
		} else {
			content[c.Key] = c.Item
		}
	}
	return content, revision
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.current[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		Item
		StoreRevision uint64 `json:"store_revision"`
	}{item, s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := time.Duration(0)
	if r.URL.Query().Get("serializable") == "1" {
		lag = s.Lag(after)
	}
	content, revision := s.at(lag)
	var keys []string
	for key := range content {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []Item{}, 0
	for _, key := range keys[:min(len(keys), s.PageItems)] {
		if size += len(content[key].Value); size > maxPageBytes && len(items) > 0 {
			break
		}
		items = append(items, content[key])
	}
	writeJSON(w, map[string]any{"items": items, "has_more": len(items) < len(keys), "store_revision": revision})
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range body.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, e := range body.Expect {
		if s.current[e.Key].Revision != e.Revision {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusPreconditionFailed)
			w.Write([]byte(`{"items":[]}`))
			return
		}
	}
	s.revision++
	for _, put := range body.Puts {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[leaseID(r)]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	writeJSON(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[leaseID(r)] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(leaseID(r))
	writeJSON(w, map[string]any{})
}

func leaseID(r *http.Request) uint64 {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return id
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}
