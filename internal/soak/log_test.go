package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenstream/internal/standin/site"
)

// Guards against requests that wait for the log. Nobody reads a node's output while each of its requests writes several
// lines.
func TestUnreadLog(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const (
		concurrentCallers = 8
		requestsPerCaller = 250 // gives some thousand lines, more than the pipe and the queue hold
	)
	env := newEnvironment(t)
	for _, l := range env.leaves {
		l.SetFault(site.Fail, 0)
	}
	n := env.nodes[0]
	p, _ := n.current()
	resume := p.StopReading()
	var running sync.WaitGroup
	var mu sync.Mutex
	var slowest time.Duration
	for i := range concurrentCallers {
		running.Go(func() {
			client := &http.Client{Timeout: callerTimeout}
			for k := range requestsPerCaller {
				start := time.Now()
				response, _, err := n.get(client, "/one/", fmt.Sprintf("u%d.%d", i, k))
				took := time.Since(start)
				mu.Lock()
				slowest = max(slowest, took)
				mu.Unlock()
				switch {
				case err != nil:
					t.Error(err)
				case response.StatusCode != http.StatusInternalServerError:
					t.Errorf("status %d", response.StatusCode)
				}
			}
		})
	}
	running.Wait()
	resume()
	if slowest >= callerTimeout/2 {
		t.Errorf("the slowest answer took %v", slowest)
	}
	env.await("the node logs how many lines it has dropped", func() bool {
		return strings.Contains(strings.Join(p.Log(), "\n"), "log_dropped")
	})
}
