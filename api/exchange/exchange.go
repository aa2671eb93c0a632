// Package exchange defines a caller's request, the answer to it, and the interface that sends a request to one leaf.
package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cyclamenstream/api/registry"
	"cyclamenstream/api/route"
	"cyclamenstream/api/verdict"
)

// Errors of a Sender. Every other error means that the leaf gave no complete answer.
var (
	// ErrRefused means that the leaf itself refused the request and did not run it.
	ErrRefused = errors.New("leaf refused the request")
	// ErrReplaced means that another server has the leaf's address and the request did not run.
	ErrReplaced = errors.New("another server has the leaf's address")
	// ErrStale means that the leaf had closed an idle connection, which was noticed only when the request was sent on it.
	// The leaf may have run the request.
	ErrStale = errors.New("leaf had closed the idle connection")
	// ErrAbsent means that nothing listens at the leaf's address, so that the leaf's process has ended. The request did not run.
	ErrAbsent = errors.New("nothing listens at the leaf's address")
	// ErrMismatch means that the answer belongs to another request.
	ErrMismatch = errors.New("answer belongs to another request")
)

// Request is one request of a caller. It is immutable once received.
type Request struct {
	// ID is unique for each attempt of a caller.
	ID     string
	Method string
	Host   string
	// Path is the decoded path, which selects the route. Target is the path and query as the caller sent them.
	Path   string
	Target string
	// Header holds the headers that are forwarded to the leaf.
	Header http.Header
	Body   []byte
	// Key is the hash of the API key that the caller sent, or nil without a valid one.
	Key *route.KeyHash
	// FirstOnConnection is set if the caller opened the connection for this request.
	FirstOnConnection bool
	// Received is the time at which the request was read. Deadline is the time at which the caller stops waiting.
	Received time.Time
	Deadline time.Time
}

// Load is the load that a leaf reports.
type Load struct {
	Running, Waiting, Slots int
	// Speed is the time that work takes at the leaf at present, relative to the usual time: 2 is twice as long. It is 0 if the
	// leaf does not state it.
	Speed float64
}

// Reply is a complete answer of a leaf.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the leaf's signature of the answer. It is empty if there was none.
	Signature string
	// Load is nil if the leaf did not report it.
	Load *Load
	// RateLimit is the number of requests a second that the leaf accepts from all nodes together, or +Inf if the leaf
	// states no limit. It is nil if what the leaf states is not a valid limit.
	RateLimit *float64
	// Leaving is set if the leaf says that it is about to stop and wants no further requests.
	Leaving bool
	// Pause is the time from the answer on for which the leaf, which has turned the request away, wants no requests from
	// this node. It is 0 if the leaf states none.
	Pause time.Duration
}

// Success reports whether the leaf ran the request successfully and signed the answer.
func (r *Reply) Success() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Signature != ""
}

// Caller identifies the caller of a request to the leaf.
type Caller struct {
	// Organisation is empty for a request without a key on a public route.
	Organisation string
}

// Outgoing is one send of a request to a leaf.
type Outgoing struct {
	Request *Request
	// Budget is the time that the leaf may spend. It must be positive.
	Budget time.Duration
	// Connections is the largest number of connections that this node may hold to the leaf.
	Connections int
	// Caller says how the leaf learns who sent the request. It is nil if requests need no API key; the caller's own headers are
	// then passed on.
	Caller *Caller
	// Once is set if the request must not be sent again when its connection fails.
	Once bool
	// Attempt records when bytes may be sent and how the leaf responds. It must not be nil.
	Attempt *verdict.Attempt
}

// Sender sends requests to leaves. Implementations are safe for concurrent use.
type Sender interface {
	// Send sends the request once and returns the leaf's complete answer, whatever its status, or an error. When ctx
	// ends, the connection is closed. ErrRefused and ErrReplaced come with the leaf's reply.
	Send(ctx context.Context, leaf registry.Leaf, out Outgoing) (*Reply, error)
	// Preconnect opens a connection to the leaf in the background for the next Send, unless there is one. It reports whether
	// it opens one.
	Preconnect(leaf registry.Leaf, connections int) bool
	// Forget closes the idle connections to a leaf that is no longer in the registry.
	Forget(leaf registry.Leaf)
	// CloseIdle closes the idle connections that cannot be used any more, or all idle connections.
	CloseIdle(all bool)
}

// Answer is the answer to a caller. Exactly one of Reply and Gathered is set on success. Reply may be a failure of a
// leaf.
type Answer struct {
	Reply    *Reply
	Gathered *Gathered
	// Err is the reason if neither is set. It carries a verdict.
	Err error
	// RetryAfter is the delay after which the caller may retry a request that has not run. 0 means no suggestion.
	RetryAfter time.Duration
}

// Gathered is the merged answer of several services.
type Gathered struct {
	// Signatures holds the signatures of the leaf answers that are included, at most one for each service.
	Signatures []string
	// Missing is the number of services whose answer is not included.
	Missing int
	// Body holds the greatest records of the included answers in descending order.
	Body []byte
}

// Server answers the requests of callers. Package gather implements it.
type Server interface {
	// Serve answers one request. It returns early when ctx ends because the caller has disconnected.
	Serve(ctx context.Context, r *Request) Answer
}
