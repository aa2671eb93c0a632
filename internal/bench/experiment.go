// Package bench compares ways to share the leaves of services among nodes. It runs the production code of fanout,
// leafset and slots in one process and in real time, against stand-in leaves over links with injected latencies.
package bench

import (
	"bytes"
	"fmt"
	"os"
	"slices"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"cyclamenstream/api/config"
)

// Experiment describes a benchmark. All its policies get the same arrivals and the same faults.
type Experiment struct {
	Name string `toml:"name" validate:"required"`
	Seed uint64 `toml:"seed"`
	// Warmup is the time before the measured Duration. The leaves become warm during that time, at a load of WarmupLoad
	// times that of the workloads.
	Warmup     config.Duration `toml:"warmup" validate:"min=0"`
	WarmupLoad float64         `toml:"warmup_load" validate:"gt=0,lte=1"`
	Duration   config.Duration `toml:"duration" validate:"gt=0,lte=10000000000"`
	Policies   []string        `toml:"policies" validate:"required"`
	// Nodes is the number of nodes. They are assigned to the zones round-robin.
	Nodes int    `toml:"nodes" validate:"min=1,max=64"`
	Zones []Zone `toml:"zones" validate:"required,dive"`
	Links Links  `toml:"links"`
	// Forwarded is the share of queries, 0 to 1, that reach a node other than the owner and are forwarded once. It applies
	// only to policies with an owner.
	Forwarded float64                   `toml:"forwarded" validate:"min=0,max=1"`
	Profiles  map[string]config.Profile `toml:"profiles" validate:"required"`
	Services  []ServiceGroup            `toml:"services" validate:"required,dive"`
	Workloads []Workload                `toml:"workloads" validate:"required,dive"`
	Faults    []Fault                   `toml:"faults" validate:"dive"`
}

// Zone is an availability zone in a region.
type Zone struct {
	Name   string `toml:"name" validate:"required"`
	Region string `toml:"region" validate:"required"`
}

// Links holds one-way latencies. Within a zone the latency is 0.
type Links struct {
	BetweenZones   config.Duration `toml:"between_zones" validate:"min=0"`
	BetweenRegions config.Duration `toml:"between_regions" validate:"min=0"`
	ToCallers      config.Duration `toml:"to_callers" validate:"min=0"`
}

// ServiceGroup describes Count services that are alike. The leaves of each are assigned to the zones round-robin, and
// leaf i holds shard i modulo Shards.
type ServiceGroup struct {
	Name           string          `toml:"name" validate:"required"`
	Count          int             `toml:"count" validate:"min=1"`
	Leaves         int             `toml:"leaves" validate:"min=1"`
	Shards         int             `toml:"shards" validate:"min=1,ltefield=Leaves"`
	Slots          int             `toml:"slots" validate:"min=1"`
	ColdSlots      int             `toml:"cold_slots" validate:"min=1,ltefield=Slots"`
	Connections    int             `toml:"connections" validate:"min=1"`
	ConnectionCost config.Duration `toml:"connection_cost" validate:"min=0"`
	// ServiceTime is the mean time of a call on a warm leaf. Half of it is fixed, the rest is distributed exponentially.
	// A straggler takes StragglerFactor times the mean.
	ServiceTime     config.Duration `toml:"service_time" validate:"gt=0"`
	StragglerShare  float64         `toml:"straggler_share" validate:"min=0,max=1"`
	StragglerFactor float64         `toml:"straggler_factor" validate:"min=1"`
	// A leaf is cold, and ColdFactor times slower, until ColdTime has passed and it has completed ColdCalls calls.
	ColdTime   config.Duration `toml:"cold_time" validate:"min=0"`
	ColdCalls  int             `toml:"cold_calls" validate:"min=0"`
	ColdFactor float64         `toml:"cold_factor" validate:"min=1"`
	// CrashOnOverload makes a leaf crash when it gets more calls than its limit, and stay down for RestartAfter.
	// Otherwise it executes as many calls as it has slots, and the others wait inside it without loss of efficiency.
	CrashOnOverload bool            `toml:"fall_over"`
	RestartAfter    config.Duration `toml:"restart_after" validate:"min=0"`
}

