package node_test

import (
	"sync/atomic"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

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
	var starts atomic.Int32
	breakFirst := func(path string) wiretest.WorkerFault {
		if path != "/run-start" {
			return wiretest.WorkerNoFault
		}
		switch starts.Add(1) {
		case 1:
			return wiretest.WorkerLost // carried out, and the connection ends without an answer
		case 2:
			return wiretest.WorkerUnavailable
		default:
			return wiretest.WorkerNoFault
		}
	}
	for _, name := range []string{"i-a", "i-b"} {
		w := wiretest.NewWorker(c.store, name, "svc", 2*time.Second)
		w.OnRun(c.note)
		w.SetFault(breakFirst)
		c.workers = append(c.workers, w)
	}
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	c.submit(0, id(1), `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":100}]}`)
	c.awaitState(0, id(1), "succeeded")
	c.checkRuns()
	if n := c.startsOf(id(1)); n != 1 {
		t.Errorf("%d starts of one task that did not fail", n)
	}
}
