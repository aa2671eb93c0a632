// Package settings reads the TOML settings of one node process.
//
// Settings hold only what a process needs before it can read the configuration document: its identity, the addresses on
// which it listens and the address of the platform. Everything that operators change at run time is in the document
// (package config).
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"

	"cyclamenstream/api/config"
)

// Class wraps every error of this package.
var Class = errs.Class("settings")

// MaxFileBytes bounds a settings file. The keys below need less than 2 KiB; the rest is left for comments.
const MaxFileBytes = 64 << 10

// Settings are the settings of one node process. Addresses are IP:port.
type Settings struct {
	// VM is the identifier of this VM in the platform's list of VMs.
	VM     string `toml:"vm" json:"vm" validate:"name"`
	Zone   string `toml:"zone" json:"zone" validate:"name"`
	Region string `toml:"region" json:"region" validate:"name"`
	// PeerListen is the address on which the node accepts connections from other nodes. PeerAddress is the address
	// advertised to them, by default PeerListen.
	PeerListen  string `toml:"peer_listen" json:"peer_listen" validate:"ip_port"`
	PeerAddress string `toml:"peer_address" json:"peer_address" validate:"ip_port,specified"`
	// CallerListen is the address on which the node accepts connections from callers and operators. CallerAddress is
	// the address advertised to them, by default CallerListen.
	CallerListen  string `toml:"caller_listen" json:"caller_listen" validate:"ip_port,nefield=PeerListen"`
	CallerAddress string `toml:"caller_address" json:"caller_address" validate:"ip_port,specified"`
	// Platform is the address of the platform's store and list of VMs.
	Platform string `toml:"platform" json:"platform" validate:"ip_port,specified"`
	// LocateTTL is the longest time for which a caller may cache the addresses of a service.
	LocateTTL Duration `toml:"locate_ttl" json:"locate_ttl" validate:"min=1s,max=5m"`
	// ShutdownGrace bounds a graceful shutdown. The process exits earlier when nothing runs any more. It is at least
	// LocateTTL, since callers may use the node's address for that long after locate requests stop returning it.
	ShutdownGrace Duration `toml:"shutdown_grace" json:"shutdown_grace" validate:"min=1s,max=10m,gtefield=LocateTTL"`
	// MaxBodyBytes bounds the body of an HTTP request.
	MaxBodyBytes int64 `toml:"max_body_bytes" json:"max_body_bytes" validate:"min=1024,max=16777216"`
	// TimelineCapacity is the number of events that the timeline of the process keeps, about 250 bytes each.
	TimelineCapacity int `toml:"timeline_capacity" json:"timeline_capacity" validate:"min=16,max=65536"`
	// LogVerbosity is the value of klog's flag -v.
	LogVerbosity int `toml:"log_verbosity" json:"log_verbosity" validate:"min=0,max=9"`
}

// Duration is a time.Duration that is written as text with its unit ("10s"). It is a struct so that the TOML decoder
// does not accept a bare number as nanoseconds.
type Duration struct{ time.Duration }

// MarshalText writes the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Defaults returns the values of the keys that a file does not set.
func Defaults() Settings {
	return Settings{
		LocateTTL: Duration{10 * time.Second},
		// The locate time to live plus the longest deadline of a profile, with 20 s in reserve.
		ShutdownGrace: Duration{10*time.Second + config.MaxDeadline + 20*time.Second},
		// A payload of 256 KiB is 342 KiB in base64; the rest is left for the list of shards.
		MaxBodyBytes:     1 << 20,
		TimelineCapacity: 4096,
	}
}

// Load reads and checks a settings file.
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

// Parse decodes and checks the text of a settings file. Its error names the invalid keys with their values and what is
// allowed.
func Parse(text []byte) (Settings, error) {
	if len(text) > MaxFileBytes {
		return Settings{}, Class.New("file has %d bytes; allowed: at most %d", len(text), MaxFileBytes)
	}
	s := Defaults()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, decodeError(text, err)
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.PeerListen
	}
	if s.CallerAddress == "" {
		s.CallerAddress = s.CallerListen
	}
	if err := s.Validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// decodeError describes a file that is not TOML, has an unknown key or a value of the wrong type.
func decodeError(text []byte, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var parts []string
		for i := range unknown.Errors {
			line, _ := unknown.Errors[i].Position()
			parts = append(parts, fmt.Sprintf("line %d: unknown key %q", line, strings.Join(unknown.Errors[i].Key(), ".")))
		}
		return Class.New("%s; allowed keys: %s", strings.Join(parts, "; "), strings.Join(keys(), ", "))
	}
	raw := map[string]any{}
	if err := toml.Unmarshal(text, &raw); err != nil {
		raw = nil
	}
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		if parts := invalidDurations(text, raw); len(parts) > 0 {
			return Class.New("%s", strings.Join(parts, "; "))
		}
		return Class.Wrap(err)
	}
	line, _ := decodeErr.Position()
	key := strings.Join(decodeErr.Key(), ".")
	if value, set := raw[key]; set && allowedValues[key] != "" {
		return Class.New("line %d: %s = %#v; allowed: %s", line, key, value, allowedValues[key])
	}
	return Class.New("line %d: %s", line, strings.TrimPrefix(decodeErr.Error(), "toml: "))
}

// invalidDurations describes the durations that do not parse. The decoder gives no position for those that are not
// text.
func invalidDurations(text []byte, raw map[string]any) []string {
	var parts []string
	for _, key := range []string{"locate_ttl", "shutdown_grace"} {
		value, set := raw[key]
		if _, err := time.ParseDuration(fmt.Sprint(value)); !set || err == nil {
			continue
		}
		position := regexp.MustCompile(`(?m)^[ \t"']*` + key).FindIndex(text)
		line := 1
		if position != nil {
			line += bytes.Count(text[:position[0]], []byte("\n"))
		}
		parts = append(parts, fmt.Sprintf("line %d: %s = %v; allowed: %s", line, key, value, allowedValues[key]))
	}
	return parts
}

// keys returns the allowed keys in the order of the fields of Settings.
func keys() []string {
	t := reflect.TypeFor[Settings]()
	return slices.Collect(func(yield func(string) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i).Tag.Get("toml")) {
				return
			}
		}
	})
}

// Entry is one key of a settings file with its value as text.
type Entry struct {
	Key   string
	Value string
}

// Entries returns the settings in the order of the fields of Settings.
func (s Settings) Entries() []Entry {
	v := reflect.ValueOf(s)
	entries := make([]Entry, v.NumField())
	for i, key := range keys() {
		entries[i] = Entry{key, formatValue(v.Field(i).Interface())}
	}
	return entries
}
