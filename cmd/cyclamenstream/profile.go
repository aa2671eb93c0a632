package main

import (
	"context"
	"io"
	"maps"
	"slices"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/internal/httpapi"
)

type profileCommands struct {
	Create profileCreate `cmd:"" help:"Create a profile."`
	Edit   profileEdit   `cmd:"" help:"Change the given flags of a profile and leave the others."`
	Show   profileShow   `cmd:"" help:"Show a profile."`
	List   profileList   `cmd:"" help:"List the profiles."`
	Delete profileDelete `cmd:"" help:"Delete a profile that no service uses."`
}

// profileFlags are the flags for the settings of a profile. A flag that is not given stays nil.
type profileFlags struct {
	Deadline       *time.Duration `help:"Longest time of a query, such as 150ms."`
	LeafTimeout    *time.Duration `help:"Longest time of one call to a backend server, at most 2s."`
	LeastCoverage  *float64       `help:"Lowest coverage in percent that is returned as an answer." placeholder:"PERCENT"`
	HedgeBudget    *float64       `help:"Share of extra leaf requests for hedges, 0 to 1." placeholder:"SHARE"`
	RetryBudget    *float64       `help:"Share of extra leaf requests for retries, 0 to 1." placeholder:"SHARE"`
	Priority       *int           `help:"Priority of waiting requests, 0 (lowest) to 9." placeholder:"N"`
	NonIdempotent  *bool          `help:"Run every request at most once; --non-idempotent=false turns it off."`
	MaxResultBytes *int           `help:"Size limit of the merged answer; 0 means 16 MiB." placeholder:"BYTES"`
}

// defaultProfile holds the values of "profile create" for flags that are not given. The budgets are those of the
// design.
var defaultProfile = config.Profile{
	Deadline: config.Duration(500 * time.Millisecond), LeafTimeout: config.Duration(200 * time.Millisecond),
	HedgeBudget: 0.05, RetryBudget: 0.1, Priority: 5,
}

func (f profileFlags) applyTo(p config.Profile) config.Profile {
	setIfGiven(&p.Deadline, (*config.Duration)(f.Deadline))
	setIfGiven(&p.LeafTimeout, (*config.Duration)(f.LeafTimeout))
	setIfGiven(&p.LeastCoverage, f.LeastCoverage)
	setIfGiven(&p.HedgeBudget, f.HedgeBudget)
	setIfGiven(&p.RetryBudget, f.RetryBudget)
	setIfGiven(&p.Priority, f.Priority)
	setIfGiven(&p.NonIdempotent, f.NonIdempotent)
	setIfGiven(&p.MaxResultBytes, f.MaxResultBytes)
	return p
}

// setIfGiven copies the value of the flag to target if the flag was given.
func setIfGiven[T any](target *T, flag *T) {
	if flag != nil {
		*target = *flag
	}
}

type profileCreate struct {
	Name string `arg:"" help:"Name of the profile."`
	profileFlags
	waitFlag
}

// Help implements kong.HelpProvider.
func (profileCreate) Help() string {
	return `Flags that are not given: deadline 500ms, leaf timeout 200ms, least coverage 0, hedge budget 0.05, retry budget
0.1, priority 5.

Example:

    cyclamenstream profile create gate --deadline 150ms --leaf-timeout 60ms --least-coverage 95`
}

// Run creates the profile. It fails if the profile exists.
func (c profileCreate) Run(ctx context.Context, a *app) error {
	document, err := a.document(ctx)
	if err != nil {
		return err
	}
	version := document.ItemVersions["profile/"+c.Name]
	if _, exists := document.Profiles[c.Name]; exists {
		return fail(exitConflict, "profile %q exists, at version %d; see \"profile edit\"", c.Name, version)
	}
	p := c.applyTo(defaultProfile)
	return a.apply(ctx, config.Change{
		Op: config.OpPutProfile, Name: c.Name, BaseItemVersion: version, CheckBase: true, Profile: &p,
	}, c.waitFlag)
}

