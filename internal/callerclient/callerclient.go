// Package callerclient is a client of the nodes' HTTP interface, for the command line and for tests.
//
// A query goes to the first address that a node has named for its service. The client moves on to another address, or
// sends again, only if the request certainly did not run or is idempotent, and only until its deadline.
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

// Times and sizes of the client.
const (
	// DialTimeout bounds one connection attempt. It is many times the 46 ms round trip between the farthest regions,
	// and short enough that an address that does not answer leaves time for the next one.
	DialTimeout = 500 * time.Millisecond
	// LocateTimeout bounds one locate request to one node, so that a paused node does not use up the deadline.
	LocateTimeout = time.Second
	// AdminTimeout bounds one read of an operator from one node, which may have to ask all other nodes.
	AdminTimeout = 5 * time.Second
	// AnswerMargin is the time that is kept back from the deadline that a node is told, for the way back: 3 ms one way
	// to callers, the transfer, and the scheduling of both processes. It is at most a quarter of the time left.
	AnswerMargin = 20 * time.Millisecond
	// minAttempt is the least time left in which an attempt is made: the shortest timeout that the header can hold, with
	// the share for the way back.
	minAttempt = 2 * time.Millisecond
	// SuspectTime is how long an address that gave no answer is tried last. A killed or paused node loses its leases
	// within 2 s, and from then on is no longer named first.
	SuspectTime = 2 * time.Second
	// FirstBackoff and MaxBackoff bound the pause before an attempt that follows a refusal. Pauses double, and half of
	// each is random, so that refused callers do not come back together.
	FirstBackoff = 20 * time.Millisecond
	MaxBackoff   = 500 * time.Millisecond
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes = 256 << 20
)

// CodeUnreachable is the code of a request that reached no node.
const CodeUnreachable verdict.Code = "unreachable"

// Client sends requests to nodes. It is safe for concurrent use.
type Client struct {
	nodes []string
	http  *http.Client

	mu      sync.Mutex
	located map[string]location
	// suspects holds when an address last gave no answer.
	suspects map[string]time.Time
}

// location is an answer to a locate request and the time until which it may be used.
type location struct {
	addresses []string
	until     time.Time
}

