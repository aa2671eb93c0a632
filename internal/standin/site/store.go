// Package site implements a small stand-in for the platform's HTTP interfaces: its store, and leaves that register in
// the store. Its methods inject faults. It is used by tests only.
package site

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease"`
}

// Store is a stand-in for the platform's store. It is safe for concurrent use.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	items    map[string]Item
	leases   map[uint64]time.Time // expiry by lease identifier
	ttls     map[uint64]time.Duration
	revision uint64
	epoch    uint64 // grows with each restore
	calls    map[string]int
	down     bool
	// pageItems is the largest number of items in one page of a list.
	pageItems int
}

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{items: map[string]Item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{},
		calls: map[string]int{}, revision: 1, epoch: 1, pageItems: 500}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.listItems)
	mux.HandleFunc("POST /api/kv-txn", s.writeItems)
	mux.HandleFunc("POST /api/kv-lease", s.grantLease)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.renewLease)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	s.server = httptest.NewServer(s.middleware(mux))
	return s
}

// Address returns the store's address as host:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store.
func (s *Store) Close() { s.server.Close() }

// Put writes a key without a lease. A value other than []byte is encoded as JSON.
func (s *Store) Put(key string, value any) {
	encoded, ok := value.([]byte)
	if !ok {
		var err error
		if encoded, err = json.Marshal(value); err != nil {
			panic(err) // only tests call Put
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, encoded, 0)
}

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
}

// SetDown sets whether every call fails with status 503 and has no effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetPageSize limits the items in one page of a list.
func (s *Store) SetPageSize(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageItems = items
}

// EndLeases ends all leases without notifying their holders.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.dropLease(id)
	}
}

// Copy is a copy of the store's content.
type Copy struct {
	items    map[string]Item
	leases   map[uint64]time.Time
	revision uint64
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.items), maps.Clone(s.leases), s.revision}
}

// Restore replaces the store's content by a copy, so that its revision goes back, and begins the next epoch.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.leases, s.revision = maps.Clone(c.items), maps.Clone(c.leases), c.revision
	s.epoch++
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Keys returns the keys with a prefix, in ascending order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		s.expireLeases()
		down := s.down
		w.Header().Set("Store-Era", strconv.FormatUint(s.epoch, 10))
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

func (s *Store) expireLeases() {
	for id, expiry := range s.leases {
		if time.Now().After(expiry) {
			s.dropLease(id)
		}
	}
}

func (s *Store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

func (s *Store) listItems(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	keys := s.Keys(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Item{}
	more := false
	for _, key := range keys {
		if key <= after {
			continue
		}
		if len(items) == s.pageItems {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *Store) writeItems(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []Item   `json:"expect"`
		Puts   []Item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range body.Puts {
		if _, ok := s.leases[item.Lease]; item.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, expected := range body.Expect {
		if s.items[expected.Key].Revision != expected.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.revision++
	for _, item := range body.Puts {
		s.items[item.Key] = Item{Key: item.Key, Value: item.Value, Revision: s.revision, Lease: item.Lease}
	}
	for _, key := range body.Remove {
		delete(s.items, key)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
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
	writeJSON(w, map[string]any{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, known := s.leaseID(r)
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	writeJSON(w, map[string]any{"ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, known := s.leaseID(r)
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	writeJSON(w, map[string]any{})
}

func (s *Store) leaseID(r *http.Request) (uint64, bool) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	_, known := s.leases[id]
	return id, err == nil && known
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
