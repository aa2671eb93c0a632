// Package control holds what the control ports of the stand-ins share: JSON over HTTP.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// maxBodyBytes bounds a request body; the largest is a leaf's list of snapshots.
const maxBodyBytes = 16 << 20

// Serve serves mux on address until the returned server is closed.
func Serve(mux *http.ServeMux, address string) (*http.Server, net.Addr, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	return server, l.Addr(), nil
}

// Get answers GET requests for path with the JSON of read().
func Get[T any](mux *http.ServeMux, path string, read func() T) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { reply(w, read()) })
}

// Post decodes the JSON body of requests to path onto initial() and hands it to apply.
func Post[T any](mux *http.ServeMux, path string, initial func() T, apply func(T) error) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		value := initial()
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&value)
		if err == nil {
			err = apply(value)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// Zero is the initial value for bodies that need no defaults.
func Zero[T any]() T {
	var zero T
	return zero
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Client calls a control port.
type Client struct {
	// Address is host:port of the control port.
	Address string
	HTTP    http.Client
}

// Read fetches the JSON at path into value.
func (c *Client) Read(ctx context.Context, path string, value any) error {
	return c.call(ctx, http.MethodGet, path, nil, value)
}

// Send posts body as JSON to path.
func (c *Client) Send(ctx context.Context, path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, path, b, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, value any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	content, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: %s: %s", method, path, response.Status, bytes.TrimSpace(content))
	}
	if value == nil {
		return nil
	}
	return json.Unmarshal(content, value)
}
