package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"

	"cyclamenstream/api/config"
)

const minimal = `vm = "e1"
zone = "z1"
region = "r1"
peer_listen = "127.0.0.1:7090"
caller_listen = "127.0.0.1:7080"
platform = "127.0.0.1:7000"
`

// Guards against missing defaults and against advertised addresses that are not taken from the listen addresses.
func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse([]byte(minimal))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.PeerAddress, qt.Equals, "127.0.0.1:7090")
	qt.Assert(t, s.CallerAddress, qt.Equals, "127.0.0.1:7080")
	qt.Assert(t, s.LocateTTL.Duration, qt.Equals, 10*time.Second)
	qt.Assert(t, s.ShutdownGrace.Duration >= s.LocateTTL.Duration+config.MaxDeadline, qt.IsTrue)
	for _, key := range keys() {
		qt.Assert(t, allowedValues[key], qt.Not(qt.Equals), "", qt.Commentf("no allowed values are described for key %q", key))
	}
}

// Guards against errors that do not name the key, the value or what is allowed, and against invalid values that are
// accepted.
func TestErrors(t *testing.T) {
	tests := []struct {
		name, change, with string // with replaces change in the minimal file, or is appended to it if change is empty
		want               []string
	}{
		{"missing unit", "", `locate_ttl = "10"`, []string{"line 7", `locate_ttl = "10"`, `"1s" to "5m"`}},
		{"unknown unit", "", `locate_ttl = "10 sec"`, []string{`locate_ttl = "10 sec"`, "unit"}},
		{"number for a duration", "", `locate_ttl = 10`, []string{"line 7", "locate_ttl = 10", "unit"}},
		{"duration out of range", "", `locate_ttl = "1h"`, []string{`locate_ttl = "1h0m0s"`, `"5m"`}},
		{"negative duration", "", `locate_ttl = "-1s"`, []string{`locate_ttl = "-1s"`}},
		{"grace below locate_ttl", "", `shutdown_grace = "5s"`, []string{`shutdown_grace = "5s"`, "locate_ttl"}},
		{"text for a number", "", `log_verbosity = "high"`, []string{"line 7", `log_verbosity = "high"`, "0 to 9"}},
		{"number out of range", "", `log_verbosity = 10`, []string{"log_verbosity = 10", "0 to 9"}},
		{"overflow", "", `timeline_capacity = 99999999999999999999`, []string{"line 7"}},
		{"body of no bytes", "", `max_body_bytes = 0`, []string{"max_body_bytes = 0", "1024"}},
		{"unknown keys with lines", "", "locate-ttl = \"10s\"\n[peer]\nport = 1",
			[]string{`line 7: unknown key "locate-ttl"`, `line 8: unknown key "peer"`, "locate_ttl"}},
		{"duplicate key", "", `vm = "e2"`, []string{"line 7", "vm"}},
		{"not TOML", "", `vm: e2`, []string{"line 7"}},
		{"zone missing", `zone = "z1"`, "", []string{`zone = ""`, "1 to 64"}},
		{"zone with a space", `"z1"`, `"z 1"`, []string{`zone = "z 1"`, "1 to 64"}},
		{"host name", "127.0.0.1:7090", "localhost:7090", []string{`peer_listen = "localhost:7090"`, "IP:port"}},
		{"no port", "127.0.0.1:7000", "127.0.0.1", []string{`platform = "127.0.0.1"`, "IP:port"}},
		{"port 0", "127.0.0.1:7000", "127.0.0.1:0", []string{`platform = "127.0.0.1:0"`, "1 to 65535"}},
		{"advertised address is unspecified", "127.0.0.1:7080", "0.0.0.0:7080", []string{`caller_address = "0.0.0.0:7080"`}},
		{"same listeners", "7090", "7080", []string{"caller_listen", "not the same as peer_listen"}},
		{"all wrong keys at once", `"z1"`, "\"\"\nlog_verbosity = -1", []string{"zone", "log_verbosity = -1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := minimal + test.with
			if test.change != "" {
				text = strings.Replace(minimal, test.change, test.with, 1)
			}
			path := filepath.Join(t.TempDir(), "node.toml")
			qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
			_, err := Load(path)
			qt.Assert(t, err, qt.IsNotNil)
			for _, want := range append(test.want, path) {
				qt.Check(t, err.Error(), qt.Contains, want)
			}
		})
	}
}

// Guards against panics on any file and against accepted settings that differ after they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(minimal + "locate_ttl = \"1500ms\"\nshutdown_grace = \"1m\"\n"))
	f.Add([]byte("locate_ttl = 10\n[tls]\nx = 1979-05-27"))
	f.Add([]byte("vm = [1, {a = 2}]\n\"\" = 1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			qt.Assert(t, len(err.Error()) > len("settings: "), qt.IsTrue)
			return
		}
		written, err := toml.Marshal(s)
		qt.Assert(t, err, qt.IsNil)
		again, err := Parse(written)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, s)
	})
}
