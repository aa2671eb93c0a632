package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

// fakeNode implements the components of a node that the HTTP interface calls.
type fakeNode struct {
	execute   func(query.Request) (query.Answer, error)
	onExecute func(context.Context)
	executed  []query.Request
	result    operator.ChangeResult
	changes   []config.Change
	document  *config.Document
	ready     error
}

func (n *fakeNode) Execute(ctx context.Context, r query.Request) (query.Answer, error) {
	n.executed = append(n.executed, r)
	if n.onExecute != nil {
		n.onExecute(ctx)
	}
	if n.execute != nil {
		return n.execute(r)
	}
	return query.Answer{RequestID: r.ID, Service: r.Service, Snapshot: "s1", Verdict: verdict.Completed(), Node: "e1",
		Coverage: query.Coverage{Total: 3, Covered: 2, Missing: []uint32{1}},
		Results:  []query.ShardResult{{Shard: 0, Data: []byte("a"), Covered: 1}, {Shard: 2, Data: []byte("c"), Covered: 1}}}, nil
}

func (n *fakeNode) Locate(service string) (operator.LocateAnswer, error) {
	if service == "broken" {
		return operator.LocateAnswer{}, errors.New("no verdict")
	}
	if service != "lookup" {
		return operator.LocateAnswer{}, verdict.Refusef(verdict.CodeUnknownService, "service %q is not configured", service)
	}
	return operator.LocateAnswer{Service: service, Addresses: []string{"10.0.0.1:80"}, TTLMillis: 9000}, nil
}

func (n *fakeNode) Change(ctx context.Context, c config.Change) operator.ChangeResult {
	if until, ok := ctx.Deadline(); !ok || time.Until(until) > changeTimeout {
		panic("a change without a deadline can hang while the store is down")
	}
	n.changes = append(n.changes, c)
	return n.result
}
func (n *fakeNode) Document() *config.Document { return n.document }
func (n *fakeNode) Status() operator.Status    { return operator.Status{Node: "e1", ConfigVersion: 7} }
func (n *fakeNode) Quarantine() []operator.QuarantineEntry {
	return nil
}
func (n *fakeNode) Events(context.Context) ([]event.Event, []string) {
	return []event.Event{{Kind: event.LeafLost, Node: "e1", Service: "lookup", Zone: "z1"},
		{Kind: event.QueryFailed, Node: "e2", Service: "export", RequestID: "r1", Zone: "z2"}}, []string{"e3"}
}

