package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/operator"
	"cyclamenstream/internal/configstore"
	"cyclamenstream/internal/member"
	"cyclamenstream/internal/peerrpc"
	"cyclamenstream/internal/quarantine"
	"cyclamenstream/internal/timeline"
)

// eventsTimeout bounds the wait for the events of the peers, so that a dead node does not delay the timeline.
const eventsTimeout = 2 * time.Second

// admin implements operator.Admin.
type admin struct {
	editor     *configstore.Editor
	source     config.Source
	members    *member.Node
	quarantine *quarantine.List
	events     *timeline.Buffer
	peers      *peerrpc.Client
}

// Change implements operator.Admin.
func (a *admin) Change(ctx context.Context, c config.Change) operator.ChangeResult {
	return a.editor.Change(ctx, c)
}

// Document implements operator.Admin.
func (a *admin) Document() *config.Document { return a.source.Current() }

// Status implements operator.Admin.
func (a *admin) Status() operator.Status { return a.members.Status() }

// Quarantine implements operator.Admin.
func (a *admin) Quarantine() []operator.QuarantineEntry { return a.quarantine.List() }

// Events implements operator.Admin.
func (a *admin) Events(ctx context.Context) ([]event.Event, []string) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	var (
		mu      sync.Mutex
		lists   = [][]event.Event{a.events.Events()}
		missing []string
		wait    sync.WaitGroup
	)
	for _, m := range a.members.Members() {
		if m.VM.ID == a.members.Self().ID {
			continue
		}
		wait.Go(func() {
			events, err := a.peers.Events(ctx, m.VM)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.VM.ID)
				return
			}
			lists = append(lists, events)
		})
	}
	wait.Wait()
	slices.Sort(missing)
	return timeline.Merge(lists...), missing
}
