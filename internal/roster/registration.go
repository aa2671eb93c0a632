package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
)

const (
	// registrationInterval is the time between two registrations of a node.
	registrationInterval = 700 * time.Millisecond
	// registrationTimeout is how long a node waits for its registrar to confirm its entry before it takes another one.
	registrationTimeout = 1500 * time.Millisecond
	// suspectTime is how long a node avoids a registrar that has not confirmed its entry in time.
	suspectTime = 30 * time.Second
	// maxUnlisted is how long a node registers without a confirmation while registrars answer that they cannot write.
	maxUnlisted = 20 * time.Second
)

// registration is what a node knows about its registration with another one. Callers are sent to few nodes of a large tier
// only. These nodes have leases of their own and keep the entries of the others.
type registration struct {
	// registrar is the chosen node; its ID is empty if there is none. It was chosen at since.
	registrar registry.Member
	since     time.Time
	// heard is when a registrar has last answered, listed when it has last confirmed the entry.
	heard, listed time.Time
	// suspects holds when registrars have failed to confirm the entry.
	suspects map[string]time.Time
}

// outage reports whether registrars answer but cannot write to the registry. A lease of this node's own would not help.
func (r *registration) outage(now time.Time) bool {
	return now.Sub(r.heard) < registrationTimeout && now.Sub(r.listed) < maxUnlisted
}

// trusted reports whether a registrar has confirmed the entry in time as far as this node knows.
func (r *registration) trusted(id string, now time.Time) bool {
	suspected, ok := r.suspects[id]
	return !ok || now.Sub(suspected) >= suspectTime
}

// choose chooses the registrar: the present one as long as it is trusted, else one of the node's zone if possible.
func (r *registration) choose(self registry.Member, candidates []registry.Member, now time.Time) {
	if r.registrar.ID != "" && now.Sub(later(r.since, r.listed)) >= registrationTimeout {
		r.suspects[r.registrar.ID] = now
	}
	if i := slices.IndexFunc(candidates, r.isRegistrar); i >= 0 && r.trusted(r.registrar.ID, now) {
		r.registrar = candidates[i]
		return
	}
	trusted := filter(candidates, func(m registry.Member) bool { return r.trusted(m.ID, now) })
	var next registry.Member
	switch {
	case len(trusted) > 0:
		next = slices.MinFunc(trusted, func(a, b registry.Member) int {
			return cmp.Or(compareFalseFirst(a.Zone != self.Zone, b.Zone != self.Zone), cmp.Compare(preference(self, a), preference(self, b)))
		})
	case len(candidates) > 0 && r.outage(now):
		next = slices.MinFunc(candidates, func(a, b registry.Member) int { return r.suspects[a.ID].Compare(r.suspects[b.ID]) })
	}
	if next.ID != r.registrar.ID {
		r.since = now
	}
	r.registrar = next
}

func (r *registration) isRegistrar(m registry.Member) bool { return m.ID == r.registrar.ID }

// preference orders the registrars of a node, so that the nodes spread over them.
func preference(self, registrar registry.Member) uint64 {
	return xxhash.Sum64String(self.ID + "\x00" + registrar.ID)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// register registers this node with another one, unless callers are sent to this node or there is no registrar. It reports
// whether it has done so, and whether this node still has a lease of its own.
func (r *Roster) register() (registering, leased bool) {
	if r.registrations == nil {
		return false, true
	}
	now := time.Now()
	r.mu.Lock()
	var candidates []registry.Member
	if advertised := r.advertised(); !slices.Contains(advertised, r.self.ID) {
		candidates = filter(r.members, func(m registry.Member) bool {
			return m.Region == r.self.Region && m.PeerAddress != "" && slices.Contains(advertised, m.ID)
		})
	}
	r.updateSelf()
	old := r.registration.registrar.ID
	r.registration.choose(r.self, candidates, now)
	registrar, self := r.registration.registrar, r.self
	leased = r.lease != 0
	r.mu.Unlock()
	if registrar.ID != old {
		r.log.Info("membership", "outcome", "registrar chosen", "registrar", registrar.ID, "before", old)
	}
	if registrar.ID == "" {
		return false, leased
	}
	r.registrations.SendRegistration(registrar.PeerAddress, cluster.Registration{Member: self})
	return true, leased
}

// handleRegistered processes an answer of the registrar. Once the entry is written under the registrar's lease, this node's
// own lease is left to end.
func (r *Roster) handleRegistered(answer cluster.Registered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer.Member != r.self.ID || answer.Boot != r.self.Boot || answer.Registrar != r.registration.registrar.ID || r.stopping {
		return
	}
	now := time.Now()
	r.registration.heard = now
	if !answer.Published {
		return
	}
	r.registration.listed = now
	delete(r.registration.suspects, answer.Registrar)
	if r.lease != 0 {
		r.log.Info("membership", "outcome", "registered", "registrar", answer.Registrar, "lease", r.lease)
		r.lease, r.missing = 0, false
	}
}

// deregister tells the registrar that this node stops.
func (r *Roster) deregister() {
	r.mu.Lock()
	registrar, self := r.registration.registrar, r.self
	r.mu.Unlock()
	if registrar.ID != "" {
		r.registrations.SendRegistration(registrar.PeerAddress, cluster.Registration{Member: self, Leaving: true})
	}
}
