// Package relay replicates versioned documents between the nodes and records when each was last confirmed as the
// newest.
package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/gen/peerpb"
	"cyclamenstream/internal/configstore"

	"github.com/uber-go/tally/v4"
)

// FleetKey is the key of the list of VMs among the replicated documents. Its version is Fleet.Revision.
const FleetKey = "cyclamenstream/fleet"

// Timing of the relay.
const (
	// PollInterval is the time between two reads of a source by a watcher. The sources are the store for the
	// configuration and the inventory for the list of VMs.
	PollInterval = 500 * time.Millisecond
	// readTimeout bounds a read. Reads overlap, so that a source that takes up to this time can still confirm a
	// document.
	readTimeout = 1500 * time.Millisecond
	// fallbackAge is the age of the newest confirmation from a peer above which a node that is not a watcher reads the
	// source itself. It is half of the freshness limit of 2 s.
	fallbackAge = time.Second
	// fetchTimeout bounds the call that fetches a document from a peer.
	fetchTimeout = 2 * time.Second
	// peerWaitLimit bounds the time in which a node without a configuration waits for its peers' before it adopts the
	// store's. It is the time of three failed heartbeats of 1 s each.
	peerWaitLimit = 3 * time.Second
	// announcementTTL is how long an announced version counts after a peer last reported it. It is the lease time. A
	// version that only lost nodes held must not keep operators from changing the configuration.
	announcementTTL = 2 * time.Second
	// watchPause is the pause between two watches.
	watchPause = 200 * time.Millisecond
)

// Fetcher gets documents from peers.
type Fetcher interface {
	GetDocument(ctx context.Context, to platform.VM, request *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error)
}

// document is one replicated document. Its version never decreases.
type document struct {
	key   string
	parse func(value []byte) (version uint64, parsed any, err error)

	mu       sync.Mutex
	value    []byte
	fetching bool
	// announced is the highest version that a peer has reported, last at announcedAt.
	announced   uint64
	announcedAt time.Time
	// version, parsed and confirmed are written under mu and read without it.
	version   atomic.Uint64
	parsed    atomic.Value
	confirmed atomic.Int64 // time of the newest confirmation, in nanoseconds after Relay.epoch; 0 for none
	// peerConfirmed is the newest confirmation that a peer has reported, in the same unit.
	peerConfirmed atomic.Int64
}

// Relay holds the highest known version of each document. It is safe for concurrent use.
type Relay struct {
	store     platform.Store
	inventory platform.Inventory
	fetcher   Fetcher
	recorder  event.Recorder
	epoch     time.Time // zero point of all confirmation times on the monotonic clock, before every read

	config, fleet *document
	watching      atomic.Bool
	storeUp       atomic.Bool
	peersAsked    atomic.Bool
	storeVersion  atomic.Uint64 // version of the configuration's key in the latest read

	mu      sync.Mutex
	changed chan struct{}
	work    sync.WaitGroup
	ctx     context.Context

	reads, readErrors, fetches, corrupt tally.Counter
}

// New returns a relay without documents. The relay implements config.Source.
func New(store platform.Store, inventory platform.Inventory, fetcher Fetcher, recorder event.Recorder,
	scope tally.Scope) *Relay {
	scope = scope.SubScope("relay")
	return &Relay{
		store: store, inventory: inventory, fetcher: fetcher, recorder: recorder,
		epoch:   time.Now().Add(-time.Nanosecond),
		config:  &document{key: config.Key, parse: parseConfig},
		fleet:   &document{key: FleetKey, parse: parseFleet},
		changed: make(chan struct{}),
		reads:   scope.Counter("reads"), readErrors: scope.Counter("read_errors"),
		fetches: scope.Counter("fetches"), corrupt: scope.Counter("corrupt_documents"),
	}
}

func parseConfig(value []byte) (uint64, any, error) {
	doc, err := configstore.Decode(value)
	if err != nil {
		return 0, nil, err
	}
	return doc.Version, doc, nil
}

