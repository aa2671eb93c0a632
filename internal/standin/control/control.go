// Package control implements the control ports of the stand-ins: JSON over HTTP.
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

// maxBodyBytes limits the size of a request body. The largest body is a leaf's list of snapshots.
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

// Get registers a GET handler for path that returns the result of read as JSON.
func Get[T any](mux *http.ServeMux, path string, read func() T) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, read()) })
}

// Post registers a POST handler for path. It decodes the JSON body into the result of initial, whose fields are the
// defaults, and passes it to apply.
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

// Zero returns the zero value of T. It is the initial value for bodies without defaults.
func Zero[T any]() T {
	var zero T
	return zero
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Client sends requests to a control port.
type Client struct {
	// Address is host:port of the control port.
	Address string
	HTTP    http.Client
}

// Read decodes the JSON at path into value.
func (c *Client) Read(ctx context.Context, path string, value any) error {
	return c.call(ctx, http.MethodGet, path, nil, value)
}

// Send posts body to path as JSON.
func (c *Client) Send(ctx context.Context, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, path, encoded, nil)
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
