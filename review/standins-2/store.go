package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay     = 4 * time.Millisecond
	storePageItems = 500
)

// Item is a key of the store with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	rec      *Record
	listener net.Listener

	mu       sync.Mutex
	items    map[string]Item
	leases   map[uint64]lease
	revision uint64
	// downSince is when the store went down, or zero. Leases pause while it is down.
	downSince time.Time
}

// NewStore starts an empty store on a free port of the address.
func NewStore(ip string, rec *Record) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{rec: rec, listener: l, items: map[string]Item{}, leases: map[uint64]lease{}, revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(l, s.front(mux)) }()
	return s, nil
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// front delays each call, ends leases, and turns calls away while the store is down.
func (s *Store) front(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		s.mu.Lock()
		down := !s.downSince.IsZero()
		if !down {
			s.expire(time.Now())
		}
		s.mu.Unlock()
		w.Header().Set("Store-Era", "1")
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// SetDown makes the store turn every call away with 503, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if down == !s.downSince.IsZero() {
		return
	}
	s.rec.Say("store down: %v", down)
	if down {
		s.expire(now)
		s.downSince = now
		return
	}
	pause := now.Sub(s.downSince)
	for id, l := range s.leases {
		l.end = l.end.Add(pause)
		s.leases[id] = l
	}
	s.downSince = time.Time{}
}

// Down reports whether the store is down.
func (s *Store) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.downSince.IsZero()
}

// Put writes a key for the operator or a leaf. It reports false while the store is down.
func (s *Store) Put(key string, value any) bool {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.downSince.IsZero() {
		return false
	}
	s.put(key, text, 0)
	return true
}

// Has reports whether a key is present, and whether the store could be asked.
func (s *Store) Has(key string) (present, readable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, present = s.items[key]
	return present, s.downSince.IsZero()
}

// Remove deletes a key for the operator or a leaf.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
	}
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = Item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
}

func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.end) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			delete(s.items, key)
			s.rec.Printf("store: lease of %s has ended", key)
		}
	}
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, item)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []Item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == storePageItems {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	answer(w, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []Item   `json:"expect"`
		Puts   []Item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Puts)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusPreconditionFailed)
			items := []Item{}
			for _, e := range t.Expect {
				if i, ok := s.items[e.Key]; ok {
					items = append(items, i)
				}
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		created := s.revision
		if old, ok := s.items[p.Key]; ok {
			created = old.Created
		}
		s.items[p.Key] = Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: created, Lease: p.Lease}
		s.rec.Printf("store: put %s %s", p.Key, p.Value)
	}
	for _, key := range t.Remove {
		delete(s.items, key)
		s.rec.Printf("store: removed %s", key)
	}
	answer(w, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(1000, body.TTL)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
	answer(w, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	answer(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.drop(id)
	answer(w, map[string]any{})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
