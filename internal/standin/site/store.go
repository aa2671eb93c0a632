// Package site is a small stand-in of the users' platform over HTTP, for tests: its store, and leaves that register in
// it. Faults are injected through its methods.
package site

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is one key of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease"`
}

// Store is the stand-in's store. It is safe for concurrent use.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	items    map[string]Item
	leases   map[uint64]time.Time // expiry
	ttls     map[uint64]time.Duration
	revision uint64
	calls    map[string]int
	down     bool
	// pageItems is the largest number of items in one answer.
	pageItems int
}

// NewStore starts a store.
func NewStore() *Store {
	s := &Store{items: map[string]Item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{},
		calls: map[string]int{}, revision: 1, pageItems: 500}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("POST /api/kv-txn", s.write)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	s.server = httptest.NewServer(s.guard(mux))
	return s
}

// Address returns host:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store.
func (s *Store) Close() { s.server.Close() }

// Put writes a key as the operator or a leaf does.
func (s *Store) Put(key string, value any) {
	text, ok := value.([]byte)
	if !ok {
		var err error
		if text, err = json.Marshal(value); err != nil {
			panic(err) // the values are written by tests
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, text, 0)
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
}

// SetDown makes every call fail with 503 without an effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetPageSize bounds the items of one answer.
func (s *Store) SetPageSize(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageItems = items
}

// EndLeases ends all leases without a word to their holders.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.dropLease(id)
	}
}

// Calls returns the number of calls by path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		s.expire()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	s.items[key] = Item{Key: key, Value: value, Revision: s.revision, Lease: lease}
}

func (s *Store) expire() {
	for id, at := range s.leases {
		if time.Now().After(at) {
			s.dropLease(id)
		}
	}
}

func (s *Store) dropLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.revision++
			delete(s.items, k)
		}
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	keys := s.Keys(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Item{}
	more := false
	for _, k := range keys {
		if k <= after {
			continue
		}
		if len(items) == s.pageItems {
			more = true
			break
		}
		items = append(items, s.items[k])
	}
	reply(w, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Puts []Item `json:"puts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range body.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	reply(w, map[string]any{"revision": s.revision})
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
	s.leases[s.revision], s.ttls[s.revision] = time.Now().Add(ttl), ttl
	reply(w, map[string]any{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, known := s.lease(r)
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	reply(w, map[string]any{"ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, known := s.lease(r)
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	reply(w, map[string]any{})
}

func (s *Store) lease(r *http.Request) (uint64, bool) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	_, known := s.leases[id]
	return id, err == nil && known
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller of a test store that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
