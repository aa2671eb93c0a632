package leafset

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/internal/latency"
	"cyclamenstream/internal/slots"
)

// service is the state of one service that this node owns or has owned.
type service struct {
	set     *Set
	name    string
	slots   *slots.Service
	latency *latency.Estimator
	view    atomic.Pointer[view]
	gauges  gauges

	mu         sync.Mutex
	openedWith cluster.OwnedService // the ownership with which the slots were last opened
	open       bool
	workers    map[string]*worker    // by VM; a stopped worker stays until its session is closed
	reports    map[string]leafReport // by VM, of connected leaves
}

type gauges struct{ waiting, inUse, limit, connected tally.Gauge }

func newService(set *Set, name, zone string) *service {
	scope := set.deps.Scope.SubScope("leafset").Tagged(map[string]string{"service": name})
	svc := &service{
		set:     set,
		name:    name,
		latency: latency.New(time.Now),
		workers: map[string]*worker{},
		reports: map[string]leafReport{},
		gauges:  gauges{scope.Gauge("waiting"), scope.Gauge("slots_in_use"), scope.Gauge("slots"), scope.Gauge("leaves")},
	}
	svc.view.Store(&view{})
	timer := time.AfterFunc(time.Hour, func() { svc.slots.Poll() })
	timer.Stop()
	svc.slots = slots.NewService(slots.Options{
		Zone:           zone,
		Now:            time.Now,
		TypicalLatency: func() time.Duration { return svc.latency.Estimate().P50 },
		SchedulePoll:   func(d time.Duration) { timer.Reset(d) },
		OnLimitChange:  svc.limitChanged,
	})
	return svc
}

func (svc *service) limitChanged(vm string, change slots.LimitChange) {
	kind := event.LeafCold
	if change == slots.TurnedWarm {
		kind = event.LeafWarm
	}
	svc.record(kind, vm, "")
}

func (svc *service) record(kind event.Kind, vm, detail string) {
	svc.set.deps.Recorder.Record(event.Event{Kind: kind, VM: vm, Service: svc.name, Detail: detail})
}

func (svc *service) updateGauges() {
	st := svc.slots.Stats()
	svc.gauges.waiting.Update(float64(st.Waiting))
	svc.gauges.inUse.Update(float64(st.InUse))
	svc.gauges.limit.Update(float64(st.Limit))
	svc.gauges.connected.Update(float64(st.Connected))
}

// isNewOwnership reports whether o is another period of ownership than the last one. After a lapse with a handover, the
// Handover differs. After a lapse without one, UsableFrom is later and has not come yet.
func (svc *service) isNewOwnership(o cluster.OwnedService, now time.Time) bool {
	if o.Handover != nil && !reflect.DeepEqual(o.Handover, svc.openedWith.Handover) {
		return true
	}
	return o.UsableFrom.After(svc.openedWith.UsableFrom) && o.UsableFrom.After(now)
}

// update opens the service for a new period of ownership, and starts and stops workers according to the list of leaves.
func (svc *service) update(o cluster.OwnedService, limits slots.Limits, allowed []platform.VM) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.slots.SetLimits(limits)
	first := svc.openedWith.Service == ""
	if first || svc.isNewOwnership(o, time.Now()) {
		svc.closeLocked()
		svc.slots.Open(o.UsableFrom, o.Handover)
		svc.open, svc.openedWith = true, o
	}
	if !svc.open {
		return // released and not owned again yet
	}
	leaves := map[string]platform.VM{}
	for _, vm := range allowed {
		leaves[vm.ID] = vm
	}
	for id, w := range svc.workers {
		if vm, ok := leaves[id]; !ok || vm.Address != w.vm.Address {
			w.cancel()
		}
	}
	for id, vm := range leaves {
		if svc.workers[id] == nil {
			svc.startWorker(vm)
		}
	}
}

func (svc *service) startWorker(vm platform.VM) {
	ctx, cancel := context.WithCancel(svc.set.admission)
	w := &worker{service: svc, vm: vm, cancel: cancel}
	svc.workers[vm.ID] = w
	svc.set.workers.Go(func() {
		w.run(ctx)
		cancel()
		svc.slots.Forget(vm.ID)
		svc.mu.Lock()
		delete(svc.workers, vm.ID)
		svc.mu.Unlock()
		svc.set.wake()
	})
}

// close ends admission and lets the workers close their sessions once their calls have ended.
func (svc *service) close() cluster.Handover {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.closeLocked()
}

// closeUnowned closes the service after ownership has ended. The next period of ownership opens it again.
func (svc *service) closeUnowned() {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.closeLocked()
	svc.openedWith = cluster.OwnedService{}
}

func (svc *service) closeLocked() cluster.Handover {
	if !svc.open {
		return cluster.Handover{Service: svc.name}
	}
	svc.open = false
	handover := svc.slots.Close()
	handover.Service = svc.name
	for _, w := range svc.workers {
		w.cancel()
	}
	return handover
}