type profileEdit struct {
	Name string `arg:"" help:"Name of the profile."`
	profileFlags
	waitFlag
}

// Help implements kong.HelpProvider.
func (profileEdit) Help() string {
	return `Reads the profile, changes the given flags and writes it back. If another operator has changed the profile in
between, nothing is written and the exit code is 3.

Example:

    cyclamenstream profile edit gate --hedge-budget 0.02`
}

// Run changes the settings whose flags were given.
func (c profileEdit) Run(ctx context.Context, a *app) error {
	if c.profileFlags == (profileFlags{}) {
		return fail(exitUsage, "no flag to change was given")
	}
	p, version, err := a.profile(ctx, c.Name)
	if err != nil {
		return err
	}
	p = c.applyTo(p)
	return a.apply(ctx, config.Change{
		Op: config.OpPutProfile, Name: c.Name, BaseItemVersion: version, CheckBase: true, Profile: &p,
	}, c.waitFlag)
}

// profile reads a profile and the version of its last change.
func (a *app) profile(ctx context.Context, name string) (config.Profile, uint64, error) {
	document, err := a.document(ctx)
	if err != nil {
		return config.Profile{}, 0, err
	}
	p, exists := document.Profiles[name]
	if !exists {
		return p, 0, fail(exitUsage, "no profile %q; there are: %q", name, slices.Sorted(maps.Keys(document.Profiles)))
	}
	return p, document.ItemVersions["profile/"+name], nil
}

type profileShow struct {
	Name string `arg:"" help:"Name of the profile."`
}

// Help implements kong.HelpProvider.
func (profileShow) Help() string {
	return examples("profile show gate", "--output json profile show gate")
}

// Run prints the profile.
func (c profileShow) Run(ctx context.Context, a *app) error {
	p, version, err := a.profile(ctx, c.Name)
	if err != nil {
		return err
	}
	body := httpapi.ProfileBody{Name: c.Name, ItemVersion: version, Profile: p}
	return a.printProfiles(body, body)
}

type profileList struct{}

// Help implements kong.HelpProvider.
func (profileList) Help() string { return examples("profile list", "--output json profile list") }

// Run prints all profiles.
func (profileList) Run(ctx context.Context, a *app) error {
	document, err := a.document(ctx)
	if err != nil {
		return err
	}
	list := []httpapi.ProfileBody{}
	for _, name := range slices.Sorted(maps.Keys(document.Profiles)) {
		list = append(list, httpapi.ProfileBody{Name: name, ItemVersion: document.ItemVersions["profile/"+name], Profile: document.Profiles[name]})
	}
	return a.printProfiles(list, list...)
}

// printProfiles writes value as JSON or the list as a table.
func (a *app) printProfiles(value any, list ...httpapi.ProfileBody) error {
	return a.print(value, func(w io.Writer) {
		row(w, "NAME", "VERSION", "DEADLINE", "LEAF TIMEOUT", "LEAST COVERAGE", "HEDGES", "RETRIES", "PRIORITY", "NON-IDEMPOTENT", "MAX RESULT")
		for _, b := range list {
			p := b.Profile
			row(w, b.Name, b.ItemVersion, time.Duration(p.Deadline), time.Duration(p.LeafTimeout), p.LeastCoverage, p.HedgeBudget,
				p.RetryBudget, p.Priority, p.NonIdempotent, p.MaxResultBytes)
		}
	})
}

type profileDelete struct {
	Name string `arg:"" help:"Name of the profile."`
	waitFlag
}

// Help implements kong.HelpProvider.
func (profileDelete) Help() string { return examples("profile delete gate") }

// Run deletes the profile unless it changes after it was read.
func (c profileDelete) Run(ctx context.Context, a *app) error {
	_, version, err := a.profile(ctx, c.Name)
	if err != nil {
		return err
	}
	return a.apply(ctx, config.Change{Op: config.OpDeleteProfile, Name: c.Name, BaseItemVersion: version, CheckBase: true}, c.waitFlag)
}
