// Package operator defines the interface that a node offers to the operators' HTTP interface and commands.
package operator

import (
	"context"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
)

// Outcome says whether a change took effect.
type Outcome string

// The outcomes of a change.
const (
	// Accepted means that the change is stored durably.
	Accepted Outcome = "accepted"
	// Conflict means that another operator changed the item first and nothing was written.
	Conflict Outcome = "conflict"
	// Rejected means that the change is not valid and nothing was written.
	Rejected Outcome = "rejected"
	// Unavailable means that nothing was written because the store or a majority of the members cannot be reached.
	Unavailable Outcome = "unavailable"
	// Unresolved means that it is not known whether the change was written. Resending it with the same identifier is
	// safe and resolves it.
	Unresolved Outcome = "unresolved"
)

// ChangeResult is the result of a change.
type ChangeResult struct {
	Outcome Outcome `json:"outcome"`
	// Version is the document version that an accepted change produced.
	Version uint64 `json:"version"`
	// ItemVersion is the item's current version after a conflict.
	ItemVersion uint64 `json:"item_version"`
	// BaseItemVersion is the version that the rejected change was based on.
	BaseItemVersion uint64 `json:"base_item_version"`
	Message         string `json:"message,omitempty"`
}

// NodeStatus is the state of one node as another node knows it.
type NodeStatus struct {
	VM            string    `json:"vm"`
	Zone          string    `json:"zone"`
	Alive         bool      `json:"alive"`
	Stopping      bool      `json:"stopping"`
	Fresh         bool      `json:"fresh"`
	ConfigVersion uint64    `json:"config_version"`
	FleetRevision uint64    `json:"fleet_revision"`
	Owned         []string  `json:"owned"`
	HeardAt       time.Time `json:"heard_at"`
}

// Status is the state of the tier as one node sees it.
type Status struct {
	Node          string       `json:"node"`
	Zone          string       `json:"zone"`
	Fresh         bool         `json:"fresh"`
	StoreUp       bool         `json:"store_up"`
	ConfigVersion uint64       `json:"config_version"`
	FleetRevision uint64       `json:"fleet_revision"`
	Nodes         []NodeStatus `json:"nodes"`
}

// QuarantineEntry is a request that is refused because it crashed leaves.
type QuarantineEntry struct {
	Fingerprint string    `json:"fingerprint"`
	Service     string    `json:"service"`
	Crashes     int       `json:"crashes"`
	Until       time.Time `json:"until"`
}

// Admin holds the operations that a node offers to operators.
type Admin interface {
	// Change applies a change to the configuration and returns the result.
	Change(ctx context.Context, change config.Change) ChangeResult
	// Document returns the newest configuration that the node knows, or nil if there is none.
	Document() *config.Document
	// Status returns the node's view of the tier.
	Status() Status
	// Quarantine lists the quarantined requests.
	Quarantine() []QuarantineEntry
	// Events returns the events of all nodes that answer, in order, and the VMs of those that did not.
	Events(ctx context.Context) (events []event.Event, missing []string)
}

// LocateAnswer lists the addresses that a caller should use for a service.
type LocateAnswer struct {
	Service   string   `json:"service"`
	Addresses []string `json:"addresses"`
	// TTLMillis is how long the caller may keep the answer.
	TTLMillis int64 `json:"ttl_ms"`
}
