package proctest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cyclamenstream/api/operator"
)

// callerTransport is the connection pool that all callers of a test binary share.
var callerTransport = &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}

// timeoutHeader carries the time that a caller waits, in milliseconds.
const timeoutHeader = "Cyclamen-Timeout-Ms"

// answerGrace is the extra time that a caller waits after its timeout before it closes the connection. It lets an
// answer that is sent at the deadline arrive on a busy machine.
const answerGrace = time.Second

// Query is the body of a query as callers send it.
type Query struct {
	Caller        string   `json:"caller"`
	ID            string   `json:"id"`
	Service       string   `json:"service"`
	Profile       string   `json:"profile,omitempty"`
	Shards        []uint32 `json:"shards,omitempty"`
	Payload       []byte   `json:"payload"`
	NonIdempotent bool     `json:"non_idempotent,omitempty"`
}

// Answer is a node's answer to a query.
type Answer struct {
	RequestID    string   `json:"request_id"`
	Service      string   `json:"service"`
	Snapshot     string   `json:"snapshot"`
	Coverage     Coverage `json:"coverage"`
	Results      []Result `json:"results"`
	Verdict      string   `json:"verdict"`
	LeafRequests int      `json:"leaf_requests"`
	Node         string   `json:"node"`
}

// Coverage describes the part of the snapshot that an answer covers.
type Coverage struct {
	Percent float64  `json:"percent"`
	Total   uint32   `json:"total"`
	Covered float64  `json:"covered"`
	Missing []uint32 `json:"missing"`
	// Complete is nil if the node does not report it.
	Complete *bool `json:"complete"`
}

// Result is the answer of one shard.
type Result struct {
	Shard   uint32  `json:"shard"`
	Data    []byte  `json:"data"`
	Covered float64 `json:"covered"`
}

// problem is the body of a failed query.
type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// Verdicts in answers and errors.
const (
	NotRun     = "not-run"
	MayHaveRun = "may-have-run"
	Completed  = "completed"
)

// Attempt is one query that a caller sent to one node, and its result.
type Attempt struct {
	Query   Query
	Address string
	Start   time.Time
	End     time.Time
	// Status is the HTTP status; 0 if there was no answer.
	Status int
	// Verdict is the verdict that the node returned. Without one it is derived from the connection. A refused
	// connection gives NotRun.
	Verdict string
	// Code and Message describe the error.
	Code    string
	Message string
	// Answer is nil for an error.
	Answer *Answer
}

// Complete reports whether the attempt was answered in full.
func (a *Attempt) Complete() bool { return a.Answer != nil && a.Answer.Coverage.Percent == 100 }

// SendQuery sends a query to the node at address (host:port) and waits for its answer.
func SendQuery(ctx context.Context, address string, q Query, timeout time.Duration) Attempt {
	a := Attempt{Query: q, Address: address, Start: time.Now(), Verdict: MayHaveRun}
	defer func() { a.End = time.Now() }()
	body, err := json.Marshal(q)
	if err != nil {
		a.Verdict, a.Message = NotRun, err.Error()
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+answerGrace)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/query", bytes.NewReader(body))
	if err != nil {
		a.Verdict, a.Message = NotRun, err.Error()
		return a
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(timeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := callerTransport.RoundTrip(request)
	if err != nil {
		a.recordTransportError(err)
		return a
	}
	a.readResponse(response)
	return a
}

func (a *Attempt) recordTransportError(err error) {
	a.Code, a.Message = "transport", err.Error()
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial") {
		a.Verdict = NotRun
	}
}

func (a *Attempt) readResponse(response *http.Response) {
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		a.recordTransportError(err)
		return
	}
	a.Status = response.StatusCode
	if response.StatusCode == http.StatusOK {
		var answer Answer
		if err := json.Unmarshal(content, &answer); err != nil {
			a.Code, a.Message = "unreadable", err.Error()
			return
		}
		a.Answer, a.Verdict = &answer, answer.Verdict
		return
	}
	var p problem
	if err := json.Unmarshal(content, &p); err != nil || !strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		a.Code, a.Message = "unreadable", fmt.Sprintf("%s: %.200s", response.Status, content)
		return
	}
	a.Code, a.Message = p.Code, p.Message
	if p.Verdict == NotRun || p.Verdict == Completed {
		a.Verdict = p.Verdict
	}
}

// Locate asks a node which addresses callers of the service should use.
func Locate(ctx context.Context, address, service string) (operator.LocateAnswer, error) {
	var answer operator.LocateAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/locate?service="+url.QueryEscape(service), nil)
	if err != nil {
		return answer, err
	}
	response, err := callerTransport.RoundTrip(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("locate: %s: %.200s", response.Status, content)
	}
	return answer, json.Unmarshal(content, &answer)
}

// locator caches the addresses of one service, as a caller does.
type locator struct {
	service string
	// known holds the addresses of all nodes, which a caller knows from its deployment.
	known []string

	mu       sync.Mutex
	cached   []string
	expires  time.Time
	nextNode int
	lookups  int
}

const locateTimeout = 500 * time.Millisecond

// addresses returns the addresses to try in order. Those returned by a node come first, then the other known ones.
func (l *locator) addresses(ctx context.Context) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.expires) {
		l.refresh(ctx)
	}
	all := slices.Clone(l.cached)
	for i := range l.known {
		if a := l.known[(i+l.nextNode)%len(l.known)]; !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return all
}

func (l *locator) refresh(ctx context.Context) {
	for range l.known {
		l.nextNode++
		l.lookups++
		locateCtx, cancel := context.WithTimeout(ctx, locateTimeout)
		answer, err := Locate(locateCtx, l.known[l.nextNode%len(l.known)], l.service)
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			l.cached = answer.Addresses
			l.expires = time.Now().Add(time.Duration(answer.TTLMillis) * time.Millisecond)
			return
		}
	}
}

// invalidate expires the cached addresses after one of them failed.
func (l *locator) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expires = time.Time{}
}
