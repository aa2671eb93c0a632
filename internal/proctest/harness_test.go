package proctest

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/adapter/backendgrpc"
	"cyclamenstream/internal/adapter/platformgrpc"
	"cyclamenstream/internal/standin/leaf"
	standin "cyclamenstream/internal/standin/platform"
)

func TestMain(m *testing.M) {
	code := m.Run()
	Cleanup()
	os.Exit(code)
}

// observations returns a correct answer to a query of two shards and the matching log of the leaf.
func observations() Observations {
	q := Query{Caller: "c", ID: "q1", Service: "s", Payload: []byte("p1"), NonIdempotent: true}
	answer := &Answer{RequestID: "q1", Service: "s", Snapshot: "a", Verdict: Completed,
		Coverage: Coverage{Percent: 75, Total: 2, Covered: 1.5}}
	var log []leaf.Execution
	for shard, covered := range []float64{1, 0.5} {
		data := leaf.Data("s", "a", uint32(shard), q.Payload)
		answer.Results = append(answer.Results, Result{Shard: uint32(shard), Data: data, Covered: covered})
		log = append(log, leaf.Execution{ID: "call" + string(rune('0'+shard)), Service: "s", Payload: q.Payload, Shard: uint32(shard),
			Snapshot: "a", Start: time.Now(), Outcome: leaf.Done, Covered: covered, Concurrent: 1, Cold: shard == 0})
	}
	return Observations{Attempts: []Attempt{{Query: q, Verdict: Completed, Answer: answer}},
		Executions: map[string][]leaf.Execution{"l1": log}, Leaves: map[string]leaf.Config{"l1": {Slots: 2, ColdSlots: 1}},
		ShardCounts: map[snapshotKey]uint32{{"s", "a"}: 2}}
}

