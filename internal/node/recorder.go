package node

import (
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"cyclamenstream/api/event"
	"cyclamenstream/internal/timeline"
)

// recorder counts every event, stores it in the timeline, and logs it if it is a change of state.
type recorder struct {
	timeline *timeline.Buffer
	scope    tally.Scope
}

func newRecorder(buffer *timeline.Buffer, scope tally.Scope) event.Recorder {
	return &recorder{timeline: buffer, scope: scope}
}

// Record implements event.Recorder.
func (r *recorder) Record(e event.Event) {
	r.timeline.Record(e)
	r.scope.Tagged(map[string]string{"kind": string(e.Kind)}).Counter("events").Inc(1)
	if !perRequest(e.Kind) {
		klog.InfoS(string(e.Kind), "vm", e.VM, "service", e.Service, "detail", e.Detail)
	}
}

// perRequest reports whether events of this kind occur for single requests. They would flood the log.
func perRequest(k event.Kind) bool {
	switch k {
	case event.QueryFailed, event.QueryRestarted, event.IntentWritten:
		return true
	}
	return false
}
