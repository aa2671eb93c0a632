package notice

import (
	"encoding/json"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
	"cyclamenstream/api/route"
	"cyclamenstream/gen/noticepb"
)

func encode(n cluster.Notice) *noticepb.Datagram {
	m := &noticepb.Notice{Sender: n.Sender, Epoch: n.Epoch, Revision: n.Revision, Digest: n.Digest, Base: n.Base, Partial: n.Partial, More: n.More,
		ConfigVersion: n.ConfigVersion, Evacuated: n.Evacuated, LeavesGone: n.LeavesGone, MembersGone: n.MembersGone,
		AgeMs: uint32(n.Age.Milliseconds()), Leaves: encodeLeaves(n.Leaves), Members: encodeMembers(n.Members),
		Quarantines: encodeQuarantines(n.Quarantines), QuarantinesGone: n.QuarantinesGone,
		Rollouts: encodeRollouts(n.Rollouts), RolloutsGone: n.RolloutsGone}
	return &noticepb.Datagram{Content: &noticepb.Datagram_Notice{Notice: m}}
}

func encodeCrash(c cluster.Crash) *noticepb.Datagram {
	m := &noticepb.Crash{Request: c.Fingerprint, Attempt: c.Attempt, Leaf: c.Leaf, Boot: c.Boot, Answered: c.Answered}
	return &noticepb.Datagram{Content: &noticepb.Datagram_Crash{Crash: m}}
}

func decodeCrash(m *noticepb.Crash) cluster.Crash {
	return cluster.Crash{Fingerprint: m.Request, Attempt: m.Attempt, Leaf: m.Leaf, Boot: m.Boot, Answered: m.Answered}
}

func encodeRegistration(r cluster.Registration) *noticepb.Datagram {
	m := &noticepb.Registration{Member: encodeMember(r.Member), Leaving: r.Leaving}
	return &noticepb.Datagram{Content: &noticepb.Datagram_Registration{Registration: m}}
}

// decodeRegistration returns false if the registration does not name a node and its address.
func decodeRegistration(m *noticepb.Registration) (cluster.Registration, bool) {
	r := cluster.Registration{Member: decodeMember(m.Member), Leaving: m.Leaving}
	return r, r.Member.ID != "" && r.Member.PeerAddress != ""
}

func encodeRegistered(r cluster.Registered) *noticepb.Datagram {
	m := &noticepb.Registered{Member: r.Member, Boot: r.Boot, Published: r.Published, Registrar: r.Registrar}
	return &noticepb.Datagram{Content: &noticepb.Datagram_Registered{Registered: m}}
}

func decodeRegistered(m *noticepb.Registered) cluster.Registered {
	return cluster.Registered{Member: m.Member, Boot: m.Boot, Published: m.Published, Registrar: m.Registrar}
}

func decode(m *noticepb.Notice) cluster.Notice {
	return cluster.Notice{Sender: m.Sender, Epoch: m.Epoch, Revision: m.Revision, Digest: m.Digest, Base: m.Base, Partial: m.Partial, More: m.More,
		ConfigVersion: m.ConfigVersion, Evacuated: m.Evacuated, LeavesGone: m.LeavesGone, MembersGone: m.MembersGone,
		Age: time.Duration(m.AgeMs) * time.Millisecond, Leaves: decodeLeaves(m.Leaves), Members: decodeMembers(m.Members),
		Quarantines: decodeQuarantines(m.Quarantines), QuarantinesGone: m.QuarantinesGone,
		Rollouts: decodeRollouts(m.Rollouts), RolloutsGone: m.RolloutsGone}
}

func encodeView(v cluster.View, request cluster.ViewRequest) (*noticepb.View, error) {
	m := &noticepb.View{Epoch: v.State.Epoch, Revision: v.State.Revision, Confirmed: v.Confirmed, AgeMs: uint32(v.Age.Milliseconds()), Same: v.Same}
	if v.Same {
		return m, nil
	}
	m.NewestRevision = v.State.NewestRevision
	m.Evacuated, m.Leaves, m.Members = v.State.Evacuated, encodeLeaves(v.State.Leaves), encodeMembers(v.State.Members)
	m.Quarantines, m.Rollouts = encodeQuarantines(v.State.Quarantines), encodeRollouts(v.State.Rollouts())
	if v.State.Table == nil || v.State.Table.Version == request.ConfigVersion {
		return m, nil
	}
	var err error
	m.Table, err = json.Marshal(v.State.Table)
	return m, err
}

