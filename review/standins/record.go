package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes the record of a run: what was sent, answered and run, with the time since the start.
type Recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecorder creates the record's file.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	return &Recorder{file: file, started: time.Now()}, err
}

// Printf writes one line.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Recorder) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
