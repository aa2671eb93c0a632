package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/httpapi"
	"cyclamenstream/internal/settings"
)

// fakeNode is a node that returns the answers set by the test.
type fakeNode struct {
	query  func(query.Request) (query.Answer, error)
	result operator.ChangeResult
	// versions holds the configuration versions of the three nodes for each status request. The last element repeats.
	versions [][3]uint64

	mu      sync.Mutex
	changes []config.Change
}

func (n *fakeNode) Execute(_ context.Context, r query.Request) (query.Answer, error) {
	return n.query(r)
}

func (n *fakeNode) Locate(service string) (operator.LocateAnswer, error) {
	if service == "none" {
		return operator.LocateAnswer{}, verdict.Refusef(verdict.CodeUnknownService, "service %q is not configured", service)
	}
	return operator.LocateAnswer{Addresses: []string{service}, TTLMillis: 1000}, nil
}

func (n *fakeNode) Change(_ context.Context, c config.Change) operator.ChangeResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changes = append(n.changes, c)
	return n.result
}

func (n *fakeNode) Document() *config.Document {
	return &config.Document{Version: 7,
		Profiles:     map[string]config.Profile{"gate": {Deadline: config.Duration(time.Second), HedgeBudget: 0.05, Priority: 3, NonIdempotent: true}},
		Services:     map[string]config.Service{"lookup": {Profile: "gate", Slots: 3, ColdSlots: 2, Connections: 30}},
		ItemVersions: map[string]uint64{"profile/gate": 5, "service/lookup": 6, "profile/deleted": 4}}
}

func (n *fakeNode) Status() operator.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.versions[0]
	if len(n.versions) > 1 {
		n.versions = n.versions[1:]
	}
	status := operator.Status{Node: "e1", ConfigVersion: v[0]}
	for i, version := range v {
		status.Nodes = append(status.Nodes, operator.NodeStatus{VM: fmt.Sprintf("e%d", i+1), Alive: true, ConfigVersion: version})
	}
	return status
}

func (n *fakeNode) Quarantine() []operator.QuarantineEntry {
	return []operator.QuarantineEntry{{Fingerprint: "f00d", Service: "lookup", Crashes: 2}}
}

func (n *fakeNode) Events(context.Context) ([]event.Event, []string) {
	return []event.Event{{Kind: event.LeafLost, Node: "e2", Service: "lookup"}}, []string{"e3"}
}

