// Package rollout moves the traffic of a service to another version of its leaves, step by step, on all nodes. Each node
// sends a bounded part of its own requests to the new version, counts the answers and tells the other nodes. Every node
// judges the version by the counts of all nodes. A version that is judged bad gets nothing more, one that stays good
// until shortly before the end of the requested time gets all requests once the registry says that it is completed.
//
// Rollout, limiter, totals and their judgement have no network, clock or randomness of their own. Controller runs them.
package rollout

import (
	"slices"
	"time"

	"cyclamenstream/api/registry"
)

const (
	// A good version is completed decideMargin or decideMarginShare of the duration, whichever is longer, before the
	// duration ends, so that versions that turn bad late are noticed. The time of decideMargin is needed to learn of the
	// request, which takes up to one read of the registry, and for two attempts to write the status.
	decideMargin      = 3 * time.Second
	decideMarginShare = 0.2
	// minDecideShare is the earliest part of a short duration at which a version is completed.
	minDecideShare = 0.3
	// minObservedShare is the part of the duration for which the version's leaves must have been known.
	minObservedShare = 0.25
	// newsShare is the part of the time to roll back within which a node must have heard from others to send to a version
	// that is not completed. The rest is for counts on their way.
	newsShare = 0.7
)

// Config holds the bounds of rollouts.
type Config struct {
	// Share and Slack bound the requests of all nodes to a version that is not completed: Share of the service's requests
	// plus Slack.
	Share, Slack float64
	// RollbackWithin bounds the time after a number of bad answers until a version gets no more requests.
	RollbackWithin time.Duration
}

// elapsed returns the time from a to b by the clock that shows more. The monotonic clock may stand still while a VM is
// suspended.
func elapsed(a, b time.Time) time.Duration { return max(b.Sub(a), b.Round(0).Sub(a.Round(0))) }

// Rollout is a node's state of one rollout. Its methods are not safe for concurrent use.
type Rollout struct {
	config  Config
	request registry.RolloutRequest
	epoch   uint64
	// state is what this node acts on. It is final before the registry says so if the version was judged bad, and completed
	// only once the registry says so.
	state registry.RolloutState
	// good is set while the version is to be completed.
	good bool
	// status is the registry's latest status of the service, which may belong to an earlier rollout.
	status registry.RolloutStatus
	// old lists the versions that got the traffic before.
	old []string
	// began is when the rollout was first known to any node, targetSince when its leaves were, and decided when this node
	// last changed what it wants the registry to say.
	began, targetSince, decided time.Time
	wanted                      registry.RolloutState
	limiter                     limiter
	totals                      *totals
	// heard is when each other node was last heard of.
	heard map[string]time.Time
}

// newRollout returns a rollout that is known from now on. status is the registry's status of the service, old lists the
// versions that got the traffic so far, and slack is this node's part of the slack.
func newRollout(c Config, request registry.RolloutRequest, epoch uint64, status registry.RolloutStatus, old []string, slack float64, now time.Time) *Rollout {
	r := &Rollout{config: c, request: request, epoch: epoch, old: old, began: now, heard: map[string]time.Time{},
		limiter: limiter{share: c.Share * shareFraction, slack: slack}, totals: newTotals(request.Target, request.Duration)}
	if !r.alone() {
		r.old = without(old, request.Target)
	}
	r.adopt(status, now)
	return r
}

func without(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version })
}

// completeOld takes the listed versions for those that got the traffic before if none is known, such as when the request was
// known before any leaf.
func (r *Rollout) completeOld(listed []string) {
	if len(r.old) == 0 {
		r.old = versionsBefore(r.request, r.status, listed)
	}
}

// versionsBefore returns the versions that got a service's traffic before a rollout, for a node that has not seen it: those
// that an earlier rollout has completed or not replaced, or else the listed ones apart from the target.
func versionsBefore(request registry.RolloutRequest, status registry.RolloutStatus, listed []string) []string {
	old := status.Old
	if status.State == registry.RolloutCompleted && !status.Of(request) {
		old = []string{status.Target}
	}
	if slices.ContainsFunc(old, func(version string) bool { return slices.Contains(listed, version) }) {
		return old
	}
	return without(listed, request.Target)
}

// alone reports whether the target is the only version that got the traffic before, so that nothing is to be moved.
func (r *Rollout) alone() bool { return len(r.old) == 1 && r.old[0] == r.request.Target }

// adopt adopts what the registry says. The end of a rollout holds even if this node judges otherwise, since the platform
// acts on it.
func (r *Rollout) adopt(status registry.RolloutStatus, now time.Time) {
	if status.Revision < r.status.Revision {
		return
	}
	r.status = status
	if !status.Of(r.request) {
		return
	}
	if status.Old != nil {
		r.old = status.Old
	}
	if status.State.Final() || r.state == registry.RolloutRequested {
		r.setState(status.State, now)
	}
}

