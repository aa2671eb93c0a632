package verdict

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Class wraps every error of this module that carries a verdict.
var Class = errs.Class("cyclamenstream")

// Code names the cause of a failed request. Codes are part of the callers' interface and never change meaning.
type Code string

// The codes of failed requests.
const (
	CodeInvalid        Code = "invalid_request"
	CodeUnknownService Code = "unknown_service"
	CodeTooLarge       Code = "too_large"
	CodeDeadline       Code = "deadline_exceeded"
	CodeOverloaded     Code = "overloaded"
	CodeNoOwner        Code = "no_owner"
	CodeStale          Code = "stale_node"
	CodeStopping       Code = "stopping"
	CodeOutOfService   Code = "out_of_service"
	CodeNoSnapshot     Code = "no_snapshot"
	CodeCoverage       Code = "coverage_too_low"
	CodeDuplicate      Code = "duplicate_request"
	CodeStoreDown      Code = "store_unavailable"
	CodeQuarantined    Code = "quarantined"
	CodeSessionLost    Code = "session_lost"
	CodeLeafRefused    Code = "leaf_refused"
	CodeSnapshotGone   Code = "snapshot_gone"
	CodeNoLeaf         Code = "no_leaf"
	CodeNoConfig       Code = "no_configuration"
	CodeLeafFailed     Code = "leaf_failed"
	CodeCallerLeft     Code = "caller_left"
	// CodeUnauthenticated means that the request has no API key of any organisation.
	CodeUnauthenticated Code = "unauthenticated"
	// CodeQuota means that the organisation has sent more requests than its quota allows, CodeQuotaUnknown that no node which
	// knows how much of it is used has answered.
	CodeQuota        Code = "over_quota"
	CodeQuotaUnknown Code = "quota_unknown"
	CodeInternal     Code = "internal"
)

// Error is the error of a failed request. Its verdict says whether the request may have run.
type Error struct {
	verdict Verdict
	code    Code
	message string
	cause   error
}

// Refusef returns an error with verdict "not run", for a request that was refused before any send was attempted.
// Use Failf wherever an Attempt exists.
func Refusef(code Code, format string, args ...any) error {
	return newError(Verdict{kindNotRun}, code, nil, format, args...)
}

// Failf returns an error with the verdict of the attempt. A nil attempt gives "may have run".
func Failf(a *Attempt, code Code, cause error, format string, args ...any) error {
	v := Verdict{}
	if a != nil {
		v = a.Verdict()
	}
	return newError(v, code, cause, format, args...)
}

// WithVerdict returns an error that carries a verdict received from another process or merged from parts.
func WithVerdict(v Verdict, code Code, format string, args ...any) error {
	return newError(v, code, nil, format, args...)
}

func newError(v Verdict, code Code, cause error, format string, args ...any) error {
	return Class.Wrap(&Error{verdict: v, code: code, message: fmt.Sprintf(format, args...), cause: cause})
}

// Error returns the message and its cause.
func (e *Error) Error() string {
	if e.cause != nil {
		return e.message + ": " + e.cause.Error()
	}
	return e.message
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the verdict of err. A nil error gives "completed", an error without a verdict gives "may have run".
func Of(err error) Verdict {
	if err == nil {
		return Completed()
	}
	var e *Error
	if errors.As(err, &e) {
		return e.verdict
	}
	return Verdict{}
}

// CodeOf returns the code of err, or CodeInternal for an error without one.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.code
	}
	return CodeInternal
}

// Message returns the text of err without the class prefix.
func Message(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Error()
	}
	return err.Error()
}
