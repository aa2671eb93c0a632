package gather

import (
	"slices"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/route"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/routing"
)

// caller is what the configuration says about the sender of a request.
type caller struct {
	// needsKeys is set if the configuration has organisations.
	needsKeys bool
	// organisation is nil if there are none, and for a request without a key on a public route.
	organisation *route.Organisation
	// regions lists the regions that both the route and the organisation allow; empty allows all.
	regions []string
}

// authenticate identifies the caller of a request by its API key. The error is a refusal.
func (d *Dispatcher) authenticate(index *routing.Index, matched *route.Route, r *exchange.Request) (caller, error) {
	if !index.NeedsKeys() {
		return caller{regions: matched.Regions}, nil
	}
	c := caller{needsKeys: true, organisation: index.Organisation(r.Key), regions: matched.Regions}
	switch {
	case c.organisation == nil && matched.Public:
		return c, nil
	case !matched.Public && d.viewTooOld():
		return c, staleViewErr()
	case c.organisation == nil:
		return c, unknownKeyErr(r)
	}
	var err error
	c.regions, err = commonRegions(matched.Regions, c.organisation.Regions)
	return c, err
}

// viewTooOld reports whether a key may have been removed without this node's knowledge for longer than the operators allow.
func (d *Dispatcher) viewTooOld() bool {
	return d.Config.RevokeWithin > 0 && d.ViewAge() > d.Config.RevokeWithin
}

func staleViewErr() error {
	return verdict.Refusef(verdict.CodeStale, "the view of the registry is too old to check API keys")
}

// unknownKeyErr returns the refusal of a request without a valid key. It never contains the key.
func unknownKeyErr(r *exchange.Request) error {
	if r.Key == nil {
		return verdict.Refusef(verdict.CodeUnauthenticated, "the request has no API key in the expected form")
	}
	return verdict.Refusef(verdict.CodeUnauthenticated, "the API key of the request is not known")
}

// commonRegions returns the regions that both lists allow. An empty list allows all regions.
func commonRegions(a, b []string) ([]string, error) {
	if len(a) == 0 {
		return b, nil
	}
	if len(b) == 0 {
		return a, nil
	}
	common := slices.DeleteFunc(slices.Clone(a), func(region string) bool { return !slices.Contains(b, region) })
	if len(common) == 0 {
		return nil, verdict.Refusef(verdict.CodeNoLeaf, "the route and the organisation have no allowed region in common")
	}
	return common, nil
}

// keyErr returns an error if the configuration in force does not have the key of the request, or may be too old to tell. It is
// called before each send, since the configuration may have changed while the request waited. The first organisations may have
// been added meanwhile, so it also applies to requests that needed no key when they arrived.
func (r *activeRequest) keyErr() error {
	index := r.dispatcher.Index()
	if r.route.Public || !index.NeedsKeys() {
		return nil
	}
	if r.dispatcher.viewTooOld() {
		return staleViewErr()
	}
	known, o := r.caller.organisation, index.Organisation(r.request.Key)
	switch {
	case known == nil && o == nil:
		return unknownKeyErr(r.request)
	case known != nil && (o == nil || o.Name != known.Name):
		return verdict.Refusef(verdict.CodeUnauthenticated, "the API key of the request was removed while the request waited")
	}
	return nil
}

// callerForLeaf returns what a leaf learns about the caller, or nil if it gets the request as the caller sent it.
func (r *activeRequest) callerForLeaf() *exchange.Caller {
	o := r.caller.organisation
	if !r.caller.needsKeys {
		index := r.dispatcher.Index()
		if !index.NeedsKeys() {
			return nil
		}
		o = index.Organisation(r.request.Key)
	}
	if o == nil {
		return &exchange.Caller{}
	}
	return &exchange.Caller{Organisation: o.Name}
}