func (n *fakeNode) handler() http.Handler {
	return New(Deps{Queries: n, Locator: n, Admin: n, Ready: func() error { return n.ready }, MaxBodyBytes: 512 << 10,
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metric 1\n") })})
}

// do sends one request. Each header has the form "Name: value|value" and replaces the default.
func do(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if method == http.MethodPost {
		r.Header.Set("Content-Type", TypeJSON)
	}
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		r.Header[http.CanonicalHeaderKey(name)] = strings.Split(value, "|")
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// checkProblem checks status, media type, code and verdict of a problem body and returns it.
func checkProblem(t *testing.T, w *httptest.ResponseRecorder, status int, code verdict.Code, wantVerdict string) Problem {
	t.Helper()
	var p Problem
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &p), qt.IsNil, qt.Commentf("body %q", w.Body))
	qt.Check(t, w.Code, qt.Equals, status, qt.Commentf("%s", p.Message))
	qt.Check(t, w.Header().Get("Content-Type"), qt.Equals, TypeProblem)
	qt.Check(t, p.Status, qt.Equals, status)
	qt.Check(t, p.Code, qt.Equals, code)
	qt.Check(t, p.Verdict, qt.Equals, wantVerdict)
	qt.Check(t, p.Message, qt.Not(qt.Equals), "")
	return p
}

// Guards against invalid input that is passed on, that is rejected without a reason, or that is rejected with another
// verdict than "not run".
func TestQueryRefusals(t *testing.T) {
	const query = `{"service":"lookup"}`
	tests := []struct {
		name, body, header string
		status             int
		code               verdict.Code
		message            string
	}{
		{"no body", ``, "", 400, verdict.CodeInvalid, "not a JSON object"},
		{"null", `null`, "", 400, verdict.CodeInvalid, "not a JSON object"},
		{"list", `[{"service":"lookup"}]`, "", 400, verdict.CodeInvalid, "not a JSON object"},
		{"cut off", `{"service":"loo`, "", 400, verdict.CodeInvalid, "ends inside"},
		{"syntax", `{"service":}`, "", 400, verdict.CodeInvalid, "at byte 12"},
		{"unknown field", `{"service":"lookup","prio":1}`, "", 400, verdict.CodeInvalid, `unknown field "prio"`},
		{"trailing object", query + ` {}`, "", 400, verdict.CodeInvalid, "after the JSON object"},
		{"trailing garbage", query + `x`, "", 400, verdict.CodeInvalid, "after the JSON object"},
		{"wrong type", `{"service":7}`, "", 400, verdict.CodeInvalid, `"service"`},
		{"negative shard", `{"service":"lookup","shards":[-1]}`, "", 400, verdict.CodeInvalid, "shards"},
		{"shard above 32 bits", `{"service":"lookup","shards":[4294967296]}`, "", 400, verdict.CodeInvalid, "shards"},
		{"shard twice", `{"service":"lookup","shards":[2,1,2]}`, "", 400, verdict.CodeInvalid, "shard 2 twice"},
		{"bad base64", `{"service":"lookup","payload":"?"}`, "", 400, verdict.CodeInvalid, "base64"},
		{"no service", `{}`, "", 400, verdict.CodeInvalid, "service is missing"},
		{"control character", `{"service":"look\nup"}`, "", 400, verdict.CodeInvalid, `"look\nup"`},
		{"long identifier", `{"service":"lookup","id":"` + strings.Repeat("i", 129) + `"}`, "", 400, verdict.CodeInvalid, "129 bytes"},
		{"two identifiers", `{"service":"lookup","id":"a"}`, "X-Request-Id: b", 400, verdict.CodeInvalid, "differs"},
		{"at most once without identifier", `{"service":"lookup","caller":"c","non_idempotent":true}`, "", 400, verdict.CodeInvalid, "caller and id"},
		{"at most once without caller", `{"service":"lookup","id":"a","non_idempotent":true}`, "", 400, verdict.CodeInvalid, "caller and id"},
		{"negative deadline", query, "Cyclamen-Timeout-Ms: -1", 400, verdict.CodeInvalid, `"-1"`},
		{"two deadlines", query, "Cyclamen-Timeout-Ms: 50|9000", 400, verdict.CodeInvalid, `["50" "9000"]`},
		{"deadline with a unit", query, "Cyclamen-Timeout-Ms: 150ms", 400, verdict.CodeInvalid, `"150ms"`},
		{"deadline overflow", query, "Cyclamen-Timeout-Ms: 9223372036854775808", 400, verdict.CodeInvalid, "allowed"},
		{"not JSON by type", query, "Content-Type: text/plain", 415, codeUnsupportedMediaType, "text/plain"},
		{"compressed", query, "Content-Encoding: gzip", 415, codeUnsupportedMediaType, "gzip"},
		{"payload too large", `{"service":"lookup","payload":"` + strings.Repeat("AAAA", (256<<10)/3+1) + `"}`, "", 413, verdict.CodeTooLarge, "262146 bytes"},
		{"body too large", query + strings.Repeat(" ", 512<<10), "", 413, verdict.CodeTooLarge, "524288 bytes"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var node fakeNode
			w := do(node.handler(), http.MethodPost, PathQuery, test.body, append([]string{}, test.header)...)
			p := checkProblem(t, w, test.status, test.code, "not-run")
			qt.Check(t, p.Message, qt.Contains, test.message)
			qt.Check(t, node.executed, qt.HasLen, 0)
		})
	}
}