// start serves the node and returns its address.
func (n *fakeNode) start(t *testing.T) string {
	server := httptest.NewServer(httpapi.New(httpapi.Deps{Queries: n, Locator: n, Admin: n, Ready: func() error { return nil }}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// cyclamenstream runs a command line and returns its exit code and output.
func cyclamenstream(t *testing.T, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(t.Context(), args, &out, &errs)
	return code, out.String(), errs.String()
}

// Guards against exit codes and messages that report a change as accepted, written or in force when it is not.
func TestChangeExitCodes(t *testing.T) {
	accepted := operator.ChangeResult{Outcome: operator.Accepted, Version: 8}
	late := [][3]uint64{{8, 7, 7}, {8, 8, 7}, {8, 8, 9}}
	never := [][3]uint64{{8, 8, 7}}
	tests := []struct {
		name     string
		args     string
		result   operator.ChangeResult
		versions [][3]uint64
		code     int
		want     string // in the output or the error
	}{
		{"in force", "zone out z1", accepted, late, 0, "accepted as version 8, in force on 3 of 3 nodes"},
		{"not in force", "vm out e9 --wait 300ms", accepted, never, 4, "in force on 2 of 3 nodes"},
		{"no wait", "zone in z1 --wait 0", accepted, never, 0, "accepted as version 8\n"},
		{"conflict", "profile edit gate --priority 4", operator.ChangeResult{Outcome: operator.Conflict, BaseItemVersion: 5, ItemVersion: 9}, never, 3, "based on version 5, the item now has version 9"},
		{"rejected", "vm in e9", operator.ChangeResult{Outcome: operator.Rejected, Message: "no such VM"}, never, 2, "no such VM"},
		{"unavailable", "quarantine lift f00d", operator.ChangeResult{Outcome: operator.Unavailable, Message: "store down"}, never, 5, "nothing was written: store down"},
		{"unresolved", "--timeout 200ms service delete lookup", operator.ChangeResult{Outcome: operator.Unresolved, Message: "no answer"}, never, 6, "may have been written: no answer"},
		{"profile exists", "profile create gate", accepted, never, 3, "exists, at version 5"},
		{"no such profile", "profile edit none --priority 4", accepted, never, 2, `there are: ["gate"]`},
		{"nothing to edit", "profile edit gate", accepted, never, 2, "no flag"},
		{"new service without slots", "service set new --profile gate", accepted, never, 2, "--slots"},
		{"no such service", "service delete none", accepted, never, 2, `there are: ["lookup"]`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			node := &fakeNode{result: test.result, versions: test.versions}
			code, stdout, stderr := cyclamenstream(t, append([]string{"--node", node.start(t)}, strings.Fields(test.args)...)...)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s%s", stdout, stderr))
			qt.Assert(t, stdout+stderr, qt.Contains, test.want)
			for _, c := range node.changes {
				qt.Assert(t, c.ID, qt.Equals, node.changes[0].ID)
				qt.Assert(t, len(c.ID) >= 20, qt.IsTrue)
			}
		})
	}
}

// Guards against edits that reset settings whose flags were not given, or that overwrite another operator's change.
func TestChangesThatAreSent(t *testing.T) {
	profile := config.Profile{Deadline: config.Duration(time.Second), HedgeBudget: 0.02, Priority: 3}
	created := defaultProfile
	created.Deadline = config.Duration(150 * time.Millisecond)
	tests := []struct {
		args string
		want config.Change
	}{
		{"profile edit gate --hedge-budget 0.02 --non-idempotent=false", config.Change{Op: config.OpPutProfile, Name: "gate", BaseItemVersion: 5, CheckBase: true, Profile: &profile}},
		{"profile create new --deadline 150ms", config.Change{Op: config.OpPutProfile, Name: "new", CheckBase: true, Profile: &created}},
		{"profile create deleted --deadline 150ms", config.Change{Op: config.OpPutProfile, Name: "deleted", BaseItemVersion: 4, CheckBase: true, Profile: &created}},
		{"profile delete gate", config.Change{Op: config.OpDeleteProfile, Name: "gate", BaseItemVersion: 5, CheckBase: true}},
		{"service set lookup --slots 6 --extra-profiles a,b", config.Change{Op: config.OpPutService, Name: "lookup", BaseItemVersion: 6, CheckBase: true,
			Service: &config.Service{Profile: "gate", ExtraProfiles: []string{"a", "b"}, Slots: 6, ColdSlots: 2, Connections: 30}}},
		{"service set new --profile gate --slots 3 --connections 9", config.Change{Op: config.OpPutService, Name: "new", CheckBase: true,
			Service: &config.Service{Profile: "gate", Slots: 3, ColdSlots: 1, Connections: 9}}},
		{"service delete lookup", config.Change{Op: config.OpDeleteService, Name: "lookup", BaseItemVersion: 6, CheckBase: true}},
		{"zone out z1", config.Change{Op: config.OpZoneOut, Name: "z1"}},
		{"zone in z1", config.Change{Op: config.OpZoneIn, Name: "z1"}},
		{"vm out e9", config.Change{Op: config.OpVMOut, Name: "e9"}},
		{"vm in e9", config.Change{Op: config.OpVMIn, Name: "e9"}},
		{"quarantine lift f00d", config.Change{Op: config.OpLiftQuarantine, Name: "f00d"}},
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			node := &fakeNode{result: operator.ChangeResult{Outcome: operator.Accepted, Version: 8}}
			args := append([]string{"--node", node.start(t)}, strings.Fields(test.args)...)
			code, _, stderr := cyclamenstream(t, append(args, "--wait", "0")...)
			qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", stderr))
			qt.Assert(t, node.changes, qt.HasLen, 1)
			test.want.ID = node.changes[0].ID
			qt.Assert(t, node.changes[0], qt.DeepEquals, test.want)
		})
	}
}

// Guards against exit codes that let a script take a partial answer for a complete one, or resend a query that may have
// run.
func TestQueryExitCodes(t *testing.T) {
	answer := func(covered float64, missing ...uint32) func(query.Request) (query.Answer, error) {
		return func(r query.Request) (query.Answer, error) {
			return query.Answer{RequestID: r.ID, Verdict: verdict.Completed(), Coverage: query.Coverage{Total: 2, Covered: covered, Missing: missing},
				Results: []query.ShardResult{{Data: r.Payload, Covered: 1}}}, nil
		}
	}
	failure := func(err error) func(query.Request) (query.Answer, error) {
		return func(query.Request) (query.Answer, error) { return query.Answer{}, err }
	}
	tests := []struct {
		name  string
		query func(query.Request) (query.Answer, error)
		args  string
		code  int
		want  string
	}{
		{"complete", answer(2), "--payload key=17", 0, "key=17"},
		{"missing shard", answer(1, 1), "", 7, "coverage 50.00%, 1 of 2 shards missing"},
		{"partial shard", answer(1.9999), "", 7, "coverage 99.99%, 0 of 2"},
		{"JSON", answer(1, 1), "--output json", 7, `"percent": 50`},
		{"refused", failure(verdict.Refusef(verdict.CodeOverloaded, "queue full")), "", 8, "not-run"},
		{"refused, JSON", failure(verdict.Refusef(verdict.CodeOverloaded, "queue full")), "--output json", 8, `"verdict": "not-run"`},
		{"refused until the deadline", failure(verdict.Refusef(verdict.CodeStale, "no majority")), "--timeout 200ms", 8, "not-run"},
		{"lost", failure(verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeSessionLost, "lost")), "", 9, "may-have-run"},
		{"at most once without identifier", answer(2), "--non-idempotent --caller c", 2, "--id"},
		{"no such file", answer(2), "--payload-file /nonexistent/file", 2, "/nonexistent/file"},
		{"shard is not a number", answer(2), "--shards 1,x", 2, "--shards"},
		{"deadline without a unit", answer(2), "--timeout 10", 2, "--timeout"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := (&fakeNode{query: test.query}).start(t)
			// fakeNode.Locate returns the service's name as its address.
			code, stdout, stderr := cyclamenstream(t, append([]string{"--node", address, "query", address}, strings.Fields(test.args)...)...)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s%s", stdout, stderr))
			qt.Assert(t, stdout+stderr, qt.Contains, test.want)
		})
	}
}

