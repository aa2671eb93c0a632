// Package verdict states whether a request may have run on a backend server.
//
// A verdict is derived from the recorded steps of an Attempt, so that code cannot easily report "not run" by mistake.
// The zero value of Verdict is MayHaveRun, the only safe answer when nothing is known.
package verdict

import "sync/atomic"

// Verdict says whether a request may have run. Its zero value is MayHaveRun.
type Verdict struct{ kind kind }

type kind uint8

const (
	kindMayHaveRun kind = iota
	kindNotRun
	kindCompleted
)

// MayHaveRun returns the verdict of a request about which nothing is known for certain.
func MayHaveRun() Verdict { return Verdict{kindMayHaveRun} }

// Completed returns the verdict of a request that ran and was answered.
func Completed() Verdict { return Verdict{kindCompleted} }

// IsNotRun reports whether the request certainly did not run and never will.
func (v Verdict) IsNotRun() bool { return v.kind == kindNotRun }

// IsCompleted reports whether the request ran and its answer is known.
func (v Verdict) IsCompleted() bool { return v.kind == kindCompleted }

// String returns "may-have-run", "not-run" or "completed".
func (v Verdict) String() string {
	switch v.kind {
	case kindNotRun:
		return "not-run"
	case kindCompleted:
		return "completed"
	default:
		return "may-have-run"
	}
}

// Parse is the inverse of String. An unknown text gives MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return Verdict{kindNotRun}
	case "completed":
		return Verdict{kindCompleted}
	default:
		return Verdict{}
	}
}

// Merge combines the verdicts of the parts of one request. The result is "not run" only if no part ran, and "completed"
// only if every part completed.
func Merge(parts ...Verdict) Verdict {
	if len(parts) == 0 {
		return Verdict{}
	}
	first := parts[0]
	for _, p := range parts[1:] {
		if p != first {
			return Verdict{}
		}
	}
	return first
}

type attemptState = uint32

const (
	attemptNotSent attemptState = iota
	attemptSent
	attemptRefused
	attemptAnswered
)

// Attempt tracks one send of a request over one hop. It is safe for concurrent use. The transport calls Begin
// immediately before it may hand the first byte to the network.
type Attempt struct{ state atomic.Uint32 }

// Begin records that bytes of the request may be sent from now on.
func (a *Attempt) Begin() { a.state.CompareAndSwap(attemptNotSent, attemptSent) }

// Refused records the receiver's own report that it did not run the request.
func (a *Attempt) Refused() { a.state.CompareAndSwap(attemptSent, attemptRefused) }

// Answered records that the whole answer was received.
func (a *Attempt) Answered() { a.state.CompareAndSwap(attemptSent, attemptAnswered) }

// Sent reports whether bytes of the request may have been sent.
func (a *Attempt) Sent() bool { return a.state.Load() != attemptNotSent }

// Verdict returns the verdict known so far. It is final only once the transport has finished with the attempt.
func (a *Attempt) Verdict() Verdict {
	switch a.state.Load() {
	case attemptNotSent, attemptRefused:
		return Verdict{kindNotRun}
	case attemptAnswered:
		return Verdict{kindCompleted}
	default:
		return Verdict{}
	}
}
