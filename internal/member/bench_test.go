package member

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/gen/peerpb"
	"cyclamenstream/internal/clock"
	"cyclamenstream/internal/configstore"
	"cyclamenstream/internal/relay"
	standin "cyclamenstream/internal/standin/platform"
)

// benchNode is a settled node that has heard from all members, each of which owns its share of the services.
type benchNode struct {
	*Node
	peers    []platform.VM
	requests []*peerpb.PingRequest
	ackReply *peerpb.PingReply // of a peer that has acknowledged all claims
}

func newBenchNode(b *testing.B, members, services int) *benchNode {
	ctx := b.Context()
	p := standin.New()
	doc := &config.Document{Version: 1, Profiles: map[string]config.Profile{"p": {}}, Services: map[string]config.Service{},
		History: []config.ChangeRecord{{ID: "c", Version: 1}}}
	for i := range services {
		doc.Services[fmt.Sprint("service-", i)] = config.Service{Profile: "p", Slots: 3, ColdSlots: 1}
	}
	value, err := configstore.Encode(doc)
	if err == nil {
		_, err = p.CompareAndSwap(ctx, config.Key, 0, value)
	}
	if err != nil {
		b.Fatal(err)
	}
	vm := func(i int) platform.VM {
		return platform.VM{ID: fmt.Sprintf("node-%03d", i), Zone: fmt.Sprint("z", i%8), Kind: platform.KindNode, State: platform.StateLive}
	}
	for i := range members {
		p.PutVM(vm(i))
	}
	documents := relay.New(p, p, nil, event.Discard{}, tally.NoopScope)
	documents.Start(ctx)
	for documents.Current() == nil || documents.Fleet() == nil {
		time.Sleep(time.Millisecond)
	}
	n := &benchNode{Node: New(vm(0), nil, documents, event.Discard{}, clock.New(time.Now), tally.NoopScope)}
	n.epoch = n.epoch.Add(-time.Hour)
	n.refreshView()
	n.epoch = n.epoch.Add(-time.Minute) // settles the member set
	n.refreshView()
	for i := 1; i < members; i++ {
		request := &peerpb.PingRequest{Vm: vm(i).ID, BootId: "boot", MemberSet: n.leases.memberHash(), Fresh: true, Ready: true,
			Documents: documents.Versions(), StampWallMs: time.Now().UnixMilli()}
		for j := i; j < services; j += members {
			request.Claims = append(request.Claims, &peerpb.Claim{Service: fmt.Sprint("service-", j)})
		}
		n.peers, n.requests = append(n.peers, vm(i)), append(n.requests, request)
		if reply := n.ping(b, i-1); len(reply.Acknowledged) != len(request.Claims) {
			b.Fatalf("%d of %d claims were acknowledged", len(reply.Acknowledged), len(request.Claims))
		}
	}
	n.ackReply = n.ping(b, 0)
	n.ackReply.Fresh, n.ackReply.Ready = true, true
	for i := range n.peers {
		n.handleReplyFrom(i)
	}
	return n
}

func (n *benchNode) ping(b *testing.B, peer int) *peerpb.PingReply {
	r := n.requests[peer]
	r.Sequence++
	reply, err := n.HandlePing(context.Background(), r)
	if err != nil {
		b.Fatal(err)
	}
	return reply
}

func (n *benchNode) handleReplyFrom(peer int) {
	n.ackReply.Vm = n.peers[peer].ID
	n.handleReply(n.peers[peer], n.now(), n.leases.memberHash(), n.ackReply)
}

// BenchmarkHeartbeat reports the cost of a heartbeat: handling a peer's ping, handling a reply, building the ping for
// all members, and the rest of a tick. With -cpu 1 the times are processor times.
func BenchmarkHeartbeat(b *testing.B) {
	for _, members := range []int{8, 64, 256} {
		for _, services := range []int{25, 250} {
			n := newBenchNode(b, members, services)
			name := fmt.Sprintf("members=%d/services=%d/", members, services)
			peer := 0
			next := func() int { peer = (peer + 1) % len(n.peers); return peer }
			b.Run(name+"HandlePing", func(b *testing.B) {
				b.ReportAllocs()
				var reply *peerpb.PingReply
				for b.Loop() {
					reply = n.ping(b, next())
				}
				b.ReportMetric(float64(proto.Size(n.requests[0])), "request-B")
				b.ReportMetric(float64(proto.Size(reply)), "reply-B")
			})
			b.Run(name+"handleReply", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					n.handleReplyFrom(next())
				}
			})
			b.Run(name+"buildPing", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					n.buildPing()
				}
			})
			b.Run(name+"tick", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					now := n.now()
					n.syncOwned(now)
					n.refreshView()
					n.updatePeers(now)
					n.updateExemptions()
					n.updateOwnerHints(now)
				}
			})
		}
	}
}

// BenchmarkChecks reports the cost of the ownership and freshness checks before each send.
func BenchmarkChecks(b *testing.B) {
	n := newBenchNode(b, 64, 250)
	n.leases.lease("service-0").ownedUntil.Store(int64(n.now() + time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		if n.CheckOwned("service-0") != nil {
			b.Fatal("not owned")
		}
		if err := n.CheckFresh(); err != nil {
			b.StopTimer()
			b.Fatal(err)
		}
	}
}

// BenchmarkFleet reports the cost of decoding a list of VMs and of building a view from it, and the list's size for
// each VM.
func BenchmarkFleet(b *testing.B) {
	for _, vms := range []int{1000, 10000} {
		fleet := platform.Fleet{Revision: 1}
		for i := range vms {
			id := fmt.Sprintf("vm-%08d", i)
			vm := platform.VM{ID: id, Zone: fmt.Sprint("zone-", i%8), Region: fmt.Sprint("region-", i%4), Kind: platform.KindBackend,
				State: platform.StateLive, Service: fmt.Sprint("service-", i%900), Address: "10.100.100.100:9000"}
			if i%12 == 0 {
				vm.Kind, vm.Service, vm.CallerAddress = platform.KindNode, "", "10.100.100.100:8080"
			}
			fleet.VMs = append(fleet.VMs, vm)
		}
		value, err := json.Marshal(fleet)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("decode/", vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := json.Unmarshal(value, &platform.Fleet{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value))/float64(vms), "B/VM")
		})
		b.Run(fmt.Sprint("view/", vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newView(nil, &fleet, nil, 0)
			}
		})
	}
}
