package member

import (
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
)

const (
	// maxDrain covers every call that any predecessor can have sent: the longest leaf timeout and the end grace.
	maxDrain = config.MaxLeafTimeout + backend.EndGrace
	// drainMemory is how long a replaced configuration can matter: a predecessor may use it for FreshLimit, keep its lease
	// for LeaseTime more, and its last call then runs for up to maxDrain.
	drainMemory = FreshLimit + LeaseTime + maxDrain
)

// drain is the time after which the calls of an owner that gave no handover have certainly ended.
type drain struct {
	wait time.Duration
	// previous applies until the given instant if it is longer: the owner may have used an older configuration.
	previous time.Duration
	until    instant
}

func (d drain) at(now instant) time.Duration {
	if now < d.until {
		return max(d.wait, d.previous)
	}
	return d.wait
}

// drains returns the drain of each service, given those under the configuration that doc replaces.
func drains(doc *config.Document, replaced map[string]drain, now instant) map[string]drain {
	next := make(map[string]drain, len(doc.Services))
	for name, s := range doc.Services {
		previous := maxDrain
		if d, known := replaced[name]; known {
			previous = d.at(now)
		}
		next[name] = drain{wait: serviceDrain(doc, s), previous: previous, until: now + drainMemory}
	}
	return next
}

// serviceDrain returns the longest leaf timeout of the service's profiles plus the end grace.
func serviceDrain(doc *config.Document, s config.Service) time.Duration {
	longest := time.Duration(0)
	for _, name := range append([]string{s.Profile}, s.ExtraProfiles...) {
		p, known := doc.Profiles[name]
		if !known {
			return maxDrain
		}
		longest = max(longest, time.Duration(p.LeafTimeout))
	}
	return longest + backend.EndGrace
}