// Guards against a status or verdict that does not correspond to the error that Execute returned.
func TestExecuteErrors(t *testing.T) {
	notRun := func(code verdict.Code) error { return verdict.Refusef(code, "reason") }
	var sent verdict.Attempt
	sent.Begin()
	tests := []struct {
		err     error
		status  int
		verdict string
		retry   string
	}{
		{notRun(verdict.CodeInvalid), 400, "not-run", ""},
		{notRun(verdict.CodeUnknownService), 404, "not-run", ""},
		{notRun(verdict.CodeTooLarge), 413, "not-run", ""},
		{notRun(verdict.CodeOverloaded), 429, "not-run", "1"},
		{notRun(verdict.CodeDeadline), 504, "not-run", ""},
		{notRun(verdict.CodeNoOwner), 503, "not-run", "1"},
		{notRun(verdict.CodeStale), 503, "not-run", "1"},
		{notRun(verdict.CodeStoreDown), 503, "not-run", "1"},
		{notRun(verdict.CodeQuarantined), 409, "not-run", ""},
		{verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeDuplicate, "first attempt is running"), 409, "may-have-run", ""},
		{verdict.Failf(&sent, verdict.CodeDeadline, nil, "late"), 504, "may-have-run", ""},
		{verdict.Failf(&sent, verdict.CodeSessionLost, io.EOF, "lost"), 503, "may-have-run", ""},
		{errors.New("without a verdict"), 500, "may-have-run", ""},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.err), func(t *testing.T) {
			node := fakeNode{execute: func(query.Request) (query.Answer, error) { return query.Answer{}, test.err }}
			w := do(node.handler(), http.MethodPost, PathQuery, `{"service":"lookup","id":"r1"}`)
			p := checkProblem(t, w, test.status, verdict.CodeOf(test.err), test.verdict)
			qt.Check(t, p.RequestID, qt.Equals, "r1")
			qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, test.retry)
		})
	}
}

// Guards against an answer that loses a field or belongs to another request, and against a panic in a handler that ends
// the process.
func TestQueryAnswers(t *testing.T) {
	var node fakeNode
	w := do(node.handler(), http.MethodPost, PathQuery, `{"service":"lookup","shards":[2,0,1],"payload":"aGk=","caller":"c","non_idempotent":true}`,
		"X-Request-Id: r1", "Content-Type: application/json; charset=utf-8")
	qt.Assert(t, w.Code, qt.Equals, 200, qt.Commentf("%s", w.Body))
	qt.Assert(t, w.Body.String(), qt.Equals, `{"request_id":"r1","service":"lookup","snapshot":"s1",`+
		`"coverage":{"percent":66.66,"complete":false,"total":3,"covered":2,"missing":[1]},"results":[{"shard":0,"data":"YQ==","covered":1},`+
		`{"shard":2,"data":"Yw==","covered":1}],"verdict":"completed","leaf_requests":0,"node":"e1"}`)
	qt.Assert(t, w.Header().Get(HeaderRequestID), qt.Equals, "r1")
	qt.Assert(t, node.executed[0], qt.DeepEquals, query.Request{Caller: "c", ID: "r1", Service: "lookup", Shards: []uint32{0, 1, 2},
		Payload: []byte("hi"), NonIdempotent: true})

	node.execute = func(query.Request) (query.Answer, error) { return query.Answer{RequestID: "r2"}, nil }
	w = do(node.handler(), http.MethodPost, PathQuery, `{"service":"lookup","id":"r1"}`)
	checkProblem(t, w, 500, verdict.CodeInternal, "may-have-run")
	node.execute = func(query.Request) (query.Answer, error) { panic("bug") }
	w = do(node.handler(), http.MethodPost, PathQuery, `{"service":"lookup"}`)
	checkProblem(t, w, 500, verdict.CodeInternal, "may-have-run")
}

// slowBody delays each of the two reads of a body. The first returns the text, the second the end of the file.
type slowBody struct {
	io.Reader
	delay time.Duration
}

func (b slowBody) Read(p []byte) (int, error) { time.Sleep(b.delay); return b.Reader.Read(p) }

