package direct

import (
	"math"
	"sync"
	"sync/atomic"
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

	mu    sync.Mutex
	zones map[string]*zoneRTT
}

// zoneRTT estimates the round-trip time to one zone. It is safe for concurrent use.
type zoneRTT struct {
	// assumed is the estimate while too few answers are known, and its upper bound.
	assumed time.Duration
	// minLatency is the shortest latency of any answer from the zone, or unknownLatency. That of this node's own zone is
	// assumed to be the processing time plus sameZoneRTT.
	minLatency atomic.Int64
	// own is this node's own zone.
	own *zoneRTT
}

const unknownLatency = math.MaxInt64

func newZoneRTTs(c Config) *zoneRTTs {
	z := &zoneRTTs{config: c, zones: map[string]*zoneRTT{}}
	own := &zoneRTT{assumed: sameZoneRTT}
	own.own = own
	own.minLatency.Store(unknownLatency)
	z.zones[c.Zone] = own
	return z
}

// of returns the estimate of a zone.
func (z *zoneRTTs) of(zone string) *zoneRTT {
	z.mu.Lock()
	defer z.mu.Unlock()
	known := z.zones[zone]
	if known == nil {
		known = &zoneRTT{assumed: otherRegionRTT, own: z.zones[z.config.Zone]}
		if z.config.RegionByZone[zone] == z.config.Region {
			known.assumed = sameRegionRTT
		}
		known.minLatency.Store(unknownLatency)
		z.zones[zone] = known
	}
	return known
}

// record adds the latency of an answer.
func (z *zoneRTT) record(latency time.Duration) {
	for known := z.minLatency.Load(); int64(latency) < known; known = z.minLatency.Load() {
		if z.minLatency.CompareAndSwap(known, int64(latency)) {
			return
		}
	}
}

// estimate returns the estimated round-trip time.
func (z *zoneRTT) estimate() time.Duration {
	if z == z.own {
		return sameZoneRTT
	}
	remote, local := z.minLatency.Load(), z.own.minLatency.Load()
	if remote == unknownLatency || local == unknownLatency {
		return z.assumed
	}
	return max(sameZoneRTT, min(z.assumed, time.Duration(remote-local)+sameZoneRTT))
}
