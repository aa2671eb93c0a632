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

// Document returns the configuration as the first node that answers knows it.
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

// Quarantine lists the refused requests.
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

// Change sends a change to the nodes in turn until its outcome is known or ctx ends. Every attempt carries the same
// identifier, so that the change is applied once. The outcome is Unavailable only if no attempt may have written.
func (c *Client) Change(ctx context.Context, change config.Change) operator.ChangeResult {
	if change.ID == "" {
		change.ID = rand.Text()
	}
	mayBeWritten := false
	backoff := FirstBackoff
	result := operator.ChangeResult{Outcome: operator.Unavailable, Message: "no node was asked"}
	for {
		unreachable := false
		for _, node := range c.nodes {
			if left, limited := timeLeft(ctx); limited && left < minAttempt {
				continue
			}
			var reached bool
			result, reached = c.changeAt(ctx, node, change)
			switch result.Outcome {
			case operator.Accepted, operator.Conflict, operator.Rejected:
				return result
			case operator.Unresolved:
				mayBeWritten = true
			}
			unreachable = unreachable || !reached
		}
		if mayBeWritten {
			result.Outcome = operator.Unresolved
		}
		if !(mayBeWritten || unreachable) || !pause(ctx, backoff) {
			return result
		}
		backoff = min(2*backoff, MaxBackoff)
	}
}

// changeAt makes one attempt. reached says whether the node answered.
func (c *Client) changeAt(ctx context.Context, node string, change config.Change) (result operator.ChangeResult, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, changeAttemptTimeout)
	defer cancel()
	err := c.send(ctx, http.MethodPost, node, httpapi.PathChanges, change, &result)
	if err == nil {
		return result, true
	}
	var problem *ProblemError
	switch reached = errors.As(err, &problem); {
	case reached && problem.Problem.Change != nil:
		return *problem.Problem.Change, true
	case reached && verdict.Of(err).IsNotRun() && isFinal(verdict.CodeOf(err)):
		return operator.ChangeResult{Outcome: operator.Rejected, Message: verdict.Message(err)}, true
	case verdict.Of(err).IsNotRun():
		return operator.ChangeResult{Outcome: operator.Unavailable, Message: verdict.Message(err)}, reached
	default:
		return operator.ChangeResult{Outcome: operator.Unresolved, Message: verdict.Message(err)}, reached
	}
}

// InForce counts the nodes that have the configuration at this version or a later one, and all nodes of the member set.
func InForce(status operator.Status, version uint64) (have, all int) {
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
