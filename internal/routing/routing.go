// Package routing finds the route and the service of a request.
package routing

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"

	"cyclamenstream/api/route"
)

// Index finds routes by host and path. It is immutable.
type Index struct {
	table *route.Table
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*route.Route
	// organisations holds the organisation of each API key.
	organisations map[route.KeyHash]*route.Organisation
}

// NewIndex returns an index of the table's routes.
func NewIndex(t *route.Table) *Index {
	x := &Index{table: t, hosts: map[string][]*route.Route{}, organisations: map[route.KeyHash]*route.Organisation{}}
	for i := range t.Organisations {
		for _, key := range t.Organisations[i].Keys {
			x.organisations[key] = &t.Organisations[i]
		}
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b *route.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return x
}

// Table returns the table from which the index was built.
func (x *Index) Table() *route.Table { return x.table }

// NeedsKeys reports whether requests need an API key, except on public routes.
func (x *Index) NeedsKeys() bool { return x.table.Organisations != nil }

// Organisation returns the organisation that holds the key, or nil.
func (x *Index) Organisation(key *route.KeyHash) *route.Organisation {
	if key == nil {
		return nil
	}
	return x.organisations[*key]
}

// Find returns the route with the longest prefix that matches the path, or nil. The host may include a port.
func (x *Index) Find(host, path string) *route.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service for a route that does not gather. For a route with a traffic split, it draws one service by
// weight.
func Pick(r *route.Route) string {
	if r.Service != "" || len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	draw := rand.Float64() * total
	for _, s := range r.Split {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
