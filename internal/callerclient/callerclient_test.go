package callerclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/httpapi"
)

// scriptedNode answers each query or change with the next of its steps, and repeats the last one.
type scriptedNode struct {
	*httptest.Server
	locateAddresses string // addresses in the answer to a locate request, separated by commas
	ttl             time.Duration

	mu       sync.Mutex
	steps    []string
	ids      []string
	timeouts []int64
	locates  int
}

func newScriptedNode(t *testing.T, steps ...string) *scriptedNode {
	n := &scriptedNode{steps: steps}
	n.Server = httptest.NewServer(http.HandlerFunc(n.serve))
	t.Cleanup(n.Close)
	return n
}

func (n *scriptedNode) address() string { return n.Listener.Addr().String() }

// receivedIDs returns the identifiers of the queries or changes that the node has received.
func (n *scriptedNode) receivedIDs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.ids)
}

func (n *scriptedNode) serve(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.URL.Path == httpapi.PathLocate {
		n.locates++
		_ = json.NewEncoder(w).Encode(operator.LocateAnswer{Addresses: strings.Split(n.locateAddresses, ","), TTLMillis: n.ttl.Milliseconds()})
		return
	}
	var body struct{ ID string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	millis, _ := strconv.ParseInt(r.Header.Get(httpapi.HeaderTimeout), 10, 64)
	n.ids, n.timeouts = append(n.ids, body.ID), append(n.timeouts, millis)
	step := n.steps[0]
	if len(n.steps) > 1 {
		n.steps = n.steps[1:]
	}
	step, argument, _ := strings.Cut(step, " ")
	switch step {
	case "answer":
		_ = json.NewEncoder(w).Encode(httpapi.AnswerBody{RequestID: body.ID, Node: "e1"})
	case "crossed":
		_ = json.NewEncoder(w).Encode(httpapi.AnswerBody{RequestID: "other"})
	case "cut":
		w.Header().Set("Content-Length", "1000")
		fmt.Fprintf(w, `{"request_id":%q`, body.ID)
	case "reset":
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	case "page":
		http.Error(w, "<html>", http.StatusBadGateway)
	case "outcome":
		result := operator.ChangeResult{Outcome: operator.Outcome(argument), Version: 4}
		if result.Outcome == operator.Accepted {
			_ = json.NewEncoder(w).Encode(result)
			return
		}
		writeProblem(w, httpapi.Problem{Status: 503, Code: verdict.Code(argument), Verdict: "may-have-run", Change: &result})
	default: // a code with the verdict as argument
		writeProblem(w, httpapi.Problem{Status: 503, Code: verdict.Code(step), Message: "scripted", Verdict: argument})
	}
}

func writeProblem(w http.ResponseWriter, p httpapi.Problem) {
	w.Header().Set("Content-Type", httpapi.TypeProblem)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// refusedAddress returns a loopback address on which nothing listens.
func refusedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

// Guards against a request that is not idempotent and runs twice, against a caller that gives up although another
// address could serve, and against a "not run" for a request that a node may have run.
func TestQueryMovesOnOnlyWhenSafe(t *testing.T) {
	tests := []struct {
		name          string
		first, second string // steps, separated by ";"; an empty first refuses connections
		nonIdempotent bool
		verdict       string
		code          verdict.Code
		sent1, sent2  int
	}{
		{"answer at the first address", "answer", "answer", true, "completed", "", 1, 0},
		{"connection refused", "", "answer", true, "completed", "", 0, 1},
		{"refused, not run", "stopping not-run", "answer", true, "completed", "", 1, 1},
		{"refused by both, then served", "no_owner not-run;answer", "no_owner not-run", true, "completed", "", 2, 1},
		{"reset, at most once", "reset", "answer", true, "may-have-run", CodeUnreachable, 1, 0},
		{"reset, idempotent", "reset", "answer", false, "completed", "", 1, 1},
		{"cut off answer, at most once", "cut", "answer", true, "may-have-run", CodeUnreachable, 1, 0},
		{"cut off answer, idempotent", "cut", "answer", false, "completed", "", 1, 1},
		{"answer to another request", "crossed", "answer", true, "may-have-run", verdict.CodeInternal, 1, 0},
		{"answer to another request, idempotent", "crossed", "answer", false, "completed", "", 1, 1},
		{"no problem body", "page", "answer", true, "may-have-run", verdict.CodeInternal, 1, 0},
		{"may have run everywhere", "session_lost may-have-run", "session_lost may-have-run", false, "may-have-run", verdict.CodeSessionLost, 1, 1},
		{"verdict over all attempts", "reset", "invalid_request not-run", false, "may-have-run", verdict.CodeInvalid, 1, 1},
		{"overloaded is not sent again", "overloaded not-run", "answer", false, "not-run", verdict.CodeOverloaded, 1, 0},
		{"quarantined is not sent again", "quarantined not-run", "answer", false, "not-run", verdict.CodeQuarantined, 1, 0},
		{"unknown verdict text", "stopping never-ran", "answer", true, "may-have-run", verdict.CodeStopping, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newScriptedNode(t, strings.Split(test.first, ";")...), newScriptedNode(t, strings.Split(test.second, ";")...)
			addresses := first.address()
			if test.first == "" {
				addresses = refusedAddress(t)
			}
			second.locateAddresses = addresses + "," + second.address()
			second.ttl = time.Minute
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			client := New(second.address())
			defer client.Close()
			answer, err := client.Query(ctx, httpapi.QueryBody{Service: "s", Caller: "c", ID: "r1", NonIdempotent: test.nonIdempotent})
			qt.Assert(t, verdict.Of(err).String(), qt.Equals, test.verdict, qt.Commentf("%v", err))
			if err == nil {
				qt.Assert(t, answer.RequestID, qt.Equals, "r1")
			} else {
				qt.Assert(t, verdict.CodeOf(err), qt.Equals, test.code)
			}
			qt.Assert(t, len(first.receivedIDs()), qt.Equals, test.sent1)
			qt.Assert(t, len(second.receivedIDs()), qt.Equals, test.sent2)
		})
	}
}

// Guards against retries after the deadline, against a node that is sent a longer timeout than is left, and against a
// locate request for every query.
func TestDeadlineAndKeptAddresses(t *testing.T) {
	node := newScriptedNode(t, "answer", "answer", "no_owner not-run")
	node.locateAddresses, node.ttl = node.address(), time.Minute
	client := New(refusedAddress(t), node.address())
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := client.Query(ctx, httpapi.QueryBody{Service: "s"})
		qt.Assert(t, err, qt.IsNil)
		cancel()
	}
	qt.Assert(t, node.locates, qt.Equals, 1)

	const timeout = 400 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	start := time.Now()
	_, err := client.Query(ctx, httpapi.QueryBody{Service: "s", NonIdempotent: true})
	qt.Assert(t, time.Since(start) <= timeout, qt.IsTrue)
	qt.Assert(t, verdict.Of(err).IsNotRun(), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, len(node.timeouts) >= 4, qt.IsTrue, qt.Commentf("attempts with %v ms left", node.timeouts))
	qt.Assert(t, node.locates > 1, qt.IsTrue)
	left := timeout.Milliseconds()
	for i, millis := range node.timeouts[2:] {
		qt.Assert(t, millis > 0 && millis <= left, qt.IsTrue)
		qt.Assert(t, node.ids[2+i], qt.Equals, node.ids[2])
		left = millis
	}
}

