// Package leaf is a stand-in for a backend server: it has slots, a cold start, snapshots and injected faults, and keeps
// a log of what it ran. It is used by tests only.
package leaf

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
)

// Config is the nature of a leaf.
type Config struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	// Slots and ColdSlots are the numbers of concurrent calls that the leaf bears when warm and when cold.
	Slots     int `json:"slots"`
	ColdSlots int `json:"cold_slots"`
	// The leaf is cold until it has completed ColdCalls calls and ColdTime has passed since its start.
	ColdCalls int             `json:"cold_calls"`
	ColdTime  config.Duration `json:"cold_time"`
	// Connections bounds the connections at once, 0 means no bound. Accepting one takes ConnectionCost.
	Connections    int             `json:"connections"`
	ConnectionCost config.Duration `json:"connection_cost"`
	// Latency is the shortest time of a call when warm; on top comes an exponentially distributed part with the same
	// mean. ColdFactor multiplies the time while cold; 0 means 1.
	Latency    config.Duration `json:"latency"`
	ColdFactor float64         `json:"cold_factor"`
	// StragglerShare of the calls, from 0 to 1, take StragglerLatency in place of the rest.
	StragglerShare   float64         `json:"straggler_share"`
	StragglerLatency config.Duration `json:"straggler_latency"`
	// Seed fixes the service times.
	Seed uint64 `json:"seed"`
	// CrashOnOverload makes the leaf crash when it gets more concurrent calls than it bears.
	CrashOnOverload bool `json:"fall_over"`
	// RestartAfter is how long the leaf is away after a crash.
	RestartAfter config.Duration        `json:"restart_after"`
	Snapshots    []backend.SnapshotInfo `json:"snapshots"`
}

// Faults is what goes wrong on a leaf at present. The zero value is a healthy leaf. Counts fall with each use.
type Faults struct {
	// Refuse refuses every call without running it; Draining only reports it in the status.
	Refuse   bool `json:"refuse"`
	Draining bool `json:"draining"`
	// StatusLag is how old reported statuses may be.
	StatusLag config.Duration `json:"status_lag"`
	// AnswerDelay holds back each answer after the call has ended.
	AnswerDelay config.Duration `json:"answer_delay"`
	// Swap is the number of next calls whose answers are exchanged in pairs.
	Swap int `json:"swap"`
	// CrashPrefix makes the leaf crash when it runs a payload that begins with it; empty disables it.
	CrashPrefix string `json:"crash_prefix"`
	// Partial holds the shares of shards that the leaf covers only partly, from 0 to 1.
	Partial map[uint32]float64 `json:"partial"`
}

// Data returns the answer that every leaf gives for a shard, so that a test can verify each result.
func Data(service, snapshot string, shard uint32, payload []byte) []byte {
	return fmt.Appendf(nil, "%s|%s|%d|%d|%016x", service, snapshot, shard, len(payload), xxhash.Sum64(payload))
}

// Snapshot returns a description of a snapshot of which a leaf holds the given shards.
func Snapshot(id string, sequence uint64, shardCount uint32, shards ...uint32) backend.SnapshotInfo {
	return backend.SnapshotInfo{ID: id, Sequence: sequence, ShardCount: shardCount, Shards: shards}
}

func crashes(prefix string, payload []byte) bool {
	return prefix != "" && strings.HasPrefix(string(payload), prefix)
}
