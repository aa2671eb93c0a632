package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "search.example"

var requestCount atomic.Int64

// Answer is what a client has received. Err is set if the connection ended without a complete answer.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   []byte
	Err    error
	SentAt time.Time
}

// Client is a client with kept connections of its own.
type Client struct {
	rec    *Recorder
	client *http.Client
}

// NewClient returns a client.
func NewClient(rec *Recorder) *Client {
	return &Client{rec, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
}

// Send sends one client attempt to a node, which gives up after the time budget.
func (c *Client) Send(n *Node, method, path string, body []byte, budget time.Duration) Answer {
	a := Answer{ID: fmt.Sprintf("q%06d", requestCount.Add(1)), SentAt: time.Now()}
	r, err := http.NewRequest(method, "http://"+n.Front+path, bytes.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = host
	r.GetBody = nil // the client sends no attempt twice
	r.Header.Set("X-Request-Id", a.ID)
	r.Header.Set("X-Request-Deadline", fmt.Sprint(budget.Milliseconds()))
	client := *c.client
	client.Timeout = budget
	response, err := client.Do(r)
	if err == nil {
		defer response.Body.Close()
		a.Status, a.Header = response.StatusCode, response.Header
		a.Body, err = io.ReadAll(response.Body)
	}
	a.Err = err
	c.rec.Printf("request %s to node %s %s %s: status %d, error %v, after %v", a.ID, n.Name, method, path, a.Status, a.Err, time.Since(a.SentAt).Round(time.Millisecond))
	return a
}
