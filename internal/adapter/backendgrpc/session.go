package backendgrpc

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cyclamenstream/api/backend"
	"cyclamenstream/gen/backendpb"
)

// session implements backend.Session over one connection.
type session struct {
	conn     *grpc.ClientConn
	api      backendpb.BackendClient
	address  string
	counters counters

	done chan struct{}
	mu   sync.Mutex
	// ended is set when done is closed. Calls in flight at that time may still get their answers.
	ended   bool
	calls   int
	closing bool
}

// Done implements backend.Session.
func (s *session) Done() <-chan struct{} { return s.done }

// Close implements backend.Session. Calls in flight fail with ErrSessionLost.
func (s *session) Close() error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	err := s.conn.Close()
	s.markLost()
	return class.Wrap(err)
}

// markLost marks the session as lost. The connection is closed after the calls in flight have ended, since a leaf
// that shuts down gracefully still answers them.
func (s *session) markLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	close(s.done)
	if !s.closing {
		s.counters.lost.Inc(1)
	}
	if s.calls == 0 {
		go s.conn.Close()
	}
}

// beginCall registers a call. It fails if the session is lost.
func (s *session) beginCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return class.New("leaf %s: %w", s.address, backend.ErrSessionLost)
	}
	s.calls++
	return nil
}

func (s *session) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	if s.ended && s.calls == 0 {
		go s.conn.Close()
	}
}

// Status implements backend.Session.
func (s *session) Status(ctx context.Context) (backend.Status, error) {
	if err := s.beginCall(); err != nil {
		return backend.Status{}, err
	}
	defer s.endCall()
	reply, err := s.api.GetStatus(ctx, &backendpb.StatusRequest{})
	if ctx.Err() != nil {
		return backend.Status{}, class.New("status of leaf %s: %w", s.address, ctx.Err())
	}
	if err != nil {
		return backend.Status{}, s.convertError(err)
	}
	st := backend.Status{BootID: reply.BootId, InFlight: reply.InFlight, Draining: reply.Draining}
	for _, p := range reply.Snapshots {
		slices.Sort(p.Shards)
		st.Snapshots = append(st.Snapshots, backend.SnapshotInfo{
			ID: p.Id, Sequence: p.Sequence, ShardCount: p.ShardCount, Shards: p.Shards})
	}
	return st, nil
}

// Do implements backend.Session.
func (s *session) Do(ctx context.Context, call backend.Call) (backend.Reply, error) {
	if call.Timeout <= 0 {
		return backend.Reply{}, class.New("call %s: timeout %v is not positive", call.ID, call.Timeout)
	}
	if err := s.beginCall(); err != nil {
		return backend.Reply{}, err
	}
	defer s.endCall()
	timeout := remaining(ctx, call.Timeout)
	if err := cmp.Or(ctx.Err(), checkRemaining(timeout)); err != nil {
		return backend.Reply{}, class.New("call %s: %w before it was sent", call.ID, err)
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout+backend.EndGrace)
	defer cancel()
	defer context.AfterFunc(ctx, func() { s.cancel(callCtx, call.ID) })()
	request := &backendpb.RunRequest{Id: call.ID, Service: call.Service, Snapshot: call.Snapshot, Shard: call.Shard,
		Payload: call.Payload, TimeoutMs: wireMillis(timeout)}
	call.Attempt.Begin()
	reply, err := s.api.Run(callCtx, request)
	if err != nil {
		return backend.Reply{}, s.convertError(err)
	}
	return s.checkReply(callCtx, call, reply)
}

// remaining returns the time that the leaf may spend, which is the call's timeout, or less if ctx ends earlier.
func remaining(ctx context.Context, timeout time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(timeout, time.Until(deadline))
	}
	return timeout
}

// checkRemaining returns context.DeadlineExceeded if no time is left.
func checkRemaining(left time.Duration) error {
	if left <= 0 {
		return context.DeadlineExceeded
	}
	return nil
}

// wireMillis returns d in whole milliseconds, but at least 1. It rounds down, so that the leaf stops no later than the
// sender expects.
func wireMillis(d time.Duration) int64 { return max(1, d.Milliseconds()) }

// cancel asks the leaf to stop the call. The reply to the call itself says that it has ended.
func (s *session) cancel(ctx context.Context, id string) {
	_, _ = s.api.Cancel(ctx, &backendpb.CancelRequest{Id: id})
}

// checkReply checks that the reply belongs to the call and returns the result of the call.
func (s *session) checkReply(ctx context.Context, call backend.Call, reply *backendpb.RunReply) (backend.Reply, error) {
	if !matches(call, reply) {
		s.counters.mismatched.Inc(1)
		// The mismatched answer does not say that this call has ended, so the leaf is asked to stop it.
		s.cancel(ctx, call.ID)
		return backend.Reply{}, class.New("%w: call %s got the answer of call %s, snapshot %s, shard %d",
			backend.ErrMismatch, call.ID, reply.Id, reply.Snapshot, reply.Shard)
	}
	switch reply.Outcome {
	case backendpb.Outcome_OUTCOME_DONE:
		if !(reply.Covered >= 0 && reply.Covered <= 1) {
			return backend.Reply{}, class.New("leaf %s: call %s covers %v of the shard, allowed are 0 to 1", s.address, call.ID, reply.Covered)
		}
		call.Attempt.Answered()
		return backend.Reply{ID: reply.Id, Snapshot: reply.Snapshot, Shard: reply.Shard, BootID: reply.BootId,
			Data: reply.Data, Covered: reply.Covered}, nil
	case backendpb.Outcome_OUTCOME_REFUSED:
		call.Attempt.Refused()
		return failedReply(reply, backend.ErrRefused)
	case backendpb.Outcome_OUTCOME_SNAPSHOT_GONE:
		call.Attempt.Refused()
		return failedReply(reply, backend.ErrSnapshotGone)
	case backendpb.Outcome_OUTCOME_STOPPED:
		return failedReply(reply, backend.ErrStopped)
	}
	return backend.Reply{}, class.New("leaf %s: unknown outcome %d of call %s", s.address, reply.Outcome, call.ID)
}

// failedReply returns err and the identity of the reply, which includes the leaf's boot identifier.
func failedReply(reply *backendpb.RunReply, err error) (backend.Reply, error) {
	return backend.Reply{ID: reply.Id, Snapshot: reply.Snapshot, Shard: reply.Shard, BootID: reply.BootId},
		class.New("%w: call %s: %s", err, reply.Id, reply.Message)
}

// matches reports whether the reply belongs to the call. The identifier is unique, so it is enough for a reply without
// an answer.
func matches(call backend.Call, reply *backendpb.RunReply) bool {
	if reply.Id != call.ID {
		return false
	}
	return reply.Outcome != backendpb.Outcome_OUTCOME_DONE ||
		(reply.Snapshot == call.Snapshot && reply.Shard == call.Shard)
}

// convertError converts a gRPC error to an error of package backend.
func (s *session) convertError(err error) error {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return class.New("leaf %s: %w: %w", s.address, backend.ErrSessionLost, err)
	}
	return class.New("leaf %s: %w", s.address, err)
}