// Guards against checks of the invariants that do not detect a violation.
func TestViolations(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Observations, *Answer)
		want   string // a part of the violation, empty for none
	}{
		{"a correct answer", func(*Observations, *Answer) {}, ""},
		{"a result of another snapshot", func(_ *Observations, a *Answer) { a.Results[1].Data = leaf.Data("s", "b", 1, []byte("p1")) }, "has the data"},
		{"a result of another request", func(_ *Observations, a *Answer) { a.Results[1].Data = leaf.Data("s", "a", 1, []byte("p2")) }, "has the data"},
		{"an answer to another request", func(_ *Observations, a *Answer) { a.RequestID = "q2" }, "it is for request"},
		{"a share that no leaf covered", func(_ *Observations, a *Answer) { a.Results[1].Covered = 1 }, "no leaf covered"},
		{"coverage above the results", func(_ *Observations, a *Answer) { a.Coverage.Covered = 2 }, "coverage says 2 of 2"},
		{"percent rounded up", func(_ *Observations, a *Answer) { a.Coverage.Percent = 75.01 }, "coverage says 75.01%"},
		{"percent far below the results", func(_ *Observations, a *Answer) { a.Coverage.Percent = 74.98 }, "coverage says 74.98%"},
		{"nearly complete shown as complete", func(o *Observations, a *Answer) {
			o.Executions["l1"][1].Covered, a.Results[1].Covered = 1-1e-12, 1-1e-12
			a.Coverage.Covered, a.Coverage.Percent = 2-1e-12, 100
		}, "coverage says 100%"},
		{"a missing shard left out", func(_ *Observations, a *Answer) { a.Results = a.Results[:1] }, "missing [1]"},
		{"a result given twice", func(_ *Observations, a *Answer) { a.Results = append(a.Results, a.Results[1]) }, "repeated"},
		{"a snapshot that does not exist", func(_ *Observations, a *Answer) { a.Snapshot = "b" }, "does not exist"},
		{"a partial answer that did not run", func(_ *Observations, a *Answer) { a.Verdict = NotRun }, "its verdict is"},
		{"a complete answer that only may have run", func(o *Observations, a *Answer) {
			o.Executions["l1"][1].Covered, a.Results[1].Covered = 1, 1
			a.Coverage, a.Verdict = Coverage{Percent: 100, Total: 2, Covered: 2}, MayHaveRun
		}, "its verdict is"},
		{"a partial answer marked complete", func(_ *Observations, a *Answer) { complete := true; a.Coverage.Complete = &complete }, "says complete"},
		{"not run, but it ran", func(o *Observations, _ *Answer) { o.Attempts[0].Verdict = NotRun }, "but ran"},
		{"a second run of a non-idempotent request", func(o *Observations, _ *Answer) {
			repeated := o.Executions["l1"][0]
			repeated.ID = "call9"
			o.Executions["l2"] = []leaf.Execution{repeated}
			o.Leaves["l2"] = o.Leaves["l1"]
		}, "ran twice"},
		{"a second run under another payload", func(o *Observations, _ *Answer) {
			repeated, resent := o.Executions["l1"][0], o.Attempts[0]
			repeated.ID, repeated.Payload = "call9", []byte("p1 again")
			resent.Answer, resent.Verdict, resent.Query.Payload = nil, MayHaveRun, repeated.Payload
			o.Executions["l1"] = append(o.Executions["l1"], repeated)
			o.Attempts = append(o.Attempts, resent)
		}, "ran twice"},
		{"a call identifier used twice", func(o *Observations, _ *Answer) { o.Executions["l1"][1].ID = "call0" }, "call call0 ran on"},
		{"more than the cold slots", func(o *Observations, _ *Answer) { o.Executions["l1"][0].Concurrent = 2 }, "cold, had 2 calls"},
		{"more than the slots", func(o *Observations, _ *Answer) { o.Executions["l1"][1].Concurrent = 3 }, "warm, had 3 calls"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := observations()
			test.change(&o, o.Attempts[0].Answer)
			found := strings.Join(o.Violations(), "\n")
			if test.want == "" {
				qt.Assert(t, found, qt.Equals, "")
			} else {
				qt.Assert(t, strings.Contains(found, test.want), qt.IsTrue, qt.Commentf("%q", found))
			}
		})
	}
}

// byteCounter is a writer that counts the bytes written to it.
type byteCounter struct{ bytes *atomic.Int32 }

func (c byteCounter) Write(b []byte) (int, error) {
	c.bytes.Add(int32(len(b)))
	return len(b), nil
}