// Guards against a paused node that fails each query until the cached addresses expire, or that uses up the deadline
// before another node has been asked for addresses.
func TestPausedNode(t *testing.T) {
	paused, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, nothing answers
	qt.Assert(t, err, qt.IsNil)
	defer paused.Close()
	node := newScriptedNode(t, "answer")
	node.locateAddresses, node.ttl = paused.Addr().String()+","+node.address(), time.Minute
	for range 8 { // Locate starts with a random node
		client := New(paused.Addr().String(), node.address())
		for i := range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			_, err := client.Query(ctx, httpapi.QueryBody{Service: "s"})
			cancel()
			// The first query goes to the paused node unless the client has asked that node for addresses before.
			qt.Assert(t, err == nil || i == 0 && verdict.Of(err) == verdict.MayHaveRun(), qt.IsTrue, qt.Commentf("query %d: %v", i, err))
		}
		client.Close()
	}
}

// Guards against a change that is applied twice, and against the outcome Unavailable for a change that may have been
// written.
func TestChangeOutcome(t *testing.T) {
	tests := []struct {
		name          string
		first, second string
		want          operator.Outcome
		attempts      int // of both nodes, 0 for any number above 1
	}{
		{"accepted", "outcome accepted", "outcome accepted", operator.Accepted, 1},
		{"conflict", "outcome conflict", "outcome accepted", operator.Conflict, 1},
		{"rejected", "outcome rejected", "outcome accepted", operator.Rejected, 1},
		{"refused by the interface", "invalid_request not-run", "outcome accepted", operator.Rejected, 1},
		{"unresolved, then accepted", "outcome unresolved", "outcome accepted", operator.Accepted, 2},
		{"reset, then accepted", "reset", "outcome accepted", operator.Accepted, 2},
		{"unavailable here, accepted there", "outcome unavailable", "outcome accepted", operator.Accepted, 2},
		{"unavailable everywhere", "outcome unavailable", "outcome unavailable", operator.Unavailable, 2},
		{"lost answer, then unavailable", "reset;outcome unavailable", "outcome unavailable", operator.Unresolved, 0},
		{"lost answer, then refused by the interface", "reset", "invalid_request not-run", operator.Unresolved, 0},
		{"unresolved until the timeout", "outcome unresolved", "reset", operator.Unresolved, 0},
		{"one node unreachable", "", "outcome unavailable", operator.Unavailable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newScriptedNode(t, strings.Split(test.first, ";")...), newScriptedNode(t, test.second)
			address := first.address()
			if test.first == "" {
				address = refusedAddress(t)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			result := New(address, second.address()).Change(ctx, config.Change{Op: config.OpZoneOut, Name: "z1"})
			qt.Assert(t, result.Outcome, qt.Equals, test.want, qt.Commentf("%+v", result))
			ids := slices.Concat(first.receivedIDs(), second.receivedIDs())
			qt.Assert(t, len(ids) == test.attempts || test.attempts == 0 && len(ids) > 1, qt.IsTrue, qt.Commentf("%q", ids))
			for _, id := range ids {
				qt.Assert(t, id, qt.Equals, ids[0])
				qt.Assert(t, id, qt.Not(qt.Equals), "")
			}
		})
	}
}

// Guards against a change that is reported as in force although a node of the member set does not have it.
func TestInForce(t *testing.T) {
	nodes := []operator.NodeStatus{{VM: "e1", Alive: true, ConfigVersion: 8}, {VM: "e2", Alive: true, ConfigVersion: 7}, {VM: "e3", ConfigVersion: 9}}
	for _, test := range []struct {
		status    operator.Status
		have, all int
	}{
		{operator.Status{Node: "e1", ConfigVersion: 8, Nodes: nodes}, 1, 3},
		{operator.Status{Node: "e0", ConfigVersion: 8, Nodes: nodes}, 2, 4},
		{operator.Status{Node: "e0", ConfigVersion: 7}, 0, 1},
	} {
		have, all := CountInForce(test.status, 8)
		qt.Assert(t, []int{have, all}, qt.DeepEquals, []int{test.have, test.all})
	}
}
