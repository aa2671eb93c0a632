package direct

import (
	"time"

	"cyclamenstream/internal/rollout"
)

// allowsVersion reports whether the leaf's version may get the request. Without a rollout of the service each may.
func (s *service) allowsVersion(l *leafState, c Criteria) bool {
	policy := s.pool.config.Rollouts.Policy(l.leaf.Service)
	switch {
	case policy == nil:
		return !c.tried
	case c.tried:
		return policy.Tries(l.leaf.Version)
	}
	return policy.Allows(l.leaf.Version) || policy.FallsBackTo(l.leaf.Version) && !s.hasAllowedVersion(policy, c)
}

// hasAllowedVersion reports whether some leaf of an allowed version is usable. A leaf that has just failed is not.
func (s *service) hasAllowedVersion(policy *rollout.Policy, c Criteria) bool {
	now := s.pool.config.Now()
	for _, l := range s.leaves {
		if policy.Allows(l.leaf.Version) && s.takesWork(l, c) && !now.Before(l.backoffUntil) {
			return true
		}
	}
	return false
}

// tryVersion returns a leaf of the version that a rollout tries if the request is to go there, or nil. best is the best leaf
// of the other versions, or nil, and sole is set if none of theirs is usable. A leaf of the same zone comes first, so that a
// slow zone affects both versions alike. Hedges and retries go to the other versions, which are known to be good.
func (s *service) tryVersion(c Criteria, best *leafState, sole bool, now time.Time, processing time.Duration) *leafState {
	if c.Purpose != FirstSend || s.pool.config.Rollouts.Policy(c.Service) == nil {
		return nil
	}
	c.tried = true
	zone := ""
	if best != nil {
		zone = best.leaf.Zone
	}
	var tried *leafState
	var triedRank rank
	for _, l := range s.leaves {
		if !s.allowed(l, c) || !l.mayAccept(c.Purpose, now) {
			continue
		}
		r, free := l.rank(now, processing)
		if !free || r.inBackoff {
			continue
		}
		inZone := l.leaf.Zone == zone
		if triedInZone := tried != nil && tried.leaf.Zone == zone; tried == nil || inZone && !triedInZone || inZone == triedInZone && r.before(triedRank) {
			tried, triedRank = l, r
		}
	}
	if tried == nil || !s.pool.config.Rollouts.Admit(c.Service, sole) {
		return nil
	}
	return tried
}

// recordVersion records the end of the ticket's request for the judgement of versions. A request that was refused or found
// no server says nothing about the leaf's version.
func (t *Ticket) recordVersion(o Outcome, took time.Duration) {
	rollouts := t.service.pool.config.Rollouts
	if policy := rollouts.Policy(t.leaf.Service); policy == nil || policy.Ended() {
		return
	}
	a := rollout.Answer{Version: t.leaf.Version, Route: t.route, Failed: o.Kind == Failed,
		Latency: max(0, took-t.state.rtt.estimate())}
	switch o.Kind {
	case Answered, Failed, Abandoned:
		a.Reached, a.Counts = true, true
	case Refused:
		a.Reached = true
	}
	if t.started.Before(t.state.cold.until) {
		a.Latency = 0 // a leaf that warms up may be slow whatever its version
	}
	rollouts.Done(t.leaf.Service, a)
}
