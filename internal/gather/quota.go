package gather

import (
	"context"
	"sync"
	"time"

	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/direct"
	"cyclamenstream/internal/quota"
)

const (
	// quotaWaitShare is the share of the target latency for which a request waits until its organisation's quota grants it.
	quotaWaitShare = 0.2
	// quotaWait is that time for routes without a target latency.
	quotaWait = 50 * time.Millisecond
)

// quotaUse is the part of an organisation's quota that a request uses. Its services share it.
type quotaUse struct {
	mu sync.Mutex
	// ticket is nil if the organisation has no quota.
	ticket *quota.Ticket
	// sent is set with the first send.
	sent bool
	// refusal is the reason if the request waited too long for a leaf and was not admitted again.
	refusal error
	// ended is set once nothing may be sent first any more, since the ticket is given back or the request refused.
	ended bool
}

// takeQuota admits the request under the quota of its organisation, or returns an error and when to retry.
func (r *activeRequest) takeQuota(ctx context.Context) (retryAfter time.Duration, err error) {
	o, service := r.caller.organisation, r.dispatcher.Quota
	if service == nil || o == nil || o.Rate <= 0 {
		return 0, nil
	}
	began := time.Now()
	return r.adoptDecision(ctx, service.Admit(ctx, o.Name, r.quotaWait(began)), began)
}

// retakeQuota admits a request again that has waited for room for too long to be sent under its ticket. It is called before
// the request is divided among its services.
func (r *activeRequest) retakeQuota(ctx context.Context) (retryAfter time.Duration, err error) {
	ticket := r.quota.ticket
	if ticket == nil {
		return 0, nil
	}
	r.quota.ticket = nil
	began := time.Now()
	return r.adoptDecision(ctx, r.dispatcher.Quota.Renew(ctx, ticket, r.quotaWait(began)), began)
}

// quotaWait returns for how long the request may wait for the quota.
func (r *activeRequest) quotaWait(now time.Time) time.Duration {
	wait := quotaWait
	if r.route.Target > 0 {
		wait = time.Duration(quotaWaitShare * float64(r.route.Target))
	}
	return min(wait, r.deadline.Sub(now))
}

// adoptDecision records the decision of the quota service on the request, which was asked for at the given time.
func (r *activeRequest) adoptDecision(ctx context.Context, d quota.Decision, began time.Time) (retryAfter time.Duration, err error) {
	if waited := time.Since(began); waited >= time.Millisecond || d.Outcome != quota.Admitted {
		r.trace.Add(decision.Step{Event: "quota", InputName: "wait_ms", Input: decision.Millis(waited), Outcome: d.Outcome.String()})
	}
	if d.Outcome == quota.Admitted {
		r.quota.ticket = d.Ticket
		return 0, nil
	}
	if ctx.Err() != nil {
		return 0, r.callerLeftErr()
	}
	return d.RetryAfter, quotaErr(r.caller.organisation.Name, d.Outcome)
}

func quotaErr(organisation string, o quota.Outcome) error {
	if o == quota.Denied {
		return verdict.Refusef(verdict.CodeQuota, "the quota of organisation %q is used up", organisation)
	}
	return verdict.Refusef(verdict.CodeQuotaUnknown, "no node that keeps the quota of organisation %q answers", organisation)
}

// acquire takes a place at a leaf, or returns an error if the quota does not grant the request any more. Both happen in one
// step, so that no part of a request is sent under a ticket that another part gives back.
func (f *fetch) acquire(criteria direct.Criteria) (ticket *direct.Ticket, freed <-chan struct{}, err error) {
	u := &f.quota
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := f.renewQuota(); err != nil {
		return nil, nil, err
	}
	ticket, freed, err = f.dispatcher.Pool.Acquire(criteria)
	u.sent = u.sent || err == nil
	return ticket, freed, err
}

// renewQuota returns an error if the request has waited so long for its first leaf that it must be admitted again, and cannot.
func (r *activeRequest) renewQuota() error {
	u := &r.quota
	switch {
	case u.sent || u.refusal != nil:
		return u.refusal
	case u.ended:
		return r.callerLeftErr()
	case u.ticket == nil:
		return nil
	}
	d := r.dispatcher.Quota.Renew(r.sendCtx, u.ticket, 0)
	u.ticket = d.Ticket
	if d.Outcome != quota.Admitted {
		u.refusal = quotaErr(r.caller.organisation.Name, d.Outcome)
	}
	return u.refusal
}

// end gives the quota back if the request has not run. err is the error of its answer.
func (u *quotaUse) end(service *quota.Service, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ticket == nil {
		return
	}
	u.ended = true
	if !u.sent || err != nil && verdict.Of(err).IsNotRun() {
		service.Return(u.ticket)
	}
}

// endUnsent reports whether nothing has been sent. If so, nothing will be.
func (u *quotaUse) endUnsent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = u.ended || !u.sent
	return !u.sent
}
