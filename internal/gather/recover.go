package gather

import (
	"errors"
	"runtime/debug"

	"k8s.io/klog/v2"
)

// errPanicked is the error of a step that has panicked.
var errPanicked = errors.New("internal error")

// recoverPanic sets err if the calling function panics, so that an unexpected error ends one request and not the process.
// It must be deferred itself.
func recoverPanic(requestID string, err *error) {
	if p := recover(); p != nil {
		klog.ErrorS(nil, "request panicked", "id", requestID, "panic", p, "stack", string(debug.Stack()))
		*err = errPanicked
	}
}
