package notice

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
	"cyclamenstream/gen/noticepb"
)

func encodeRollouts(rollouts []registry.Rollout) []*noticepb.Rollout {
	var list []*noticepb.Rollout
	for _, r := range rollouts {
		list = append(list, &noticepb.Rollout{Service: r.Service, Target: r.Request.Target, DurationMs: uint32(r.Request.Duration.Milliseconds()),
			RequestRevision: r.Request.Revision, State: noticepb.RolloutState(r.Status.State), StatusTarget: r.Status.Target,
			OldVersions: r.Status.Old, StatusRevision: r.Status.Revision})
	}
	return list
}

func decodeRollouts(rollouts []*noticepb.Rollout) []registry.Rollout {
	var list []registry.Rollout
	for _, m := range rollouts {
		r := registry.Rollout{Service: m.GetService()}
		if m.GetRequestRevision() > 0 {
			r.Request = registry.RolloutRequest{Service: m.GetService(), Target: m.GetTarget(),
				Duration: time.Duration(m.GetDurationMs()) * time.Millisecond, Revision: m.GetRequestRevision()}
		}
		if m.GetStatusRevision() > 0 {
			r.Status = registry.RolloutStatus{Service: m.GetService(), Target: m.GetStatusTarget(), State: decodeRolloutState(m.GetState()),
				Old: m.GetOldVersions(), Revision: m.GetStatusRevision()}
		}
		list = append(list, r)
	}
	return list
}

// decodeRolloutState takes a state that this node does not know for none.
func decodeRolloutState(s noticepb.RolloutState) registry.RolloutState {
	if state := registry.RolloutState(s); state >= registry.RolloutRequested && state <= registry.RolloutRolledBack {
		return state
	}
	return registry.RolloutRequested
}

func encodeRolloutCounts(c cluster.RolloutCounts) *noticepb.Datagram {
	m := &noticepb.RolloutCounts{Sender: c.Sender, Boot: c.Boot, Service: c.Service, Epoch: c.Epoch, RequestRevision: c.Request,
		AgeMs: uint32(c.Age.Milliseconds()), Judgement: noticepb.RolloutState(c.Judgement), State: noticepb.RolloutState(c.State), StatusRevision: c.Status}
	for _, count := range c.Counts {
		m.Counts = append(m.Counts, &noticepb.RolloutCount{Version: count.Version, Route: count.Route, Failures: count.Failures,
			Latencies: slices.Clone(count.Latencies[:])})
	}
	return &noticepb.Datagram{Content: &noticepb.Datagram_RolloutCounts{RolloutCounts: m}}
}

func decodeRolloutCounts(m *noticepb.RolloutCounts) cluster.RolloutCounts {
	c := cluster.RolloutCounts{Sender: m.Sender, Boot: m.Boot, Service: m.Service, Epoch: m.Epoch, Request: m.RequestRevision,
		Age: time.Duration(m.AgeMs) * time.Millisecond, Judgement: decodeRolloutState(m.Judgement), State: decodeRolloutState(m.State), Status: m.StatusRevision}
	for _, entry := range m.Counts {
		count := cluster.RolloutCount{Version: entry.GetVersion(), Route: entry.GetRoute(), Failures: entry.GetFailures()}
		copy(count.Latencies[:], entry.GetLatencies())
		c.Counts = append(c.Counts, count)
	}
	return c
}

// SendRolloutCounts implements cluster.Rollouts. Counts that do not fit in a datagram are halved until they do. A single
// count always fits, since the registry's names and routes are short; a longer one is left out.
func (t *UDPTransport) SendRolloutCounts(addresses []string, c cluster.RolloutCounts) {
	payload, err := proto.Marshal(encodeRolloutCounts(c))
	if err == nil && len(payload) > maxDatagramBytes && len(c.Counts) > 0 {
		first, second := c, c
		half := len(c.Counts) / 2
		first.Counts, second.Counts = c.Counts[:half], c.Counts[half:]
		t.SendRolloutCounts(addresses, first)
		if half > 0 {
			t.SendRolloutCounts(addresses, second)
		}
		return
	}
	t.send(addresses, payload, err)
}

// RolloutCounts implements cluster.Rollouts.
func (t *UDPTransport) RolloutCounts() <-chan cluster.RolloutCounts { return t.rolloutCounts }
