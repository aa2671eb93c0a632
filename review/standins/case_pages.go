package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["pages"] = pagesCase }

const (
	// followerLag is how old the serializable reads are that the copy of the later keys answers.
	followerLag = 5500 * time.Millisecond
	// leavingLeaves of permitLeaves leaves leave.
	permitLeaves, leavingLeaves = 90, 15
)

// pagesCase: some leaves leave, and then the node that reads the registry on behalf of all is stopped and started. Serializable
// reads of the registry's first page are current, those of the later pages are some seconds old.
func pagesCase(e *Env) (int, error) {
	if _, err := e.AddLeaves("audit", 50, 5*time.Millisecond); err != nil {
		return 0, err
	}
	leaves, err := e.AddLeaves("permits", permitLeaves, 5*time.Millisecond)
	if err != nil {
		return 0, err
	}
	e.Store.PageItems = 50
	e.Store.Lag = func(after string) time.Duration {
		if after == "" {
			return 0
		}
		return followerLag
	}
	e.Configure(2, 0, Route{"/permits/", "safe", "permits", 3000, 300, 2}, Route{"/audit/", "safe", "audit", 3000, 300, 2})
	time.Sleep(followerLag + 500*time.Millisecond) // both copies now hold the same
	if err := e.AddNodes(3); err != nil {
		return 0, err
	}
	time.Sleep(contact + 4*time.Second)

	// Two nodes, which are not disturbed, get requests all the while.
	end := time.Now().Add(16 * time.Second)
	var clients sync.WaitGroup
	for _, n := range e.Nodes[1:] {
		clients.Go(func() {
			c := NewClient(e.Recorder)
			for i := 0; time.Now().Before(end); i++ {
				c.Send(n, "GET", fmt.Sprintf("/permits/%d", i), nil, 3*time.Second)
				time.Sleep(rand.N(90 * time.Millisecond))
			}
		})
	}
	time.Sleep(2 * time.Second)
	restarted := make(chan error, 1)
	if e.Trouble {
		go func() { restarted <- e.Nodes[0].Restart() }()
	} else {
		restarted <- nil
	}
	time.Sleep(300 * time.Millisecond)
	left := map[*Leaf]time.Time{}
	for _, l := range leaves {
		if l.Zone != e.Nodes[0].Zone && len(left) < leavingLeaves {
			l.Leave(false)
			left[l] = time.Now()
		}
	}
	e.Say("%d leaves report that they drain", leavingLeaves)
	clients.Wait()
	if err := <-restarted; err != nil {
		return 0, err
	}
	late := 0
	for l, since := range left {
		for _, run := range l.Runs() {
			if after := run.At.Sub(since); after > drainWithin {
				late++
				e.Say("leaf %s runs request %s %v after the store has confirmed that it drains", l.ID(), run.ID, after.Round(time.Millisecond))
			}
		}
	}
	e.Say("%d requests later than %v", late, drainWithin)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
