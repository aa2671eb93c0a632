// Package notice carries what nodes tell each other of the registry. Notices travel in datagrams: one that is lost costs its
// receiver one read of the registry, so that no connections need to be kept between all nodes. So do crashes, which are told more
// than once. Whole views are asked for over gRPC.
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
	// maxDatagram fits the payload of one Ethernet frame.
	maxDatagram = 1400
	// queued is the number of received notices that may wait; each is at most one datagram.
	queued = 128
)

// UDPTransport implements cluster.Peers and cluster.Crashes over UDP.
type UDPTransport struct {
	conn     *net.UDPConn
	received chan cluster.Notice
	crashes  chan cluster.Crash
	sent     tally.Counter
	dropped  tally.Counter
	log      *decision.Log
}

var (
	_ cluster.Peers   = (*UDPTransport)(nil)
	_ cluster.Crashes = (*UDPTransport)(nil)
)

// Listen opens the socket at address (IP:port).
func Listen(address string, log *decision.Log, scope tally.Scope) (*UDPTransport, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	return &UDPTransport{conn: conn, received: make(chan cluster.Notice, queued),
		crashes: make(chan cluster.Crash, queued), log: log,
		sent: scope.Counter("notices_sent"), dropped: scope.Counter("notices_dropped")}, nil
}

// Run receives until ctx ends, and closes the socket.
func (d *UDPTransport) Run(ctx context.Context) {
	// The socket is of no use any more; what its close returns changes nothing.
	defer context.AfterFunc(ctx, func() { _ = d.conn.Close() })()
	buffer := make([]byte, maxDatagram+1)
	for ctx.Err() == nil {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				d.log.Warn("notice_receive", "error", err.Error())
				time.Sleep(receiveRetry)
			}
			continue
		}
		var m noticepb.Datagram
		if err := proto.Unmarshal(buffer[:n], &m); err != nil {
			d.dropped.Inc(1)
			continue
		}
		switch content := m.Content.(type) {
		case *noticepb.Datagram_Notice:
			notice := decode(content.Notice)
			notice.From = from.String()
			queue(d.received, notice, d.dropped)
		case *noticepb.Datagram_Crash:
			queue(d.crashes, decodeCrash(content.Crash), d.dropped)
		}
	}
}

// receiveRetry is the pause after a failed receive.
const receiveRetry = 100 * time.Millisecond

// queue drops the oldest element when the channel is full.
func queue[E any](c chan E, e E, dropped tally.Counter) {
	for {
		select {
		case c <- e:
			return
		default:
		}
		select {
		case <-c:
			dropped.Inc(1)
		default:
		}
	}
}

// Notices implements cluster.Peers.
func (d *UDPTransport) Notices() <-chan cluster.Notice { return d.received }

// SendNotice implements cluster.Peers. Changes that do not fit in a datagram are left out.
func (d *UDPTransport) SendNotice(addresses []string, n cluster.Notice) {
	payload, err := proto.Marshal(encode(n))
	if err == nil && len(payload) > maxDatagram {
		n.Partial, n.Leaves, n.LeavesGone, n.Members, n.MembersGone, n.Evacuated = true, nil, nil, nil, nil, nil
		payload, err = proto.Marshal(encode(n))
	}
	d.send(addresses, payload, err)
}

// Crashes implements cluster.Crashes.
func (d *UDPTransport) Crashes() <-chan cluster.Crash { return d.crashes }

// SendCrash implements cluster.Crashes.
func (d *UDPTransport) SendCrash(addresses []string, c cluster.Crash) {
	payload, err := proto.Marshal(encodeCrash(c))
	d.send(addresses, payload, err)
}

// send sends a payload, unless its encoding failed.
func (d *UDPTransport) send(addresses []string, payload []byte, err error) {
	if err != nil {
		d.log.Error("notice_encode", "error", err.Error())
		return
	}
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = d.conn.WriteToUDP(payload, to)
		}
		if err != nil {
			d.log.Warn("notice_send", "address", address, "error", err.Error())
			continue
		}
		d.sent.Inc(1)
	}
}
