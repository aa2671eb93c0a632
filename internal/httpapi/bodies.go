// Package httpapi implements the HTTP interface of a node for callers and operators.
//
// Every response that is not a success has a JSON problem body with a code, a message and the verdict on whether the
// request may have run. A request that fails the checks of this package has the verdict "not-run", since no other
// component has received it.
package httpapi

import (
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

// Headers and media types of the interface.
const (
	// HeaderTimeout is the caller's timeout in milliseconds, counted from the receipt of the request. If it is 0 or
	// missing, the profile sets the deadline.
	HeaderTimeout = "Cyclamen-Timeout-Ms"
	// HeaderRequestID is the identifier of the request. The response to a query that passed the checks repeats it.
	HeaderRequestID = "X-Request-Id"
	TypeJSON        = "application/json"
	TypeProblem     = "application/problem+json"
)

// Routes of the interface.
const (
	PathLocate     = "/v1/locate"
	PathQuery      = "/v1/query"
	PathConfig     = "/v1/admin/config"
	PathChanges    = "/v1/admin/changes"
	PathProfiles   = "/v1/admin/profiles"
	PathServices   = "/v1/admin/services"
	PathStatus     = "/v1/admin/status"
	PathQuarantine = "/v1/admin/quarantine"
	PathTimeline   = "/v1/admin/timeline"
	PathHealth     = "/healthz"
	PathReady      = "/readyz"
	PathMetrics    = "/metrics"
)

// QueryBody is the body of a query. Its fields have the meaning of the fields of query.Request.
type QueryBody struct {
	Caller  string `json:"caller,omitempty"`
	ID      string `json:"id,omitempty"`
	Service string `json:"service"`
	Profile string `json:"profile,omitempty"`
	// Shards may come in any order, without duplicates.
	Shards        []uint32 `json:"shards,omitempty"`
	Payload       []byte   `json:"payload,omitempty"`
	NonIdempotent bool     `json:"non_idempotent,omitempty"`
}

// CoverageBody states how much of the snapshot an answer covers.
type CoverageBody struct {
	// Percent is rounded down to two decimals, so that it is 100 only if the answer is complete.
	Percent  float64 `json:"percent"`
	Complete bool    `json:"complete"`
	Total    uint32  `json:"total"`
	// Covered is the sum of the covered fractions of all shards.
	Covered float64  `json:"covered"`
	Missing []uint32 `json:"missing"`
}

// ResultBody is the answer of one shard. Data is encoded in base64.
type ResultBody struct {
	Shard   uint32  `json:"shard"`
	Data    []byte  `json:"data"`
	Covered float64 `json:"covered"`
}

// AnswerBody is the answer to a query.
type AnswerBody struct {
	RequestID    string       `json:"request_id"`
	Service      string       `json:"service"`
	Snapshot     string       `json:"snapshot"`
	Coverage     CoverageBody `json:"coverage"`
	Results      []ResultBody `json:"results"`
	Verdict      string       `json:"verdict"`
	LeafRequests uint32       `json:"leaf_requests"`
	Node         string       `json:"node"`
}

func newAnswerBody(a query.Answer) AnswerBody {
	body := AnswerBody{
		RequestID: a.RequestID, Service: a.Service, Snapshot: a.Snapshot, Verdict: a.Verdict.String(),
		LeafRequests: a.LeafRequests, Node: a.Node,
		Coverage: CoverageBody{
			Percent: a.Coverage.Percent(), Complete: a.Coverage.Complete(), Total: a.Coverage.Total,
			Covered: a.Coverage.Covered, Missing: append([]uint32{}, a.Coverage.Missing...),
		},
		Results: make([]ResultBody, len(a.Results)),
	}
	for i, r := range a.Results {
		body.Results[i] = ResultBody(r)
	}
	return body
}

// Problem is the body of every response that is not a success (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Code is a verdict.Code, or the operator.Outcome of a change.
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	// Verdict is "not-run", "may-have-run" or "completed".
	Verdict   string `json:"verdict"`
	RequestID string `json:"request_id,omitempty"`
	// Change is the result of a change that was not accepted.
	Change *operator.ChangeResult `json:"change,omitempty"`
}

// ProfileBody is a profile with its name and the version of its last change.
type ProfileBody struct {
	Name        string         `json:"name"`
	ItemVersion uint64         `json:"item_version"`
	Profile     config.Profile `json:"profile"`
}

// ProfilesBody lists the profiles in order of name.
type ProfilesBody struct {
	Version  uint64        `json:"version"`
	Profiles []ProfileBody `json:"profiles"`
}

// ServiceBody is a service with its name and the version of its last change.
type ServiceBody struct {
	Name        string         `json:"name"`
	ItemVersion uint64         `json:"item_version"`
	Service     config.Service `json:"service"`
}

// ServicesBody lists the services in order of name.
type ServicesBody struct {
	Version  uint64        `json:"version"`
	Services []ServiceBody `json:"services"`
}

// QuarantineBody lists the quarantined requests.
type QuarantineBody struct {
	Quarantine []operator.QuarantineEntry `json:"quarantine"`
}

// EventBody is one event of the timeline.
type EventBody struct {
	Time time.Time `json:"time"`
	// Counter orders events with the same time.
	Counter   uint32     `json:"counter"`
	Kind      event.Kind `json:"kind"`
	Node      string     `json:"node"`
	Zone      string     `json:"zone"`
	VM        string     `json:"vm,omitempty"`
	Service   string     `json:"service,omitempty"`
	RequestID string     `json:"request_id,omitempty"`
	Detail    string     `json:"detail,omitempty"`
}

// TimelineBody holds the selected events of all nodes that answered, in order of time, and the VMs of the nodes that
// did not answer.
type TimelineBody struct {
	Events  []EventBody `json:"events"`
	Missing []string    `json:"missing"`
}

func newTimelineBody(events []event.Event, missing []string) TimelineBody {
	body := TimelineBody{Events: make([]EventBody, len(events)), Missing: append([]string{}, missing...)}
	for i, e := range events {
		body.Events[i] = EventBody{
			Time: e.Stamp.Time().UTC(), Counter: e.Stamp.Counter, Kind: e.Kind, Node: e.Node, Zone: e.Zone, VM: e.VM,
			Service: e.Service, RequestID: e.RequestID, Detail: e.Detail,
		}
	}
	return body
}
