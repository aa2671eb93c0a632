// Package callerclient implements a client of the nodes' HTTP interface, for the command line and for tests.
//
// A query goes to the first address that a locate request has returned for its service. The client retries a query, at
// the same or another address, only if it certainly did not run or is idempotent, and only until its deadline.
package callerclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"cyclamenstream/api/operator"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/httpapi"
)

// Timeouts and limits of the client.
const (
	// DialTimeout bounds one connection attempt. It is many times the 46 ms round trip between the farthest regions,
	// and short enough that an address that does not answer leaves time for the next one.
	DialTimeout = 500 * time.Millisecond
	// LocateTimeout bounds one locate request to one node, so that a paused node does not use up the deadline.
	LocateTimeout = time.Second
	// AdminTimeout bounds one administrative read from one node, which may have to ask all other nodes.
	AdminTimeout = 5 * time.Second
	// AnswerMargin is subtracted from the timeout that is sent to a node, so that the answer arrives before the
	// deadline. It covers a latency of 3 ms to callers, the transfer, and the scheduling of both processes. At most a
	// quarter of the time left is subtracted.
	AnswerMargin = 20 * time.Millisecond
	// minAttemptTime is the least time left with which an attempt is made. After AnswerMargin is subtracted, it leaves
	// the shortest timeout that the header can hold, 1 ms.
	minAttemptTime = 2 * time.Millisecond
	// SuspectTime is how long an address that gave no answer is tried after all others. A killed or paused node loses
	// its leases within 2 s, and locate answers no longer list it first after that.
	SuspectTime = 2 * time.Second
	// InitialBackoff and MaxBackoff bound the delay before a retry. The delay doubles each time and half of it is
	// random, so that refused callers do not retry at the same time.
	InitialBackoff = 20 * time.Millisecond
	MaxBackoff     = 500 * time.Millisecond
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes = 256 << 20
)

// CodeUnreachable is the code of a request that no node answered.
const CodeUnreachable verdict.Code = "unreachable"

// Client sends requests to nodes. It is safe for concurrent use.
type Client struct {
	nodes []string
	http  *http.Client

	mu        sync.Mutex
	locations map[string]cachedLocation
	// suspects maps addresses to the time at which they last gave no answer.
	suspects map[string]time.Time
}

// cachedLocation is an answer to a locate request and the time until which it may be used.
type cachedLocation struct {
	addresses []string
	until     time.Time
}

// New returns a client that sends locate and administrative requests to the nodes at these addresses (host:port).
func New(nodes ...string) *Client {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return &Client{
		nodes: nodes,
		http: &http.Client{
			Transport:     &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		locations: map[string]cachedLocation{},
		suspects:  map[string]time.Time{},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Locate returns the addresses to use for a service. It asks the nodes in turn, starting with a random one, and caches
// the answer for its time to live.
func (c *Client) Locate(ctx context.Context, service string) ([]string, error) {
	c.mu.Lock()
	cached, ok := c.locations[service]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.until) {
		return cached.addresses, nil
	}
	answer, err := c.LocateUncached(ctx, service)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.locations[service] = cachedLocation{answer.Addresses, time.Now().Add(time.Duration(answer.TTLMillis) * time.Millisecond)}
	return answer.Addresses, nil
}

// LocateUncached asks the nodes for the addresses of a service and neither reads nor fills the cache.
func (c *Client) LocateUncached(ctx context.Context, service string) (operator.LocateAnswer, error) {
	var answer operator.LocateAnswer
	err := c.get(ctx, LocateTimeout, httpapi.PathLocate+"?service="+url.QueryEscape(service), &answer)
	if err == nil && len(answer.Addresses) == 0 {
		err = verdict.Refusef(verdict.CodeNoOwner, "no address is known for service %q", service)
	}
	return answer, err
}

// forget removes the addresses of a service from the cache.
func (c *Client) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.locations, service)
}

// suspectsLast moves the addresses that gave no answer within SuspectTime to the end and keeps the order otherwise.
func (c *Client) suspectsLast(addresses []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var healthy, suspect []string
	for _, address := range addresses {
		if failedAt, listed := c.suspects[address]; listed && time.Since(failedAt) < SuspectTime {
			suspect = append(suspect, address)
		} else {
			healthy = append(healthy, address)
		}
	}
	return append(healthy, suspect...)
}

