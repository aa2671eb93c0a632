package main

import (
	"fmt"
	"time"
)

func init() { cases["crashing"] = crashingCase }

// crashingCase: a request that crashes leaves comes again after all nodes were stopped and started in turn.
func crashingCase(e *Env) (int, error) {
	leaves, err := e.AddLeaves("permits", 9, 20*time.Millisecond)
	if err != nil {
		return 0, err
	}
	e.Configure(2, 0, Route{crashPath, "safe", "permits", 3000, 300, 2}, Route{"/permits/", "safe", "permits", 3000, 300, 2})
	if err := e.AddNodes(3); err != nil {
		return 0, err
	}
	time.Sleep(contact + time.Second)
	c := NewClient(e.Recorder)
	reached := func(a Answer) int {
		count := 0
		for _, l := range leaves {
			for _, run := range l.Runs() {
				if run.ID == a.ID {
					count++
				}
			}
		}
		return count
	}
	crashed := 0
	for i := 0; crashed < 3; i++ {
		if i == 10 {
			return 0, fmt.Errorf("the request has crashed %d leaves only", crashed)
		}
		crashed += reached(c.Send(e.Nodes[i%3], "GET", crashPath+"x", nil, 3*time.Second))
		time.Sleep(300 * time.Millisecond)
	}
	third := time.Now()
	e.Say("the request has crashed %d leaves", crashed)
	time.Sleep(2 * contact)
	if e.Trouble {
		for _, n := range e.Nodes {
			if err := n.Restart(); err != nil {
				return 0, err
			}
			if err := e.AwaitReady(); err != nil {
				return 0, err
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(contact + time.Second)
	retries, attempts := 0, 0
	for i := range 24 {
		n := e.Nodes[i%3]
		if time.Since(n.Started()) < contact || time.Since(third) < contact {
			return 0, fmt.Errorf("node %s is not in touch", n.Name)
		}
		a := c.Send(n, "GET", crashPath+"x", nil, 3*time.Second)
		attempts++
		if count := reached(a); count > 0 {
			retries++
			e.Say("retry %s reached %d leaves", a.ID, count)
		}
		// Harmless requests are served meanwhile.
		c.Send(n, "GET", fmt.Sprintf("/permits/%d", i), nil, 3*time.Second)
		time.Sleep(500 * time.Millisecond)
	}
	e.Say("%d of %d retries reached leaves later than %v after the third crash; 3 are allowed", retries, attempts, contact)
	if retries > 3 {
		return broken, nil
	}
	return held, nil
}
