package node_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// oneTask is a job with one task, which runs as long as its worker's settings say.
const oneTask = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":100}]}`

// newSplitCell returns a cell of one node and two workers that the owners of
// different terms reach: the first worker only that of term 1, the second only
// later ones. No worker reports the next owner to the first one.
func newSplitCell(t *testing.T) *cell {
	c := newCell(t, 0, 0)
	for i := range 2 {
		w := wiretest.NewWorker(c.store, fmt.Sprintf("i-%d", i), "svc", time.Hour)
		w.OnRun(c.recordRun)
		c.workers = append(c.workers, w)
	}
	c.workers[0].CutOff(func(term uint64) bool { return term != 1 })
	c.workers[1].CutOff(func(term uint64) bool { return term == 1 })
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	c.submit(0, id(1), oneTask)
	c.await("a start by the first owner", func() bool { return startsAt(c.workers[:1]) == 1 })
	c.nodes = append(c.nodes, c.startNode("entry-1"))
	return c
}

// awaitOwner waits until a node owns the cell and has loaded its state.
func (c *cell) awaitOwner(n int) {
	c.t.Helper()
	name := fmt.Appendf(nil, `"entry-%d"`, n)
	c.await("the ownership of "+string(name), func() bool {
		lead, _ := c.store.Value("ls/own/lead")
		return bytes.Contains(lead, name)
	})
	c.await("its state", func() bool {
		status, _, _ := c.call(n, "GET", "", "")
		return status == http.StatusOK
	})
}

// startsOf returns how often the tasks of a job were started.
func (c *cell) startsOf(job string) int {
	starts := 0
	for _, w := range c.workers {
		for task, n := range w.Starts() {
			if strings.HasPrefix(task, job) {
				starts += n
			}
		}
	}
	return starts
}

// An owner that hands over gives no orders once its lease may have ended.
//
// The test guards against one task that two entries start on two workers after a rolling
// restart: an entry that is stopped revokes its lease at the store, which does so, but the
// answer is lost. Another entry takes over at once and reads the jobs. A job that is
// submitted then is new to both, and both start it: the first one counts its lease as held
// until 2.4 s after the last renewal, although it has revoked it itself, and it learns of
// the next owner only from a worker that it polls after that one.
func TestHandoverEndsAllOrdersFirst(t *testing.T) {
	c := newSplitCell(t)
	c.store.SetFault(func(_, path string) wiretest.Fault {
		if strings.HasPrefix(path, "/kv-lease-end/") {
			return wiretest.FaultHeld
		}
		return wiretest.FaultNone
	})
	c.nodes[0].node.Drain()
	c.awaitOwner(1)
	c.submit(1, id(2), oneTask)
	c.await("a start by the next owner", func() bool { return startsAt(c.workers[1:]) == 1 })
	c.await("the end of the first owner", func() bool { return c.store.Held() == 0 })
	if n := c.startsOf(id(2)); n != 1 {
		t.Errorf("%d starts of one task", n)
	}
	c.checkRuns()
}