func decodeView(m *noticepb.View) (cluster.View, error) {
	v := cluster.View{Same: m.Same, Confirmed: m.Confirmed, Age: time.Duration(m.AgeMs) * time.Millisecond,
		State: registry.State{Epoch: m.Epoch, Revision: m.Revision, NewestRevision: m.NewestRevision, Leaves: decodeLeaves(m.Leaves), Members: decodeMembers(m.Members)}}
	v.State.Evacuated, v.State.Quarantines = m.Evacuated, decodeQuarantines(m.Quarantines)
	v.State.SetRollouts(decodeRollouts(m.Rollouts))
	if len(m.Table) == 0 {
		return v, nil
	}
	v.State.Table = &route.Table{}
	return v, json.Unmarshal(m.Table, v.State.Table)
}

func encodeLeaves(leaves []registry.Leaf) []*noticepb.Leaf {
	var list []*noticepb.Leaf
	for _, l := range leaves {
		list = append(list, &noticepb.Leaf{Id: l.ID, Service: l.Service, Address: l.Address, Zone: l.Zone,
			Slots: uint32(l.Slots), Draining: l.Draining, ColdForMs: uint32(l.WarmupLeft.Milliseconds()), Boot: l.Boot, Revision: l.Revision, Version: l.Version})
	}
	return list
}

func decodeLeaves(leaves []*noticepb.Leaf) []registry.Leaf {
	var list []registry.Leaf
	for _, l := range leaves {
		list = append(list, registry.Leaf{ID: l.Id, Service: l.Service, Address: l.Address, Zone: l.Zone,
			Slots: int(l.Slots), Draining: l.Draining, WarmupLeft: time.Duration(l.ColdForMs) * time.Millisecond, Boot: l.Boot, Revision: l.Revision, Version: l.Version})
	}
	return list
}

func encodeMembers(members []registry.Member) []*noticepb.Member {
	var list []*noticepb.Member
	for _, m := range members {
		list = append(list, encodeMember(m))
	}
	return list
}

func encodeMember(m registry.Member) *noticepb.Member {
	return &noticepb.Member{Id: m.ID, Zone: m.Zone, Region: m.Region,
		CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress, Boot: m.Boot, Capacity: m.Capacity, Overloaded: m.Overloaded}
}

func decodeMembers(members []*noticepb.Member) []registry.Member {
	var list []registry.Member
	for _, m := range members {
		list = append(list, decodeMember(m))
	}
	return list
}

func decodeMember(m *noticepb.Member) registry.Member {
	return registry.Member{ID: m.GetId(), Zone: m.GetZone(), Region: m.GetRegion(), CallerAddress: m.GetCallerAddress(),
		PeerAddress: m.GetPeerAddress(), Boot: m.GetBoot(), Capacity: m.GetCapacity(), Overloaded: m.GetOverloaded()}
}

func encodeQuarantines(quarantines []registry.Quarantine) []*noticepb.Quarantine {
	var list []*noticepb.Quarantine
	for _, q := range quarantines {
		list = append(list, &noticepb.Quarantine{Request: q.Fingerprint, Probe: uint32(q.Probe), Node: q.Node, Written: q.Written})
	}
	return list
}

// decodeQuarantines leaves out entries that the registry cannot hold.
func decodeQuarantines(quarantines []*noticepb.Quarantine) []registry.Quarantine {
	var list []registry.Quarantine
	for _, q := range quarantines {
		if q.GetProbe() <= registry.MaxProbe {
			list = append(list, registry.Quarantine{Fingerprint: q.GetRequest(), Probe: int(q.GetProbe()), Node: q.GetNode(), Written: q.GetWritten()})
		}
	}
	return list
}
