package node_test

import (
	"sync/atomic"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// TestRefusedRetryOfAStartProvesNothing guards against one task that runs on two workers at
// once, with both runs ordered by the same owner within its term.
//
// The first start is carried out, but its connection breaks before the answer. The client of
// workers repeats the call automatically, and the worker, which refuses work for a short time,
// refuses this copy. An owner that sees only the refusal takes the task for not running and
// starts it on another worker; with nothing else of its own on the first worker, it does not
// poll that one again, never stops the first run, and acknowledges its end. A refusal proves
// that the copy that it answers did nothing, but nothing about an earlier copy.
func TestRefusedRetryOfAStartProvesNothing(t *testing.T) {
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
		w.OnRun(c.recordRun)
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
