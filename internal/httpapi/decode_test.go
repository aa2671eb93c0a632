package httpapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

// Guards against panics on any body, against errors with another verdict than "not run", and against requests that
// break the rules of query.Request.
func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"service":"lookup","shards":[2,0],"payload":"aGk=","profile":"gate"}`), "150", "r1")
	f.Add([]byte(`{"service":"ledger","caller":"c","id":"r1","non_idempotent":true}`), "", "")
	f.Add([]byte(`{"service":"lookup","shards":[1,1]}`), "-1", "")
	f.Add([]byte(`{"service":"\u00e9","payload":"!"} {}`), "1e3", "é")
	f.Add([]byte(`[]`), "0", "\x00")
	f.Fuzz(func(t *testing.T, data []byte, timeout, id string) {
		r := httptest.NewRequest(http.MethodPost, PathQuery, strings.NewReader(string(data)))
		r.Header = http.Header{"Content-Type": {TypeJSON}, HeaderTimeout: {timeout}, HeaderRequestID: {id}}
		var body QueryBody
		err := (&server{Deps{MaxBodyBytes: 1 << 20}}).readBody(httptest.NewRecorder(), r, &body)
		var request query.Request
		if err == nil {
			request, err = newRequest(body, r.Header, time.Now())
		}
		if err != nil {
			qt.Assert(t, verdict.Of(err).IsNotRun(), qt.IsTrue)
			qt.Assert(t, statusOf(verdict.CodeOf(err)) < 500 || verdict.CodeOf(err) == verdict.CodeDeadline, qt.IsTrue)
			return
		}
		qt.Assert(t, request.Service, qt.Not(qt.Equals), "")
		qt.Assert(t, request.NonIdempotent && (request.Caller == "" || request.ID == ""), qt.IsFalse)
		qt.Assert(t, len(request.Payload) <= query.MaxPayloadBytes, qt.IsTrue)
		for i := 1; i < len(request.Shards); i++ {
			qt.Assert(t, request.Shards[i-1] < request.Shards[i], qt.IsTrue)
		}
		written, err := json.Marshal(body)
		qt.Assert(t, err, qt.IsNil)
		var again QueryBody
		qt.Assert(t, decodeJSON(written, &again), qt.IsNil)
		r.Header.Del(HeaderTimeout)
		request.Deadline = time.Time{}
		repeated, err := newRequest(again, r.Header, time.Now())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(repeated.Shards), qt.Equals, len(request.Shards))
		qt.Assert(t, string(repeated.Payload), qt.Equals, string(request.Payload))
	})
}
