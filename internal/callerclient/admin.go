package callerclient

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"net/url"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/httpapi"
)

// changeAttemptTimeout bounds one attempt of a change, so that a paused node does not use up the operator's timeout.
const changeAttemptTimeout = 5 * time.Second

// Document returns the configuration of the first node that answers.
func (c *Client) Document(ctx context.Context) (config.Document, error) {
	var document config.Document
	err := c.get(ctx, AdminTimeout, httpapi.PathConfig, &document)
	return document, err
}

// Status returns the state of the tier as the first node that answers sees it.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	err := c.get(ctx, AdminTimeout, httpapi.PathStatus, &status)
	return status, err
}

// Quarantine lists the quarantined requests.
func (c *Client) Quarantine(ctx context.Context) ([]operator.QuarantineEntry, error) {
	var body httpapi.QuarantineBody
	err := c.get(ctx, AdminTimeout, httpapi.PathQuarantine, &body)
	return body.Quarantine, err
}

// Timeline returns the events that match the parameters vm, zone, service and request.
func (c *Client) Timeline(ctx context.Context, filter url.Values) (httpapi.TimelineBody, error) {
	var body httpapi.TimelineBody
	err := c.get(ctx, AdminTimeout, httpapi.PathTimeline+"?"+filter.Encode(), &body)
	return body, err
}

// changeAttempt is the result of one attempt of a change.
type changeAttempt struct {
	operator.ChangeResult
	// answered is set if the node has answered. decided is set if it has compared the change with the configuration to
	// determine the outcome.
	answered, decided bool
}

// Change sends a change to the nodes in turn until its outcome is known or ctx ends. Every attempt carries the same
// identifier, so that the change is applied once. The outcome is Unavailable, or Rejected by a node that has not
// compared the change with the configuration, only if no attempt may have written it.
func (c *Client) Change(ctx context.Context, change config.Change) operator.ChangeResult {
	if change.ID == "" {
		change.ID = rand.Text()
	}
	mayBeWritten := false
	backoff := InitialBackoff
	last := changeAttempt{ChangeResult: operator.ChangeResult{Outcome: operator.Unavailable, Message: "the change was not sent to any node"}}
	for {
		unreachable := false
		for _, node := range c.nodes {
			if left, hasDeadline := timeLeft(ctx); hasDeadline && left < minAttemptTime {
				continue
			}
			last = c.changeAt(ctx, node, change)
			switch last.Outcome {
			case operator.Accepted, operator.Conflict, operator.Rejected:
				if last.decided || !mayBeWritten {
					return last.ChangeResult
				}
			case operator.Unresolved:
				mayBeWritten = true
			}
			unreachable = unreachable || !last.answered
		}
		if mayBeWritten {
			last.Outcome = operator.Unresolved
		}
		if !(mayBeWritten || unreachable) || !waitBackoff(ctx, backoff) {
			return last.ChangeResult
		}
		backoff = min(2*backoff, MaxBackoff)
	}
}

// changeAt sends a change to one node.
func (c *Client) changeAt(ctx context.Context, node string, change config.Change) changeAttempt {
	ctx, cancel := context.WithTimeout(ctx, changeAttemptTimeout)
	defer cancel()
	var result operator.ChangeResult
	err := c.send(ctx, http.MethodPost, node, httpapi.PathChanges, change, &result)
	if err == nil {
		return changeAttempt{result, true, true}
	}
	var problem *ProblemError
	if errors.As(err, &problem) && problem.Problem.Change != nil {
		return changeAttempt{*problem.Problem.Change, true, true}
	}
	result.Message = verdict.Message(err)
	switch {
	case !verdict.Of(err).IsNotRun():
		result.Outcome = operator.Unresolved
	case problem != nil && isFinal(verdict.CodeOf(err)):
		result.Outcome = operator.Rejected
	default:
		result.Outcome = operator.Unavailable
	}
	return changeAttempt{result, problem != nil, false}
}

// CountInForce counts the nodes that have this version of the configuration or a later one, and all nodes of the member
// set.
func CountInForce(status operator.Status, version uint64) (have, all int) {
	listed := false
	for _, node := range status.Nodes {
		listed = listed || node.VM == status.Node
		all++
		if node.Alive && node.ConfigVersion >= version {
			have++
		}
	}
	if !listed {
		all++
		if status.ConfigVersion >= version {
			have++
		}
	}
	return have, all
}
