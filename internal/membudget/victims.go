package membudget

import (
	"cmp"
	"container/heap"
	"slices"
)

// holding is what one account holds at the time of a decision.
type holding struct {
	account *Account
	phase   Phase
	held    int64
	// connection is the part of held that is given back only when the connection ends.
	connection int64
	progress   int64
	// rank is the result of memoryRank, once it is needed.
	rank int
}

// mayGiveWay reports whether the connection may be closed or its request refused.
func (h holding) mayGiveWay() bool {
	return h.phase == Idle || h.phase == Header || h.phase == Body || h.phase == Answering
}

// gain returns the bytes that are given back soon if the connection gives way for memory. The connection of a refused
// request stays open until the refusal has reached the caller.
func (h holding) gain() int64 {
	if h.phase == Body || h.phase == Refused {
		return h.held - h.connection
	}
	return h.held
}

// leaving returns the bytes that are about to be given back. The connection of a refused request stays open until the
// refusal has reached the caller.
func (h holding) leaving() int64 {
	switch h.phase {
	case Closed:
		return h.held
	case Refused:
		return h.held - h.connection
	}
	return 0
}

// recentSteps is the number of steps, for each open connection, within which a step of progress is recent.
const recentSteps = 2

// memoryRank orders what gives way for memory: large or slow unfinished requests and answers first, idle connections last. A
// small one is slow if it made its last step before the given one.
func (h holding) memoryRank(recent int64) int {
	switch {
	case h.phase == Idle:
		return 2
	case h.held <= h.connection+SmallRequestBytes && h.progress > recent:
		return 1
	}
	return 0
}

// leastProgress returns the accounts that give way for need bytes, and for up to room bytes if there is more that is large
// or slow. It returns none if that is not enough. Of equal rank, those with the least recent progress give way. The last
// step of all accounts has the number sequence. The list is changed.
func leastProgress(list []holding, sequence, need, room int64) []holding {
	recent := sequence - recentSteps*int64(len(list))
	rest := slices.DeleteFunc(list, func(h holding) bool { return !h.mayGiveWay() || h.gain() <= 0 })
	available := int64(0)
	for i, h := range rest {
		rest[i].rank = h.memoryRank(recent)
		available += h.gain()
	}
	if available < need {
		return nil
	}
	// A heap, since most calls take few of thousands.
	order := memoryOrder(rest)
	heap.Init(&order)
	var chosen []holding
	for freed := int64(0); len(order) > 0; {
		if freed >= need && (freed >= room || order[0].rank > 0) {
			break
		}
		h := heap.Pop(&order).(holding)
		chosen = append(chosen, h)
		freed += h.gain()
	}
	return chosen
}

// memoryOrder is a heap of what gives way for memory. It implements heap.Interface.
type memoryOrder []holding

func (m memoryOrder) Len() int      { return len(m) }
func (m memoryOrder) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m memoryOrder) Less(i, j int) bool {
	return m[i].rank < m[j].rank || m[i].rank == m[j].rank && m[i].progress < m[j].progress
}

func (m *memoryOrder) Push(h any) { *m = append(*m, h.(holding)) }

func (m *memoryOrder) Pop() any {
	last := len(*m) - 1
	h := (*m)[last]
	*m = (*m)[:last]
	return h
}

// leastRecentConnections returns up to n accounts whose connections are closed for new ones: idle ones first, then
// unfinished ones, each with the least recent progress first. The list is changed.
func leastRecentConnections(list []holding, n int) []holding {
	list = slices.DeleteFunc(list, func(h holding) bool { return !h.mayGiveWay() })
	idleFirst := func(h holding) int {
		if h.phase == Idle {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b holding) int {
		return cmp.Or(cmp.Compare(idleFirst(a), idleFirst(b)), cmp.Compare(a.progress, b.progress))
	})
	return list[:min(n, len(list))]
}