func (r *Rollout) setState(s registry.RolloutState, now time.Time) {
	if s != r.state {
		r.state = s
		r.setWanted(s, now)
	}
}

// setWanted records what the registry is to say.
func (r *Rollout) setWanted(s registry.RolloutState, now time.Time) {
	if s != r.wanted {
		r.wanted, r.decided = s, now
	}
}

// continueAs adopts a request that operators have written again after the registry was restored from a copy without it.
func (r *Rollout) continueAs(request registry.RolloutRequest, epoch uint64, status registry.RolloutStatus, now time.Time) {
	r.request, r.epoch, r.status = request, epoch, registry.RolloutStatus{}
	r.adopt(status, now)
}

// serving lists the versions that get the traffic.
func (r *Rollout) serving() []string {
	if r.state == registry.RolloutCompleted {
		return []string{r.request.Target}
	}
	return r.old
}

// setListed records whether the registry lists leaves of the target version that take requests.
func (r *Rollout) setListed(listed bool, now time.Time) {
	switch {
	case !listed:
		r.targetSince = time.Time{}
	case r.targetSince.IsZero():
		r.targetSince = now
	}
	if listed && r.state == registry.RolloutRequested {
		r.setState(registry.RolloutRunning, now)
	}
}

// hasNews reports whether at least half of the other nodes have been heard of recently.
func (r *Rollout) hasNews(others int, now time.Time) bool {
	limit, count := time.Duration(newsShare*float64(r.config.RollbackWithin)), 0
	for _, at := range r.heard {
		if elapsed(at, now) < limit {
			count++
		}
	}
	return 2*count >= others
}

// admit reports whether a request may be sent to the target version now, and counts it. sole is set if no leaf of the old
// version is usable. While the version is to be completed, that may be because a write has taken effect whose answer is
// missing, so there is no limit then.
func (r *Rollout) admit(others int, sole bool, now time.Time) bool {
	if r.state != registry.RolloutRunning || r.targetSince.IsZero() || !r.hasNews(others, now) {
		return false
	}
	if sole && r.good {
		r.limiter.target++
		return true
	}
	whole := r.decideAt().Sub(r.targetSince)
	return r.limiter.admit(float64(elapsed(r.targetSince, now))/float64(max(1, whole)), len(r.old) > 0)
}

// Answer is the end of a request to a leaf.
type Answer struct {
	Version, Route string
	// Reached is set if the leaf got the request.
	Reached bool
	// Counts is set if the end says something about the leaf's version: an answer, or its absence after Latency.
	Counts bool
	// Failed is set if the leaf answered with a failure.
	Failed bool
	// Latency is the time that the request took without the network.
	Latency time.Duration
}

// record records the end of a request of this node.
func (r *Rollout) record(a Answer, now time.Time) {
	if a.Reached && elapsed(r.began, now) < r.request.Duration {
		r.limiter.record(a.Version == r.request.Target)
	}
	if a.Counts {
		r.totals.record(a, now)
	}
}

// decideAt returns when a version that has stayed good is completed.
func (r *Rollout) decideAt() time.Time {
	d := r.request.Duration
	margin := max(decideMargin, time.Duration(decideMarginShare*float64(d)))
	at := r.began.Add(max(d-margin, time.Duration(minDecideShare*float64(d))))
	if observed := r.targetSince.Add(time.Duration(minObservedShare * float64(d))); observed.After(at) {
		return observed
	}
	return at
}

// judge judges the version by what is known now, and returns the reason if it is bad.
func (r *Rollout) judge(others int, now time.Time) (Evidence, bool) {
	if r.state != registry.RolloutRunning {
		return Evidence{}, false
	}
	if r.alone() {
		r.setWanted(registry.RolloutCompleted, now)
		return Evidence{}, false
	}
	due := !r.targetSince.IsZero() && elapsed(r.decideAt(), now) >= 0 && r.hasNews(others, now)
	evidence, bad := r.totals.judge(now, due && !r.good, len(r.old) > 0)
	r.good = due && !bad
	switch {
	case bad:
		r.setState(registry.RolloutRolledBack, now)
	case r.good:
		r.setWanted(registry.RolloutCompleted, now)
	default:
		r.setWanted(registry.RolloutRunning, now)
	}
	return evidence, bad
}

// reconsider takes back that the version is to be completed, until it is judged again.
func (r *Rollout) reconsider(now time.Time) {
	if r.good = false; r.state == registry.RolloutRunning {
		r.setWanted(registry.RolloutRunning, now)
	}
}

// recorded reports whether the registry says what this node wants it to say.
func (r *Rollout) recorded() bool {
	return r.wanted == registry.RolloutRequested || r.status.Of(r.request) && r.status.State == r.wanted
}

// next returns the status that is to be written, with the revision of the one that it replaces.
func (r *Rollout) next() registry.RolloutStatus {
	return registry.RolloutStatus{Service: r.request.Service, Target: r.request.Target, State: r.wanted, Old: r.old, Revision: r.status.Revision}
}
