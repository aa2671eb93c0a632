package proctest_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/internal/proctest"
	"cyclamenstream/internal/standin/leaf"
)

// Guards promise 5, each caller gets the answer to its own request, against leaves whose answers are exchanged or come
// after the caller has given up.
func TestCrossedAnswers(t *testing.T) {
	c := begin(t, nil)
	many := load()
	many.Rate = 80
	r := c.StartLoad(many)
	time.Sleep(time.Second)
	for range 10 {
		for _, l := range c.Leaves {
			l.UpdateFaults(func(f *leaf.Faults) { f.Swap = 4 })
		}
		time.Sleep(200 * time.Millisecond)
	}
	late := proctest.StandardProfile().LeafTimeout
	c.Leaves["l1"].UpdateFaults(func(f *leaf.Faults) { f.Swap, f.AnswerDelay = 0, late+config.Duration(400*time.Millisecond) })
	time.Sleep(2 * time.Second)
	c.Leaves["l1"].UpdateFaults(func(f *leaf.Faults) { f.AnswerDelay = 0 })
	s := finish(t, c, r)
	qt.Check(t, s.Complete > s.Requests/2, qt.IsTrue)
}
