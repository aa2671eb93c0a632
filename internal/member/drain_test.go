package member

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
)

// Guards against a new owner that uses slots while a call of its predecessor may still run. The predecessor may have
// sent the call under a configuration with a longer timeout. Also guards against a wait that is longer than the
// service's calls need.
func TestDrain(t *testing.T) {
	doc := func(timeout time.Duration) *config.Document {
		return &config.Document{
			Profiles: map[string]config.Profile{
				"gate":  {LeafTimeout: config.Duration(timeout)},
				"audit": {LeafTimeout: config.Duration(time.Second)},
			},
			Services: map[string]config.Service{
				"lookup": {Profile: "gate"},
				"mixed":  {Profile: "gate", ExtraProfiles: []string{"audit"}},
				"broken": {Profile: "missing"},
			},
		}
	}
	short, long := 200*time.Millisecond, 1500*time.Millisecond
	first := drains(doc(long), nil, 0)
	second := drains(doc(short), first, 10*time.Second)
	third := drains(doc(short), second, 11*time.Second)
	tests := []struct {
		name    string
		drains  map[string]drain
		service string
		now     instant
		want    time.Duration
	}{
		{"first configuration is new", first, "lookup", time.Second, 2250 * time.Millisecond},
		{"first configuration is old", first, "lookup", 7 * time.Second, 1750 * time.Millisecond},
		{"shorter timeout is new", second, "lookup", 12 * time.Second, 1750 * time.Millisecond},
		{"shorter timeout is old", second, "lookup", 17 * time.Second, 450 * time.Millisecond},
		{"another change keeps the longer timeout", third, "lookup", 12 * time.Second, 1750 * time.Millisecond},
		{"longest of all profiles", second, "mixed", 17 * time.Second, 1250 * time.Millisecond},
		{"unknown profile", second, "broken", 17 * time.Second, 2250 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.drains[test.service].at(test.now), qt.Equals, test.want)
		})
	}
}
