// Package storetest checks that an implementation of platform.Store satisfies the interface's contract, also under
// faults.
package storetest

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"
	standin "cyclamenstream/internal/standin/platform"
)

// Fixture is a store under test and the stand-in platform behind it.
type Fixture struct {
	Store    platform.Store
	Platform *standin.Platform
}

// callTimeout bounds a call that must fail. slack is far above a loopback round trip and below callTimeout. pause is
// long enough to tell a wait from an immediate return.
const (
	callTimeout = 400 * time.Millisecond
	slack       = 200 * time.Millisecond
	pause       = 60 * time.Millisecond
)

const key = "contract/key"

type check struct {
	*qt.C
	Fixture
	ctx context.Context
}

// Run tests the contract. newFixture returns a new, empty store for each case.
func Run(t *testing.T, newFixture func(t *testing.T) Fixture) {
	cases := []struct {
		name string
		run  func(check)
	}{
		{"a missing key has version 0", missing},
		{"a write is read back with a higher version", readBack},
		{"a conflict writes nothing", conflict},
		{"one of several concurrent writers wins", race},
		{"a value that is too large is not written", tooLarge},
		{"returned and written values are not shared", notShared},
		{"a watch returns a newer version at once", watchNewer},
		{"a watch waits for a write", watchWaits},
		{"a watch ends with its context", watchEnds},
		{"an answer lost after the write is not a definite error", lostAfter},
		{"a call lost before its effect writes nothing", lostBefore},
		{"a store that is down writes nothing and comes back", down},
		{"a call to a store that hangs ends in time", hang},
		{"a write may take effect after its caller gave up", lateWrite},
		{"repeated conflicts keep the value", repeatedConflicts},
		{"a stale read gives an older value, a write needs the newest version", stale},
		{"a key comes back with an older version", rollback},
		{"calls above the rate are not run", rateLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			c.run(check{qt.New(t), newFixture(t), ctx})
		})
	}
}

// nothingWritten reports whether err guarantees that nothing was written.
func nothingWritten(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrTooLarge) || errors.Is(err, platform.ErrNotSent)
}

func (c check) put(expected uint64, value string) uint64 {
	version, err := c.Store.CompareAndSwap(c.ctx, key, expected, []byte(value))
	c.Assert(err, qt.IsNil)
	c.Assert(version > expected, qt.IsTrue)
	return version
}

func (c check) wantEntry(version uint64, value string) {
	c.Helper()
	e, err := c.Store.Get(c.ctx, key)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Version, qt.Equals, version)
	c.Assert(string(e.Value), qt.Equals, value)
}

// shortContext returns a context for calls that must fail within callTimeout.
func (c check) shortContext() context.Context {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	c.Cleanup(cancel)
	return ctx
}

func missing(c check) { c.wantEntry(0, "") }

func readBack(c check) {
	first := c.put(0, "one")
	c.wantEntry(first, "one")
	c.wantEntry(c.put(first, "two"), "two")
}

func conflict(c check) {
	first := c.put(0, "one")
	for _, expected := range []uint64{0, first + 1, first + 100} {
		_, err := c.Store.CompareAndSwap(c.ctx, key, expected, []byte("other"))
		c.Assert(err, qt.ErrorIs, platform.ErrConflict)
	}
	c.wantEntry(first, "one")
}

func race(c check) {
	const writers = 16
	var won, lost atomic.Int32
	var g errgroup.Group
	for i := range writers {
		g.Go(func() error {
			_, err := c.Store.CompareAndSwap(c.ctx, key, 0, []byte{byte(i)})
			switch {
			case err == nil:
				won.Add(1)
			case errors.Is(err, platform.ErrConflict):
				lost.Add(1)
			default:
				return err
			}
			return nil
		})
	}
	c.Assert(g.Wait(), qt.IsNil)
	c.Assert(won.Load(), qt.Equals, int32(1))
	c.Assert(lost.Load(), qt.Equals, int32(writers-1))
}

func tooLarge(c check) {
	_, err := c.Store.CompareAndSwap(c.ctx, key, 0, make([]byte, platform.MaxValueBytes+1))
	c.Assert(err, qt.ErrorIs, platform.ErrTooLarge)
	c.wantEntry(0, "")
	_, err = c.Store.CompareAndSwap(c.ctx, key, 0, make([]byte, platform.MaxValueBytes))
	c.Assert(err, qt.IsNil)
	e, err := c.Store.Get(c.ctx, key)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Value, qt.HasLen, platform.MaxValueBytes)
}

func notShared(c check) {
	value := []byte("one")
	version, err := c.Store.CompareAndSwap(c.ctx, key, 0, value)
	c.Assert(err, qt.IsNil)
	value[0] = 'x'
	e, err := c.Store.Get(c.ctx, key)
	c.Assert(err, qt.IsNil)
	e.Value[1] = 'x'
	c.wantEntry(version, "one")
}

func watchNewer(c check) {
	version := c.put(0, "one")
	e, err := c.Store.Watch(c.ctx, key, version-1)
	c.Assert(err, qt.IsNil)
	c.Assert(e, qt.DeepEquals, platform.Entry{Key: key, Value: []byte("one"), Version: version})
}

func watchWaits(c check) {
	version := c.put(0, "one")
	start := time.Now()
	time.AfterFunc(pause, func() { _, _ = c.Store.CompareAndSwap(c.ctx, key, version, []byte("two")) })
	e, err := c.Store.Watch(c.ctx, key, version)
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.Value), qt.Equals, "two")
	c.Assert(e.Version > version, qt.IsTrue)
	c.Assert(time.Since(start) >= pause, qt.IsTrue)
	c.Assert(time.Since(start) < pause+slack, qt.IsTrue)
}

