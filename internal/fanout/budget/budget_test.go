package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against extra requests beyond the initial tokens plus the share of the first sends, and against a budget that
// refuses a token earned since the last extra request.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.05, 0.1, 1}).Draw(rt, "share")
		initial := rapid.IntRange(0, 3).Draw(rt, "initial")
		b, sends, extra := New(float64(initial), 10), 0, 0
		for _, send := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(rt, "sends and extra requests") {
			if send {
				b.OnSend("s", share)
				sends++
				continue
			}
			if b.Allow("s", share) {
				extra++
			}
			if limit := float64(initial) + share*float64(sends) + 1e-6; float64(extra) > limit || (share == 0 && extra > 0) {
				rt.Fatalf("%d extra requests, at most %v allowed", extra, limit)
			}
		}
		for range 20 {
			b.OnSend("s", share)
		}
		if got, want := b.Allow("s", share), share > 0; got != want {
			rt.Fatalf("after 20 sends at share %v: allowed %v, want %v", share, got, want)
		}
	})
}
