package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/gen/peerpb"
	"cyclamenstream/internal/configstore"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

var errUnreachable = errors.New("down")

// source is a fake of the platform and of the peer that documents are fetched from.
type source struct {
	mu          sync.Mutex
	unreachable bool
	delay       time.Duration // of each read
	value       []byte
	fleet       platform.Fleet
	reads       int
	peerReply   *peerpb.GetDocumentReply
}

func (s *source) read() error {
	s.mu.Lock()
	s.reads++
	unreachable, delay := s.unreachable, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if unreachable {
		return errUnreachable
	}
	return nil
}

func (s *source) Get(context.Context, string) (platform.Entry, error) {
	if err := s.read(); err != nil {
		return platform.Entry{}, err
	}
	return platform.Entry{Value: s.value, Version: 1}, nil
}

func (s *source) CompareAndSwap(context.Context, string, uint64, []byte) (uint64, error) {
	return 0, errUnreachable
}

func (s *source) Watch(ctx context.Context, _ string, _ uint64) (platform.Entry, error) {
	<-ctx.Done()
	return platform.Entry{}, ctx.Err()
}

func (s *source) List(context.Context) (platform.Fleet, error) { return s.fleet, s.read() }

func (s *source) GetDocument(context.Context, platform.VM, *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error) {
	time.Sleep(10 * time.Millisecond)
	return s.peerReply, nil
}

// encodedConfig returns the encoded configuration of the given version.
func encodedConfig(version int) []byte {
	doc := &config.Document{}
	for i := range version {
		doc, _ = configstore.Apply(doc, config.Change{ID: fmt.Sprint(i), Op: config.OpZoneOut, Name: "z1"}, nil)
	}
	value, _ := configstore.Encode(doc)
	return value
}

func report(version uint64, age int64) []*peerpb.DocumentVersion {
	return []*peerpb.DocumentVersion{{Key: config.Key, Version: version, ConfirmedAgeMs: age}}
}

// Guards against a confirmation that is taken over from a peer with a newer document, or for a time that is too late.
// Also guards against documents from peers or the store that are older, corrupt or not what was announced.
func TestVersionsAndConfirmations(t *testing.T) {
	const held = 5
	tests := []struct {
		name    string
		act     func(r *Relay, s *source, sent time.Time)
		version uint64
		// confirmedAfter is the confirmation relative to the read that confirmed the held version.
		confirmedAfter time.Duration
	}{
		{"same version", func(r *Relay, _ *source, sent time.Time) { r.HandleVersions(platform.VM{}, sent, report(held, 100)) }, held, 900 * time.Millisecond},
		{"older version of the peer", func(r *Relay, _ *source, sent time.Time) { r.HandleVersions(platform.VM{}, sent, report(held-1, 0)) }, held, time.Second},
		{"older confirmation", func(r *Relay, _ *source, sent time.Time) { r.HandleVersions(platform.VM{}, sent, report(held, 3000)) }, held, 0},
		{"no confirmation", func(r *Relay, _ *source, sent time.Time) { r.HandleVersions(platform.VM{}, sent, report(held, -1)) }, held, 0},
		{"ping of the peer", func(r *Relay, _ *source, _ time.Time) { r.HandleVersions(platform.VM{}, time.Time{}, report(held, 0)) }, held, 0},
		{"newer, fetched", func(r *Relay, s *source, sent time.Time) {
			s.peerReply = &peerpb.GetDocumentReply{Version: 7, Value: encodedConfig(7)}
			r.HandleVersions(platform.VM{}, sent, report(7, 200))
		}, 7, 800 * time.Millisecond},
		{"newer, peer answers with a version between", func(r *Relay, s *source, sent time.Time) {
			s.peerReply = &peerpb.GetDocumentReply{Version: 6, Value: encodedConfig(6)}
			r.HandleVersions(platform.VM{}, sent, report(7, 0))
		}, 6, 0},
		{"newer, corrupt", func(r *Relay, s *source, sent time.Time) {
			s.peerReply = &peerpb.GetDocumentReply{Version: 7, Value: []byte("{}")}
			r.HandleVersions(platform.VM{}, sent, report(7, 0))
		}, held, 0},
		{"newer, not as announced", func(r *Relay, s *source, sent time.Time) {
			s.peerReply = &peerpb.GetDocumentReply{Version: 9, Value: encodedConfig(7)}
			r.HandleVersions(platform.VM{}, sent, report(9, 0))
		}, held, 0},
		{"store returns an older value", func(r *Relay, s *source, _ time.Time) {
			s.value = encodedConfig(4)
			_ = r.readConfig(context.Background())
		}, held, 0},
		{"watch returns a newer value", func(r *Relay, _ *source, _ time.Time) {
			_ = r.handleConfigEntry(platform.Entry{Value: encodedConfig(6), Version: 6}, time.Time{})
		}, 6, 0},
		{"store returns garbage", func(r *Relay, s *source, _ time.Time) {
			s.value = []byte("{")
			_ = r.readConfig(context.Background())
		}, held, 0},
		{"store returns the same after a slow read", func(r *Relay, s *source, _ time.Time) {
			s.delay = time.Second
			_ = r.readConfig(context.Background())
		}, held, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &source{value: encodedConfig(held)}
				r := New(s, s, s, event.Discard{}, tally.NoopScope)
				ctx, cancel := context.WithCancel(t.Context())
				r.ctx = ctx
				r.MarkPeersAsked()
				began := time.Now()
				qt.Assert(t, r.readConfig(ctx), qt.IsNil)
				time.Sleep(time.Second)
				test.act(r, s, time.Now())
				time.Sleep(time.Second)
				cancel()
				r.Wait()
				qt.Assert(t, r.Current().Version, qt.Equals, test.version)
				confirmed, _ := r.Confirmed()
				qt.Assert(t, confirmed.Sub(began), qt.Equals, test.confirmedAfter)
			})
		})
	}
}

