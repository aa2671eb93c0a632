package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
)

// catchUpSpread is the time for each node of the tier over which the nodes spread their reads when a notice leads none of
// them to the new state.
const catchUpSpread = time.Millisecond

// catchUp is a read that is due because a notice has shown that the state is out of date.
type catchUp struct {
	// due is the time of the read, or zero if none is due.
	due time.Time
	// epoch and revision are those of the notice, whose sender has read the registry at read.
	epoch, revision uint64
	read            time.Time
}

// planCatchUp plans a read that brings the state up to that of a notice.
func (f *Follower) planCatchUp(n cluster.Notice, now, read time.Time) {
	due := f.catchUp.due
	if due.IsZero() {
		due = now.Add(rand.N(catchUpSpread * time.Duration(1+len(f.state.Members))))
	}
	f.catchUp = catchUp{due, n.Epoch, n.Revision, read}
}

// runCatchUp does a serializable read, which costs a tenth of a linearizable one. If it returns at least the revision of the
// notice, the state is at least as new as what the sender of the notice has read. Otherwise a linearizable read is due.
func (f *Follower) runCatchUp(ctx context.Context) {
	wanted := f.catchUp
	f.catchUp = catchUp{}
	if f.confirmed.After(wanted.read) {
		return // a later notice has led to the newest state
	}
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	next, err := f.registry.Read(readCtx, registry.Serializable)
	f.lastTick = time.Now() // the wait for the answer does not count as a pause
	if err != nil {
		f.recordFailure(err)
		f.markBehind() // the views of other nodes are requested
		return
	}
	f.recordSuccess(next)
	if older(next.Epoch, next.Revision, registry.State{Epoch: wanted.epoch, Revision: wanted.revision}) {
		f.log.Info("catch_up", "revision", next.Revision, "wanted", wanted.revision, "outcome", "serializable read is older")
		f.markBehind()
		return
	}
	f.nextRead = began.Add(minReadInterval)
	f.install(next, wanted.read, "read")
}
