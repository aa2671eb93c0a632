package main

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/internal/httpapi"
)

type serviceCommands struct {
	Set    serviceSet    `cmd:"" help:"Create a service, or change the given flags of one."`
	Show   serviceShow   `cmd:"" help:"Show a service."`
	List   serviceList   `cmd:"" help:"List the services."`
	Delete serviceDelete `cmd:"" help:"Delete a service."`
}

type serviceSet struct {
	Name          string         `arg:"" help:"Name of the service."`
	Profile       *string        `help:"Profile that its requests run under; needed for a new service." placeholder:"NAME"`
	ExtraProfiles *[]string      `help:"Further profiles that a request may select; replaces the list." placeholder:"NAME"`
	Slots         *int           `help:"Concurrent calls that a warm backend server can handle; needed for a new service." placeholder:"N"`
	ColdSlots     *int           `help:"Concurrent calls that a backend server in cold start can handle; 1 for a new service." placeholder:"N"`
	ColdTime      *time.Duration `help:"How long a backend server is certainly treated as cold; 0s means 1s." placeholder:"DURATION"`
	Connections   *int           `help:"Connections that a backend server accepts from all clients; needed for a new service." placeholder:"N"`
	waitFlag
}

// Help implements kong.HelpProvider.
func (serviceSet) Help() string {
	return `Only the given flags of an existing service change. If another operator has changed the service in between,
nothing is written and the exit code is 3.

Examples:

    cyclamenstream service set lookup --profile gate --slots 3 --connections 30
    cyclamenstream service set lookup --extra-profiles bulk,debug`
}

// Run creates or changes the service.
func (c serviceSet) Run(ctx context.Context, a *app) error {
	document, err := a.document(ctx)
	if err != nil {
		return err
	}
	s, exists := document.Services[c.Name]
	if !exists {
		if c.Profile == nil || c.Slots == nil || c.Connections == nil {
			return fail(exitUsage, "service %q is new: --profile, --slots and --connections are needed", c.Name)
		}
		s.ColdSlots = 1
	}
	setIfGiven(&s.Profile, c.Profile)
	setIfGiven(&s.ExtraProfiles, c.ExtraProfiles)
	setIfGiven(&s.Slots, c.Slots)
	setIfGiven(&s.ColdSlots, c.ColdSlots)
	setIfGiven(&s.ColdTime, (*config.Duration)(c.ColdTime))
	setIfGiven(&s.Connections, c.Connections)
	return a.apply(ctx, config.Change{
		Op: config.OpPutService, Name: c.Name, BaseItemVersion: document.ItemVersions["service/"+c.Name], CheckBase: true, Service: &s,
	}, c.waitFlag)
}

type serviceShow struct {
	Name string `arg:"" help:"Name of the service."`
}

// Help implements kong.HelpProvider.
func (serviceShow) Help() string { return examples("service show lookup") }

// Run prints the service.
func (c serviceShow) Run(ctx context.Context, a *app) error {
	body, err := a.service(ctx, c.Name)
	if err != nil {
		return err
	}
	return a.printServices(body, body)
}

// service reads a service and the version of its last change.
func (a *app) service(ctx context.Context, name string) (httpapi.ServiceBody, error) {
	document, err := a.document(ctx)
	if err != nil {
		return httpapi.ServiceBody{}, err
	}
	s, exists := document.Services[name]
	if !exists {
		return httpapi.ServiceBody{}, fail(exitUsage, "no service %q; there are: %q", name, slices.Sorted(maps.Keys(document.Services)))
	}
	return httpapi.ServiceBody{Name: name, ItemVersion: document.ItemVersions["service/"+name], Service: s}, nil
}

type serviceList struct{}

// Help implements kong.HelpProvider.
func (serviceList) Help() string { return examples("service list", "--output json service list") }

// Run prints all services.
func (serviceList) Run(ctx context.Context, a *app) error {
	document, err := a.document(ctx)
	if err != nil {
		return err
	}
	list := []httpapi.ServiceBody{}
	for _, name := range slices.Sorted(maps.Keys(document.Services)) {
		list = append(list, httpapi.ServiceBody{Name: name, ItemVersion: document.ItemVersions["service/"+name], Service: document.Services[name]})
	}
	return a.printServices(list, list...)
}

// printServices writes value as JSON or the list as a table.
func (a *app) printServices(value any, list ...httpapi.ServiceBody) error {
	return a.print(value, func(w io.Writer) {
		row(w, "NAME", "VERSION", "PROFILE", "EXTRA PROFILES", "SLOTS", "COLD SLOTS", "COLD TIME", "CONNECTIONS")
		for _, b := range list {
			row(w, b.Name, b.ItemVersion, b.Service.Profile, strings.Join(b.Service.ExtraProfiles, ","), b.Service.Slots,
				b.Service.ColdSlots, b.Service.EffectiveColdTime(), b.Service.Connections)
		}
	})
}

type serviceDelete struct {
	Name string `arg:"" help:"Name of the service."`
	waitFlag
}

// Help implements kong.HelpProvider.
func (serviceDelete) Help() string { return examples("service delete lookup") }

// Run deletes the service unless it changes after it was read.
func (c serviceDelete) Run(ctx context.Context, a *app) error {
	body, err := a.service(ctx, c.Name)
	if err != nil {
		return err
	}
	return a.apply(ctx, config.Change{Op: config.OpDeleteService, Name: c.Name, BaseItemVersion: body.ItemVersion, CheckBase: true}, c.waitFlag)
}