// recordAttempt records whether an address gave an answer.
func (c *Client) recordAttempt(address string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		delete(c.suspects, address)
	} else {
		c.suspects[address] = time.Now()
	}
}

// get reads a route from the first node that answers, with a timeout for each node. It stops at an error that every
// other node would return as well. Its errors have the verdict "not run", since it only reads.
func (c *Client) get(ctx context.Context, timeout time.Duration, path string, value any) error {
	code, message := CodeUnreachable, "the client has no node addresses"
	first := mathrand.IntN(max(1, len(c.nodes)))
	for _, node := range c.suspectsLast(slices.Concat(c.nodes[first:], c.nodes[:first])) {
		err := c.getFrom(ctx, timeout, node, path, value)
		if err == nil {
			return nil
		}
		code, message = verdict.CodeOf(err), verdict.Message(err)
		if ctx.Err() != nil {
			break
		}
		if !answered(err) {
			code = CodeUnreachable // the timeout for one node is not the caller's deadline
		}
		if isFinal(code) {
			break
		}
	}
	return verdict.Refusef(code, "%s", message)
}

// getFrom reads a route from one node. It leaves half of the time for the other nodes.
func (c *Client) getFrom(ctx context.Context, timeout time.Duration, node, path string, value any) error {
	if left, hasDeadline := timeLeft(ctx); hasDeadline && len(c.nodes) > 1 {
		timeout = min(timeout, left/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.send(ctx, http.MethodGet, node, path, nil, value)
}

// answered reports whether a node has answered with a problem body.
func answered(err error) bool {
	var problem *ProblemError
	return errors.As(err, &problem)
}

// Query sends a query and returns its answer. Each attempt sends the node a timeout that ends before ctx's deadline.
// The verdict of the error covers all attempts, so it is "not run" only if no attempt may have run.
func (c *Client) Query(ctx context.Context, body httpapi.QueryBody) (httpapi.AnswerBody, error) {
	if body.ID == "" {
		body.ID = rand.Text()
	}
	var answer httpapi.AnswerBody
	mayHaveRun := false
	backoff := InitialBackoff
	for {
		err := c.queryAddresses(ctx, body, &answer, &mayHaveRun)
		if err == nil {
			return answer, nil
		}
		// A request whose last attempt may have run has been sent to each address once. It is not retried after a
		// delay, since it may crash the leaves that run it.
		retry := verdict.Of(err).IsNotRun() && mayRetry(err, body)
		if mayHaveRun && verdict.Of(err).IsNotRun() {
			err = verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeOf(err), "%s; an earlier attempt may have run", verdict.Message(err))
		}
		if !retry || !waitBackoff(ctx, backoff) {
			return httpapi.AnswerBody{}, err
		}
		c.forget(body.Service)
		backoff = min(2*backoff, MaxBackoff)
	}
}

// queryAddresses sends the query to the located addresses, one after the other, until one answers or an error forbids a
// retry.
func (c *Client) queryAddresses(ctx context.Context, body httpapi.QueryBody, answer *httpapi.AnswerBody, mayHaveRun *bool) error {
	addresses, err := c.Locate(ctx, body.Service)
	if err != nil {
		return err
	}
	for _, address := range c.suspectsLast(addresses) {
		err = c.queryAt(ctx, address, body, answer)
		if err == nil {
			return nil
		}
		*mayHaveRun = *mayHaveRun || !verdict.Of(err).IsNotRun()
		if !mayRetry(err, body) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *Client) queryAt(ctx context.Context, address string, body httpapi.QueryBody, answer *httpapi.AnswerBody) error {
	*answer = httpapi.AnswerBody{}
	if err := c.send(ctx, http.MethodPost, address, httpapi.PathQuery, body, answer); err != nil {
		return err
	}
	if answer.RequestID != body.ID {
		return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeInternal, "node %s answered request %q instead of %q", address,
			answer.RequestID, body.ID)
	}
	return nil
}

// mayRetry reports whether a failed query may be sent again, to this or another address.
func mayRetry(err error, body httpapi.QueryBody) bool {
	return !isFinal(verdict.CodeOf(err)) && (verdict.Of(err).IsNotRun() || !body.NonIdempotent)
}

// isFinal reports whether an error must not be retried, since every node would return it again or a retry would only
// add load.
func isFinal(code verdict.Code) bool {
	switch code {
	case verdict.CodeNoOwner, verdict.CodeStale, verdict.CodeStopping, verdict.CodeOutOfService, verdict.CodeNoSnapshot,
		verdict.CodeStoreDown, verdict.CodeSessionLost, verdict.CodeLeafRefused, verdict.CodeSnapshotGone,
		verdict.CodeInternal, CodeUnreachable:
		return false
	}
	return true
}

// timeLeft returns the time until ctx's deadline and whether ctx has one.
func timeLeft(ctx context.Context) (time.Duration, bool) {
	deadline, hasDeadline := ctx.Deadline()
	return time.Until(deadline), hasDeadline
}

// waitBackoff waits for a random time between d/2 and d. It returns false if ctx ends first or if the wait would not
// leave enough time for an attempt.
func waitBackoff(ctx context.Context, d time.Duration) bool {
	d = d/2 + mathrand.N(d/2)
	if left, hasDeadline := timeLeft(ctx); hasDeadline && left <= d+minAttemptTime {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// send makes one request and decodes the answer into value. Its error has the verdict that the node answered with. If
// there is no complete answer, the request may have run once a connection was available.
func (c *Client) send(ctx context.Context, method, address, path string, body, value any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return verdict.Refusef(verdict.CodeInvalid, "%v", err)
		}
	}
	// The transport sends nothing before it has a connection.
	var attempt verdict.Attempt
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { attempt.Begin() }})
	request, err := http.NewRequestWithContext(traced, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return verdict.Refusef(verdict.CodeInvalid, "address %q: %v", address, err)
	}
	if body != nil {
		request.Header.Set("Content-Type", httpapi.TypeJSON)
	}
	if left, hasDeadline := timeLeft(ctx); hasDeadline {
		if left < minAttemptTime {
			return verdict.Refusef(verdict.CodeDeadline, "the deadline passed before the request was sent")
		}
		left -= min(AnswerMargin, left/4)
		request.Header.Set(httpapi.HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	}
	response, answer, err := c.roundTrip(request)
	c.recordAttempt(address, err == nil)
	if err != nil {
		return connectionError(&attempt, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return problemError(response, answer, address)
	}
	if len(answer) > MaxAnswerBytes {
		return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeTooLarge, "the answer of node %s has more than %d bytes", address, MaxAnswerBytes)
	}
	if err := json.Unmarshal(answer, value); err != nil {
		return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeInternal, "cannot decode the answer of node %s: %v", address, err)
	}
	return nil
}

