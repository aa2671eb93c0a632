package main

import (
	"sync"
	"time"
)

func init() { cases["cold"] = coldCase }

const (
	// warmupRate is the number of requests a second that a cold leaf tolerates. With the overage of 1.5 and the slack of 5
	// that the sheets state, a cold leaf may get coldLimit requests in one second.
	warmupRate = 20
	coldLimit  = warmupRate*1.5 + 5
	warmup     = 3 * time.Second
	// downTime is how long the leaves are down after a crash. crashes and crashInterval say how often they crash.
	downTime      = 2 * time.Second
	crashes       = 3
	crashInterval = 8 * time.Second
)

// coldCase: all leaves of a service crash at the same moment, and start again under their identifiers, cold.
func coldCase(e *Env) (int, error) {
	leaves, err := e.AddLeaves("permits", 3, 10*time.Millisecond)
	if err != nil {
		return 0, err
	}
	for _, l := range leaves {
		l.KeepID, l.Warmup, l.CrashFor = true, warmup, downTime
	}
	e.Configure(2, warmupRate, Route{"/permits/", "safe", "permits", 3000, 300, 2})
	if err := e.AddNodes(3); err != nil {
		return 0, err
	}
	time.Sleep(contact + time.Second)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	end := time.Now().Add(30 * time.Second)
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Go(func() {
			c, n := NewClient(e.Recorder), e.Nodes[i%3]
			ticker := time.NewTicker(80 * time.Millisecond)
			defer ticker.Stop()
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			for time.Now().Before(end) {
				a := c.Send(n, "GET", "/permits/"+time.Now().Format("150405.000000"), nil, 3*time.Second)
				mu.Lock()
				sent[a.ID] = a.SentAt
				mu.Unlock()
				<-ticker.C
			}
		})
	}
	time.Sleep(3 * time.Second)
	if e.Trouble {
		for range crashes {
			for _, l := range leaves {
				l.Crash()
			}
			time.Sleep(crashInterval)
		}
	}
	clients.Wait()
	most := 0
	for _, l := range leaves {
		for _, start := range l.Starts()[1:] {
			most = max(most, mostInASecond(l.Runs(), sent, start))
		}
	}
	e.Say("a cold leaf got at most %d requests in one second; the limit is %v", most, coldLimit)
	if float64(most) > coldLimit {
		return broken, nil
	}
	return held, nil
}

// mostInASecond returns the largest number of requests that were sent and arrived at a leaf within a second while the leaf
// was cold after its start.
func mostInASecond(runs []Run, sent map[string]time.Time, start time.Time) int {
	var cold []Run
	for _, run := range runs {
		if run.At.After(start) && run.At.Before(start.Add(warmup)) {
			cold = append(cold, run)
		}
	}
	most := 0
	for _, first := range cold {
		begin, count := sent[first.ID], 0
		for _, run := range cold {
			if !sent[run.ID].Before(begin) && run.At.Before(begin.Add(time.Second)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
