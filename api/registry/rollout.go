package registry

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// RolloutRequest is an operator's request to move the traffic of a service to another version of its leaves.
type RolloutRequest struct {
	Service string
	// Target is the version of the leaves that are to get the traffic.
	Target string
	// Duration is the time, from the request on, within which a good version is to be completed.
	Duration time.Duration
	// Revision is the registry's revision of the request. It identifies the rollout.
	Revision uint64
}

// RolloutState is the state of a rollout that the registry holds.
type RolloutState int

// The states of rollouts.
const (
	// RolloutRequested means that the registry holds no state of the rollout yet.
	RolloutRequested RolloutState = iota
	RolloutRunning
	RolloutCompleted
	RolloutRolledBack
)

// String returns the name used in logs.
func (s RolloutState) String() string {
	return [...]string{"requested", "running", "completed", "rolled_back"}[s]
}

// Final reports whether the state is the rollout's last one.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// RolloutStatus is the state of a service's latest rollout as the nodes have written it.
type RolloutStatus struct {
	Service string
	Target  string
	State   RolloutState
	// Old lists the versions that got the service's traffic before the rollout.
	Old []string
	// Revision is the registry's revision of the status. A status that is older than the request belongs to an earlier
	// rollout.
	Revision uint64
}

// Of reports whether the status is that of the request.
func (s RolloutStatus) Of(r RolloutRequest) bool {
	return s.Revision > r.Revision && s.Target == r.Target
}

// Equal reports whether two statuses are equal.
func (s RolloutStatus) Equal(o RolloutStatus) bool {
	return s.Service == o.Service && s.Target == o.Target && s.State == o.State && s.Revision == o.Revision && slices.Equal(s.Old, o.Old)
}

// Rollout is what the registry holds about the rollout of a service. The revision of a missing request or status is 0.
type Rollout struct {
	Service string
	Request RolloutRequest
	Status  RolloutStatus
}

// Rollouts returns the state's requests and statuses by service, in ascending order.
func (s State) Rollouts() []Rollout {
	var list []Rollout
	for _, r := range s.RolloutRequests {
		list = append(list, Rollout{Service: r.Service, Request: r})
	}
	for _, status := range s.RolloutStatuses {
		i := slices.IndexFunc(list, func(r Rollout) bool { return r.Service == status.Service })
		if i < 0 {
			list = append(list, Rollout{Service: status.Service, Status: status})
			continue
		}
		list[i].Status = status
	}
	slices.SortFunc(list, func(a, b Rollout) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// SetRollouts replaces the state's requests and statuses.
func (s *State) SetRollouts(list []Rollout) {
	s.RolloutRequests, s.RolloutStatuses = nil, nil
	for _, r := range list {
		if r.Request.Revision > 0 {
			s.RolloutRequests = append(s.RolloutRequests, r.Request)
		}
		if r.Status.Revision > 0 {
			s.RolloutStatuses = append(s.RolloutStatuses, r.Status)
		}
	}
}

// Rollouts reads and writes the statuses of rollouts. Implementations are safe for concurrent use; ctx bounds every call.
// Errors are as in Registry.
type Rollouts interface {
	// ReadRollout returns the newest request and status of a service. A status that cannot be decoded has a revision, by which
	// it can be replaced, and no state.
	ReadRollout(ctx context.Context, service string) (Rollout, error)
	// WriteRollout writes a status and returns its revision. It returns ErrChanged unless the request has the given revision
	// and the status that it replaces has status.Revision, which is 0 if there must be none.
	WriteRollout(ctx context.Context, request RolloutRequest, status RolloutStatus) (revision uint64, err error)
}
