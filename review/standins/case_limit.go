package main

import (
	"sync"
	"time"
)

func init() { cases["limit"] = limitCase }

// limitCase: one leaf of a service states a very large number in a header of its answers.
func limitCase(e *Env) (int, error) {
	if _, err := e.AddLeaves("slow", 6, 400*time.Millisecond); err != nil {
		return 0, err
	}
	odd, err := e.AddLeaves("odd", 1, 5*time.Millisecond)
	if err != nil {
		return 0, err
	}
	e.Configure(2, 0, Route{"/slow/", "unsafe", "slow", 5000, 500, 2}, Route{"/odd/", "safe", "odd", 3000, 300, 2})
	if err := e.AddNodes(2); err != nil {
		return 0, err
	}
	time.Sleep(contact + time.Second)
	var mu sync.Mutex
	lost, answered := 0, 0
	var clients sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for i := range 12 {
		clients.Go(func() {
			c, n := NewClient(e.Recorder), e.Nodes[i%2]
			for k := 0; time.Now().Before(end); k++ {
				a := c.Send(n, "POST", "/slow/x", []byte("renewal"), 5*time.Second)
				mu.Lock()
				if a.Err != nil && time.Since(a.SentAt) > 5*time.Millisecond {
					lost++
				} else if a.Err == nil {
					answered++
				}
				mu.Unlock()
				if a.Err != nil {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if e.Trouble {
		odd[0].Header.Set("Server-Limit", "18446744073709551615")
	}
	for range 8 {
		for _, n := range e.Nodes {
			NewClient(e.Recorder).Send(n, "GET", "/odd/x", nil, time.Second)
		}
		time.Sleep(2 * time.Second)
	}
	clients.Wait()
	ends := 0
	for _, n := range e.Nodes {
		ends += n.OwnEnds()
	}
	e.Say("answered %d, connections ended without an answer %d, processes ended by themselves %d times", answered, lost, ends)
	if lost > 3 || ends >= 3 {
		return broken, nil
	}
	return held, nil
}
