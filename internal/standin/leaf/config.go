// Package leaf implements a stand-in for a backend server, with slots, a cold start, snapshots, injected faults and a
// log of the calls that it ran. It is used by tests only.
package leaf

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
)

// Config is the configuration of a leaf.
type Config struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	// Slots and ColdSlots are the numbers of concurrent calls that the leaf can run while warm and while cold.
	Slots     int `json:"slots"`
	ColdSlots int `json:"cold_slots"`
	// The leaf is cold until it has completed ColdCalls calls and ColdTime has passed since its start.
	ColdCalls int             `json:"cold_calls"`
	ColdTime  config.Duration `json:"cold_time"`
	// Connections limits the open connections. 0 means no limit. Accepting a connection takes ConnectionCost.
	Connections    int             `json:"connections"`
	ConnectionCost config.Duration `json:"connection_cost"`
	// Latency is the shortest service time while warm. An exponentially distributed time with the same mean is added to
	// it. ColdFactor multiplies the sum while the leaf is cold. A ColdFactor of 0 means 1.
	Latency    config.Duration `json:"latency"`
	ColdFactor float64         `json:"cold_factor"`
	// StragglerShare is the share of calls, from 0 to 1, that take StragglerLatency instead.
	StragglerShare   float64         `json:"straggler_share"`
	StragglerLatency config.Duration `json:"straggler_latency"`
	// Seed seeds the random service times.
	Seed uint64 `json:"seed"`
	// CrashOnOverload makes the leaf crash when it gets more concurrent calls than it has slots.
	CrashOnOverload bool `json:"fall_over"`
	// RestartAfter is how long the leaf stays down after a crash.
	RestartAfter config.Duration        `json:"restart_after"`
	Snapshots    []backend.SnapshotInfo `json:"snapshots"`
}

// Faults are the faults that a leaf injects. The zero value injects none. Swap decreases by one with each use.
type Faults struct {
	// Refuse makes the leaf refuse every call without running it. Draining only sets the flag in the status.
	Refuse   bool `json:"refuse"`
	Draining bool `json:"draining"`
	// StatusLag is how old a reported status may be.
	StatusLag config.Duration `json:"status_lag"`
	// AnswerDelay delays each answer after its call has ended.
	AnswerDelay config.Duration `json:"answer_delay"`
	// Swap is the number of upcoming answers that are swapped in pairs.
	Swap int `json:"swap"`
	// CrashPrefix makes the leaf crash when it runs a payload with this prefix. Empty disables it.
	CrashPrefix string `json:"crash_prefix"`
	// Partial maps the shards that the leaf covers only partly to their covered share, from 0 to 1.
	Partial map[uint32]float64 `json:"partial"`
}

// Data returns the answer data that every leaf gives for a shard, so that a test can verify each result.
func Data(service, snapshot string, shard uint32, payload []byte) []byte {
	return fmt.Appendf(nil, "%s|%s|%d|%d|%016x", service, snapshot, shard, len(payload), xxhash.Sum64(payload))
}

// Snapshot describes a snapshot of which a leaf holds the given shards.
func Snapshot(id string, sequence uint64, shardCount uint32, shards ...uint32) backend.SnapshotInfo {
	return backend.SnapshotInfo{ID: id, Sequence: sequence, ShardCount: shardCount, Shards: shards}
}

func hasCrashPrefix(prefix string, payload []byte) bool {
	return prefix != "" && strings.HasPrefix(string(payload), prefix)
}
