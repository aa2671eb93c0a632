package registry

import (
	"context"
	"fmt"
	"time"
)

// MaxProbe is the largest number of a probe that the registry holds.
const MaxProbe = 9

// Quarantine is an entry about a request that the nodes refuse because it has crashed leaves. One entry refuses the
// request. Each further one allows one node to send it once more, as a probe.
type Quarantine struct {
	// Fingerprint is a hash of the request's content.
	Fingerprint uint64
	// Probe is the number of the probe that the entry allows, from 1 to MaxProbe. It is 0 in the entry that refuses the
	// request.
	Probe int
	// Node is the VM that wrote the entry.
	Node string
	// Written is when it did so by its clock, as Unix time in milliseconds.
	Written int64
}

// Until returns the request's entries up to this one, as if this one's node had written them.
func (q Quarantine) Until() []Quarantine {
	var entries []Quarantine
	for probe := range q.Probe + 1 {
		entries = append(entries, Quarantine{Fingerprint: q.Fingerprint, Probe: probe, Node: q.Node, Written: q.Written})
	}
	return entries
}

// ID returns the identifier of the entry, which the registry holds at most once.
func (q Quarantine) ID() string { return fmt.Sprintf("%016x/%d", q.Fingerprint, q.Probe) }

// Quarantines writes quarantine entries to the registry. Implementations are safe for concurrent use; ctx bounds every
// call. Errors are as in Registry.
type Quarantines interface {
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Quarantine writes entries, at most MaxEntries. It has no effect on those that exist, but they are then removed when
	// this lease ends.
	Quarantine(ctx context.Context, lease uint64, entries ...Quarantine) error
	// ClaimProbe writes the entry of a probe, or returns ErrChanged if it exists. It also writes the request's entries before
	// that one, so that they last as long.
	ClaimProbe(ctx context.Context, lease uint64, entry Quarantine) error
	// EndQuarantine removes entries, at most MaxEntries.
	EndQuarantine(ctx context.Context, entries ...Quarantine) error
}
