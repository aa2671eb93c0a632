package gather

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/routing"
)

// simulateStart runs a test case with a dispatcher that learns its configuration when configure is called.
func simulateStart(t *testing.T, check func(c *harness, configure func())) {
	simulate(t, nil, func(c *harness) {
		index := c.dispatcher.Index()
		var active atomic.Pointer[routing.Index]
		configured := make(chan struct{})
		c.dispatcher.Index, c.dispatcher.Configured = active.Load, configured
		check(c, func() {
			active.Store(index)
			close(configured)
		})
	})
}

// Guards against refusing the requests that callers send once more to a node that has just started, while it reads its
// configuration.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	simulateStart(t, func(c *harness, configure func()) {
		time.AfterFunc(200*time.Millisecond, configure)
		var requests sync.WaitGroup
		for _, path := range []string{"/all/", "/one/", "/once/"} {
			requests.Go(func() {
				a, took := c.ask(path)
				c.Check(a.Err, qt.IsNil)
				c.Check(took < 250*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
			})
		}
		requests.Wait()
	})
}

// Guards against requests that wait in vain: for long, without bound in number, or when the registry is unavailable for
// longer than a start takes.
func TestWaitForTheFirstConfigurationIsBounded(t *testing.T) {
	simulateStart(t, func(c *harness, _ func()) {
		var requests sync.WaitGroup
		var atOnce atomic.Int64
		for range maxWaiting + 100 {
			requests.Go(func() {
				a, took := c.ask("/one/")
				c.Check(verdict.CodeOf(a.Err), qt.Equals, verdict.CodeNoConfig)
				c.Check(verdict.Of(a.Err).IsNotRun(), qt.IsTrue)
				c.Check(took <= maxStartWait, qt.IsTrue, qt.Commentf("%v", took))
				if took == 0 {
					atOnce.Add(1)
				}
			})
		}
		requests.Wait()
		c.Check(atOnce.Load(), qt.Equals, int64(100))
		time.Sleep(startTime)
		a, took := c.ask("/one/")
		c.Check(verdict.CodeOf(a.Err), qt.Equals, verdict.CodeNoConfig)
		c.Check(took, qt.Equals, time.Duration(0))
	})
}
