package leafset

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/slots"
)

var errUsed = errors.New("slot was already used")

// slot is a permit for one call on a leaf.
type slot struct {
	service *service
	grant   *slots.Grant
	conn    *conn
	used    atomic.Bool
}

func (s *slot) VM() string               { return s.grant.VM() }
func (s *slot) BootID() string           { return s.grant.BootID() }
func (s *slot) Latency95() time.Duration { return s.service.latency.Estimate().P95 }

// Release returns an unused slot.
func (s *slot) Release() {
	if s.used.CompareAndSwap(false, true) {
		s.grant.Finish(slots.NotSent, 0, "")
	}
}

type callResult struct {
	reply backend.Reply
	err   error
}

// Do checks whether the call may be sent, and sends it. Its errors carry the verdict of the call's attempt.
func (s *slot) Do(ctx context.Context, call backend.Call) (backend.Reply, error) {
	if !s.used.CompareAndSwap(false, true) {
		return backend.Reply{}, verdict.Failf(call.Attempt, verdict.CodeInternal, errUsed, "call %q", call.ID)
	}
	s.conn.begin(call.ID)
	if err := s.check(ctx, call); err != nil {
		s.grant.Finish(slots.NotSent, 0, "")
		s.conn.end(call.ID, false)
		return backend.Reply{}, err
	}
	s.service.set.metrics.sends.Inc(1)
	done := make(chan callResult, 1)
	go func() {
		reply, err := s.send(ctx, call)
		done <- callResult{reply, err}
	}()
	select {
	case a := <-done:
		return a.reply, a.err
	case <-ctx.Done():
	}
	select {
	case a := <-done:
		return a.reply, a.err
	default:
	}
	call.Attempt.Begin() // the session may still send the call, so it counts as sent
	return backend.Reply{}, verdict.Failf(call.Attempt, verdict.CodeDeadline, ctx.Err(), "call %q to %s", call.ID, s.VM())
}

// check returns an error if the call must not be sent. The checks of ownership, freshness and the leaf come last, so
// that they are made immediately before the send.
func (s *slot) check(ctx context.Context, call backend.Call) error {
	fail := func(code verdict.Code, cause error, reason string) error {
		s.service.set.metrics.checkFailed.Inc(1)
		return verdict.Failf(call.Attempt, code, cause, "call %q to %s: %s", call.ID, s.VM(), reason)
	}
	if call.Timeout <= 0 || call.Timeout > config.MaxLeafTimeout {
		return fail(verdict.CodeInvalid, nil, "timeout "+call.Timeout.String()+" is not in (0, "+
			config.MaxLeafTimeout.String()+"]")
	}
	if err := ctx.Err(); err != nil {
		return fail(verdict.CodeDeadline, err, "not sent")
	}
	if err := s.grant.MarkSent(call.Timeout); errors.Is(err, slots.ErrClosed) {
		return fail(verdict.CodeNoOwner, err, "not sent")
	} else if err != nil {
		return fail(verdict.CodeSessionLost, err, "not sent")
	}
	deps := s.service.set.deps
	if err := deps.Ownership.CheckOwned(s.service.name); err != nil {
		return fail(verdict.CodeNoOwner, err, "not owned")
	}
	if err := deps.Membership.CheckFresh(); err != nil {
		return fail(verdict.CodeStale, err, "not fresh")
	}
	if !deps.Membership.LeafAllowed(s.conn.vm) {
		return fail(verdict.CodeOutOfService, nil, "the leaf is out of service")
	}
	return nil
}

// send runs the call to its end, which may be after Do has returned, and returns the slot.
func (s *slot) send(ctx context.Context, call backend.Call) (backend.Reply, error) {
	start := time.Now()
	reply, err := s.conn.session.Do(ctx, call)
	took := time.Since(start)
	if err == nil && (reply.ID != call.ID || reply.Snapshot != call.Snapshot || reply.Shard != call.Shard) {
		err = backend.ErrMismatch
	}
	outcome, code := classify(err, call.Attempt)
	if outcome == slots.Lost && code == verdict.CodeSessionLost && s.conn.isUnresponsive(took >= call.Timeout) {
		outcome, code = slots.Unresponsive, verdict.CodeDeadline
	}
	if outcome == slots.Answered || errors.Is(err, backend.ErrStopped) && took > s.Latency95() {
		s.service.latency.Record(took) // a stopped call would have taken at least this long
	}
	s.countOutcome(outcome, err)
	if errors.Is(err, backend.ErrSnapshotGone) {
		s.service.removeReplica(s.VM(), call.Snapshot, call.Shard)
		s.conn.requestStatus()
	}
	s.grant.Finish(outcome, took, reply.BootID)
	s.conn.end(call.ID, outcome == slots.Lost || outcome == slots.Unresponsive)
	if outcome == slots.Unresponsive {
		_ = s.conn.session.Close() // the worker notices this and dials again
	}
	switch {
	case errors.Is(err, backend.ErrMismatch): // the attempt's verdict may be that of another call's answer
		return backend.Reply{}, verdict.WithVerdict(verdict.MayHaveRun(), code, "call %q to %s: %v", call.ID, s.VM(), err)
	case err != nil:
		return backend.Reply{}, verdict.Failf(call.Attempt, code, err, "call %q to %s", call.ID, s.VM())
	}
	return reply, nil
}

func (s *slot) countOutcome(outcome slots.Outcome, err error) {
	metrics := &s.service.set.metrics
	switch outcome {
	case slots.Answered:
		metrics.answers.Inc(1)
	case slots.Refused:
		metrics.refused.Inc(1)
	case slots.Lost, slots.Unresponsive:
		metrics.lost.Inc(1)
	}
	if errors.Is(err, backend.ErrMismatch) {
		metrics.mismatched.Inc(1)
	}
}

// classify returns the outcome of a session's Do for the slot, and the code for callers. Unless the error shows that
// the call has ended on the leaf, the call counts as running until its timeout.
func classify(err error, attempt *verdict.Attempt) (slots.Outcome, verdict.Code) {
	switch {
	case err == nil:
		return slots.Answered, ""
	case errors.Is(err, backend.ErrRefused):
		return slots.Refused, verdict.CodeLeafRefused
	case errors.Is(err, backend.ErrSnapshotGone):
		return slots.Ended, verdict.CodeSnapshotGone
	case errors.Is(err, backend.ErrStopped):
		return slots.Ended, verdict.CodeDeadline
	case attempt.Verdict().IsNotRun():
		return slots.NotSent, verdict.CodeSessionLost
	case errors.Is(err, backend.ErrSessionLost):
		return slots.Lost, verdict.CodeSessionLost
	default:
		return slots.Lost, verdict.CodeInternal
	}
}
