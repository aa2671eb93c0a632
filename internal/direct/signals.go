package direct

import (
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/internal/decision"
)

// signals is what a leaf has said about the requests that it wants from this node.
type signals struct {
	leaf *leafState
	// leaving is set once the leaf has said that it is about to stop. It holds for the rest of the leaf's boot.
	leaving bool
	// ended is set once the boot is over.
	ended bool
	// pausedUntil is until when the leaf wants no requests from this node. paused is set until the next send after it.
	pausedUntil time.Time
	paused      bool
}

// signalCounters count the signals of all leaves.
type signalCounters struct{ leaving, pauses tally.Counter }

func newSignalCounters(scope tally.Scope) signalCounters {
	return signalCounters{leaving: scope.Counter("leaves_leaving"), pauses: scope.Counter("leaf_pauses")}
}

// record records what a leaf has said with the outcome of a request.
func (s *signals) record(o Outcome, now time.Time) {
	if o.Leaving && !s.leaving {
		s.leaving = true
		s.leaf.pool.signals.leaving.Inc(1)
		s.log("leaf_leaving", "request", o.RequestID, "outcome", "began")
	}
	if until := now.Add(o.Pause); o.Pause > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
		s.leaf.pool.signals.pauses.Inc(1)
		s.log("leaf_pause", "request", o.RequestID, "outcome", "began", "pause_ms", decision.Millis(o.Pause))
		s.paused = true
	}
}

// recordSend records that a request is sent to the leaf, which ends a pause.
func (s *signals) recordSend() {
	if s.paused {
		s.paused = false
		s.log("leaf_pause", "outcome", "ended")
	}
}

// end records that the leaf's boot is over.
func (s *signals) end() {
	if s.leaving && !s.ended {
		s.ended = true
		s.log("leaf_leaving", "outcome", "ended")
	}
}

func (s *signals) log(message string, attributes ...any) {
	l := s.leaf.leaf
	s.leaf.pool.config.Log.Info(message, append([]any{"leaf", l.ID, "boot", l.Boot, "service", l.Service}, attributes...)...)
}
