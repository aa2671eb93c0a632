package quota

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// meters holds the metrics of a service.
type meters struct {
	outcomes                   [Unanswered + 1]tally.Counter
	reports, denials, returned tally.Counter
}

func newMeters(scope tally.Scope) meters {
	m := meters{reports: scope.Counter("quota_reports"), denials: scope.Counter("quota_denials"), returned: scope.Counter("quota_returned")}
	for o := range m.outcomes {
		m.outcomes[o] = scope.Tagged(map[string]string{"outcome": Outcome(o).String()}).Counter("quota_requests")
	}
	return m
}

// refusalLog counts the requests of an organisation since the latest log line about it.
type refusalLog struct {
	counts   [Unanswered + 1]int
	loggedAt time.Duration
}

// record counts a decision. While requests of an organisation are refused, it writes a log line every logInterval.
func (s *Service) record(organisation string, d Decision) {
	s.meters.outcomes[d.Outcome].Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.node.accounts[organisation] == nil {
		return
	}
	l := s.logs[organisation]
	if l == nil {
		l = &refusalLog{loggedAt: -logInterval}
		s.logs[organisation] = l
	}
	l.counts[d.Outcome]++
	now := s.clock.now().elapsed
	if d.Outcome == Admitted || now-l.loggedAt < logInterval {
		return
	}
	var allocators []string
	for _, session := range s.node.accounts[organisation].sessions {
		allocators = append(allocators, session.allocator.name)
	}
	s.log.Warn("quota_refusals", "organisation", organisation, "outcome", d.Outcome.String(), "admitted", l.counts[Admitted], "denied", l.counts[Denied],
		"unanswered", l.counts[Unanswered], "allocators", allocators)
	*l = refusalLog{loggedAt: now}
}
