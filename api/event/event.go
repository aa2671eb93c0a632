// Package event defines the typed events of the timeline.
package event

import "time"

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	NodeStarted        Kind = "node_started"
	NodeStopping       Kind = "node_stopping"
	NodeStopped        Kind = "node_stopped"
	NodeStale          Kind = "node_stale"
	NodeFresh          Kind = "node_fresh"
	MemberUp           Kind = "member_up"
	MemberDown         Kind = "member_down"
	LeaseTaken         Kind = "lease_taken"
	LeaseLost          Kind = "lease_lost"
	LeaseHandedOver    Kind = "lease_handed_over"
	ConfigAccepted     Kind = "config_accepted"
	ConfigApplied      Kind = "config_applied"
	FleetApplied       Kind = "fleet_applied"
	StoreUp            Kind = "store_up"
	StoreDown          Kind = "store_down"
	LeafConnected      Kind = "leaf_connected"
	LeafLost           Kind = "leaf_lost"
	LeafCold           Kind = "leaf_cold"
	LeafWarm           Kind = "leaf_warm"
	SnapshotSeen       Kind = "snapshot_seen"
	QueryRestarted     Kind = "query_restarted"
	QueryFailed        Kind = "query_failed"
	IntentWritten      Kind = "intent_written"
	RequestSuspected   Kind = "request_suspected"
	RequestQuarantined Kind = "request_quarantined"
	QuarantineLifted   Kind = "quarantine_lifted"
)

// Stamp is a reading of a hybrid logical clock. It orders events across processes so that a cause precedes its effect.
type Stamp struct {
	// WallMillis is the wall clock in milliseconds since 1970.
	WallMillis int64
	// Counter orders events with the same WallMillis.
	Counter uint32
}

// Before reports whether s is earlier than t.
func (s Stamp) Before(t Stamp) bool {
	return s.WallMillis < t.WallMillis || (s.WallMillis == t.WallMillis && s.Counter < t.Counter)
}

// Time returns the wall clock of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.WallMillis) }

// Event is one entry of the timeline. Fields that do not apply are empty.
type Event struct {
	Stamp     Stamp
	Kind      Kind
	Node      string // VM of the process that recorded the event
	Zone      string // availability zone of that VM
	VM        string // VM that the event is about
	Service   string
	RequestID string
	Detail    string
}

// Recorder records events. Implementations add Stamp, Node and Zone, and never block.
type Recorder interface {
	Record(Event)
}

// Discard is a Recorder that drops every event.
type Discard struct{}

// Record drops the event.
func (Discard) Record(Event) {}
