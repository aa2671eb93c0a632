package member

import (
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
)

const (
	// maxDrain covers every call that a predecessor can have sent. It is the longest leaf timeout plus the end grace.
	maxDrain = config.MaxLeafTimeout + backend.EndGrace
	// replacedConfigLife is how long a replaced configuration still matters. A predecessor may use it for FreshLimit
	// and keep its lease for LeaseTime more. Its last call then runs for up to maxDrain.
	replacedConfigLife = FreshLimit + LeaseTime + maxDrain
)

// drain is how long the last calls of an owner that gave no handover may still run.
type drain struct {
	wait time.Duration
	// previous is the wait under older configurations, which the owner may still have used. It applies until the given
	// instant if it is longer than wait.
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
		next[name] = drain{wait: serviceDrain(doc, s), previous: previous, until: now + replacedConfigLife}
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
