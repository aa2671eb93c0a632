package site

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Leaf is a stand-in of one backend server.
type Leaf struct {
	ID, Service, Zone string
	Slots             int
	server            *httptest.Server

	mu       sync.Mutex
	delay    time.Duration
	fault    Fault
	arrivals []string // request identifiers in their order
	runs     []string // those of the requests that the leaf ran
	// advertised is the address in the leaf's entry; empty for its own.
	advertised string
	budgets    []string // the time budgets that came with them
	// crashPath is the path of the requests that crash the leaf; empty for none.
	crashPath string
	store     *Store
	born      int
}

// Fault is what a leaf does wrong.
type Fault string

// The faults of a leaf.
const (
	Healthy        Fault = ""
	Refuse         Fault = "refuse"  // 503 with the word that the request has not run
	Fail           Fault = "fail"    // 500 after the run
	Cut            Fault = "cut"     // the connection ends after the run, without an answer
	Short          Fault = "short"   // the body is shorter than announced
	WrongRequestID Fault = "crossed" // the answer names another request
	Hang           Fault = "hang"    // no answer
)

// NewLeaf starts a leaf and registers it.
func NewLeaf(store *Store, id, service, zone string) *Leaf {
	l := &Leaf{ID: id, Service: service, Zone: zone, Slots: 4, store: store, born: 1}
	l.server = httptest.NewServer(http.HandlerFunc(l.serve))
	l.Register(store, "ready")
	return l
}

// Register writes the leaf's entry with a state.
func (l *Leaf) Register(store *Store, state string) {
	l.mu.Lock()
	address, born := cmp.Or(l.advertised, l.Address()), l.born
	l.mu.Unlock()
	store.Put("servers/"+l.ID, map[string]any{"service": l.Service, "address": address, "zone": l.Zone, "version": "v1",
		"slots": l.Slots, "state": state, "warmup_left_ms": 0, "sequence": 1, "born": born})
}

// Address returns host:port.
func (l *Leaf) Address() string { return strings.TrimPrefix(l.server.URL, "http://") }

// Advertise changes the address of later entries, to that of a proxy.
func (l *Leaf) Advertise(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advertised = address
}

// Close stops the leaf.
func (l *Leaf) Close() {
	l.server.CloseClientConnections()
	l.server.Close()
}

// SetFault changes what the leaf does wrong and how long it works on a request.
func (l *Leaf) SetFault(f Fault, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.delay = f, delay
}

// Arrivals returns the identifiers of the requests that came.
func (l *Leaf) Arrivals() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.arrivals...)
}

// Runs returns the identifiers of the requests that the leaf ran.
func (l *Leaf) Runs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs...)
}

// CrashOn makes the leaf crash whenever it runs a request with the path: all its connections break, and it is there again at
// once, as another start.
func (l *Leaf) CrashOn(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashPath = path
}

func (l *Leaf) crash() {
	l.mu.Lock()
	l.born++
	l.mu.Unlock()
	l.Register(l.store, "ready")
	// It ends the connection of the caller of this method too, so it must not wait for that one.
	go l.server.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

// Budgets returns the time budgets in milliseconds that came with the requests.
func (l *Leaf) Budgets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.budgets...)
}

// maxHang ends a hanging request at last, so that a test can end.
const maxHang = 3 * time.Second

// Records returns the leaf's part of a gathered answer: two records of 16 bytes and a remainder.
func (l *Leaf) Records() []byte {
	return []byte(fmt.Sprintf("%-15.15s1%-15.15s2rest", l.Service, l.Service))
}

func (l *Leaf) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	l.mu.Lock()
	l.arrivals = append(l.arrivals, id)
	l.budgets = append(l.budgets, r.Header.Get("X-Request-Deadline"))
	fault, delay := l.fault, l.delay
	crashes := l.crashPath != "" && r.URL.Path == l.crashPath
	l.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != l.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault != Refuse {
		l.mu.Lock()
		l.runs = append(l.runs, id)
		l.mu.Unlock()
	}
	if crashes {
		l.crash()
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	l.answer(w, r, fault, id)
}

func (l *Leaf) answer(w http.ResponseWriter, r *http.Request, fault Fault, id string) {
	body := l.Records()
	w.Header().Set("X-Server-Load", "1,0,4")
	switch fault {
	case Refuse:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Cut:
		panic(http.ErrAbortHandler)
	case Hang:
		// The request's body must be read for the server to notice that the node has closed the connection.
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(maxHang):
		}
		panic(http.ErrAbortHandler)
	case WrongRequestID:
		w.Header().Set("X-Request-Id", "another")
	}
	w.Header().Set("X-Server-Stamp", l.ID+"."+id)
	if fault == Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if fault == Short {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)+1))
	}
	// A write fails when the node has gone, which some tests want.
	_, _ = w.Write(bytes.Clone(body))
}
