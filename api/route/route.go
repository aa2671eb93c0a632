// Package route defines the operators' routing configuration: which requests go to which services, under which limits.
package route

import "time"

// Table is one version of the routing configuration. It is immutable once published.
type Table struct {
	// Version grows with each change by 1 or more.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations is nil if requests need no API key.
	Organisations []Organisation
}

// Route describes where requests for one host and path prefix go. Exactly one of Service, Split and Gather is set.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest prefix that matches the path selects the route.
	Prefix string
	// Idempotent is set if a request may run more than once. Otherwise each request of a caller runs at most once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the target latency. An answer within it has its full value to the caller.
	Target time.Duration
	// Priority is the priority of the requests. 0 is the highest.
	Priority int
	// Service receives every request of the route.
	Service string
	// Split distributes the requests over services in proportion to their weights.
	Split []Share
	// Gather sends each request to one leaf of every service and merges the answers.
	Gather []string
	// MaxAttempts is the largest number of leaves that may run one request, at least 1. For Gather it applies to each
	// service.
	MaxAttempts int
	// Top is the largest number of records in a gathered answer.
	Top int
	// MinShare is the smallest share of the gathered services, from 0 to 1, that a successful answer must cover.
	MinShare float64
	// Regions lists the regions whose leaves may run the requests. An empty list allows all regions.
	Regions []string
	// Public routes need no API key.
	Public bool
}

// Share is a service's part of a split route.
type Share struct {
	Service string
	// Weight is relative to the sum of the weights of the route. It is not negative.
	Weight float64
}

// Service describes the leaves of one service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one leaf accepts from all nodes together. 0 means no limit.
	MaxConnections int
	// Warmup is how long a leaf is cold after its start.
	Warmup time.Duration
	// WarmupRate is the number of requests per second that a cold leaf handles from all nodes together. 0 means that no
	// limit is stated.
	WarmupRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	// Idle is how long a connection may stay without a request.
	Idle time.Duration
}
