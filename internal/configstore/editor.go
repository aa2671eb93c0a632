package configstore

import (
	"context"
	"errors"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/platform"
)

// Time limits of an Editor.
const (
	// storeTimeout bounds one call, so that a lost response leaves time to read back.
	storeTimeout = time.Second
	// changeTimeout bounds a whole change.
	changeTimeout = 10 * time.Second
	firstBackoff  = 20 * time.Millisecond
	maxBackoff    = 500 * time.Millisecond
)

// DocumentCache is what an Editor needs to know of the documents on the nodes. Package relay implements it.
type DocumentCache interface {
	// Current returns the newest document that the node holds; nil if none.
	Current() *config.Document
	// Adopt takes in a document that is in the store.
	Adopt(doc *config.Document)
	// Announced returns the highest version that a peer has told of.
	Announced() uint64
}

// Editor applies operators' changes to the document in the store. It is safe for concurrent use.
type Editor struct {
	store    platform.Store
	docs     DocumentCache
	majority func() bool
	vmKnown  func(vm string) bool
	events   event.Recorder
}

// NewEditor returns an editor. majority reports whether the node hears from a majority of the members; vmKnown reports
// whether a VM is in the list of VMs and may be nil.
func NewEditor(store platform.Store, docs DocumentCache, majority func() bool, vmKnown func(string) bool,
	events event.Recorder) *Editor {
	return &Editor{store: store, docs: docs, majority: majority, vmKnown: vmKnown, events: events}
}

// attempt is one change under way.
type attempt struct {
	*Editor
	change config.Change
	// unclear is set once a write may have taken effect without a response. unclearStore is the store version that the
	// latest such write expected, unclearBase the document version below it.
	unclear      bool
	unclearStore uint64
	unclearBase  uint64
	// lostWrites is set once the store came back with an older state after an unclear write: a node may hold the
	// written document and restore it.
	lostWrites bool
}

// Change applies the change. Accepted and Rejected, Conflict and Unavailable are certain; every doubt is Unresolved.
func (e *Editor) Change(ctx context.Context, change config.Change) operator.ChangeResult {
	if !e.majority() {
		return operator.ChangeResult{Outcome: operator.Unavailable, BaseItemVersion: change.BaseItemVersion,
			Message: "this node does not hear from a majority of the members"}
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	run := &attempt{Editor: e, change: change}
	result := run.loop(ctx)
	result.BaseItemVersion = change.BaseItemVersion
	if result.Outcome == operator.Accepted {
		e.events.Record(event.Event{Kind: event.ConfigAccepted, Detail: ItemKey(change) + " " + change.ID})
	}
	return result
}

func (r *attempt) loop(ctx context.Context) operator.ChangeResult {
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		result, err := r.step(ctx)
		if err == nil {
			return result
		}
		if !sleep(ctx, backoff) {
			return r.giveUp(ctx, err)
		}
	}
}

// step reads the document and tries one write. A nil error means that the result is final.
func (r *attempt) step(ctx context.Context) (operator.ChangeResult, error) {
	entry, doc, err := r.read(ctx)
	if err != nil {
		return operator.ChangeResult{}, err
	}
	r.lostWrites = r.lostWrites || r.unclear && entry.Version < r.unclearStore
	if held := r.docs.Current(); held != nil && held.Version > doc.Version {
		return operator.ChangeResult{}, r.restore(ctx, entry, held)
	}
	if r.docs.Announced() > doc.Version {
		return operator.ChangeResult{}, errors.New("a peer holds a newer document than the store")
	}
	if record, found := FindChange(doc, r.change.ID); found {
		return r.recorded(record), nil
	}
	if err := r.settle(entry, doc); err != nil {
		return operator.ChangeResult{Outcome: operator.Unresolved, Message: err.Error()}, nil
	}
	return r.write(ctx, entry, doc)
}