func watchEnds(c check) {
	version := c.put(0, "one")
	ctx, cancel := context.WithTimeout(c.ctx, pause)
	defer cancel()
	_, err := c.Store.Watch(ctx, key, version)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	ctx, cancel = context.WithCancel(c.ctx)
	time.AfterFunc(pause, cancel)
	_, err = c.Store.Watch(ctx, key, version)
	c.Assert(err, qt.ErrorIs, context.Canceled)
}

func lostAfter(c check) {
	version := c.put(0, "one")
	c.Platform.Update(func(f *standin.Faults) { f.LoseAfter = 1 })
	_, err := c.Store.CompareAndSwap(c.shortContext(), key, version, []byte("two"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(nothingWritten(err), qt.IsFalse, qt.Commentf("%v", err))
	c.wantEntry(version+1, "two")
	_, err = c.Store.CompareAndSwap(c.ctx, key, version, []byte("two"))
	c.Assert(err, qt.ErrorIs, platform.ErrConflict)
}

func lostBefore(c check) {
	version := c.put(0, "one")
	c.Platform.Update(func(f *standin.Faults) { f.LoseBefore = 1 })
	_, err := c.Store.CompareAndSwap(c.shortContext(), key, version, []byte("two"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(nothingWritten(err), qt.IsFalse, qt.Commentf("%v", err))
	c.wantEntry(version, "one")
}

func down(c check) {
	version := c.put(0, "one")
	c.Platform.Update(func(f *standin.Faults) { f.Down = true })
	start := time.Now()
	_, err := c.Store.CompareAndSwap(c.shortContext(), key, version, []byte("two"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(errors.Is(err, platform.ErrConflict), qt.IsFalse)
	_, err = c.Store.Get(c.shortContext(), key)
	c.Assert(err, qt.IsNotNil)
	_, err = c.Store.Watch(c.shortContext(), key, version)
	c.Assert(err, qt.IsNotNil)
	c.Assert(time.Since(start) < 3*callTimeout+slack, qt.IsTrue)
	c.Platform.Update(func(f *standin.Faults) { f.Down = false })
	for {
		e, err := c.Store.Get(c.ctx, key)
		if err == nil {
			c.Assert(e.Version, qt.Equals, version)
			return
		}
		c.Assert(c.ctx.Err(), qt.IsNil, qt.Commentf("the store did not recover: %v", err))
		time.Sleep(pause)
	}
}

func hang(c check) {
	version := c.put(0, "one")
	c.Platform.Update(func(f *standin.Faults) { f.Hang = true })
	start := time.Now()
	_, err := c.Store.CompareAndSwap(c.shortContext(), key, version, []byte("two"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(nothingWritten(err), qt.IsFalse, qt.Commentf("%v", err))
	c.Assert(time.Since(start) < callTimeout+slack, qt.IsTrue)
	_, err = c.Store.Get(c.shortContext(), key)
	c.Assert(err, qt.IsNotNil)
}

func lateWrite(c check) {
	version := c.put(0, "one")
	c.Platform.Update(func(f *standin.Faults) { f.Delay, f.LateWrites = config.Duration(2*pause), true })
	ctx, cancel := context.WithTimeout(c.ctx, pause)
	defer cancel()
	_, err := c.Store.CompareAndSwap(ctx, key, version, []byte("two"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(nothingWritten(err), qt.IsFalse, qt.Commentf("%v", err))
	time.Sleep(slack)
	c.wantEntry(version+1, "two")
}

func repeatedConflicts(c check) {
	version := c.put(0, "one")
	const conflicts = 3
	c.Platform.Update(func(f *standin.Faults) { f.Conflicts = conflicts })
	for range conflicts {
		_, err := c.Store.CompareAndSwap(c.ctx, key, version, []byte("two"))
		c.Assert(err, qt.ErrorIs, platform.ErrConflict)
		e, err := c.Store.Get(c.ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(string(e.Value), qt.Equals, "one")
		c.Assert(e.Version > version, qt.IsTrue)
		version = e.Version
	}
	c.put(version, "two")
}

func stale(c check) {
	version, value := c.put(0, "0"), "0"
	c.Platform.Update(func(f *standin.Faults) { f.StaleBy = config.Duration(pause / 2) })
	for i := 1; ; i++ {
		time.Sleep(pause)
		began, newValue := time.Now(), fmt.Sprint(i)
		newest := c.put(version, newValue)
		e, err := c.Store.Get(c.ctx, key)
		c.Assert(err, qt.IsNil)
		if time.Since(began) >= pause/2 {
			// This process was held up, so that the newest value may be visible already.
			version, value = newest, newValue
			continue
		}
		c.Assert(e.Version, qt.Equals, version)
		c.Assert(string(e.Value), qt.Equals, value)
		_, err = c.Store.CompareAndSwap(c.ctx, key, version, []byte("other"))
		c.Assert(err, qt.ErrorIs, platform.ErrConflict)
		time.Sleep(pause)
		c.wantEntry(newest, newValue)
		return
	}
}

func rollback(c check) {
	first := c.put(0, "one")
	c.put(first, "two")
	c.Assert(c.Platform.Rollback(key, 1), qt.IsTrue)
	c.wantEntry(first, "one")
	c.put(first, "three")
}

func rateLimit(c check) {
	const limit = 3
	c.Platform.Update(func(f *standin.Faults) { f.WritesPerSecond = limit })
	var version uint64
	refused := 0
	for range 2 * limit {
		v, err := c.Store.CompareAndSwap(c.ctx, key, version, []byte("value"))
		if err != nil {
			refused++
			continue
		}
		version = v
	}
	c.Assert(refused >= 1, qt.IsTrue)
	e, err := c.Store.Get(c.ctx, key)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Version, qt.Equals, version)
}
