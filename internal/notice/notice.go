// Package notice implements the communication between nodes about the registry and about crashes of leaves. Notices are
// sent as UDP datagrams, so that nodes need not keep connections to all others. A lost notice costs its receiver one
// read of the registry. Crashes are also sent as datagrams and repeated. Complete views are requested over gRPC.
package notice

import (
	"context"
	"net"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"cyclamenstream/api/cluster"
	"cyclamenstream/gen/noticepb"
	"cyclamenstream/internal/decision"
)

const (
	// maxDatagramBytes fits into the payload of one Ethernet frame.
	maxDatagramBytes = 1400
	// queueLength is the capacity of each queue of received messages. A message is at most one datagram.
	queueLength = 128
	// registrationQueueLength is that of the queue of registrations, of which a node gets many at the same time.
	registrationQueueLength = 512
	// rolloutQueueLength is that of the queue of counts. Each node sends some for each rollout at the same time.
	rolloutQueueLength = 512
)

// UDPTransport implements cluster.Peers, cluster.Crashes, cluster.Registrations, cluster.Quotas and cluster.Rollouts over UDP.
type UDPTransport struct {
	conn          *net.UDPConn
	received      chan cluster.Notice
	crashes       chan cluster.Crash
	registrations chan cluster.Registration
	registered    chan cluster.Registered
	quotaReports  chan cluster.QuotaReport
	quotaGrants   chan cluster.QuotaGrant
	rolloutCounts chan cluster.RolloutCounts
	sent          tally.Counter
	dropped       tally.Counter
	log           *decision.Log
}

var (
	_ cluster.Peers         = (*UDPTransport)(nil)
	_ cluster.Crashes       = (*UDPTransport)(nil)
	_ cluster.Registrations = (*UDPTransport)(nil)
	_ cluster.Quotas        = (*UDPTransport)(nil)
	_ cluster.Rollouts      = (*UDPTransport)(nil)
)

// Listen returns a transport that listens on address (IP:port).
func Listen(address string, log *decision.Log, scope tally.Scope) (*UDPTransport, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	return &UDPTransport{conn: conn, received: make(chan cluster.Notice, queueLength),
		crashes: make(chan cluster.Crash, queueLength), registrations: make(chan cluster.Registration, registrationQueueLength),
		registered: make(chan cluster.Registered, queueLength), quotaReports: make(chan cluster.QuotaReport, queueLength),
		quotaGrants:   make(chan cluster.QuotaGrant, queueLength),
		rolloutCounts: make(chan cluster.RolloutCounts, rolloutQueueLength), log: log,
		sent: scope.Counter("notices_sent"), dropped: scope.Counter("notices_dropped")}, nil
}

// Run receives datagrams until ctx ends, and then closes the socket.
func (t *UDPTransport) Run(ctx context.Context) {
	// The socket is not used any more, so an error of Close does not matter.
	defer context.AfterFunc(ctx, func() { _ = t.conn.Close() })()
	buffer := make([]byte, maxDatagramBytes+1)
	for ctx.Err() == nil {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				t.log.Warn("notice_receive", "error", err.Error())
				time.Sleep(receiveRetryDelay)
			}
			continue
		}
		var m noticepb.Datagram
		if err := proto.Unmarshal(buffer[:n], &m); err != nil {
			t.dropped.Inc(1)
			continue
		}
		switch content := m.Content.(type) {
		case *noticepb.Datagram_Notice:
			notice := decode(content.Notice)
			notice.From = from.String()
			enqueue(t.received, notice, t.dropped)
		case *noticepb.Datagram_Crash:
			enqueue(t.crashes, decodeCrash(content.Crash), t.dropped)
		case *noticepb.Datagram_Registration:
			if registration, ok := decodeRegistration(content.Registration); ok {
				enqueue(t.registrations, registration, t.dropped)
			} else {
				t.dropped.Inc(1)
			}
		case *noticepb.Datagram_Registered:
			enqueue(t.registered, decodeRegistered(content.Registered), t.dropped)
		case *noticepb.Datagram_QuotaReport:
			report := decodeQuotaReport(content.QuotaReport)
			report.From = from.String()
			enqueue(t.quotaReports, report, t.dropped)
		case *noticepb.Datagram_QuotaGrant:
			enqueue(t.quotaGrants, decodeQuotaGrant(content.QuotaGrant), t.dropped)
		case *noticepb.Datagram_RolloutCounts:
			enqueue(t.rolloutCounts, decodeRolloutCounts(content.RolloutCounts), t.dropped)
		}
	}
}

// receiveRetryDelay is the delay after a failed receive.
const receiveRetryDelay = 100 * time.Millisecond

// enqueue adds an item to a queue, and drops the oldest items while the queue is full.
func enqueue[E any](queue chan E, item E, dropped tally.Counter) {
	for {
		select {
		case queue <- item:
			return
		default:
		}
		select {
		case <-queue:
			dropped.Inc(1)
		default:
		}
	}
}

// Notices implements cluster.Peers.
func (t *UDPTransport) Notices() <-chan cluster.Notice { return t.received }

// SendNotice implements cluster.Peers. A notice that does not fit in a datagram is sent without its changes and marked
// as partial.
func (t *UDPTransport) SendNotice(addresses []string, n cluster.Notice) {
	payload, err := proto.Marshal(encode(n))
	if err == nil && len(payload) > maxDatagramBytes {
		n.Partial, n.Leaves, n.LeavesGone, n.Members, n.MembersGone, n.Evacuated = true, nil, nil, nil, nil, nil
		n.Quarantines, n.QuarantinesGone, n.Rollouts, n.RolloutsGone = nil, nil, nil, nil
		payload, err = proto.Marshal(encode(n))
	}
	t.send(addresses, payload, err)
}

// Crashes implements cluster.Crashes.
func (t *UDPTransport) Crashes() <-chan cluster.Crash { return t.crashes }

// SendCrash implements cluster.Crashes.
func (t *UDPTransport) SendCrash(addresses []string, c cluster.Crash) {
	payload, err := proto.Marshal(encodeCrash(c))
	t.send(addresses, payload, err)
}

// SendRegistration implements cluster.Registrations.
func (t *UDPTransport) SendRegistration(address string, r cluster.Registration) {
	payload, err := proto.Marshal(encodeRegistration(r))
	t.send([]string{address}, payload, err)
}

// Registrations implements cluster.Registrations.
func (t *UDPTransport) Registrations() <-chan cluster.Registration { return t.registrations }

// SendRegistered implements cluster.Registrations.
func (t *UDPTransport) SendRegistered(address string, r cluster.Registered) {
	payload, err := proto.Marshal(encodeRegistered(r))
	t.send([]string{address}, payload, err)
}

// Registered implements cluster.Registrations.
func (t *UDPTransport) Registered() <-chan cluster.Registered { return t.registered }

// send sends a payload. err is the error of its encoding.
func (t *UDPTransport) send(addresses []string, payload []byte, err error) {
	if err != nil {
		t.log.Error("notice_encode", "error", err.Error())
		return
	}
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = t.conn.WriteToUDP(payload, to)
		}
		if err != nil {
			t.log.Warn("notice_send", "address", address, "error", err.Error())
			continue
		}
		t.sent.Inc(1)
	}
}
