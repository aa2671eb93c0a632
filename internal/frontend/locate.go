package frontend

import (
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/verdict"
)

const (
	// DefaultLocateTTL is the longest time for which callers may keep addresses.
	DefaultLocateTTL = 5 * time.Second
	// locateJitter is the fraction by which the time to live varies, so that callers do not all ask at once.
	locateJitter = 0.2
	// maxAddresses is the largest number of addresses that callers get for a service.
	maxAddresses = 3
)

// Locate returns the addresses that callers of a service should use. The owner comes first, then members of this zone,
// then others, in random order within each group. Its errors have verdict "not run".
func (f *Frontend) Locate(service string) (operator.LocateAnswer, error) {
	if err := f.Members.CheckFresh(); err != nil {
		return operator.LocateAnswer{}, err
	}
	d := f.Config.Current()
	if d == nil {
		return operator.LocateAnswer{}, verdict.Refusef(verdict.CodeStale, "the node has no configuration yet")
	}
	if _, ok := d.Services[service]; !ok {
		return operator.LocateAnswer{}, verdict.Refusef(verdict.CodeUnknownService, "service %q is not configured", service)
	}
	usable := slices.DeleteFunc(slices.Clone(f.Members.Members()), func(m cluster.Member) bool {
		return !m.Alive || m.Stopping || m.VM.CallerAddress == "" || outOfService(d, m.VM)
	})
	if len(usable) == 0 {
		return operator.LocateAnswer{}, verdict.Refusef(verdict.CodeNoOwner, "no node accepts queries to service %q",
			service)
	}
	owner, owned := f.Owners.Owner(service)
	rank := func(m cluster.Member) int {
		switch {
		case owned && m.VM.ID == owner.VM.ID:
			return 0
		case m.VM.Zone == f.Members.Self().Zone:
			return 1
		}
		return 2
	}
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(a, b cluster.Member) int { return rank(a) - rank(b) })
	answer := operator.LocateAnswer{Service: service,
		TTLMillis: int64(float64(f.LocateTTL.Milliseconds()) * (1 - locateJitter*rand.Float64()))}
	for _, m := range usable[:min(len(usable), maxAddresses)] {
		answer.Addresses = append(answer.Addresses, m.VM.CallerAddress)
	}
	return answer, nil
}