// Guards against deadlines that are counted from the wrong time, and against a query that runs after its deadline.
func TestDeadlines(t *testing.T) {
	tests := []struct {
		name, header string
		delay, want  time.Duration // want is the time from receipt to deadline, 0 for none, -1 for an error
	}{
		{"none", "", 0, 0},
		{"zero", "0", 0, 0},
		{"counted from the receipt", "1500", 500 * time.Millisecond, 1500 * time.Millisecond},
		{"longer than any profile allows", "9223372036854775807", 0, config.MaxDeadline},
		{"passed while the body arrived", "1000", time.Second, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var node fakeNode
				start := time.Now()
				r := httptest.NewRequest(http.MethodPost, PathQuery, slowBody{strings.NewReader(`{"service":"lookup"}`), test.delay})
				r.Header.Set("Content-Type", TypeJSON)
				r.Header.Set(HeaderTimeout, test.header)
				w := httptest.NewRecorder()
				node.handler().ServeHTTP(w, r)
				if test.want < 0 {
					checkProblem(t, w, 504, verdict.CodeDeadline, "not-run")
					qt.Assert(t, node.executed, qt.HasLen, 0)
					return
				}
				var want time.Time
				if test.want > 0 {
					want = start.Add(test.want)
				}
				qt.Assert(t, node.executed[0].Deadline.Equal(want), qt.IsTrue, qt.Commentf("%v", node.executed[0].Deadline))
			})
		})
	}
}

// Guards against a connection that sends half a body and blocks a goroutine for ever, and against a read timeout that
// cancels the context of a query that runs longer.
func TestBodyTimeout(t *testing.T) {
	var ctxErr error
	node := fakeNode{execute: func(r query.Request) (query.Answer, error) { return query.Answer{RequestID: r.ID}, ctxErr }}
	node.onExecute = func(ctx context.Context) {
		time.Sleep(250 * time.Millisecond)
		ctxErr = ctx.Err()
	}
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(node.handler())
	server.Config.ReadTimeout = 100 * time.Millisecond
	server.Start()
	defer server.Close()
	for _, test := range []struct{ body, status, text string }{
		{`{`, "408 Request Timeout", `"verdict":"not-run"`},
		{`{"service":"s"}`, "200 OK", `"request_id"`},
	} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /v1/query HTTP/1.1\r\nHost: n\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\r\n"+test.body)
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		text, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.Status, qt.Equals, test.status)
		qt.Assert(t, string(text), qt.Contains, test.text)
	}
	qt.Assert(t, node.executed, qt.HasLen, 1)
}

// Guards against a route that answers with another status, body or media type than the documented one.
func TestRoutes(t *testing.T) {
	document := &config.Document{Version: 7, Profiles: map[string]config.Profile{"gate": {Priority: 3}},
		Services: map[string]config.Service{"lookup": {Profile: "gate"}}, ItemVersions: map[string]uint64{"profile/gate": 5}}
	full := fakeNode{document: document}
	empty := fakeNode{ready: verdict.Refusef(verdict.CodeStale, "no configuration yet")}
	tests := []struct {
		node         *fakeNode
		method, path string
		status       int
		want         string
	}{
		{&full, "GET", "/v1/locate?service=lookup", 200, `{"service":"lookup","addresses":["10.0.0.1:80"],"ttl_ms":9000}`},
		{&full, "GET", "/v1/locate?service=none", 404, `"code":"unknown_service"`},
		{&full, "GET", "/v1/locate?service=broken", 500, `"verdict":"not-run"`},
		{&full, "GET", "/v1/locate", 400, `parameter service is missing`},
		{&full, "GET", "/v1/locate?service=a&service=b", 400, `repeated`},
		{&full, "GET", "/v1/locate?services=a", 400, `allowed once each: service`},
		{&full, "DELETE", "/v1/locate", 405, `allowed: GET`},
		{&full, "GET", "/v1/query", 405, `allowed: POST`},
		{&full, "GET", "/v2/query", 404, `"code":"not_found"`},
		{&full, "GET", "/v1/query/", 404, `"code":"not_found"`},
		{&full, "GET", "/v1/admin/config", 200, `"item_versions":{"profile/gate":5}`},
		{&full, "GET", "/v1/admin/profiles", 200, `{"version":7,"profiles":[{"name":"gate","item_version":5,`},
		{&full, "GET", "/v1/admin/services", 200, `{"version":7,"services":[{"name":"lookup","item_version":0,`},
		{&empty, "GET", "/v1/admin/config", 503, `"code":"stale_node"`},
		{&empty, "GET", "/v1/admin/profiles", 503, `"verdict":"not-run"`},
		{&full, "GET", "/v1/admin/status", 200, `"config_version":7`},
		{&full, "GET", "/v1/admin/quarantine", 200, `{"quarantine":[]}`},
		{&full, "GET", "/v1/admin/timeline", 200, `"missing":["e3"]`},
		{&full, "GET", "/v1/admin/timeline?zone=z1&service=export", 200, `{"events":[],`},
		{&full, "GET", "/v1/admin/timeline?vm=e2&request=r1", 200, `"counter":0,"kind":"query_failed","node":"e2"`},
		{&full, "GET", "/v1/admin/timeline?node=e2", 400, `allowed once each: vm, zone, service, request`},
		{&full, "GET", "/healthz", 200, `{"status":"ok"}`},
		{&full, "GET", "/readyz", 200, `{"status":"ready"}`},
		{&empty, "GET", "/readyz", 503, `no configuration yet`},
		{&full, "GET", "/metrics", 200, "metric 1"},
	}
	for _, test := range tests {
		t.Run(test.method+test.path, func(t *testing.T) {
			w := do(test.node.handler(), test.method, test.path, "")
			qt.Check(t, w.Code, qt.Equals, test.status)
			qt.Check(t, w.Body.String(), qt.Contains, test.want)
			if test.status != 200 {
				checkProblem(t, w, test.status, verdict.Code(problemCode(w)), "not-run")
			}
		})
	}
}

