package direct

import (
	"sync"
	"time"
)

const (
	// sameZoneWay, sameRegionWay and otherRegionWay are the times to a leaf and back before any answer from its zone.
	sameZoneWay    = time.Millisecond
	sameRegionWay  = 3 * time.Millisecond
	otherRegionWay = 40 * time.Millisecond
)

// distances learns the time to each zone and back, from the fastest answers. It is safe for concurrent use.
type distances struct {
	config Config

	mu sync.Mutex
	// fastest is the shortest latency of any answer from the zone; that of the own zone is taken to be work alone.
	fastest map[string]time.Duration
}

func newDistances(c Config) distances {
	return distances{config: c, fastest: map[string]time.Duration{}}
}

// learn takes the latency of an answer.
func (d *distances) learn(zone string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.fastest[zone]; !ok || latency < f {
		d.fastest[zone] = latency
	}
}

// to returns the time to a zone and back.
func (d *distances) to(zone string) time.Duration {
	assumed := otherRegionWay
	switch {
	case zone == d.config.Zone:
		return sameZoneWay
	case d.config.RegionByZone[zone] == d.config.Region:
		assumed = sameRegionWay
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	there, known := d.fastest[zone]
	here, ownKnown := d.fastest[d.config.Zone]
	if !known || !ownKnown {
		return assumed
	}
	return max(sameZoneWay, min(assumed, there-here+sameZoneWay))
}