// Guards against a node that stays without a confirmation because no watcher's reports reach it or its source is slow.
// Also guards against one that reads the sources although a peer confirms its documents.
func TestReadsTheSourceWhenNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{value: encodedConfig(3), fleet: platform.Fleet{Revision: 2}, delay: 600 * time.Millisecond}
		r := New(s, s, s, event.Discard{}, tally.NoopScope)
		ctx, cancel := context.WithCancel(t.Context())
		r.Start(ctx)
		r.MarkPeersAsked()
		r.MarkPeersAsked()
		time.Sleep(2 * time.Second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			configuration, fleet := r.Confirmed()
			qt.Assert(t, time.Since(configuration) <= 2*time.Second && time.Since(fleet) <= 2*time.Second, qt.IsTrue)
		}
		time.Sleep(2 * time.Second)
		reads := 0
		for i := range 20 {
			r.HandleVersions(platform.VM{}, time.Now(), append(report(3, 0), &peerpb.DocumentVersion{Key: FleetKey, Version: 2}))
			if i == 10 {
				reads = s.reads
			}
			time.Sleep(250 * time.Millisecond)
		}
		qt.Assert(t, s.reads, qt.Equals, reads)
		qt.Assert(t, r.StoreUp(), qt.IsTrue)
		s.mu.Lock()
		s.unreachable = true
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		qt.Assert(t, r.StoreUp(), qt.IsFalse)
		qt.Assert(t, r.Current().Version, qt.Equals, uint64(3))
		cancel()
		r.Wait()
	})
}

// Guards against a restarted node that adopts an older configuration from a store that has lost writes, although its
// peers hold the accepted one. Also guards against a node that waits for dead peers for ever.
func TestStartTakesTheHighestVersion(t *testing.T) {
	tests := []struct {
		name  string
		peers func(r *Relay)
		want  uint64
		limit time.Duration
	}{
		{"peer holds a newer one", func(r *Relay) { r.HandleVersions(platform.VM{}, time.Now(), report(7, 0)); r.MarkPeersAsked() }, 7, 100 * time.Millisecond},
		{"peers hold none", func(r *Relay) { r.MarkPeersAsked() }, 3, 2 * PollInterval},
		{"no answer from the peers", func(*Relay) {}, 3, peerWaitLimit + PollInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &source{value: encodedConfig(3), fleet: platform.Fleet{Revision: 1}, peerReply: &peerpb.GetDocumentReply{Version: 7, Value: encodedConfig(7)}}
				r := New(s, s, s, event.Discard{}, tally.NoopScope)
				ctx, cancel := context.WithCancel(t.Context())
				r.Start(ctx)
				time.Sleep(50 * time.Millisecond)
				qt.Check(t, r.Current(), qt.IsNil)
				test.peers(r)
				time.Sleep(test.limit)
				qt.Check(t, r.Current().Version, qt.Equals, test.want)
				cancel()
				r.Wait()
			})
		})
	}
}