// Workload is a stream of queries to the services of a group, with independent (Poisson) arrivals.
type Workload struct {
	Name    string `toml:"name" validate:"required"`
	Service string `toml:"service" validate:"required"`
	Profile string `toml:"profile" validate:"required"`
	// Load is the share of the group's slots that the leaf calls of the workload keep in use. A share above 1 is an
	// overload. A slot is in use for the service time and the mean round trip between a node and a leaf.
	Load float64 `toml:"load" validate:"gt=0,lte=2"`
}

// Fault is an outage of a zone's nodes and leaves from Out to Back, counted from the end of the warm-up. With
// LeavesOnly the nodes stay up.
type Fault struct {
	Zone       string          `toml:"zone" validate:"required"`
	LeavesOnly bool            `toml:"leaves_only"`
	Out        config.Duration `toml:"out" validate:"gt=0"`
	Back       config.Duration `toml:"back" validate:"gtfield=Out"`
}

// Load reads and validates the description of an experiment from a TOML file.
func Load(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// Parse reads and validates the description of an experiment in TOML. Unknown keys are errors.
func Parse(data []byte) (*Experiment, error) {
	e := &Experiment{}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(e); err != nil {
		if missing, ok := err.(*toml.StrictMissingError); ok {
			return nil, fmt.Errorf("unknown keys:\n%s", missing.String())
		}
		return nil, err
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(e); err != nil {
		return nil, err
	}
	return e, e.check()
}

// check finds references to undefined names and values that the experiments do not support.
func (e *Experiment) check() error {
	for _, name := range e.Policies {
		if _, err := findPolicy(name); err != nil {
			return err
		}
	}
	for _, w := range e.Workloads {
		if _, ok := e.Profiles[w.Profile]; !ok {
			return fmt.Errorf("workload %q: no profile %q", w.Name, w.Profile)
		}
		if e.group(w.Service) == nil {
			return fmt.Errorf("workload %q: no service %q", w.Name, w.Service)
		}
	}
	for name, p := range e.Profiles {
		if p.Deadline <= 0 || p.LeafTimeout <= 0 || p.LeafTimeout > config.Duration(config.MaxLeafTimeout) || p.NonIdempotent {
			return fmt.Errorf("profile %q: deadline and leaf_timeout must be positive, leaf_timeout at most %v, and "+
				"non_idempotent is not supported", name, config.MaxLeafTimeout)
		}
	}
	for _, s := range e.Services {
		if s.CrashOnOverload && len(e.Faults) > 0 {
			return fmt.Errorf("service %q: fall_over cannot be combined with faults", s.Name)
		}
	}
	for _, f := range e.Faults {
		if !slices.ContainsFunc(e.Zones, func(z Zone) bool { return z.Name == f.Zone }) {
			return fmt.Errorf("fault: no zone %q", f.Zone)
		}
		if f.Back > e.Duration {
			return fmt.Errorf("fault of zone %q: ends after the duration of the experiment", f.Zone)
		}
	}
	return nil
}

func (e *Experiment) group(name string) *ServiceGroup {
	i := slices.IndexFunc(e.Services, func(s ServiceGroup) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &e.Services[i]
}

// meanServiceTime returns the mean time of a call in nanoseconds, including stragglers.
func (s *ServiceGroup) meanServiceTime() float64 {
	return float64(s.ServiceTime) * (1 - s.StragglerShare + s.StragglerShare*s.StragglerFactor)
}

// rate returns the queries per second of a workload.
func (e *Experiment) rate(w Workload) float64 {
	g := e.group(w.Service)
	roundTrip := 0.0 // mean over all pairs of zones, in nanoseconds
	for _, a := range e.Zones {
		for _, b := range e.Zones {
			roundTrip += 2 * float64(e.oneWay(a.Name, b.Name)) / float64(len(e.Zones)*len(e.Zones))
		}
	}
	calls := w.Load * float64(g.Count*g.Leaves*g.Slots) / ((g.meanServiceTime() + roundTrip) / 1e9)
	return calls / float64(g.Shards)
}
