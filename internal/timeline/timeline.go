// Package timeline keeps the newest events of one process in a bounded buffer, reads events from structured logs and
// merges the events of several processes.
package timeline

import (
	"slices"
	"sync"

	"cyclamenstream/api/event"
	"cyclamenstream/internal/clock"
)

// DefaultCapacity is the number of events that a process keeps: about 1 MB at 250 bytes each.
const DefaultCapacity = 4096

// Buffer is an event.Recorder that keeps the newest events. It is safe for concurrent use.
type Buffer struct {
	clock *clock.Hybrid
	node  string
	zone  string

	mu       sync.Mutex
	events   []event.Event // ring buffer; when it is full, next is the index of the oldest event
	next     int
	capacity int
}

// NewBuffer returns a buffer of at most capacity events that stamps each with clock, node and zone.
func NewBuffer(c *clock.Hybrid, node, zone string, capacity int) *Buffer {
	return &Buffer{clock: c, node: node, zone: zone, capacity: capacity}
}

// Record stamps and keeps the event. When the buffer is full, the oldest event is dropped.
func (b *Buffer) Record(e event.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.Stamp, e.Node, e.Zone = b.clock.Stamp(), b.node, b.zone
	if len(b.events) < b.capacity {
		b.events = append(b.events, e)
		return
	}
	b.events[b.next] = e
	b.next = (b.next + 1) % b.capacity
}

// Events returns the kept events, oldest first.
func (b *Buffer) Events() []event.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append(slices.Clone(b.events[b.next:]), b.events[:b.next]...)
}

// Merge returns the events of all lists in the order of their stamps. Events with equal stamps are ordered by node.
func Merge(lists ...[]event.Event) []event.Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b event.Event) int {
		switch {
		case a.Stamp.Before(b.Stamp):
			return -1
		case b.Stamp.Before(a.Stamp):
			return 1
		case a.Node < b.Node:
			return -1
		case a.Node > b.Node:
			return 1
		}
		return 0
	})
	return merged
}

// Filter selects events. An empty field matches every event.
type Filter struct {
	VM        string
	Zone      string
	Service   string
	RequestID string
}

// Apply returns the matching events in their order. VM matches the VM that an event is about or the node that recorded
// it. Zone matches the zone of that node.
func (f Filter) Apply(events []event.Event) []event.Event {
	var selected []event.Event
	for _, e := range events {
		if f.matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

func (f Filter) matches(e event.Event) bool {
	return (f.VM == "" || f.VM == e.VM || f.VM == e.Node) &&
		(f.Zone == "" || f.Zone == e.Zone) &&
		(f.Service == "" || f.Service == e.Service) &&
		(f.RequestID == "" || f.RequestID == e.RequestID)
}
