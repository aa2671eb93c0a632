// Package config defines the operators' configuration document.
package config

import "time"

// Key is the store's key of the configuration document.
const Key = "cyclamenstream/config"

// Limits on the document.
const (
	// MaxHistory is the number of change identifiers that the document keeps. An operator who lost the answer to a
	// change can find out its outcome while fewer than this many changes have followed. At 45,000 changes a day, 256
	// changes take about 8 minutes.
	MaxHistory = 256
	// MaxLeafTimeout bounds the time that one call to a leaf may run. A new owner of a service that got no handover
	// waits this long before it uses the leaves' slots.
	MaxLeafTimeout = 2 * time.Second
	// MaxDeadline bounds the deadline of a profile.
	MaxDeadline = 60 * time.Second
	MaxPriority = 9
	// DefaultColdTime is the cold time of services that set none. MaxColdTime is the longest one allowed.
	DefaultColdTime = time.Second
	MaxColdTime     = 10 * time.Minute
)

// Duration is a time.Duration that is written as text ("150ms") in JSON and TOML.
type Duration time.Duration

// MarshalText writes the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration with its unit, such as "150ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Profile is a named set of rules that services run under.
type Profile struct {
	// Deadline bounds each query. A caller may ask for less.
	Deadline Duration `json:"deadline" toml:"deadline"`
	// LeafTimeout bounds each call to a leaf, at most MaxLeafTimeout.
	LeafTimeout Duration `json:"leaf_timeout" toml:"leaf_timeout"`
	// LeastCoverage is the lowest coverage, in percent from 0 to 100, that is returned as an answer.
	LeastCoverage float64 `json:"least_coverage" toml:"least_coverage"`
	// HedgeBudget is the share of extra leaf requests that hedges may add, 0 (no hedging) to 1.
	HedgeBudget float64 `json:"hedge_budget" toml:"hedge_budget"`
	// RetryBudget is the share of extra leaf requests that retries may add, 0 (no retries) to 1.
	RetryBudget float64 `json:"retry_budget" toml:"retry_budget"`
	// Priority orders waiting requests, 0 (lowest) to MaxPriority.
	Priority int `json:"priority" toml:"priority"`
	// NonIdempotent makes every request under this profile run at most once.
	NonIdempotent bool `json:"non_idempotent" toml:"non_idempotent"`
	// MaxResultBytes bounds the size of the merged answer. 0 means 16 MiB.
	MaxResultBytes int `json:"max_result_bytes" toml:"max_result_bytes"`
}

// Service describes how a service is run.
type Service struct {
	// Profile is the default profile.
	Profile string `json:"profile"`
	// ExtraProfiles lists further profiles that a request may select.
	ExtraProfiles []string `json:"extra_profiles,omitempty"`
	// Slots is the number of concurrent calls that a warm leaf can handle.
	Slots int `json:"slots"`
	// ColdSlots is the number of concurrent calls that a leaf can handle during its cold start, at least 1.
	ColdSlots int `json:"cold_slots"`
	// ColdTime is the least time that a leaf is treated as cold after it was found or lost. 0 means DefaultColdTime.
	// After that time, the leaf's limit grows with each series of answers.
	ColdTime Duration `json:"cold_time,omitempty"`
	// Connections is the number of connections that a leaf accepts from all clients together.
	Connections int `json:"connections"`
}

// EffectiveColdTime returns the cold time with the default filled in.
func (s Service) EffectiveColdTime() time.Duration {
	if s.ColdTime == 0 {
		return DefaultColdTime
	}
	return time.Duration(s.ColdTime)
}

// Document is the whole configuration. It is immutable once published.
type Document struct {
	// Version grows by one with each accepted change.
	Version  uint64             `json:"version"`
	Profiles map[string]Profile `json:"profiles"`
	Services map[string]Service `json:"services"`
	// ZonesOut and VMsOut hold the zones and VMs that operators have taken out of service, with the version of the
	// change that did so.
	ZonesOut map[string]uint64 `json:"zones_out"`
	VMsOut   map[string]uint64 `json:"vms_out"`
	// Lifted holds fingerprints whose quarantine an operator has lifted, with the version of the change.
	Lifted map[string]uint64 `json:"lifted"`
	// ItemVersions holds the version of the last change of each item, such as "profile/gate" or "zone/z1".
	ItemVersions map[string]uint64 `json:"item_versions"`
	// History lists the newest changes, oldest first, at most MaxHistory.
	History []ChangeRecord `json:"history"`
}

// ChangeRecord records an accepted change.
type ChangeRecord struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Item    string `json:"item"`
}

// ZoneOut reports whether operators have taken the zone out of service.
func (d *Document) ZoneOut(zone string) bool { _, out := d.ZonesOut[zone]; return out }

// VMOut reports whether operators have taken the VM out of service.
func (d *Document) VMOut(vm string) bool { _, out := d.VMsOut[vm]; return out }

// Op is the operation of a change.
type Op string

// The operations on the document.
const (
	OpPutProfile     Op = "put_profile"
	OpDeleteProfile  Op = "delete_profile"
	OpPutService     Op = "put_service"
	OpDeleteService  Op = "delete_service"
	OpZoneOut        Op = "zone_out"
	OpZoneIn         Op = "zone_in"
	OpVMOut          Op = "vm_out"
	OpVMIn           Op = "vm_in"
	OpLiftQuarantine Op = "lift_quarantine"
)

// Change is one change of the document by an operator.
type Change struct {
	// ID is unique for each change. A resend uses the same ID, so that the change is applied only once.
	ID string `json:"id"`
	Op Op     `json:"op"`
	// Name is the profile, service, zone, VM or fingerprint that is changed.
	Name string `json:"name"`
	// BaseItemVersion is the version of the item that the change is based on, 0 for a new item. It is checked for
	// OpPutProfile, OpPutService and the deletions when CheckBase is set.
	BaseItemVersion uint64   `json:"base_item_version"`
	CheckBase       bool     `json:"check_base"`
	Profile         *Profile `json:"profile,omitempty"`
	Service         *Service `json:"service,omitempty"`
}

// Source provides the newest document that this node knows.
type Source interface {
	// Current returns the newest document, or nil before the first one was read.
	Current() *Document
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
