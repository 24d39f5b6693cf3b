package node_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// brokenStart stands before all workers of a cell. The first start that comes is
// carried out, but its connection breaks before the answer; the second is refused as
// by an unwell worker. All else passes.
type brokenStart struct {
	starts atomic.Int32
}

// before returns the handler that stands before a worker's.
func (b *brokenStart) before(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/run-start") {
			inner.ServeHTTP(rw, r)
			return
		}
		switch b.starts.Add(1) {
		case 1:
			inner.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler) // the connection ends without an answer
		case 2:
			_, _ = io.Copy(io.Discard, r.Body)
			rw.WriteHeader(http.StatusServiceUnavailable)
		default:
			inner.ServeHTTP(rw, r)
		}
	})
}

// TestRefusedCopyOfAStartProvesNothing.
//
// What users saw: one task ran on two workers at once. Both runs had been ordered
// by the same owner, within its term; the first was never told to stop, ended done,
// and its end was acknowledged.
//
// What happened: the first start was carried out, but its connection broke before
// the answer. The client of workers sent the call once more by itself, and the
// worker, unwell for a moment, refused this copy. The owner heard of one try that was
// refused, took the task for not running, and started it at another worker. With
// nothing else of its own at the first worker it did not ask there again.
//
// The evidence is this order of events with real connections: the task is doubled
// each time. A refusal proves that the copy it answers did nothing, and nothing of an
// earlier one.
func TestRefusedCopyOfAStartProvesNothing(t *testing.T) {
	c := newCell(t, 0, 0)
	var broken brokenStart
	for _, name := range []string{"i-a", "i-b"} {
		w := wiretest.NewWorker(c.store, name, "svc", 2*time.Second)
		w.OnRun(c.note)
		w.Server.Config.Handler = broken.before(w.Server.Config.Handler)
		c.workers = append(c.workers, w)
	}
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	c.submit(0, id(1), `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":100}]}`)
	c.awaitState(0, id(1), "succeeded")
	c.checkRuns()
	starts := 0
	for _, w := range c.workers {
		for _, n := range w.Starts() {
			starts += n
		}
	}
	if starts != 1 {
		t.Errorf("%d starts of one task that did not fail", starts)
	}
}
