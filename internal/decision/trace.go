package decision

import (
	"log/slog"
	"sync"
	"time"
)

// maxSteps bounds the memory of one request's trace.
const maxSteps = 160

// Trace collects the decisions on one request. They are written only if the request turns out to be notable, so that
// ordinary requests cause no output. It is safe for concurrent use.
type Trace struct {
	id      string
	started time.Time

	mu      sync.Mutex
	steps   []Step
	skipped int
	written bool
}

// Step is one decision on a request.
type Step struct {
	// Event names the decision.
	Event string
	// Service and Leaf name what the decision is about; Boot is the leaf's boot.
	Service, Leaf string
	Boot          int64
	// Input is the value that the decision was based on, such as an expected latency. InputName is its name.
	InputName string
	Input     any
	// Outcome is the result of the decision.
	Outcome string
	// Routine steps are written only if another step about the same service is not routine.
	Routine bool

	after time.Duration
}

// NewTrace returns the trace of a request that was received at the given time.
func NewTrace(id string, started time.Time) *Trace { return &Trace{id: id, started: started} }

// Add records a decision.
func (t *Trace) Add(s Step) {
	s.after = time.Since(t.started)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.written || len(t.steps) >= maxSteps {
		t.skipped++
		return
	}
	t.steps = append(t.steps, s)
}

// Write writes all steps to the log. Steps that are added later are dropped.
func (t *Trace) Write(l *Log) {
	t.mu.Lock()
	steps, skipped := t.steps, t.skipped
	t.written = true
	t.mu.Unlock()
	notable := map[string]bool{}
	for _, s := range steps {
		if !s.Routine {
			notable[s.Service] = true
		}
	}
	for _, s := range steps {
		if s.Routine && !notable[s.Service] {
			continue
		}
		attrs := []any{slog.String("request", t.id), slog.Float64("after_ms", Millis(s.after))}
		if s.Service != "" {
			attrs = append(attrs, slog.String("service", s.Service))
		}
		if s.Leaf != "" {
			attrs = append(attrs, slog.String("leaf", s.Leaf), slog.Int64("boot", s.Boot))
		}
		if s.InputName != "" {
			attrs = append(attrs, slog.Any(s.InputName, s.Input))
		}
		if s.Outcome != "" {
			attrs = append(attrs, slog.String("outcome", s.Outcome))
		}
		l.Info(s.Event, attrs...)
	}
	if skipped > 0 {
		l.Info("steps_skipped", "request", t.id, "steps", skipped)
	}
}

// Millis returns a duration in milliseconds.
func Millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
