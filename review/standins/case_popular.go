package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["popular"] = popularCase }

const (
	// sendInterval is the time between two requests of a client.
	sendInterval = 250 * time.Millisecond
	// serviceDown is how long the leaves of the service are away.
	serviceDown = 4500 * time.Millisecond
	// recovery is the time after which the service counts as recovered.
	recovery = 12 * time.Second
)

// tally counts the requests of one kind.
type tally struct {
	mu                   sync.Mutex
	sent, served         int
	lateSent, lateServed int
}

// popularCase: all leaves of a service crash at the same moment while many callers send the same harmless request.
func popularCase(e *Env) (int, error) {
	popular, err := e.AddLeaves("popular", 3, 120*time.Millisecond)
	if err != nil {
		return 0, err
	}
	if _, err := e.AddLeaves("other", 3, 120*time.Millisecond); err != nil {
		return 0, err
	}
	for _, l := range popular {
		l.CrashFor = serviceDown
	}
	e.Configure(2, 0, Route{"/popular/", "safe", "popular", 5000, 500, 2}, Route{"/other/", "safe", "other", 5000, 500, 2})
	if err := e.AddNodes(3); err != nil {
		return 0, err
	}
	time.Sleep(contact + time.Second)
	begin := time.Now()
	crashAt := begin.Add(5 * time.Second)
	backAt, end := crashAt.Add(serviceDown), begin.Add(60*time.Second)
	counts := map[string]*tally{"/popular/top": {}, "/other/top": {}}
	var clients sync.WaitGroup
	for path, t := range counts {
		for i := range 24 {
			clients.Go(func() {
				c, n := NewClient(e.Recorder), e.Nodes[i%3]
				time.Sleep(rand.N(sendInterval))
				ticker := time.NewTicker(sendInterval)
				defer ticker.Stop()
				for time.Now().Before(end) {
					a := c.Send(n, "GET", path, nil, 5*time.Second)
					late := a.SentAt.After(backAt.Add(recovery))
					t.mu.Lock()
					t.sent++
					if late {
						t.lateSent++
					}
					if a.Err == nil && a.Status == 200 {
						t.served++
						if late {
							t.lateServed++
						}
					}
					t.mu.Unlock()
					<-ticker.C
				}
			})
		}
	}
	time.Sleep(time.Until(crashAt))
	if e.Trouble {
		for _, l := range popular {
			l.Crash()
		}
	}
	clients.Wait()
	p, o := counts["/popular/top"], counts["/other/top"]
	e.Say("the crashed service: %d sent, %d served; %d sent and %d served from 12 s after its leaves are back", p.sent, p.served, p.lateSent, p.lateServed)
	e.Say("the other service: %d sent, %d served; %d sent and %d served from 12 s after the leaves are back", o.sent, o.served, o.lateSent, o.lateServed)
	share := float64(p.served) / float64(p.sent)
	all := float64(p.served+o.served) / float64(p.sent+o.sent)
	e.Say("share served: crashed service %.3f, all requests %.3f", share, all)
	if share < all/4 {
		return broken, nil
	}
	return held, nil
}
