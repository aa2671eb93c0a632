package gather

import (
	"bytes"
	"math"
	"slices"
	"time"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/verdict"
)

// recordBytes is the size of one record. A shorter remainder of a body is ignored.
const recordBytes = 16

// merger collects the answers of the gathered services.
type merger struct {
	total int
	// minShare is the smallest share of the services whose answers make a success.
	minShare float64
	replies  []*exchange.Reply
	// results holds the services that have answered, with a nil error, or failed.
	results map[string]error
	failed  int
}

func (m *merger) add(p part) {
	if m.results == nil {
		m.results = make(map[string]error, m.total)
	}
	if p.reply != nil && p.reply.Success() {
		m.results[p.service] = nil
		m.replies = append(m.replies, p.reply)
		return
	}
	m.results[p.service] = p.err
	m.failed++
}

// addRest adds the results of services that give up at the same time, so that the verdict covers them.
func (m *merger) addRest(parts <-chan part) {
	timer := time.NewTimer(cancelWait + cancelWait/2)
	defer timer.Stop()
	for len(m.replies)+m.failed < m.total {
		select {
		case p := <-parts:
			m.add(p)
		case <-timer.C:
			return
		}
	}
}

// needed returns the number of answers that make a success, at least one. The tolerance keeps a share such as 0.9 of 10
// from being rounded up to 10 by floating point.
func (m *merger) needed() int {
	const tolerance = 1e-9
	return max(1, int(math.Ceil(m.minShare*float64(m.total)-tolerance)))
}

func (m *merger) enough() bool { return len(m.replies) >= m.needed() }

// done reports whether to answer now.
func (m *merger) done(late bool) bool {
	switch {
	case len(m.replies)+m.failed == m.total:
		return true
	case m.total-m.failed < m.needed():
		return true
	}
	return late && m.enough()
}

// missing returns the services that are left out of the answer.
func (m *merger) missing(services []string) []string {
	return slices.DeleteFunc(slices.Clone(services), func(s string) bool {
		err, known := m.results[s]
		return known && err == nil
	})
}

// failureReason returns why a service is left out.
func (m *merger) failureReason(service string) string {
	if err := m.results[service]; err != nil {
		return verdict.Message(err)
	}
	return "no answer yet"
}

// callerRefusal returns the refusal of a service for the request's key or quota, or nil. It applies to all services.
func (m *merger) callerRefusal() error {
	for _, err := range m.results {
		switch verdict.CodeOf(err) {
		case verdict.CodeUnauthenticated, verdict.CodeStale, verdict.CodeQuota, verdict.CodeQuotaUnknown:
			return err
		}
	}
	return nil
}

// tooFewErr returns the error of an answer with too few parts. Its verdict is "not run" only if no leaf can have run
// the request.
func (m *merger) tooFewErr(route string) error {
	v := verdict.MayHaveRun()
	if m.failed == m.total || len(m.replies)+m.failed == m.total {
		verdicts := make([]verdict.Verdict, 0, m.total)
		for _, err := range m.results {
			verdicts = append(verdicts, verdict.Of(err))
		}
		v = verdict.Merge(verdicts...)
		if v.IsCompleted() {
			v = verdict.MayHaveRun()
		}
	}
	return verdict.WithVerdict(v, verdict.CodeCoverage, "route %q: %d of %d services answered, %d are needed", route,
		len(m.replies), m.total, m.needed())
}

// merge combines the records of the replies. It returns the greatest top records in descending order, or all if top is
// 0. Equal records are all kept.
func (m *merger) merge(top int) *exchange.Gathered {
	g := &exchange.Gathered{Missing: m.total - len(m.replies)}
	var records [][]byte
	for _, r := range m.replies {
		g.Signatures = append(g.Signatures, r.Signature)
		for chunk := range slices.Chunk(r.Body, recordBytes) {
			if len(chunk) == recordBytes {
				records = append(records, chunk)
			}
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if top > 0 {
		records = records[:min(top, len(records))]
	}
	g.Body = bytes.Join(records, nil)
	return g
}
