package query

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against rounding incomplete coverage up to 100 percent.
func TestPercentRoundsDown(t *testing.T) {
	tests := []struct {
		name     string
		coverage Coverage
		want     float64
	}{
		{"complete", Coverage{Total: 3, Covered: 3}, 100},
		{"99.996 is not 100", Coverage{Total: 10000, Covered: 9999.6}, 99.99},
		{"missing shard", Coverage{Total: 3, Covered: 2, Missing: []uint32{1}}, 66.66},
		{"missing shard with wrong sum", Coverage{Total: 3, Covered: 3, Missing: []uint32{1}}, 99.99},
		{"no shard requested", Coverage{}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.coverage.Percent(), qt.Equals, test.want)
		})
	}
}
