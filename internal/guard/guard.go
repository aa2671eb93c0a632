// Package guard keeps an unexpected error in the handling of outside input from ending the process.
package guard

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

// restartDelay is the time after which a loop that has panicked begins again.
const restartDelay = time.Second

// Guard logs and counts panics. The zero value counts none.
type Guard struct{ scope tally.Scope }

// New returns a guard that counts panics in the scope, by the name of what has panicked.
func New(scope tally.Scope) Guard { return Guard{scope} }

// Loop runs a loop until ctx ends or the loop does. If it panics, it begins again after restartDelay with what it has left.
func (g Guard) Loop(ctx context.Context, name string, loop func(context.Context)) {
	for g.Do(name, func() { loop(ctx) }) {
		select {
		case <-time.After(restartDelay):
		case <-ctx.Done():
			return
		}
	}
}

// Do runs a step, and reports whether it has panicked.
func (g Guard) Do(name string, step func()) (panicked bool) {
	defer func() {
		if p := recover(); p != nil {
			panicked = true
			g.record(name, p)
		}
	}()
	step()
	return false
}

func (g Guard) record(name string, p any) {
	klog.ErrorS(nil, "panicked", "step", name, "panic", p, "stack", string(debug.Stack()))
	if g.scope != nil {
		g.scope.Tagged(map[string]string{"step": name}).Counter("panics").Inc(1)
	}
}
