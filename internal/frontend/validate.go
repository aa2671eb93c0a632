package frontend

import (
	"crypto/rand"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"cyclamenstream/api/config"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

// validate checks a request against the configuration. It returns the request with its deadline, its identifier and
// NonIdempotent filled in. All its errors have verdict "not run".
func (f *Frontend) validate(r query.Request) (query.Request, config.Profile, error) {
	if err := f.Members.CheckFresh(); err != nil {
		return r, config.Profile{}, err
	}
	d := f.Config.Current()
	if d == nil {
		return r, config.Profile{}, verdict.Refusef(verdict.CodeStale, "the node has no configuration yet")
	}
	if err := checkRequest(r); err != nil {
		return r, config.Profile{}, err
	}
	profile, err := profileOf(d, r)
	if err != nil {
		return r, config.Profile{}, err
	}
	r.NonIdempotent = r.NonIdempotent || profile.NonIdempotent
	if r.NonIdempotent && (r.Caller == "" || r.ID == "") {
		return r, profile, verdict.Refusef(verdict.CodeInvalid,
			"a request that is not idempotent needs a caller and a request identifier: caller %q, identifier %q", r.Caller,
			r.ID)
	}
	if r.ID == "" {
		r.ID = rand.Text()
	}
	now := time.Now()
	if latest := now.Add(time.Duration(profile.Deadline)); r.Deadline.IsZero() || r.Deadline.After(latest) {
		r.Deadline = latest
	}
	if !r.Deadline.After(now) {
		return r, profile, verdict.Refusef(verdict.CodeDeadline, "the deadline passed %s ago", now.Sub(r.Deadline))
	}
	return r, profile, nil
}

func checkRequest(r query.Request) error {
	for _, field := range []struct{ name, value string }{
		{"caller", r.Caller}, {"request identifier", r.ID}, {"service", r.Service}, {"profile", r.Profile},
	} {
		if len(field.value) > query.MaxIdentifierBytes {
			return verdict.Refusef(verdict.CodeInvalid, "the %s has %d bytes, at most %d are allowed", field.name,
				len(field.value), query.MaxIdentifierBytes)
		}
		if !utf8.ValidString(field.value) || strings.ContainsFunc(field.value, unicode.IsControl) {
			return verdict.Refusef(verdict.CodeInvalid, "the %s %q must be UTF-8 text without control characters",
				field.name, field.value)
		}
	}
	if len(r.Payload) > query.MaxPayloadBytes {
		return verdict.Refusef(verdict.CodeTooLarge, "the payload has %d bytes, at most %d are allowed", len(r.Payload),
			query.MaxPayloadBytes)
	}
	for i := 1; i < len(r.Shards); i++ {
		if r.Shards[i] <= r.Shards[i-1] {
			return verdict.Refusef(verdict.CodeInvalid, "shards must be in ascending order without repetition: %d follows %d",
				r.Shards[i], r.Shards[i-1])
		}
	}
	return nil
}

func profileOf(d *config.Document, r query.Request) (config.Profile, error) {
	service, ok := d.Services[r.Service]
	if !ok {
		return config.Profile{}, verdict.Refusef(verdict.CodeUnknownService, "service %q is not configured", r.Service)
	}
	name := service.Profile
	if r.Profile != "" {
		name = r.Profile
	}
	if name != service.Profile && !slices.Contains(service.ExtraProfiles, name) {
		return config.Profile{}, verdict.Refusef(verdict.CodeInvalid,
			"profile %q is not allowed for service %q: allowed are %q", name, r.Service,
			append([]string{service.Profile}, service.ExtraProfiles...))
	}
	profile, ok := d.Profiles[name]
	if !ok {
		return config.Profile{}, verdict.Refusef(verdict.CodeInvalid, "profile %q of service %q is not configured", name,
			r.Service)
	}
	return profile, nil
}