// Guards against proxy faults that have no effect. With them every test of a partition would pass.
func TestProxy(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer echo.Close()
	var received atomic.Int32 // number of bytes
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, io.TeeReader(c, byteCounter{&received}))
			}()
		}
	}()
	const to, readTimeout = "echo", 100 * time.Millisecond
	n := NewNetwork(t)
	n.pids[os.Getpid()] = "caller" // lets the proxy recognize connections of this process
	address := n.Proxy(to, echo.Addr().String())
	dial := func() net.Conn {
		c, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { c.Close() })
		return c
	}
	exchange := func(c net.Conn, send string) (string, error) {
		_, _ = c.Write([]byte(send))
		buffer := make([]byte, 16)
		_ = c.SetReadDeadline(time.Now().Add(readTimeout))
		size, err := c.Read(buffer)
		return string(buffer[:size]), err
	}
	open := dial()
	got, err := exchange(open, "one")
	qt.Assert(t, got, qt.Equals, "one", qt.Commentf("%v", err))

	for _, rule := range []Rule{{HoldForward: true}, {HoldBack: true}} {
		n.Set("caller", to, rule)
		_, err = exchange(open, "two")
		qt.Assert(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
		n.Heal()
		got, err = exchange(open, "")
		qt.Assert(t, got, qt.Equals, "two", qt.Commentf("bytes held back must arrive after the fault: %v", err))
	}
	// If the sender closes its socket, the bytes that it has sent still arrive. If it resets the connection, they
	// don't.
	for _, c := range []struct {
		linger   int
		received int32
	}{{-1, 1}, {0, 0}} {
		received.Store(0)
		sender := dial()
		n.Set("caller", to, Rule{HoldForward: true})
		qt.Assert(t, sender.(*net.TCPConn).SetLinger(c.linger), qt.IsNil)
		_, err = exchange(sender, "x")
		qt.Assert(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
		qt.Assert(t, sender.Close(), qt.IsNil)
		time.Sleep(readTimeout / 4)
		n.Heal()
		time.Sleep(readTimeout / 4)
		qt.Assert(t, received.Load(), qt.Equals, c.received, qt.Commentf("linger %d", c.linger))
	}
	n.Set(Any, to, Rule{Delay: readTimeout / 4})
	start := time.Now()
	got, err = exchange(open, "three")
	qt.Assert(t, got, qt.Equals, "three", qt.Commentf("%v", err))
	qt.Assert(t, time.Since(start) >= readTimeout/2, qt.IsTrue)

	n.Set(Any, to, Rule{CloseAfter: 3})
	got, err = exchange(dial(), "four")
	qt.Assert(t, got, qt.Equals, "", qt.Commentf("%v", err))
	n.Set(Any, to, Rule{Cut: true})
	_, err = exchange(open, "five")
	qt.Assert(t, err, qt.IsNotNil)
	_, err = exchange(dial(), "six")
	qt.Assert(t, err, qt.IsNotNil)
	n.Heal()
	got, err = exchange(dial(), "seven")
	qt.Assert(t, got, qt.Equals, "seven", qt.Commentf("%v", err))
}

// Guards against stand-in processes that lose their log when they are killed, ignore their control port, or keep their
// boot identifier over a restart.
func TestStandinProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := &Cluster{Network: NewNetwork(t), Leaves: map[string]*Leaf{}, t: t, dir: t.TempDir(), shardCounts: map[snapshotKey]uint32{}}
	c.Platform = startPlatform(t, c.Network)
	c.addLeaf(ThreeZones().Leaves[0])
	l, ctx := c.Leaves["l1"], context.Background()
	p, err := platformgrpc.New(c.Platform.Address)
	qt.Assert(t, err, qt.IsNil)
	defer p.Close()
	fleet, err := p.List(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fleet.VMs, qt.DeepEquals, []platform.VM{l.VM})
	c.Platform.UpdateFaults(func(f *standin.Faults) { f.LoseBefore = 1 })
	_, err = p.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, c.Platform.Counters().Failed, qt.Equals, 1)

	boots := map[string]bool{}
	call := func(id string) error {
		s, err := backendgrpc.NewDialer().Dial(ctx, l.VM.Address)
		qt.Assert(t, err, qt.IsNil)
		defer s.Close()
		r, err := s.Do(ctx, backend.Call{ID: id, Service: Service, Snapshot: FirstSnapshot, Timeout: time.Second, Attempt: &verdict.Attempt{}})
		boots[r.BootID] = true
		return err
	}
	qt.Assert(t, call("one"), qt.IsNil)
	l.Restart()
	qt.Assert(t, call("two"), qt.IsNil)
	l.UpdateFaults(func(f *leaf.Faults) { f.Refuse = true })
	qt.Assert(t, call("three"), qt.ErrorIs, backend.ErrRefused)
	log := c.Executions()["l1"]
	qt.Assert(t, log, qt.HasLen, 2)
	qt.Assert(t, log[0].ID+" "+log[1].ID, qt.Equals, "one two")
	qt.Assert(t, log[0].Outcome, qt.Equals, leaf.Done)
	qt.Assert(t, boots, qt.HasLen, 2)
	qt.Assert(t, l.State().Counters.Refused, qt.Equals, 1)
	code, err := l.Terminate(time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code, qt.Equals, 0)
}
