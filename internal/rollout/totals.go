package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cyclamenstream/api/cluster"
)

const (
	// slotLength is the time over which the latest answers are compared, so that a disturbance is compared with itself.
	// Counts of other nodes arrive about twice in it.
	slotLength = time.Second
	// maxSlots bounds the number of slots of a rollout that lasts long. The older half is merged in pairs beyond that.
	maxSlots = 64
	// maxCounts bounds the versions and routes of one node, and maxSenders the nodes.
	maxCounts  = 256
	maxSenders = 1024
)

// countKey identifies a count of one node.
type countKey struct{ version, route string }

// cell holds the answers of one side of the comparison on one route in one slot.
type cell struct {
	// answers is the sum of latencies.
	answers, failures int
	latencies         [cluster.LatencyBuckets]int
}

// add adds answers of one class of latency.
func (c *cell) add(class, n int) {
	c.answers += n
	c.latencies[class] += n
}

// cellKey identifies a cell. target is set for answers of the target version.
type cellKey struct {
	target bool
	route  string
}

// slot holds the answers that became known in the same part of the time.
type slot struct {
	began time.Time
	cells map[cellKey]*cell
}

// merge adds the answers of the slot after s.
func (s slot) merge(next slot) {
	for key, c := range next.cells {
		if s.cells[key] == nil {
			s.cells[key] = c
			continue
		}
		s.cells[key].failures += c.failures
		for class, n := range c.latencies {
			s.cells[key].add(class, n)
		}
	}
}

// sender holds the cumulative counts of one boot of a node.
type sender struct {
	boot   int64
	counts map[countKey]cluster.RolloutCount
}

// totals holds the answers of all nodes by slot, side and route.
type totals struct {
	target string
	// repetitions is how many times longer the rollout lasts than maxSlots slots, or 1.
	repetitions float64
	slots       []slot
	own         sender
	others      map[string]*sender
}

func newTotals(target string, duration time.Duration) *totals {
	return &totals{target: target, repetitions: max(1, float64(duration)/float64(maxSlots*slotLength)), own: newSender(0), others: map[string]*sender{}}
}

func newSender(boot int64) sender {
	return sender{boot: boot, counts: map[countKey]cluster.RolloutCount{}}
}

// bucket returns the class of a latency.
func bucket(latency time.Duration) int {
	ms := max(1, float64(latency)/float64(time.Millisecond))
	return min(cluster.LatencyBuckets-1, int(2*math.Log2(ms)))
}

// record adds an answer to this node.
func (t *totals) record(a Answer, now time.Time) {
	key := countKey{a.Version, a.Route}
	count, known := t.own.counts[key]
	if !known && len(t.own.counts) >= maxCounts {
		return
	}
	count.Version, count.Route = a.Version, a.Route
	count.Latencies[bucket(a.Latency)]++
	if a.Failed {
		count.Failures++
	}
	t.addCount(&t.own, count, now)
}

// addReport adds the counts of another node, which may arrive more than once and out of order.
func (t *totals) addReport(c cluster.RolloutCounts, now time.Time) {
	s := t.others[c.Sender]
	switch {
	case s == nil && len(t.others) >= maxSenders || s != nil && c.Boot < s.boot:
		return
	case s == nil || c.Boot > s.boot: // a restarted node counts from 0
		fresh := newSender(c.Boot)
		s = &fresh
		t.others[c.Sender] = s
	}
	for _, count := range c.Counts {
		if _, known := s.counts[countKey{count.Version, count.Route}]; known || len(s.counts) < maxCounts {
			t.addCount(s, count, now)
		}
	}
}

// addCount adds the difference of a cumulative count to the latest one known to the current slot.
func (t *totals) addCount(s *sender, count cluster.RolloutCount, now time.Time) {
	key := countKey{count.Version, count.Route}
	before := s.counts[key]
	c := t.cell(count, now)
	c.failures += int(max(count.Failures, before.Failures) - before.Failures)
	count.Failures = max(count.Failures, before.Failures)
	for i := range count.Latencies {
		c.add(i, int(max(count.Latencies[i], before.Latencies[i])-before.Latencies[i]))
		count.Latencies[i] = max(count.Latencies[i], before.Latencies[i])
	}
	s.counts[key] = count
}

// cell returns the cell of the current slot to which a count belongs.
func (t *totals) cell(count cluster.RolloutCount, now time.Time) *cell {
	t.advance(now)
	cells := t.slots[len(t.slots)-1].cells
	key := cellKey{count.Version == t.target, count.Route}
	if cells[key] == nil {
		cells[key] = &cell{}
	}
	return cells[key]
}

// advance begins a new slot if the latest one is over.
func (t *totals) advance(now time.Time) {
	if n := len(t.slots); n > 0 && elapsed(t.slots[n-1].began, now) < slotLength {
		return
	}
	t.slots = append(t.slots, slot{began: now, cells: map[cellKey]*cell{}})
	if len(t.slots) > maxSlots {
		for i := range maxSlots / 4 {
			t.slots[2*i].merge(t.slots[2*i+1])
			t.slots[i] = t.slots[2*i]
		}
		t.slots = slices.Delete(t.slots, maxSlots/4, maxSlots/2)
	}
}

// ownCounts returns this node's counts.
func (t *totals) ownCounts() []cluster.RolloutCount {
	var list []cluster.RolloutCount
	for _, count := range t.own.counts {
		list = append(list, count)
	}
	slices.SortFunc(list, func(a, b cluster.RolloutCount) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route))
	})
	return list
}
