// Package entry assembles an entry node: the process between callers and leaves on a platform with a registry.
package entry

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

// Class wraps every error of this package.
var Class = errs.Class("entry")

// maxSettingsBytes bounds a settings file.
const maxSettingsBytes = 64 << 10

// Settings are the settings of an entry node. Addresses have the form IP:port, and durations have a unit ("250ms").
type Settings struct {
	VM     string `toml:"vm"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// Zones maps each zone to its region.
	Zones map[string]string `toml:"zones"`
	// CallerListen is the address for the requests of callers. The directory returns it to them.
	CallerListen string `toml:"caller_listen"`
	// ReadyListen answers whether this node is ready. DirectoryListen answers which nodes callers use.
	ReadyListen     string `toml:"ready_listen"`
	DirectoryListen string `toml:"directory_listen"`
	// PeerListen receives the notices of other nodes over UDP, and their queries over TCP.
	PeerListen string `toml:"peer_listen"`
	// MetricsListen serves the metrics. If it is empty, they are not served.
	MetricsListen string `toml:"metrics_listen"`
	// Registry is the address of the platform's store.
	Registry string `toml:"registry"`
	// ShutdownGrace is the time from the stop signal until the process is killed.
	ShutdownGrace Duration `toml:"shutdown_grace"`
	// ResolveTTLMax is the longest time for which callers keep an answer of the directory.
	ResolveTTLMax Duration `toml:"resolve_ttl_max"`
	// ConfigWithin bounds the time until a change by the operators is in force. DrainWithin bounds it for a change of a
	// leaf.
	ConfigWithin Duration `toml:"config_within"`
	DrainWithin  Duration `toml:"drain_within"`
	// RetryShare and RetrySlack bound the repeated sends to a service over all nodes: RetryShare of its requests, plus
	// RetrySlack in any period of about ten seconds.
	RetryShare float64 `toml:"retry_share"`
	RetrySlack float64 `toml:"retry_slack"`
	// RevokeWithin bounds the time until a removed API key is refused. It applies if RevokeFailClosed is set: requests that
	// need a key are then refused while this node's view of the registry is older.
	RevokeWithin     Duration `toml:"revoke_within"`
	RevokeFailClosed bool     `toml:"revoke_fail_closed"`
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of each organisation over all nodes: in no window do more
	// run than QuotaOverage above its quota, plus QuotaSlack. Without QuotaWindow, quotas are not enforced.
	QuotaWindow  Duration `toml:"quota_window"`
	QuotaOverage float64  `toml:"quota_overage"`
	QuotaSlack   float64  `toml:"quota_slack"`
	// ColdShare and ColdSlack bound the requests to a cold leaf in any second over all nodes: ColdShare times the rate
	// that its service states, plus ColdSlack.
	ColdShare float64 `toml:"cold_share"`
	ColdSlack float64 `toml:"cold_slack"`
	// ExposureShare and ExposureSlack bound the requests of all nodes to a version of leaves that a rollout has not
	// completed: ExposureShare of the requests to its service, plus ExposureSlack.
	ExposureShare float64 `toml:"exposure_share"`
	ExposureSlack float64 `toml:"exposure_slack"`
	// RollbackWithin bounds the time until a bad version gets no more requests. If it is 0, rollouts are ignored.
	RollbackWithin Duration `toml:"rollback_within"`
	// AnswerMargin is how long before a route's target latency this node sends a gathered answer.
	AnswerMargin Duration `toml:"answer_margin"`
	// OpenMargin is added to AnswerMargin for the first request on a connection.
	OpenMargin Duration `toml:"open_margin"`
	// ProcessorShare is the part of a core that the process may use. ProcessorSpeed is the speed of that core as a
	// multiple of an ordinary one. Callers are sent to the nodes with the highest product of both.
	ProcessorShare float64 `toml:"processor_share"`
	ProcessorSpeed float64 `toml:"processor_speed"`
	// MemoryLimit is the memory that the process may use, in MiB.
	MemoryLimit int64 `toml:"memory_limit"`
	// RequestMemory is the part of it for requests and answers in flight and the connections of callers, in MiB. 0 means a
	// quarter of it.
	RequestMemory int64 `toml:"request_memory"`
	// MaxDescriptors is the number of descriptors that the process may open. 0 means the limit of the operating system.
	MaxDescriptors int `toml:"max_descriptors"`
}

// Duration is a time.Duration that is written as text with a unit.
type Duration struct{ time.Duration }

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Class.Wrap(err)
	}
	s, err := Parse(text)
	if err != nil {
		return Settings{}, Class.New("%s: %s", path, strings.TrimPrefix(err.Error(), string(Class)+": "))
	}
	return s, nil
}

// Parse decodes and validates the text of a settings file. Its error names every invalid key.
func Parse(text []byte) (Settings, error) {
	if len(text) > maxSettingsBytes {
		return Settings{}, Class.New("file has %d bytes; allowed: at most %d", len(text), maxSettingsBytes)
	}
	s := Settings{AnswerMargin: Duration{defaultAnswerMargin}, OpenMargin: Duration{defaultOpenMargin}, ProcessorShare: 1, ProcessorSpeed: 1}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		return Settings{}, Class.New("unknown keys: %s", strings.TrimSpace(unknown.String()))
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		return Settings{}, Class.New("line %d: %s: %s", line, strings.Join(wrong.Key(), "."), strings.TrimPrefix(wrong.Error(), "toml: "))
	case err != nil:
		return Settings{}, Class.New("%s: %v", invalidDurations(text), err)
	}
	return s, s.validate()
}

// invalidDurations names the keys of durations that cannot be parsed. The error of the decoder does not name them.
func invalidDurations(text []byte) string {
	raw := map[string]any{}
	if err := toml.Unmarshal(text, &raw); err != nil {
		return "not TOML"
	}
	var keys []string
	for field := range reflect.TypeFor[Settings]().Fields() {
		value, set := raw[field.Tag.Get("toml")]
		if _, err := time.ParseDuration(fmt.Sprint(value)); set && err != nil && field.Type == reflect.TypeFor[Duration]() {
			keys = append(keys, field.Tag.Get("toml"))
		}
	}
	return strings.Join(keys, ", ")
}

const (
	// defaultAnswerMargin covers three round trips of 6 ms between a caller and its zone, and the delay of timers. The
	// caller connects to the directory, queries it, and sends its request.
	defaultAnswerMargin = 23 * time.Millisecond
	// defaultOpenMargin covers one more round trip, for the connection on which the request is sent.
	defaultOpenMargin = 6 * time.Millisecond
)

// validate returns an error that names every invalid key.
func (s Settings) validate() error {
	var wrong []string
	check := func(ok bool, key string, value any, allowed string) {
		if !ok {
			wrong = append(wrong, fmt.Sprintf("%s = %v; allowed: %s", key, value, allowed))
		}
	}
	for key, value := range map[string]string{"vm": s.VM, "zone": s.Zone, "region": s.Region} {
		check(value != "", key, `""`, "a name")
	}
	check(len(s.Zones) == 0 || s.Zones[s.Zone] == s.Region, "zones", s.Zones, "the region of each zone, this node's included")
	addresses := map[string]string{"caller_listen": s.CallerListen, "ready_listen": s.ReadyListen,
		"directory_listen": s.DirectoryListen, "peer_listen": s.PeerListen, "registry": s.Registry}
	if s.MetricsListen != "" {
		addresses["metrics_listen"] = s.MetricsListen
	}
	for key, value := range addresses {
		address, err := netip.ParseAddrPort(value)
		check(err == nil && address.Port() != 0, key, fmt.Sprintf("%q", value), "IP:port")
	}
	for key, value := range map[string]Duration{"shutdown_grace": s.ShutdownGrace, "resolve_ttl_max": s.ResolveTTLMax,
		"config_within": s.ConfigWithin, "drain_within": s.DrainWithin} {
		check(value.Duration > 0, key, value.Duration, "a duration above 0 with its unit")
	}
	check(s.OpenMargin.Duration >= 0, "open_margin", s.OpenMargin.Duration, "a duration of at least 0 with its unit")
	check(s.RevokeWithin.Duration >= 0, "revoke_within", s.RevokeWithin.Duration, "a duration of at least 0 with its unit")
	check(!s.RevokeFailClosed || s.RevokeWithin.Duration > 0, "revoke_fail_closed", s.RevokeFailClosed, "true only with revoke_within")
	check(s.QuotaWindow.Duration >= 0, "quota_window", s.QuotaWindow.Duration, "a duration of at least 0 with its unit")
	check(s.AnswerMargin.Duration >= 0, "answer_margin", s.AnswerMargin.Duration, "a duration of at least 0 with its unit")
	for key, value := range map[string]float64{"retry_share": s.RetryShare, "retry_slack": s.RetrySlack,
		"cold_share": s.ColdShare, "cold_slack": s.ColdSlack, "quota_overage": s.QuotaOverage, "quota_slack": s.QuotaSlack} {
		check(value >= 0, key, value, "a number of at least 0")
	}
	check(s.ExposureShare >= 0 && s.ExposureShare <= 1, "exposure_share", s.ExposureShare, "a part from 0 to 1")
	check(s.ExposureSlack >= 0, "exposure_slack", s.ExposureSlack, "a number of at least 0")
	check(s.RollbackWithin.Duration >= 0, "rollback_within", s.RollbackWithin.Duration, "a duration of at least 0 with its unit")
	check(s.ProcessorShare > 0, "processor_share", s.ProcessorShare, "cores above 0")
	check(s.ProcessorSpeed > 0, "processor_speed", s.ProcessorSpeed, "a factor above 0")
	check(s.MemoryLimit > 0, "memory_limit", s.MemoryLimit, "MiB above 0")
	check(s.RequestMemory >= 0 && s.RequestMemory <= s.MemoryLimit/2, "request_memory", s.RequestMemory, "MiB up to half of memory_limit")
	check(s.MaxDescriptors == 0 || s.MaxDescriptors > fileDescriptors, "max_descriptors", s.MaxDescriptors, fmt.Sprintf("a number above %d", fileDescriptors))
	if len(wrong) > 0 {
		return Class.New("%s", strings.Join(wrong, "; "))
	}
	return nil
}
