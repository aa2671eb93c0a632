// Package configstore edits the operators' configuration document in the platform's store.
package configstore

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"

	"github.com/zeebo/errs"
)

// Invalid is the error class of changes and documents that break a rule.
var Invalid = errs.Class("invalid configuration")

// Limits on a document beyond those of package config.
const (
	// MaxLifted is the number of lifted fingerprints kept. A quarantine lasts 10 minutes, so older lifts have no
	// effect.
	MaxLifted = 256
	// MaxSlots bounds the slots and the connections of a leaf, to catch typing errors.
	MaxSlots = 10_000
	// MaxResultBytes bounds a profile's merged answer, because one message carries the whole answer between nodes.
	MaxResultBytes   = 16 << 20
	maxIDBytes       = 128
	maxExtraProfiles = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9-]{1,64}$`)

// ConflictError reports that the item was changed after the version that the change was based on.
type ConflictError struct {
	Item string
	// Current is the item's present version, 0 if it does not exist. Base is the version that the change was based on.
	Current, Base uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at version %d, but the change is based on version %d", e.Item, e.Current, e.Base)
}

// ItemKey returns the key of the changed item in Document.ItemVersions, or "" for an unknown operation.
func ItemKey(c config.Change) string {
	switch c.Op {
	case config.OpPutProfile, config.OpDeleteProfile:
		return "profile/" + c.Name
	case config.OpPutService, config.OpDeleteService:
		return "service/" + c.Name
	case config.OpZoneOut, config.OpZoneIn:
		return "zone/" + c.Name
	case config.OpVMOut, config.OpVMIn:
		return "vm/" + c.Name
	case config.OpLiftQuarantine:
		return "quarantine/" + c.Name
	}
	return ""
}

// Apply returns a copy of doc with the change applied, its version one higher and the change in its history. vmKnown
// reports whether a VM is in the list of VMs; nil skips that check. Errors are of class Invalid or a *ConflictError.
func Apply(doc *config.Document, c config.Change, vmKnown func(vm string) bool) (*config.Document, error) {
	item := ItemKey(c)
	if err := checkChange(doc, c, item, vmKnown); err != nil {
		return nil, err
	}
	next := clone(doc)
	next.Version++
	next.ItemVersions[item] = next.Version
	applyOperation(next, c, item)
	if err := checkReferences(next); err != nil {
		return nil, err
	}
	next.History = append(next.History, config.ChangeRecord{ID: c.ID, Version: next.Version, Item: item})
	if extra := len(next.History) - config.MaxHistory; extra > 0 {
		next.History = slices.Delete(next.History, 0, extra)
	}
	return next, nil
}

// FindChange returns the history record of the change with the identifier.
func FindChange(doc *config.Document, id string) (record config.ChangeRecord, found bool) {
	i := slices.IndexFunc(doc.History, func(r config.ChangeRecord) bool { return r.ID == id })
	if i < 0 {
		return record, false
	}
	return doc.History[i], true
}

// Encode returns the stored form of the document.
func Encode(doc *config.Document) ([]byte, error) { return json.Marshal(doc) }

// Decode parses a stored document and checks that it has a version, that its history ends at that version, and that the
// profiles of its services exist.
func Decode(value []byte) (*config.Document, error) {
	doc := &config.Document{}
	if err := json.Unmarshal(value, doc); err != nil {
		return nil, Invalid.Wrap(err)
	}
	n := len(doc.History)
	if doc.Version == 0 || n == 0 || n > config.MaxHistory || doc.History[n-1].Version != doc.Version {
		return nil, Invalid.New("document version %d does not match its history of %d records", doc.Version, n)
	}
	return doc, checkReferences(doc)
}

func clone(d *config.Document) *config.Document {
	c := *d
	c.Profiles, c.Services = copyMap(d.Profiles), copyMap(d.Services)
	c.ZonesOut, c.VMsOut = copyMap(d.ZonesOut), copyMap(d.VMsOut)
	c.Lifted, c.ItemVersions = copyMap(d.Lifted), copyMap(d.ItemVersions)
	c.History = slices.Clone(d.History)
	return &c
}

func copyMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

func applyOperation(d *config.Document, c config.Change, item string) {
	switch c.Op {
	case config.OpPutProfile:
		d.Profiles[c.Name] = *c.Profile
	case config.OpDeleteProfile:
		delete(d.Profiles, c.Name)
		delete(d.ItemVersions, item)
	case config.OpPutService:
		d.Services[c.Name] = *c.Service
	case config.OpDeleteService:
		delete(d.Services, c.Name)
		delete(d.ItemVersions, item)
	case config.OpZoneOut:
		markOut(d.ZonesOut, c.Name, d.Version)
	case config.OpZoneIn:
		delete(d.ZonesOut, c.Name)
	case config.OpVMOut:
		markOut(d.VMsOut, c.Name, d.Version)
	case config.OpVMIn:
		delete(d.VMsOut, c.Name)
		delete(d.ItemVersions, item) // VM identifiers are never reused, so the versions would accumulate.
	case config.OpLiftQuarantine:
		d.Lifted[c.Name] = d.Version
		trimLifted(d)
	}
}

// markOut marks a name as out of service. A name that is already marked keeps the version of its first mark.
func markOut(marks map[string]uint64, name string, version uint64) {
	if _, set := marks[name]; !set {
		marks[name] = version
	}
}

func trimLifted(d *config.Document) {
	for len(d.Lifted) > MaxLifted {
		oldest := ""
		for name, version := range d.Lifted {
			if oldest == "" || version < d.Lifted[oldest] {
				oldest = name
			}
		}
		delete(d.Lifted, oldest)
		delete(d.ItemVersions, "quarantine/"+oldest)
	}
}

func checkChange(doc *config.Document, c config.Change, item string, vmKnown func(string) bool) error {
	if item == "" {
		return Invalid.New("unknown operation %q", c.Op)
	}
	if c.ID == "" || len(c.ID) > maxIDBytes {
		return Invalid.New("change identifier has %d bytes, must have 1 to %d", len(c.ID), maxIDBytes)
	}
	if !namePattern.MatchString(c.Name) {
		return Invalid.New("name %q does not match %s", c.Name, namePattern)
	}
	if err := checkBase(doc, c, item); err != nil {
		return err
	}
	switch c.Op {
	case config.OpPutProfile:
		return checkProfile(c.Name, c.Profile)
	case config.OpPutService:
		return checkService(c.Name, c.Service)
	case config.OpDeleteProfile:
		if _, exists := doc.Profiles[c.Name]; !exists {
			return Invalid.New("profile %q does not exist", c.Name)
		}
	case config.OpDeleteService:
		if _, exists := doc.Services[c.Name]; !exists {
			return Invalid.New("service %q does not exist", c.Name)
		}
	case config.OpVMOut:
		if vmKnown != nil && !vmKnown(c.Name) {
			return Invalid.New("VM %q is not in the list of VMs", c.Name)
		}
	}
	return nil
}

func checkBase(doc *config.Document, c config.Change, item string) error {
	switch c.Op {
	case config.OpPutProfile, config.OpPutService, config.OpDeleteProfile, config.OpDeleteService:
		if current := doc.ItemVersions[item]; c.CheckBase && current != c.BaseItemVersion {
			return &ConflictError{Item: item, Current: current, Base: c.BaseItemVersion}
		}
	}
	return nil
}

func checkProfile(name string, p *config.Profile) error {
	if p == nil {
		return Invalid.New("profile %q is put without settings", name)
	}
	deadline, leafTimeout := time.Duration(p.Deadline), time.Duration(p.LeafTimeout)
	switch {
	case deadline < time.Millisecond || deadline > config.MaxDeadline:
		return Invalid.New("profile %q: deadline is %v, must be 1ms to %v", name, deadline, config.MaxDeadline)
	case leafTimeout < time.Millisecond || leafTimeout > config.MaxLeafTimeout:
		return Invalid.New("profile %q: leaf_timeout is %v, must be 1ms to %v", name, leafTimeout, config.MaxLeafTimeout)
	case leafTimeout > deadline:
		return Invalid.New("profile %q: leaf_timeout %v is above the deadline %v", name, leafTimeout, deadline)
	case !within(p.LeastCoverage, 100):
		return Invalid.New("profile %q: least_coverage is %v, must be 0 to 100", name, p.LeastCoverage)
	case !within(p.HedgeBudget, 1):
		return Invalid.New("profile %q: hedge_budget is %v, must be 0 to 1", name, p.HedgeBudget)
	case !within(p.RetryBudget, 1):
		return Invalid.New("profile %q: retry_budget is %v, must be 0 to 1", name, p.RetryBudget)
	case p.Priority < 0 || p.Priority > config.MaxPriority:
		return Invalid.New("profile %q: priority is %d, must be 0 to %d", name, p.Priority, config.MaxPriority)
	case p.MaxResultBytes < 0 || p.MaxResultBytes > MaxResultBytes:
		return Invalid.New("profile %q: max_result_bytes is %d, must be 0 to %d", name, p.MaxResultBytes, MaxResultBytes)
	}
	return nil
}

// within reports whether v is between 0 and limit; a NaN is not.
func within(v, limit float64) bool { return v >= 0 && v <= limit }

func checkService(name string, s *config.Service) error {
	switch {
	case s == nil:
		return Invalid.New("service %q is put without settings", name)
	case s.ColdSlots < 1 || s.ColdSlots > s.Slots || s.Slots > MaxSlots:
		return Invalid.New("service %q: cold_slots is %d and slots is %d, must be 1 <= cold_slots <= slots <= %d",
			name, s.ColdSlots, s.Slots, MaxSlots)
	case s.ColdTime < 0 || time.Duration(s.ColdTime) > config.MaxColdTime:
		return Invalid.New("service %q: cold_time is %v, must be 0s (the default of %v) to %v", name,
			time.Duration(s.ColdTime), config.DefaultColdTime, config.MaxColdTime)
	case s.Connections < 1 || s.Connections > MaxSlots:
		return Invalid.New("service %q: connections is %d, must be 1 to %d", name, s.Connections, MaxSlots)
	case len(s.ExtraProfiles) > maxExtraProfiles:
		return Invalid.New("service %q: %d extra_profiles, at most %d are allowed", name, len(s.ExtraProfiles),
			maxExtraProfiles)
	}
	return nil
}

// checkReferences checks that the profiles of all services exist.
func checkReferences(d *config.Document) error {
	for name, s := range d.Services {
		for _, p := range append([]string{s.Profile}, s.ExtraProfiles...) {
			if _, exists := d.Profiles[p]; !exists {
				return Invalid.New("service %q uses profile %q, which does not exist", name, p)
			}
		}
	}
	return nil
}

// tooLarge reports whether the encoded document exceeds the size limit of the store.
func tooLarge(value []byte) bool { return len(value) > platform.MaxValueBytes }
