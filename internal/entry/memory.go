package entry

import (
	"context"
	"math"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/membudget"
)

const (
	// defaultRequestShare is the part of the memory that requests in flight may take. Garbage is collected more often above
	// 0.6 of the memory, which also holds the view of the registry.
	defaultRequestShare = 0.25
	// fileDescriptors are kept for files. Of the others, callerShare is for the connections of callers. Of what remains,
	// otherShare, at least minOther, is for those of other nodes and to the store, and the rest for those to leaves.
	fileDescriptors = 200
	callerShare     = 0.5
	otherShare      = 0.25
	minOther        = 64
	// otherServersShare is the part of the budget for connections to the servers for readiness, directory and metrics, which
	// answer also while the requests of callers that run hold all the rest.
	otherServersShare = 1. / 32
	// backlogShare is the part of the memory for the data of connections that one listener has not accepted yet. minBacklog
	// is the number of these connections on the smallest machines.
	backlogShare = 1. / 64
	minBacklog   = 128
	// maxRoomWait bounds the wait of a request until others have given way. These end at once, so only a node that gets no
	// processor time reaches it.
	maxRoomWait = time.Second
	// budgetInterval is how often the use of the budget is reported.
	budgetInterval = time.Second
)

// newMemoryBudget returns the budget of all connections of callers.
func newMemoryBudget(s Settings) *membudget.Budget {
	bytes, connections := s.requestMemory(), s.callerConnections()
	return membudget.New(membudget.Config{Bytes: bytes, Connections: connections,
		ReservedBytes:       max(membudget.ConnectionBytes, int64(otherServersShare*float64(bytes))),
		ReservedConnections: min(connections-1, max(1, int(otherServersShare*float64(connections)))),
		MaxWait:             func() <-chan time.Time { return time.After(maxRoomWait) }})
}

// requestMemory returns the memory in bytes for requests in flight.
func (s Settings) requestMemory() int64 {
	if s.RequestMemory > 0 {
		return s.RequestMemory << 20
	}
	return int64(defaultRequestShare * float64(s.MemoryLimit<<20))
}

// callerConnections returns the number of connections that callers may hold.
func (s Settings) callerConnections() int {
	return max(1, int(callerShare*float64(s.socketDescriptors())))
}

// leafConnections returns the number of connections to leaves that may be open.
func (s Settings) leafConnections() int {
	rest := s.socketDescriptors() - s.callerConnections()
	return max(1, rest-max(minOther, int(otherShare*float64(rest))))
}

// socketDescriptors returns the number of descriptors that the process may open for connections.
func (s Settings) socketDescriptors() int {
	descriptors := s.MaxDescriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && (descriptors == 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return descriptors - fileDescriptors
}

// acceptBacklog returns the number of connections that wait to be accepted at one listener.
func (s Settings) acceptBacklog() int {
	return max(minBacklog, int(backlogShare*float64(s.MemoryLimit<<20))/membudget.ReceiveBytes)
}

// budgetReporter passes the use of the budget to the metrics, and logs when connections give way or are refused.
type budgetReporter struct {
	budget *membudget.Budget
	log    *decision.Log
	scope  tally.Scope
	last   membudget.Stats
}

// run reports until ctx ends.
func (r *budgetReporter) run(ctx context.Context) {
	ticker := time.NewTicker(budgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.report()
		case <-ctx.Done():
			return
		}
	}
}

func (r *budgetReporter) report() {
	now := r.budget.Stats()
	r.scope.Gauge("request_memory_used").Update(float64(now.Used))
	r.scope.Gauge("caller_connections").Update(float64(now.Connections))
	fields := []any{"used", now.Used, "limit", now.Limit, "connections", now.Connections}
	grown := false
	add := func(field string, counter tally.Counter, n int64) {
		counter.Inc(n)
		fields, grown = append(fields, field, n), grown || n > 0
	}
	for phase, n := range now.Evicted {
		add("evicted_"+phase, r.scope.Tagged(map[string]string{"phase": phase}).Counter("connections_evicted"), n-r.last.Evicted[phase])
	}
	add("refused_requests", r.scope.Counter("memory_refusals"), now.RefusedRequests-r.last.RefusedRequests)
	add("refused_connections", r.scope.Counter("connections_refused"), now.RefusedConnections-r.last.RefusedConnections)
	if grown {
		r.log.Warn("request_memory", fields...)
	}
	r.last = now
}
