// Package decision writes the structured log of a process: one JSON line for each decision on a request and for each
// change of the state that the process sees. It never blocks its callers: lines that the reader of the output does not
// read in time are dropped and counted.
package decision

import (
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that may wait for the output. A line has about 250 bytes.
	queueLines = 2048
	// linesPerSecond bounds the volume of the log. The lines on state changes and failed requests stay far below it in
	// normal operation.
	linesPerSecond = 400
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Log is a bounded, non-blocking log. It is safe for concurrent use.
type Log struct {
	*slog.Logger
	queue      chan []byte
	unreported atomic.Int64
	dropped    atomic.Int64
	closing    chan struct{}
	finished   chan struct{}
}

// New returns a log that writes to w with the names of the node and its zone on each line. Close ends it.
func New(w io.Writer, node, zone string) *Log {
	l := &Log{queue: make(chan []byte, queueLines), closing: make(chan struct{}), finished: make(chan struct{})}
	l.Logger = slog.New(slog.NewJSONHandler((*sink)(l), nil)).With("node", node, "zone", zone)
	go l.write(w)
	return l
}

// Writer returns a writer that logs each write as one line, for libraries with a log of their own.
func (l *Log) Writer(msg string) io.Writer { return libraryWriter{l, msg} }

// maxLibraryText bounds the text of a library's line.
const maxLibraryText = 200

type libraryWriter struct {
	log *Log
	msg string
}

// quotedContent begins the part of a line in which net/http quotes bytes that a server has sent without a request. They may be
// the rest of an answer of the store, which holds API keys.
const quotedContent = " starting with "

func (w libraryWriter) Write(text []byte) (int, error) {
	line, _, _ := strings.Cut(strings.TrimSpace(string(text)), quotedContent)
	w.log.Info(w.msg, "text", line[:min(len(line), maxLibraryText)])
	return len(text), nil
}

// Dropped returns the number of lines dropped so far.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines, for at most the given time.
func (l *Log) Close(limit time.Duration) {
	close(l.closing)
	select {
	case <-l.finished:
	case <-time.After(limit):
	}
}

// sink receives lines from the handler.
type sink Log

// Write queues a copy of the line or drops it. It never returns an error.
func (s *sink) Write(line []byte) (int, error) {
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		(*Log)(s).countDropped()
	}
	return len(line), nil
}

func (l *Log) write(w io.Writer) {
	defer close(l.finished)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	budget := linesPerSecond
	var batch []byte
	for {
		select {
		case line := <-l.queue:
			if batch = l.collect(append(batch[:0], line...), &budget); len(batch) > 0 {
				// There is no other output to report a failed write to.
				_, _ = w.Write(batch)
			}
		case <-ticker.C:
			budget = linesPerSecond
			if n := l.unreported.Swap(0); n > 0 {
				l.Warn("log_dropped", "lines", n)
			}
		case <-l.closing:
			l.drain(w)
			return
		}
	}
}

// maxBatchBytes is the size from which lines are written. Each write costs a system call.
const maxBatchBytes = 16 << 10

// collect appends the lines that are queued to a batch. It drops lines beyond the budget, which includes the line that the
// batch begins with.
func (l *Log) collect(batch []byte, budget *int) []byte {
	if *budget--; *budget < 0 {
		l.countDropped()
		batch = batch[:0]
	}
	for len(batch) < maxBatchBytes {
		select {
		case line := <-l.queue:
			if *budget--; *budget < 0 {
				l.countDropped()
				continue
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func (l *Log) countDropped() {
	l.unreported.Add(1)
	l.dropped.Add(1)
}

func (l *Log) drain(w io.Writer) {
	for {
		select {
		case line := <-l.queue:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}
