package slots

import (
	"errors"
	"slices"
	"time"

	"cyclamenstream/api/config"
)

// Errors of Acquire, which then grants nothing, and of Grant.MarkSent.
var (
	// ErrClosed means that this node does not own the service.
	ErrClosed = errors.New("service is not owned")
	// ErrNoReplica means that no connected leaf can serve the request.
	ErrNoReplica = errors.New("no connected leaf can serve the request")
	// ErrNoSlot means that no slot is free for an immediate request.
	ErrNoSlot = errors.New("no slot is free")
	// ErrQueueFull means that the queue was full and the other requests have a higher priority or an earlier deadline.
	ErrQueueFull = errors.New("queue is full")
	// ErrTooLate means that less time was left than the service's typical latency.
	ErrTooLate = errors.New("deadline cannot be met")
	// ErrRevoked means that the leaf's session or boot identifier has changed since the grant.
	ErrRevoked = errors.New("leaf's session or boot identifier has changed")
	// ErrDeadline means that the deadline has passed.
	ErrDeadline = errors.New("deadline has passed")
)

// Waiter is a request in the queue.
type Waiter struct {
	Request
	deliver      func(*Grant, error)
	sequence     uint64     // order of arrival
	reservedLeaf *leafState // the leaf that is reserved for this request
	done         bool
}

func (w *Waiter) compare(o *Waiter) int {
	if c := w.Deadline.Compare(o.Deadline); c != 0 {
		return c
	}
	if w.sequence < o.sequence {
		return -1
	}
	if w.sequence > o.sequence {
		return 1
	}
	return 0
}

// queue holds the waiting requests of each priority in the order of their deadlines and arrival.
type queue struct {
	classes  [config.MaxPriority + 1][]*Waiter
	size     int
	sequence uint64
}

func (q *queue) push(w *Waiter) {
	q.sequence++
	w.sequence = q.sequence
	class := &q.classes[w.Priority]
	i, _ := slices.BinarySearchFunc(*class, w, (*Waiter).compare)
	*class = slices.Insert(*class, i, w)
	q.size++
}

func (q *queue) remove(w *Waiter) {
	class := &q.classes[w.Priority]
	i, _ := slices.BinarySearchFunc(*class, w, (*Waiter).compare)
	*class = slices.Delete(*class, i, i+1)
	q.size--
}

// head returns the first waiter, or nil if there is none.
func (q *queue) head() *Waiter {
	return q.next(time.Time{}, func(*Waiter) bool { return true })
}

// next returns the first matching waiter, by priority and then deadline, whose deadline is not before the given time.
// If there is none, it returns the matching waiter with the highest priority and, among those, the latest deadline, or
// nil.
func (q *queue) next(from time.Time, match func(*Waiter) bool) *Waiter {
	for _, class := range slices.Backward(q.classes[:]) {
		start, _ := slices.BinarySearchFunc(class, from, func(w *Waiter, t time.Time) int { return w.Deadline.Compare(t) })
		for _, w := range class[start:] {
			if match(w) {
				return w
			}
		}
	}
	for _, class := range slices.Backward(q.classes[:]) {
		for _, w := range slices.Backward(class) {
			if match(w) {
				return w
			}
		}
	}
	return nil
}

// worst returns the waiter with the lowest priority and, among those, the latest deadline.
func (q *queue) worst() *Waiter {
	for _, class := range q.classes {
		if len(class) > 0 {
			return class[len(class)-1]
		}
	}
	return nil
}
