package follow

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cyclamenstream/api/registry"
)

const (
	// firstReadInterval is the time between the overlapping reads of a node that cannot serve yet.
	firstReadInterval = 250 * time.Millisecond
	// firstPollInterval is the time between two reads of a node that waits for the first routing configuration.
	firstPollInterval = time.Second
	// Nodes of less than lowCapacity cores delay their first read, by up to maxFirstDelay for those with the least. When all
	// nodes start at once, the answers of the registry are limited by its link, and callers are sent to the other nodes.
	lowCapacity   = 0.3
	maxFirstDelay = 600 * time.Millisecond
)

// firstDelay returns the time by which a node delays its first read.
func (c Config) firstDelay() time.Duration {
	if c.Capacity <= 0 {
		return 0 // unknown
	}
	return time.Duration(max(0, 1-c.Capacity/lowCapacity) * float64(maxFirstDelay))
}

// readFirst reads the registry for a node that cannot serve yet. What the operators have written must be the newest, since
// a node that starts must not go back to what they have replaced. The rest may be some seconds old.
func (f *Follower) readFirst(ctx context.Context) (reading, error) {
	r, err := f.readOverlapping(ctx)
	if err != nil || r.view != nil || r.Table == nil {
		return r, err
	}
	var state, operators registry.State
	reads, readsCtx := errgroup.WithContext(ctx)
	reads.Go(func() (err error) {
		operators, err = f.registry.ReadOperatorState(readsCtx, registry.Linearizable)
		return err
	})
	reads.Go(func() (err error) {
		state, err = f.registry.Read(readsCtx, registry.Serializable)
		return err
	})
	if err := reads.Wait(); err != nil {
		return reading{}, err
	}
	if operators.Epoch != state.Epoch {
		state, err = f.registry.Read(ctx, registry.Linearizable)
		return reading{State: state, newest: true}, err
	}
	newest := state.Revision >= operators.Revision
	state.OperatorState = operators.OperatorState
	return reading{State: state, newest: newest}, nil
}

// readOverlapping reads what the operators have written, to find out whether the registry answers and has a configuration.
// It starts further reads while the first one waits, since a connection opened during an outage may get no answer even
// after the outage. Meanwhile it also requests the views of nodes that have requested its own. If one of them answers
// first, readOverlapping returns its view instead of a state.
func (f *Follower) readOverlapping(ctx context.Context) (reading, error) {
	type result struct {
		registry.State
		err error
	}
	results := make(chan result, int(callTimeout/firstReadInterval)+1)
	views := make(chan peerView)
	ticker := time.NewTicker(firstReadInterval)
	defer ticker.Stop()
	read := func() {
		state, err := f.registry.ReadOperatorState(ctx, registry.Serializable)
		results <- result{state, err}
	}
	go f.config.Guard.Do("first read", read)
	for {
		select {
		case r := <-results:
			return reading{State: r.State}, r.err
		case v := <-views:
			return reading{view: &v}, nil
		case address := <-f.viewHints:
			go f.config.Guard.Do("view", func() { f.fetchViewAsync(ctx, address, views) })
		case <-ticker.C:
			go f.config.Guard.Do("first read", read)
		case <-ctx.Done():
			return reading{}, ctx.Err()
		}
	}
}
