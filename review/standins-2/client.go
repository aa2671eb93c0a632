package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	connectTimeout = time.Second
	lookUpTimeout  = time.Second
	lookUps        = 3
)

// Attempt is one client attempt and its answer.
type Attempt struct {
	ID         string
	Key        string
	Path       string
	Machine    string
	Sent, Done time.Time
	// Status is 0 if the connection ended without an answer.
	Status int
	Body   string
}

// Callers sends requests as the platform's clients do, and keeps what was answered.
type Callers struct {
	rec *Record
	// directories are the addresses at which callers ask where to connect.
	directories []string
	host        string

	ids atomic.Int64
	mu  sync.Mutex
	all []*Attempt
}

// Caller is one client with at most one open connection.
type Caller struct {
	*Callers
	key          string
	zone, region string

	addresses []string
	until     time.Time
	address   string
	failed    map[string]time.Time
	client    *http.Client
}

// NewCaller returns a client in a zone with an API key, or without one if key is empty.
func (c *Callers) NewCaller(key string, zone [2]string) *Caller {
	return &Caller{Callers: c, key: key, zone: zone[0], region: zone[1], failed: map[string]time.Time{}}
}

// lookUp asks the directory for addresses while the last answer is too old.
func (c *Caller) lookUp() {
	if time.Now().Before(c.until) {
		return
	}
	client := &http.Client{Timeout: lookUpTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"name": {c.host}, "region": {c.region}, "zone": {c.zone}}.Encode()
	for range lookUps {
		directory := c.directories[rand.IntN(len(c.directories))]
		response, err := client.Get("http://" + directory + "/api/resolve?" + query)
		if err != nil {
			continue
		}
		var body struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || len(body.Addrs) == 0 {
			continue
		}
		c.addresses, c.until = body.Addrs, time.Now().Add(time.Duration(body.TTL*float64(time.Second)))
		return
	}
}

// connect chooses the address of the next request. A new connection goes to an address at random.
func (c *Caller) connect(fresh bool) bool {
	c.lookUp()
	if c.address != "" && !fresh && slices.Contains(c.addresses, c.address) {
		return true
	}
	c.disconnect()
	var usable []string
	for _, a := range c.addresses {
		if time.Since(c.failed[a]) > time.Second {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return false
	}
	c.address = usable[rand.IntN(len(usable))]
	dialer := &net.Dialer{Timeout: connectTimeout}
	c.client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxConnsPerHost: 1, DisableCompression: true}}
	return true
}

func (c *Caller) disconnect() {
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.client, c.address = nil, ""
}

// Send sends a request once, on a new connection if fresh is set, and returns the attempt.
func (c *Caller) Send(method, path string, budget time.Duration, fresh bool) (a *Attempt, retryAfter time.Duration) {
	a = &Attempt{ID: fmt.Sprintf("r%06d", c.ids.Add(1)), Key: c.key, Path: path, Sent: time.Now()}
	if !c.connect(fresh) {
		a.Done = time.Now()
		c.rec.Printf("client: no address for %s", a.ID)
		return a, 0
	}
	a.Machine = c.address
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = c.host
	request.Header.Set("X-Request-Id", a.ID)
	request.Header.Set("X-Request-Deadline", strconv.FormatInt(budget.Milliseconds(), 10))
	if c.key != "" {
		request.Header.Set("Authorization", "Token "+c.key)
	}
	a.Sent = time.Now()
	response, err := c.client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.Status, a.Body = response.StatusCode, string(body)
		if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
			retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	a.Done = time.Now()
	if err != nil {
		a.Status = 0
		c.failed[c.address] = time.Now()
		c.disconnect()
	}
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	c.rec.Printf("client: %s %s at %s: status %d after %d ms, retry after %d ms", a.ID, path, a.Machine, a.Status, a.Done.Sub(a.Sent).Milliseconds(), retryAfter.Milliseconds())
	return a, retryAfter
}

// Ask sends an idempotent request with one retry after a failure, as clients do, and returns the last attempt.
func (c *Caller) Ask(path string, budget time.Duration) *Attempt {
	end := time.Now().Add(budget)
	a, retryAfter := c.Send(http.MethodGet, path, budget, rand.IntN(4) == 0)
	if a.Status/100 == 2 || slices.Contains([]int{400, 401, 404, 413, 431}, a.Status) {
		return a
	}
	time.Sleep(min(retryAfter, time.Until(end)/3))
	if left := time.Until(end); left > 20*time.Millisecond {
		a, _ = c.Send(http.MethodGet, path, left, true)
	}
	return a
}

// Attempts returns copies of all attempts so far.
func (c *Callers) Attempts() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Attempt, len(c.all))
	for i, a := range c.all {
		list[i] = *a
	}
	return list
}