func parseFleet(value []byte) (uint64, any, error) {
	fleet := &platform.Fleet{}
	if err := json.Unmarshal(value, fleet); err != nil {
		return 0, nil, err
	}
	if fleet.Revision == 0 {
		return 0, nil, errors.New("list of VMs has no revision")
	}
	return fleet.Revision, fleet, nil
}

// Start reads the sources and replicates the documents until ctx ends.
func (r *Relay) Start(ctx context.Context) {
	r.ctx = ctx
	r.work.Go(func() { r.poll(ctx, r.config, r.readConfig) })
	r.work.Go(func() { r.poll(ctx, r.fleet, r.readFleet) })
	r.work.Go(func() { r.watch(ctx) })
}

// Wait returns when all work started by Start has ended.
func (r *Relay) Wait() { r.work.Wait() }

// SetWatching sets whether this node is one of those that watch the sources.
func (r *Relay) SetWatching(watching bool) { r.watching.Store(watching) }

// Current returns the newest known configuration. It returns nil before the store or a peer was read, and version 0 if
// the store is empty.
func (r *Relay) Current() *config.Document {
	doc, _ := r.config.parsed.Load().(*config.Document)
	return doc
}

// Fleet returns the newest known list of VMs, or nil before the first one was read. It must not be changed.
func (r *Relay) Fleet() *platform.Fleet {
	fleet, _ := r.fleet.parsed.Load().(*platform.Fleet)
	return fleet
}

// Changed returns a channel that is closed when the next newer document arrives.
func (r *Relay) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// StoreUp reports whether the latest read of the store succeeded.
func (r *Relay) StoreUp() bool { return r.storeUp.Load() }

// Announced returns the highest version of the configuration that a peer has reported within announcementTTL, 0 for
// none.
func (r *Relay) Announced() uint64 {
	r.config.mu.Lock()
	defer r.config.mu.Unlock()
	if time.Since(r.config.announcedAt) > announcementTTL {
		return 0
	}
	return r.config.announced
}

// Confirmed returns the times at which the configuration and the list of VMs were last confirmed as the newest, or the
// zero time for none. It takes no lock.
func (r *Relay) Confirmed() (configuration, fleet time.Time) {
	return r.confirmedAt(r.config), r.confirmedAt(r.fleet)
}

func (r *Relay) confirmedAt(d *document) time.Time {
	if offset := d.confirmed.Load(); offset > 0 {
		return r.epoch.Add(time.Duration(offset))
	}
	return time.Time{}
}

// Versions returns the versions and confirmation ages of the documents for a heartbeat.
func (r *Relay) Versions() []*peerpb.DocumentVersion {
	versions := make([]*peerpb.DocumentVersion, 0, 2)
	for _, d := range []*document{r.config, r.fleet} {
		d.mu.Lock()
		v := &peerpb.DocumentVersion{Key: d.key, Version: d.version.Load(), ConfirmedAgeMs: -1}
		if at := r.confirmedAt(d); !at.IsZero() {
			// Rounded up, so that the peer never computes a later time.
			v.ConfirmedAgeMs = int64((time.Since(at) + time.Millisecond - 1) / time.Millisecond)
		}
		d.mu.Unlock()
		versions = append(versions, v)
	}
	return versions
}

