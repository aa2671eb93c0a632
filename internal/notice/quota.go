package notice

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenstream/api/cluster"
	"cyclamenstream/gen/noticepb"
)

// SendQuotaReport implements cluster.Quotas.
func (t *UDPTransport) SendQuotaReport(address string, r cluster.QuotaReport) {
	payload, err := proto.Marshal(encodeQuotaReport(r))
	t.send([]string{address}, payload, err)
}

// SendQuotaGrant implements cluster.Quotas.
func (t *UDPTransport) SendQuotaGrant(address string, g cluster.QuotaGrant) {
	payload, err := proto.Marshal(encodeQuotaGrant(g))
	t.send([]string{address}, payload, err)
}

// QuotaReports implements cluster.Quotas.
func (t *UDPTransport) QuotaReports() <-chan cluster.QuotaReport { return t.quotaReports }

// QuotaGrants implements cluster.Quotas.
func (t *UDPTransport) QuotaGrants() <-chan cluster.QuotaGrant { return t.quotaGrants }

func encodeQuotaReport(r cluster.QuotaReport) *noticepb.Datagram {
	m := &noticepb.QuotaReport{Organisation: r.Organisation, Node: r.Node, Boot: r.Boot, StampUs: uint64(r.Stamp.Microseconds()),
		Granted: r.Granted, Wanted: r.Wanted, Returned: r.Returned}
	return &noticepb.Datagram{Content: &noticepb.Datagram_QuotaReport{QuotaReport: m}}
}

func decodeQuotaReport(m *noticepb.QuotaReport) cluster.QuotaReport {
	return cluster.QuotaReport{Organisation: m.Organisation, Node: m.Node, Boot: m.Boot, Stamp: micros(m.StampUs),
		Granted: m.Granted, Wanted: m.Wanted, Returned: m.Returned}
}

func encodeQuotaGrant(g cluster.QuotaGrant) *noticepb.Datagram {
	m := &noticepb.QuotaGrant{Organisation: g.Organisation, Allocator: g.Allocator, Boot: g.Boot, StampUs: uint64(g.Stamp.Microseconds()),
		Granted: g.Granted, WaitUs: uint64(g.Wait.Microseconds())}
	return &noticepb.Datagram{Content: &noticepb.Datagram_QuotaGrant{QuotaGrant: m}}
}

func decodeQuotaGrant(m *noticepb.QuotaGrant) cluster.QuotaGrant {
	return cluster.QuotaGrant{Organisation: m.Organisation, Allocator: m.Allocator, Boot: m.Boot, Stamp: micros(m.StampUs),
		Granted: m.Granted, Wait: micros(m.WaitUs)}
}

// micros converts microseconds to a duration, or to the longest one in whole microseconds if that is shorter.
func micros(us uint64) time.Duration {
	return time.Duration(min(us, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
}