func problemCode(w *httptest.ResponseRecorder) string {
	var p Problem
	_ = json.Unmarshal(w.Body.Bytes(), &p)
	return string(p.Code)
}

// Guards against outcomes that an operator's tool cannot tell apart.
func TestChanges(t *testing.T) {
	const change = `{"id":"c1","op":"zone_out","name":"z1"}`
	tests := []struct {
		body    string
		outcome operator.Outcome
		status  int
		verdict string
	}{
		{change, operator.Accepted, 200, ""},
		{change, operator.Conflict, 409, "not-run"},
		{change, operator.Rejected, 400, "not-run"},
		{change, operator.Unavailable, 503, "not-run"},
		{change, operator.Unresolved, 504, "may-have-run"},
		{change, "", 504, "may-have-run"},
		{`{"op":"zone_out","name":"z1"}`, "", 400, "not-run"},
		{`{"id":"c1","op":"zone_out"}`, "", 400, "not-run"},
		{`{"id":"c1","op":"zone_out","name":"z1","force":true}`, "", 400, "not-run"},
		{`{"id":"c1","op":"put_profile","name":"p","profile":{"deadline":"10"}}`, "", 400, "not-run"},
	}
	for _, test := range tests {
		t.Run(string(test.outcome)+test.body, func(t *testing.T) {
			result := operator.ChangeResult{Outcome: test.outcome, Version: 8, ItemVersion: 5, BaseItemVersion: 4, Message: "reason"}
			node := fakeNode{result: result}
			w := do(node.handler(), http.MethodPost, PathChanges, test.body)
			qt.Assert(t, w.Code, qt.Equals, test.status, qt.Commentf("%s", w.Body))
			if test.body != change {
				checkProblem(t, w, test.status, verdict.CodeInvalid, test.verdict)
				qt.Assert(t, node.changes, qt.HasLen, 0)
				return
			}
			qt.Assert(t, node.changes, qt.DeepEquals, []config.Change{{ID: "c1", Op: config.OpZoneOut, Name: "z1"}})
			if test.status == 200 {
				var got operator.ChangeResult
				qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &got), qt.IsNil)
				qt.Assert(t, got, qt.Equals, result)
				return
			}
			p := checkProblem(t, w, test.status, verdict.Code(test.outcome), test.verdict)
			qt.Assert(t, *p.Change, qt.Equals, result)
		})
	}
}

// Guards against callers that create additional counters by requesting unknown paths.
func TestCounters(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	node := &fakeNode{}
	handler := New(Deps{Queries: node, Locator: node, Admin: node, Scope: scope})
	do(handler, "GET", "/a", "")
	do(handler, "GET", "/b", "")
	do(handler, "POST", PathQuery, "{}")
	counters := scope.Snapshot().Counters()
	qt.Assert(t, counters, qt.HasLen, 2)
	qt.Assert(t, counters["http_requests+route=none,status=404"].Value(), qt.Equals, int64(2))
	qt.Assert(t, counters["http_requests+route=/v1/query,status=400"].Value(), qt.Equals, int64(1))
}
