package site

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Leaf is a stand-in for one backend server.
type Leaf struct {
	ID, Service, Zone, Version string
	Slots                      int
	server                     *httptest.Server

	mu       sync.Mutex
	delay    time.Duration
	fault    Fault
	arrivals []string // identifiers of the received requests, in order of arrival
	times    []time.Time
	// rateLimit is the limit in requests/s that the leaf states, if it is not 0. The leaf does not enforce it.
	rateLimit float64
	runs      []string // identifiers of the requests that the leaf ran
	// advertised is the address in the leaf's entry. Empty means the leaf's own address.
	advertised string
	budgets    []string // X-Request-Deadline headers of the received requests
	// callers holds what the received requests told about their callers, in order.
	callers []Caller
	// workTime is the time that work takes at the leaf, as it states it: 100 is the usual one. 0 means that it states none.
	workTime int
	// body replaces the records in the leaf's answers unless it is nil.
	body []byte
	// crashPath is the path of the requests that crash the leaf. Empty means none.
	crashPath string
	store     *Store
	boot      int
}

// Caller is what a request told the leaf about its caller.
type Caller struct {
	// Organisation is the X-Tenant header.
	Organisation string
	// Key is the Authorization header, which leaves must not get if requests need keys.
	Key string
}

// Fault is a fault that a leaf injects.
type Fault string

// The faults of a leaf.
const (
	Healthy        Fault = ""
	Refuse         Fault = "refuse"  // 503 with X-Not-Executed, without a run
	Fail           Fault = "fail"    // 500 after the run
	Cut            Fault = "cut"     // the connection is closed after the run, without an answer
	Short          Fault = "short"   // the body is shorter than Content-Length
	WrongRequestID Fault = "crossed" // the answer has the identifier of another request
	Hang           Fault = "hang"    // the request is never answered
)

// NewLeaf starts a leaf of version v1 and registers it in the store.
func NewLeaf(store *Store, id, service, zone string) *Leaf {
	return NewLeafVersion(store, id, service, zone, "v1")
}

// NewLeafVersion starts a leaf of the given version and registers it in the store.
func NewLeafVersion(store *Store, id, service, zone, version string) *Leaf {
	l := &Leaf{ID: id, Service: service, Zone: zone, Version: version, Slots: 4, store: store, boot: 1}
	l.server = httptest.NewServer(http.HandlerFunc(l.serve))
	l.Register(store, "ready")
	return l
}

// Register writes the leaf's entry in the store with the given state.
func (l *Leaf) Register(store *Store, state string) {
	l.mu.Lock()
	address, boot := cmp.Or(l.advertised, l.Address()), l.boot
	l.mu.Unlock()
	store.Put("servers/"+l.ID, map[string]any{"service": l.Service, "address": address, "zone": l.Zone, "version": l.Version,
		"slots": l.Slots, "state": state, "warmup_left_ms": 0, "sequence": 1, "born": boot})
}

// Address returns the leaf's own address as host:port.
func (l *Leaf) Address() string { return strings.TrimPrefix(l.server.URL, "http://") }

// Advertise sets the address that later entries contain, such as the address of a proxy.
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

// SetFault sets the injected fault and the time that the leaf takes to run a request.
func (l *Leaf) SetFault(f Fault, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.delay = f, delay
}

// SetBody sets the body of the leaf's answers; nil means its records.
func (l *Leaf) SetBody(body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.body = body
}

// Arrivals returns the identifiers of the requests that the leaf received.
func (l *Leaf) Arrivals() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.arrivals...)
}

// ArrivalTimes returns when the leaf received its requests, in order.
func (l *Leaf) ArrivalTimes() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.times...)
}

// Callers returns what the received requests told about their callers, in the order of Arrivals.
func (l *Leaf) Callers() []Caller {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Caller(nil), l.callers...)
}

// SetRateLimit sets the limit in requests/s that the leaf states in its answers; 0 means none.
func (l *Leaf) SetRateLimit(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rateLimit = perSecond
}

// SetWorkTime sets the time that work takes at the leaf, as it states it: 100 is the usual one, and 0 means that it states
// none.
func (l *Leaf) SetWorkTime(percent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workTime = percent
}

// Runs returns the identifiers of the requests that the leaf ran.
func (l *Leaf) Runs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs...)
}

// CrashOn makes the leaf crash whenever it runs a request with the path. A crash closes all connections. The leaf is
// available again immediately and registers with a new boot number.
func (l *Leaf) CrashOn(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashPath = path
}

// Crash makes the leaf crash, as CrashOn does.
func (l *Leaf) Crash() {
	l.mu.Lock()
	l.boot++
	l.mu.Unlock()
	l.Register(l.store, "ready")
	// This also closes the connection of the request that crashes the leaf. It runs in a goroutine, so that the handler of
	// that request does not wait for itself.
	go l.server.CloseClientConnections()
}

// Budgets returns the X-Request-Deadline headers of the received requests, in milliseconds.
func (l *Leaf) Budgets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.budgets...)
}

// maxHang limits how long a request hangs, so that a test can end.
const maxHang = 3 * time.Second

// Records returns the usual body of the leaf's answers: two records of 16 bytes and a remainder shorter than a record.
func (l *Leaf) Records() []byte {
	return []byte(fmt.Sprintf("%-15.15s1%-15.15s2rest", l.Service, l.Service))
}

func (l *Leaf) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	l.mu.Lock()
	l.arrivals, l.times = append(l.arrivals, id), append(l.times, time.Now())
	if l.rateLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(l.rateLimit, 'f', -1, 64))
	}
	l.budgets = append(l.budgets, r.Header.Get("X-Request-Deadline"))
	l.callers = append(l.callers, Caller{r.Header.Get("X-Tenant"), r.Header.Get("Authorization")})
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
		l.Crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	l.answer(w, r, fault, id)
}

func (l *Leaf) answer(w http.ResponseWriter, r *http.Request, fault Fault, id string) {
	l.mu.Lock()
	body, load := l.body, "1,0,4"
	if l.workTime > 0 {
		load += "," + strconv.Itoa(l.workTime)
	}
	l.mu.Unlock()
	if body == nil {
		body = l.Records()
	}
	w.Header().Set("X-Server-Load", load)
	switch fault {
	case Refuse:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Cut:
		panic(http.ErrAbortHandler)
	case Hang:
		// The server notices that the node has closed the connection only after the request body is read.
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
	// The write fails if the node has closed the connection. Some tests provoke that.
	_, _ = w.Write(body)
}