// HandleGetDocument answers a peer's GetDocument call.
func (r *Relay) HandleGetDocument(request *peerpb.GetDocumentRequest) *peerpb.GetDocumentReply {
	d := r.documentByKey(request.Key)
	if d == nil {
		return &peerpb.GetDocumentReply{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version.Load() <= request.Above {
		return &peerpb.GetDocumentReply{}
	}
	return &peerpb.GetDocumentReply{Version: d.version.Load(), Value: d.value}
}

func (d *document) hasValue(value []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return bytes.Equal(d.value, value)
}

func (r *Relay) documentByKey(key string) *document {
	switch key {
	case config.Key:
		return r.config
	case FleetKey:
		return r.fleet
	}
	return nil
}

// HandleVersions processes the versions that a peer reported. sentAt is the time the answered ping was sent. It is the
// zero time if the versions came with the peer's own ping, whose time in transit is not known.
func (r *Relay) HandleVersions(from platform.VM, sentAt time.Time, versions []*peerpb.DocumentVersion) {
	for _, v := range versions {
		d := r.documentByKey(v.Key)
		if d == nil {
			continue
		}
		var at time.Time
		if v.ConfirmedAgeMs >= 0 && !sentAt.IsZero() {
			at = sentAt.Add(-time.Duration(v.ConfirmedAgeMs) * time.Millisecond)
		}
		if d.version.Load() >= v.Version {
			r.confirm(d, v.Version, at, false)
			continue
		}
		r.fetch(d, from, v.Version, at)
	}
}

// confirm records that at the given time no version above the given one existed.
func (r *Relay) confirm(d *document, version uint64, at time.Time, ownRead bool) {
	offset := int64(at.Sub(r.epoch))
	if at.IsZero() || offset <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !ownRead {
		d.peerConfirmed.Store(max(d.peerConfirmed.Load(), offset))
	}
	if version <= d.version.Load() && d.version.Load() > 0 && offset > d.confirmed.Load() {
		d.confirmed.Store(offset)
	}
}

// fetch records the announced version and gets the document from the peer, unless a fetch of the document is running.
func (r *Relay) fetch(d *document, from platform.VM, version uint64, confirmed time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version >= d.announced || time.Since(d.announcedAt) > announcementTTL {
		d.announced, d.announcedAt = version, time.Now()
	}
	if d.fetching || r.ctx == nil || r.ctx.Err() != nil {
		return
	}
	d.fetching = true
	r.work.Go(func() {
		r.fetches.Inc(1)
		ctx, cancel := context.WithTimeout(r.ctx, fetchTimeout)
		defer cancel()
		reply, err := r.fetcher.GetDocument(ctx, from, &peerpb.GetDocumentRequest{Key: d.key, Above: d.version.Load()})
		d.mu.Lock()
		d.fetching = false
		d.mu.Unlock()
		if err == nil && reply.Version > 0 {
			r.adopt(d, reply.Version, reply.Value)
			r.confirm(d, version, confirmed, false)
		}
	})
}

// adopt replaces the document's value if the new one is a valid document of the stated version and newer.
func (r *Relay) adopt(d *document, version uint64, value []byte) error {
	parsedVersion, parsed, err := d.parse(value)
	if err == nil && parsedVersion != version {
		err = fmt.Errorf("%s has version %d but was announced as version %d", d.key, parsedVersion, version)
	}
	if err != nil {
		r.corrupt.Inc(1)
		return err
	}
	d.mu.Lock()
	newer := version > d.version.Load()
	if newer {
		d.value = value
		d.parsed.Store(parsed)
		d.version.Store(version)
	}
	d.mu.Unlock()
	if newer {
		r.notify(d, version)
	}
	return nil
}

func (r *Relay) notify(d *document, version uint64) {
	kind := event.ConfigApplied
	if d == r.fleet {
		kind = event.FleetApplied
	}
	r.recorder.Record(event.Event{Kind: kind, Detail: strconv.FormatUint(version, 10)})
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Adopt makes a configuration from the store the current one if it is newer than the held one.
func (r *Relay) Adopt(doc *config.Document) {
	if value, err := configstore.Encode(doc); err == nil {
		_ = r.adopt(r.config, doc.Version, value) // A document that the editor has just built is valid.
	}
}

// poll reads a source at each interval while this node is a watcher or the newest confirmation from a peer is old. It
// does not wait until its own confirmation is old, as the result of a slow read would then come too late.
func (r *Relay) poll(ctx context.Context, d *document, read func(context.Context) error) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		peerConfirmed := d.peerConfirmed.Load()
		if r.watching.Load() || peerConfirmed == 0 || time.Since(r.epoch.Add(time.Duration(peerConfirmed))) > fallbackAge {
			r.work.Go(func() { r.readOnce(ctx, d, read) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) readOnce(ctx context.Context, d *document, read func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r.reads.Inc(1)
	err := read(ctx)
	if err != nil {
		r.readErrors.Inc(1)
	}
	if d == r.config && ctx.Err() != context.Canceled {
		r.setStoreUp(err == nil)
	}
}

func (r *Relay) setStoreUp(up bool) {
	if r.storeUp.Swap(up) == up {
		return
	}
	kind := event.StoreDown
	if up {
		kind = event.StoreUp
	}
	r.recorder.Record(event.Event{Kind: kind})
}

// readConfig reads the configuration from the store. If the store returns an older version than the held one, it has
// lost writes and confirms nothing.
func (r *Relay) readConfig(ctx context.Context) error {
	began := time.Now()
	entry, err := r.store.Get(ctx, config.Key)
	if err != nil {
		return err
	}
	return r.handleConfigEntry(entry, began)
}

func (r *Relay) handleConfigEntry(entry platform.Entry, began time.Time) error {
	r.storeVersion.Store(entry.Version)
	if entry.Version == 0 {
		// An empty store counts as an empty configuration, so that operators can make the first change. It confirms
		// nothing, because the store may have lost its writes.
		r.config.parsed.CompareAndSwap(nil, &config.Document{})
		return nil
	}
	if r.config.hasValue(entry.Value) {
		r.confirm(r.config, r.config.version.Load(), began, true)
		return nil
	}
	version, _, err := parseConfig(entry.Value)
	if err != nil {
		r.corrupt.Inc(1)
		return err
	}
	if r.mustAwaitPeers(version) {
		return nil
	}
	if err := r.adopt(r.config, version, entry.Value); err != nil {
		return err
	}
	if version == r.config.version.Load() {
		r.confirm(r.config, version, began, true)
	}
	return nil
}

// MarkPeersAsked records that every listed node was asked for its documents' versions and has answered or failed to.
func (r *Relay) MarkPeersAsked() { r.peersAsked.Store(true) }

// mustAwaitPeers reports whether a node that has just started must not adopt this version from the store yet. The store
// may have been set back to an older state while the peers hold the accepted version.
func (r *Relay) mustAwaitPeers(version uint64) bool {
	if r.config.version.Load() > 0 || time.Since(r.epoch) > peerWaitLimit {
		return false
	}
	return !r.peersAsked.Load() || r.Announced() > version
}

func (r *Relay) readFleet(ctx context.Context) error {
	began := time.Now()
	fleet, err := r.inventory.List(ctx)
	if err != nil {
		return err
	}
	if fleet.Revision > r.fleet.version.Load() {
		value, err := json.Marshal(fleet)
		if err != nil {
			return err
		}
		if err := r.adopt(r.fleet, fleet.Revision, value); err != nil {
			return err
		}
	}
	if fleet.Revision == r.fleet.version.Load() {
		r.confirm(r.fleet, fleet.Revision, began, true)
	}
	return nil
}

// watch waits for newer configurations while this node is a watcher, so that they arrive before the next poll.
func (r *Relay) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if r.watching.Load() {
			r.watchOnce(ctx)
		}
		timer := time.NewTimer(watchPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// watchOnce waits at most fetchTimeout, so that the next watch starts from the current version of a store that was
// restored to older versions.
func (r *Relay) watchOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	entry, err := r.store.Watch(ctx, config.Key, r.storeVersion.Load())
	if err == nil {
		// A watch confirms nothing, because it is not known when the store read the value.
		_ = r.handleConfigEntry(entry, time.Time{})
	}
}
