package entry

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"cyclamenstream/internal/follow"
	"cyclamenstream/internal/roster"
	"cyclamenstream/internal/standin/site"
)

// Guards against a node that is ready, and published, when it knows a configuration that is not in force yet. It would serve
// the connections of that moment without the operators' limits.
func TestReadyOnceTheConfigurationIsInForce(t *testing.T) {
	c := qt.New(t)
	store := site.NewStore()
	defer store.Close()
	store.Put("op/config", []byte(fmt.Sprintf(testConfig, 1)))
	var follower *follow.Follower
	var nodes *roster.Roster
	var active *activeRouting
	app := fx.New(fx.NopLogger, fx.Supply(settingsFor(t, "n1", store), settingsPath("")), components, fx.Populate(&follower, &nodes, &active))
	c.Assert(app.Err(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { follower.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	eventually(t, "ready", nodes.Ready)
	c.Assert(follower.Serving(), qt.IsTrue)
	active.index.Store(nil) // as it is before the state takes effect
	c.Assert(nodes.Ready(), qt.IsFalse)
}
