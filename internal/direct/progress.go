package direct

import "time"

// Progress is what to expect of a request that a leaf has not answered yet.
type Progress struct {
	// Left is the expected time until the answer.
	Left time.Duration
	// Overdue is set if the answer was expected earlier.
	Overdue bool
}

// Progress returns what to expect of the ticket's request. It is known only of leaves that state their speed.
func (t *Ticket) Progress() (p Progress, known bool) {
	now := t.service.pool.config.Now()
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	l := t.state
	if !l.expectation.stated() {
		return Progress{}, false
	}
	left := t.wait + l.statedBaseLatency(now) - now.Sub(t.started)
	if left < 0 { // nothing tells how late it will be, but what is late by some time often takes as long again
		p.Overdue, left = true, -left
	}
	p.Left = max(left, stallWeight*l.silence(now))
	return p, true
}