// recorded returns the result of a change whose identifier is in the history.
func (r *attempt) recorded(record config.ChangeRecord) operator.ChangeResult {
	if item := ItemKey(r.change); record.Item != item {
		return operator.ChangeResult{Outcome: operator.Rejected,
			Message: Invalid.New("change identifier %q of %s was used for %s", record.ID, item, record.Item).Error()}
	}
	return operator.ChangeResult{Outcome: operator.Accepted, Version: record.Version}
}

// settle decides what became of an unclear write whose change is not in the document's history.
func (r *attempt) settle(entry platform.Entry, doc *config.Document) error {
	if !r.unclear || r.lostWrites || entry.Version <= r.unclearStore {
		return nil // Still possible: a repeated write expects the same store version, so only one of them can succeed.
	}
	if doc.Version > r.unclearBase+config.MaxHistory {
		return errors.New("the history no longer reaches back to the write whose response was lost")
	}
	r.unclear = false
	return nil
}

func (r *attempt) write(ctx context.Context, entry platform.Entry, doc *config.Document) (operator.ChangeResult, error) {
	next, err := Apply(doc, r.change, r.vmKnown)
	if err != nil {
		return r.refuse(err), nil
	}
	value, err := Encode(next)
	if err != nil {
		return r.refuse(err), nil
	}
	if tooLarge(value) {
		return r.refuse(platform.ErrTooLarge), nil
	}
	err = r.swap(ctx, entry.Version, value)
	switch {
	case err == nil:
		r.docs.Adopt(next)
		return operator.ChangeResult{Outcome: operator.Accepted, Version: next.Version}, nil
	case errors.Is(err, platform.ErrTooLarge):
		return r.refuse(err), nil
	case !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotSent):
		r.unclear, r.unclearStore, r.unclearBase = true, entry.Version, doc.Version
	}
	return operator.ChangeResult{}, err
}

// refuse returns the result of a change that breaks a rule or meets a conflict.
func (r *attempt) refuse(err error) operator.ChangeResult {
	if r.unclear {
		return operator.ChangeResult{Outcome: operator.Unresolved, Message: err.Error()}
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return operator.ChangeResult{Outcome: operator.Conflict, ItemVersion: conflict.Current, Message: err.Error()}
	}
	return operator.ChangeResult{Outcome: operator.Rejected, Message: err.Error()}
}

// giveUp makes a last attempt to resolve a lost response, outside the caller's time.
func (r *attempt) giveUp(ctx context.Context, cause error) operator.ChangeResult {
	if !r.unclear {
		return operator.ChangeResult{Outcome: operator.Unavailable, Message: cause.Error()}
	}
	_, doc, err := r.read(context.WithoutCancel(ctx))
	held := r.docs.Current()
	if err == nil && (held == nil || held.Version <= doc.Version) {
		if record, found := FindChange(doc, r.change.ID); found {
			return r.recorded(record)
		}
	}
	return operator.ChangeResult{Outcome: operator.Unresolved, Message: cause.Error()}
}

// read returns the document in the store, an empty one if there is none. A corrupt value is an error and is never
// written over: it may be a newer document that was damaged on the way. Once the key is deleted, the newest known
// document is restored.
func (r *attempt) read(ctx context.Context) (platform.Entry, *config.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.store.Get(ctx, config.Key)
	if err != nil {
		return entry, nil, err
	}
	if entry.Version == 0 {
		return entry, &config.Document{}, nil
	}
	doc, err := Decode(entry.Value)
	if err == nil {
		r.docs.Adopt(doc) // If the store loses it afterwards, it must be restored.
	}
	return entry, doc, err
}

// restore writes the newest known document over an older one. It always returns an error: the caller reads again.
func (r *attempt) restore(ctx context.Context, entry platform.Entry, held *config.Document) error {
	value, err := Encode(held)
	if err != nil {
		return err
	}
	if err := r.swap(ctx, entry.Version, value); err != nil {
		return err
	}
	return errors.New("the store held an older document; the newest was restored")
}

func (r *attempt) swap(ctx context.Context, expected uint64, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := r.store.CompareAndSwap(ctx, config.Key, expected, value)
	return err
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