// Guards against an operators' page that lacks an exit code, a setting, a command or a flag, and against commands
// without an example or with one that does not parse.
func TestOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	qt.Assert(t, err, qt.IsNil)
	for code := exitOK; code <= exitMayHaveRun; code++ {
		qt.Check(t, string(page), qt.Contains, fmt.Sprintf("\n| %d | ", code))
		qt.Check(t, description, qt.Contains, fmt.Sprintf("\n  %d  ", code))
	}
	for _, entry := range settings.Defaults().Entries() {
		qt.Check(t, string(page), qt.Contains, "`"+entry.Key+"`")
	}
	for _, command := range kong.Must(&cli{}).Model.Leaves(true) {
		for _, word := range strings.Fields(command.Path()) {
			qt.Check(t, string(page), qt.Contains, word)
		}
		example := regexp.MustCompile(`(?m)^ +cyclamenstream (.*` + command.Name + `[^&\n]*)`)
		lines := example.FindAllStringSubmatch(command.Detail, -1)
		qt.Check(t, lines, qt.Not(qt.HasLen), 0, qt.Commentf("no example of %s", command.Path()))
		for _, line := range append(lines, example.FindAllStringSubmatch(description, -1)...) {
			_, err := kong.Must(&cli{}).Parse(strings.Fields(line[1]))
			qt.Check(t, err, qt.IsNil, qt.Commentf("example %q", line[0]))
		}
		if command.Name != "query" { // its flags are in --help, its fields on the page for callers
			for _, flag := range command.Flags {
				qt.Check(t, string(page), qt.Contains, "--"+flag.Name)
			}
		}
	}
}

// Guards against commands that do not print what they read, or that hide that no node answered.
func TestReads(t *testing.T) {
	address := (&fakeNode{versions: [][3]uint64{{7, 7, 6}}}).start(t)
	good, bad := filepath.Join(t.TempDir(), "good.toml"), filepath.Join(t.TempDir(), "bad.toml")
	qt.Assert(t, os.WriteFile(good, []byte("vm='e1'\nzone='z'\nregion='r'\npeer_listen='10.0.0.1:1'\ncaller_listen='10.0.0.1:2'\nplatform='10.0.0.2:1'\n"), 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(bad, []byte("locate_ttl = '10'\n"), 0o600), qt.IsNil)
	tests := []struct {
		args string
		code int
		want string // in the output or the error
	}{
		{"locate lookup", 0, "lookup"},
		{"locate none", 2, "not configured"},
		{"profile show gate", 0, "1s"},
		{"profile show none", 2, "no profile"},
		{"profile list", 0, "gate"},
		{"service show lookup", 0, "30"},
		{"service list", 0, "lookup"},
		{"status", 0, "e3"},
		{"timeline --service lookup", 0, "leaf_lost"},
		{"timeline", 0, "without the events of: e3"},
		{"quarantine list", 0, "f00d"},
		{"settings check " + good, 0, "10.0.0.1:2"},
		{"settings check " + bad, 2, `locate_ttl = "10"`},
		{"version", 0, "go1"},
		{"--node 127.0.0.1:1 status", 5, "refused"},
		{"--node localhost status", 2, "allowed: host:port"},
		{"--timeout 0s status", 2, "--timeout"},
		{"zone away z1", 2, "away"},
		{"profile edit gate --priority high", 2, "--priority"},
		{"--help", 0, "9  query failed and may have run"},
		{"query --help", 0, "cyclamenstream query lookup"},
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			args := strings.Fields(test.args)
			if args[0] != "--node" {
				args = append([]string{"--node", address}, args...)
			}
			code, stdout, stderr := cyclamenstream(t, args...)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s%s", stdout, stderr))
			qt.Assert(t, stdout+stderr, qt.Contains, test.want)
			if code == 0 && !strings.Contains(test.args, "--help") {
				_, stdout, _ = cyclamenstream(t, append(args, "--output", "json")...)
				qt.Assert(t, json.Valid([]byte(stdout)), qt.IsTrue, qt.Commentf("%s", stdout))
			}
		})
	}
}
