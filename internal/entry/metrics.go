package entry

import (
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// maxMetricsReads bounds the answers with metrics that are written at a time, since each is gathered in memory that the
	// budget does not count.
	maxMetricsReads = 4
	// metricsTimeout ends the answer to a reader that does not read it, which others wait for.
	metricsTimeout = 10 * time.Second
)

// newMetricsServer returns a server for the metrics.
func newMetricsServer(h http.Handler) *http.Server {
	server := newServer(limitConcurrency(h, maxMetricsReads))
	server.WriteTimeout = metricsTimeout
	return server
}

// limitConcurrency returns a handler that serves up to n requests at a time. The others wait.
func limitConcurrency(h http.Handler, n int64) http.Handler {
	free := semaphore.NewWeighted(n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if free.Acquire(r.Context(), 1) != nil {
			return // the caller has left
		}
		defer free.Release(1)
		h.ServeHTTP(w, r)
	})
}
