package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, one line an event, with the milliseconds since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// Printf adds a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8d ", time.Since(r.start).Milliseconds())
	fmt.Fprintf(r.w, format, args...)
	r.w.WriteByte('\n')
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// At returns a time as it stands in the record.
func (r *Record) At(t time.Time) int64 { return t.Sub(r.start).Milliseconds() }

// Close writes the rest.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
