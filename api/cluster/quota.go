package cluster

import "time"

// QuotaReport tells an allocator how much of an organisation's quota a node uses. Numbers are cumulative since the beginning of
// a count, so that lost, repeated and reordered reports are harmless. A report without an organisation only asks for an answer.
type QuotaReport struct {
	Organisation string
	// Node is the name of the sender's VM. Boot identifies the count; it is larger for a later count of the node.
	Node string
	Boot int64
	// Stamp is the sender's time at which the report was sent. The grant repeats it.
	Stamp time.Duration
	// Granted is the number of requests that the allocator has granted as far as the sender knows. Wanted is the number that
	// it asks the allocator to grant. Returned is the number of granted requests that have not run and never will.
	Granted, Wanted, Returned uint64
	// From is the address that the report was received from.
	From string
}

// QuotaGrant answers a QuotaReport.
type QuotaGrant struct {
	Organisation string
	// Allocator is the name of the sender's VM.
	Allocator string
	// Boot and Stamp are those of the report.
	Boot  int64
	Stamp time.Duration
	// Granted is the number of requests of the node that the allocator grants.
	Granted uint64
	// Wait is the time until the allocator can grant another request, or 0 if it grants all that the report asked for.
	Wait time.Duration
}

// Quotas carries reports and grants between nodes. Messages may be lost, duplicated or reordered. Implementations are safe
// for concurrent use and never block.
type Quotas interface {
	// SendQuotaReport sends a report to the node at the address.
	SendQuotaReport(address string, r QuotaReport)
	// SendQuotaGrant sends a grant to the node at the address.
	SendQuotaGrant(address string, g QuotaGrant)
	// QuotaReports and QuotaGrants return the channels of received messages. The oldest are dropped when a channel is full.
	QuotaReports() <-chan QuotaReport
	QuotaGrants() <-chan QuotaGrant
}
