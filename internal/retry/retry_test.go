package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against extra requests beyond their share of first sends, and a service with little traffic without retries.
func TestBudget(t *testing.T) {
	tests := []struct {
		name       string
		perSecond  float64
		share      float64
		firstSends int
		each       time.Duration // time between first sends
		least      int
		most       int
	}{
		{"share", 0, 0.1, 1000, time.Millisecond, 99, 100},
		{"no share", 0, 0, 1000, time.Millisecond, 0, 0},
		{"little traffic", 1, 0.1, 5, 2 * time.Second, 10, 10},
		{"an idle hour is not saved up", 1, 0, 1, time.Hour, Burst, Burst},
		{"share and rate", 1, 0.05, 1000, 10 * time.Millisecond, 59, 60},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := NewBudget(test.perSecond, func() time.Time { return now })
			spent := 0
			for range test.firstSends {
				b.FirstSend(test.share)
				now = now.Add(test.each)
				for b.Spend() {
					spent++
				}
			}
			b.Refund()
			qt.Assert(t, b.Spend(), qt.IsTrue)
			qt.Assert(t, spent >= test.least && spent <= test.most, qt.IsTrue, qt.Commentf("%d extra requests", spent))
		})
	}
}
