package rollout

import (
	"slices"

	"cyclamenstream/api/registry"
)

// Policy says which versions of a service's leaves get requests.
type Policy struct {
	state  registry.RolloutState
	target string
	old    []string
}

// Allows reports whether leaves of a version get requests without a limit.
func (p *Policy) Allows(version string) bool {
	if p.state == registry.RolloutCompleted {
		return version == p.target
	}
	return slices.Contains(p.old, version)
}

// Tries reports whether a version gets some requests, each of which the controller must admit.
func (p *Policy) Tries(version string) bool {
	return p.state == registry.RolloutRunning && version == p.target
}

// Ended reports whether the rollout has ended, so that answers are not counted any more.
func (p *Policy) Ended() bool { return p.state.Final() }

// FallsBackTo reports whether leaves of a version get requests while no leaf of an allowed one is usable. After a rollout is
// completed these are the old ones, but not versions that were rolled back or that no rollout allows.
func (p *Policy) FallsBackTo(version string) bool {
	return p.state == registry.RolloutCompleted && slices.Contains(p.old, version)
}