// New returns a client that asks the nodes at these addresses (host:port) which addresses to use.
func New(nodes ...string) *Client {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return &Client{
		nodes: nodes,
		http: &http.Client{
			Transport:     &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		located:  map[string]location{},
		suspects: map[string]time.Time{},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Locate returns the addresses to use for a service. It asks the nodes in turn, starting with a random one, and keeps
// the answer for its time to live.
func (c *Client) Locate(ctx context.Context, service string) ([]string, error) {
	c.mu.Lock()
	known, ok := c.located[service]
	c.mu.Unlock()
	if ok && time.Now().Before(known.until) {
		return known.addresses, nil
	}
	answer, err := c.LocateUncached(ctx, service)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.located[service] = location{answer.Addresses, time.Now().Add(time.Duration(answer.TTLMillis) * time.Millisecond)}
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

// forget drops the kept addresses of a service.
func (c *Client) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.located, service)
}

// byTrust returns the addresses with those that lately gave no answer last, otherwise in their order.
func (c *Client) byTrust(addresses []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var trusted, suspect []string
	for _, address := range addresses {
		if since, listed := c.suspects[address]; listed && time.Since(since) < SuspectTime {
			suspect = append(suspect, address)
		} else {
			trusted = append(trusted, address)
		}
	}
	return append(trusted, suspect...)
}

// note records whether an address gave an answer.
func (c *Client) note(address string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		delete(c.suspects, address)
	} else {
		c.suspects[address] = time.Now()
	}
}

// get reads a route from the first node that answers it, with at most limit for each node. An answer that another node
// would repeat ends the search. Its errors have the verdict "not run", since it only reads.
func (c *Client) get(ctx context.Context, limit time.Duration, path string, value any) error {
	code, message := CodeUnreachable, "no node to ask"
	first := mathrand.IntN(max(1, len(c.nodes)))
	for _, node := range c.byTrust(slices.Concat(c.nodes[first:], c.nodes[:first])) {
		err := c.getFrom(ctx, limit, node, path, value)
		if err == nil {
			return nil
		}
		code, message = verdict.CodeOf(err), verdict.Message(err)
		if ctx.Err() != nil {
			break
		}
		if !answered(err) {
			code = CodeUnreachable // the limit for one node is no deadline of the caller
		}
		if isFinal(code) {
			break
		}
	}
	return verdict.Refusef(code, "%s", message)
}

// getFrom reads a route from one node. It leaves half of the time for the other nodes.
func (c *Client) getFrom(ctx context.Context, limit time.Duration, node, path string, value any) error {
	if left, limited := timeLeft(ctx); limited && len(c.nodes) > 1 {
		limit = min(limit, left/2)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.send(ctx, http.MethodGet, node, path, nil, value)
}

// answered reports whether a node has answered with a problem body.
func answered(err error) bool {
	var problem *ProblemError
	return errors.As(err, &problem)
}

// Query sends a query and returns its answer. Each attempt tells the node how much of ctx's deadline is left. The
// error carries the verdict over all attempts: "not run" only if none may have run.
func (c *Client) Query(ctx context.Context, body httpapi.QueryBody) (httpapi.AnswerBody, error) {
	if body.ID == "" {
		body.ID = rand.Text()
	}
	var answer httpapi.AnswerBody
	mayHaveRun := false
	backoff := FirstBackoff
	for {
		err := c.round(ctx, body, &answer, &mayHaveRun)
		if err == nil {
			return answer, nil
		}
		// A request whose last attempt may have run has gone to each address once; it is not sent again after a pause,
		// since it may be one that crashes the leaves that run it.
		repeat := verdict.Of(err).IsNotRun() && mayRepeat(err, body)
		if mayHaveRun && verdict.Of(err).IsNotRun() {
			err = verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeOf(err), "%s; an earlier attempt may have run", verdict.Message(err))
		}
		if !repeat || !pause(ctx, backoff) {
			return httpapi.AnswerBody{}, err
		}
		c.forget(body.Service)
		backoff = min(2*backoff, MaxBackoff)
	}
}

// round sends the query to the located addresses, one after the other, until one answers or the rest must not be tried.
func (c *Client) round(ctx context.Context, body httpapi.QueryBody, answer *httpapi.AnswerBody, mayHaveRun *bool) error {
	addresses, err := c.Locate(ctx, body.Service)
	if err != nil {
		return err
	}
	for _, address := range c.byTrust(addresses) {
		err = c.queryAt(ctx, address, body, answer)
		if err == nil {
			return nil
		}
		*mayHaveRun = *mayHaveRun || !verdict.Of(err).IsNotRun()
		if !mayRepeat(err, body) || ctx.Err() != nil {
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

// mayRepeat reports whether a failed query may be sent again, to this or another address.
func mayRepeat(err error, body httpapi.QueryBody) bool {
	return !isFinal(verdict.CodeOf(err)) && (verdict.Of(err).IsNotRun() || !body.NonIdempotent)
}

// isFinal reports whether every node would refuse the request again, or whether a repetition would only add load.
func isFinal(code verdict.Code) bool {
	switch code {
	case verdict.CodeNoOwner, verdict.CodeStale, verdict.CodeStopping, verdict.CodeOutOfService, verdict.CodeNoSnapshot,
		verdict.CodeStoreDown, verdict.CodeSessionLost, verdict.CodeLeafRefused, verdict.CodeSnapshotGone,
		verdict.CodeInternal, CodeUnreachable:
		return false
	}
	return true
}

// timeLeft returns the time until ctx's deadline; false without one.
func timeLeft(ctx context.Context) (time.Duration, bool) {
	until, limited := ctx.Deadline()
	return time.Until(until), limited
}

// pause waits for a partly random share of d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	d = d/2 + mathrand.N(d/2)
	if left, limited := timeLeft(ctx); limited && left <= d+minAttempt {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// send makes one request and decodes the answer into value. Its error carries the verdict of the node, or of the
// connection if there is no whole answer.
func (c *Client) send(ctx context.Context, method, address, path string, body, value any) error {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return verdict.Refusef(verdict.CodeInvalid, "%v", err)
		}
	}
	// Bytes leave at the earliest when the transport has got a connection.
	var attempt verdict.Attempt
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { attempt.Begin() }})
	request, err := http.NewRequestWithContext(traced, method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return verdict.Refusef(verdict.CodeInvalid, "address %q: %v", address, err)
	}
	if body != nil {
		request.Header.Set("Content-Type", httpapi.TypeJSON)
	}
	if left, limited := timeLeft(ctx); limited {
		if left < minAttempt {
			return verdict.Refusef(verdict.CodeDeadline, "the deadline passed before the request was sent")
		}
		left -= min(AnswerMargin, left/4)
		request.Header.Set(httpapi.HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	}
	response, answer, err := c.roundTrip(request)
	c.note(address, err == nil)
	if err != nil {
		return connectionError(&attempt, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return problemError(response, answer, address)
	}
	if len(answer) > MaxAnswerBytes {
		return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeTooLarge, "node %s answered more than %d bytes", address, MaxAnswerBytes)
	}
	if err := json.Unmarshal(answer, value); err != nil {
		return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeInternal, "node %s: answer does not decode: %v", address, err)
	}
	return nil
}

// roundTrip sends a request and reads the answer whole.
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

// ProblemError is the cause of an error that a node has answered with.
type ProblemError struct {
	Address string
	Problem httpapi.Problem
}

// Error returns the address and the problem's message.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("node %s: %s (%d %s)", e.Address, e.Problem.Message, e.Problem.Status, e.Problem.Code)
}

// problemError makes the error of a response that is not a success. A response that is not a problem body, as of some
// other server at the address, says nothing: the request may have run.
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
