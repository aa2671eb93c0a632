package quota

import "time"

// Outcome is how a node has decided on a request.
type Outcome int

// The outcomes of requests.
const (
	// Admitted requests may be sent.
	Admitted Outcome = iota
	// Denied requests are above the quota.
	Denied
	// Unanswered requests are refused because no allocator answers.
	Unanswered
)

func (o Outcome) String() string { return [...]string{"admitted", "denied", "unanswered"}[o] }

// Decision is the decision on a request.
type Decision struct {
	Outcome Outcome
	// Ticket is set if the request is admitted under a quota. It is nil if the organisation has none any more.
	Ticket *Ticket
	// RetryAfter tells the caller of a refused request when to retry.
	RetryAfter time.Duration
}

// waiter is a request that waits for a grant.
type waiter struct {
	deadline time.Duration
	// decide is called once.
	decide func(Decision)
}

// refusals counts the refused requests of an organisation since the latest admitted one.
type refusals struct {
	limit   Limit
	refused int
}

// unansweredDelay tells callers when to retry if no allocator answers.
const unansweredDelay = 250 * time.Millisecond

// refusal returns the decision on a request that cannot be admitted now. The times to retry of several requests differ by the
// time that the organisation's rate leaves between them.
func (a *account) refusal(now time.Duration, window time.Duration) Decision {
	until := time.Duration(0)
	for _, l := range a.sessions {
		if now < l.deniedUntil && (until == 0 || l.deniedUntil < until) {
			until = l.deniedUntil
		}
	}
	if until == 0 {
		return Decision{Outcome: Unanswered, RetryAfter: unansweredDelay}
	}
	a.refused++
	spread := time.Duration(float64(a.refused) / a.limit.Rate * float64(time.Second))
	return Decision{Outcome: Denied, RetryAfter: min(until-now+spread, max(window, until-now))}
}

// settle decides on waiting requests: those for which there is grant, and those whose time is over. Once all allocators have
// denied, one request may wait for the next token, and the others are refused.
func (a *account) settle(now time.Duration, window time.Duration) {
	for len(a.waiting) > 0 {
		t := a.admit(now)
		if t == nil {
			break
		}
		a.decide(0, Decision{Ticket: t})
	}
	until, denied := a.deniedUntil(now)
	for i := 0; i < len(a.waiting); {
		if w := a.waiting[i]; now >= w.deadline || denied && (i > 0 || until > w.deadline) {
			a.decide(i, a.refusal(now, window))
			continue
		}
		i++
	}
}

// decide ends the wait of a request.
func (a *account) decide(i int, d Decision) {
	w := a.waiting[i]
	a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
	w.decide(d)
}
