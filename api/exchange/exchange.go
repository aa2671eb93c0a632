// Package exchange holds a caller's request, its answer, and the port over which a request is sent to one leaf.
package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cyclamenstream/api/registry"
	"cyclamenstream/api/verdict"
)

// Errors of a Sender. Every other error means that the leaf gave no complete answer.
var (
	// ErrRefused says that the leaf itself refused the request and did not run it.
	ErrRefused = errors.New("leaf refused the request")
	// ErrReplaced says that another server has the leaf's address. The request did not run.
	ErrReplaced = errors.New("another server has the leaf's address")
	// ErrMismatch says that the answer belongs to another request.
	ErrMismatch = errors.New("answer belongs to another request")
)

// Request is one request of a caller. It is not changed after it was received.
type Request struct {
	// ID is unique for each attempt of a caller.
	ID     string
	Method string
	Host   string
	// Path is the decoded path, for the choice of the route; Target is the path and query as they were sent.
	Path   string
	Target string
	// Header holds the headers that are passed on.
	Header http.Header
	Body   []byte
	// FirstOnConnection says that the request is the first one on its connection, which the caller opened for it.
	FirstOnConnection bool
	// Received is when the request was read; Deadline is when the caller gives up.
	Received time.Time
	Deadline time.Time
}

// Load is a leaf's own report.
type Load struct {
	Running, Waiting, Slots int
}

// Reply is a complete answer of a leaf.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Digest is the leaf's signature of the answer; empty if there was none.
	Digest string
	// Load is nil if the leaf did not report it.
	Load *Load
}

// Success reports whether the leaf ran the request successfully and signed the answer.
func (r *Reply) Success() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Digest != ""
}

// Outgoing is one send of a request to a leaf.
type Outgoing struct {
	Request *Request
	// Budget is the time that the leaf may spend; it must be positive.
	Budget time.Duration
	// Connections is the largest number of connections that this node may hold to the leaf.
	Connections int
	// Attempt is told when bytes may leave and what the leaf said. It must not be nil.
	Attempt *verdict.Attempt
}

// Sender sends requests to leaves. Implementations are safe for concurrent use.
type Sender interface {
	// Send sends the request once and returns the leaf's complete answer, whatever its status, or an error. When ctx
	// ends the connection is closed. The reply of a refusal accompanies ErrRefused and ErrReplaced.
	Send(ctx context.Context, leaf registry.Leaf, out Outgoing) (*Reply, error)
	// Preconnect opens a connection to the leaf in the background unless there is one, for the next Send.
	Preconnect(leaf registry.Leaf, connections int)
	// Forget closes the idle connections to a leaf that is gone.
	Forget(leaf registry.Leaf)
}

// Answer is what a caller gets. Exactly one of Reply and Gathered is set on success; Reply may be a failure of a leaf.
type Answer struct {
	Reply    *Reply
	Gathered *Gathered
	// Err tells why the request has neither; it carries a verdict.
	Err error
	// RetryAfter tells the caller of a request that has not run when to come back; 0 gives no hint.
	RetryAfter time.Duration
}

// Gathered is the merged answer of several services.
type Gathered struct {
	// Digests are those of the leaf answers that are included, at most one for each service.
	Digests []string
	// Missing is the number of services that are left out.
	Missing int
	// Body holds the greatest records of the included answers, greatest first.
	Body []byte
}

// Server answers the requests of callers. Package gather implements it.
type Server interface {
	// Serve answers one request; it returns early when ctx ends because the caller has left.
	Serve(ctx context.Context, r *Request) Answer
}
