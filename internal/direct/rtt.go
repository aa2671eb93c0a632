package direct

import (
	"sync"
	"time"
)

const (
	// sameZoneRTT is the assumed round-trip time to a leaf in this node's zone. sameRegionRTT and otherRegionRTT are
	// both the initial and the largest estimates for other zones.
	sameZoneRTT    = time.Millisecond
	sameRegionRTT  = 3 * time.Millisecond
	otherRegionRTT = 40 * time.Millisecond
)

// zoneRTTs estimates the round-trip time to each zone from the fastest answers. It is safe for concurrent use.
type zoneRTTs struct {
	config Config

	mu sync.Mutex
	// minLatency is the shortest latency of any answer from each zone. That of this node's own zone is assumed to be
	// the processing time plus sameZoneRTT.
	minLatency map[string]time.Duration
}

func newZoneRTTs(c Config) zoneRTTs {
	return zoneRTTs{config: c, minLatency: map[string]time.Duration{}}
}

// record adds the latency of an answer.
func (z *zoneRTTs) record(zone string, latency time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if known, ok := z.minLatency[zone]; !ok || latency < known {
		z.minLatency[zone] = latency
	}
}

// estimate returns the estimated round-trip time to a zone.
func (z *zoneRTTs) estimate(zone string) time.Duration {
	assumed := otherRegionRTT
	switch {
	case zone == z.config.Zone:
		return sameZoneRTT
	case z.config.RegionByZone[zone] == z.config.Region:
		assumed = sameRegionRTT
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	remote, remoteKnown := z.minLatency[zone]
	local, localKnown := z.minLatency[z.config.Zone]
	if !remoteKnown || !localKnown {
		return assumed
	}
	return max(sameZoneRTT, min(assumed, remote-local+sameZoneRTT))
}