// roundTrip sends a request and reads the whole answer.
func (c *Client) roundTrip(request *http.Request) (*http.Response, []byte, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	return response, answer, err
}

func connectionError(attempt *verdict.Attempt, address string, err error) error {
	code := CodeUnreachable
	if errors.Is(err, context.DeadlineExceeded) {
		code = verdict.CodeDeadline
	}
	return verdict.Failf(attempt, code, err, "node %s", address)
}

// ProblemError is the problem body that a node answered with. Errors of the client wrap it.
type ProblemError struct {
	Address string
	Problem httpapi.Problem
}

// Error returns the address and the problem's message.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("node %s: %s (%d %s)", e.Address, e.Problem.Message, e.Problem.Status, e.Problem.Code)
}

// problemError returns the error for a response that is not a success. A response without a problem body, such as that
// of another server at the address, says nothing about the request, which may have run.
func problemError(response *http.Response, answer []byte, address string) error {
	var problem httpapi.Problem
	if response.Header.Get("Content-Type") != httpapi.TypeProblem || json.Unmarshal(answer, &problem) != nil {
		return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeInternal, "node %s answered status %d without a problem body", address, response.StatusCode)
	}
	var attempt verdict.Attempt
	attempt.Begin()
	switch v := verdict.Parse(problem.Verdict); {
	case v.IsNotRun():
		attempt.Refused()
	case v.IsCompleted():
		attempt.Answered()
	}
	return verdict.Failf(&attempt, problem.Code, &ProblemError{address, problem}, "%s", problem.Title)
}
