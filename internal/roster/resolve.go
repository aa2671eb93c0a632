package roster

import (
	"slices"
	"time"

	"cyclamenstream/api/registry"
)

// maxAddresses is the number of addresses in an answer that callers use.
const maxAddresses = 64

// Advertised returns the names of all nodes to which the callers of some zone are directed, in ascending order.
func (r *Roster) Advertised() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advertised()
}

func (r *Roster) advertised() []string {
	members := r.members
	if !slices.ContainsFunc(members, r.isSelf) {
		members = append(slices.Clone(members), r.self)
	}
	return placement{members, r.leafConnections}.advertised()
}

func (r *Roster) isSelf(m registry.Member) bool { return m.ID == r.self.ID }

// Resolve returns the addresses to which a caller in a zone connects, and how long the caller may keep them.
func (r *Roster) Resolve(region, zone string) ([]string, time.Duration) {
	ready := r.Ready()
	r.mu.Lock()
	defer r.mu.Unlock()
	members := slices.DeleteFunc(slices.Clone(r.members), r.isSelf)
	if ready {
		members = append(members, r.self)
	}
	var addresses []string
	for _, m := range (placement{members, r.leafConnections}).selectNodes(region, zone) {
		addresses = append(addresses, m.CallerAddress)
	}
	return addresses[:min(len(addresses), maxAddresses)], r.config.ResolveTTL
}
