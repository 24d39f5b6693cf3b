package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leverstile.dev/platform"
	"leverstile.dev/platform/wiretest"
)

// TestEntriesReportWhyAJobFailed: each entry reports that the job's task crashes its workers,
// also those that do not own the cell and, after the owner has ended, from the store. Another
// job succeeds meanwhile.
func TestEntriesReportWhyAJobFailed(t *testing.T) {
	c := newCell(t, 2, 0)
	bad, good := id(1), id(2)
	for i := range 6 {
		w := wiretest.StartWorker(c.store, wiretest.WorkerOptions{
			ID: fmt.Sprintf("c-%d", i), Service: "svc", Work: func(string) time.Duration { return 50 * time.Millisecond },
			Crashes:  func(task string) bool { return task == bad+".0.0.2" },
			Downtime: func() time.Duration { return 300 * time.Millisecond },
		})
		w.OnRun(c.recordRun)
		c.workers = append(c.workers, w)
	}
	c.submit(0, bad, twoSteps)
	c.submit(1, good, twoSteps)
	for n := range c.nodes {
		c.awaitState(n, bad, "failed")
		c.awaitState(n, good, "succeeded")
		_, _, header := c.call(n, "GET", bad, "")
		if reason := header.Get(platform.HeaderReason); !strings.Contains(reason, bad+".0.0.2") || !strings.Contains(reason, "crashed") {
			t.Errorf("entry %d reports %q", n, reason)
		}
		if _, _, header := c.call(n, "GET", good, ""); header.Get(platform.HeaderReason) != "" {
			t.Errorf("entry %d reports a reason for a job that succeeded", n)
		}
	}
	starts := 0
	for _, w := range c.workers {
		starts += w.Starts()[bad+".0.0.2"]
	}
	if starts < 3 || starts > 5 {
		t.Errorf("the task was started %d times, want 3 to 5", starts)
	}
	c.checkRuns()
	for _, n := range c.nodes {
		n.close()
	}
	c.nodes = append(c.nodes[:0], c.startNode("entry-9"))
	c.awaitState(0, bad, "failed")
	if _, _, header := c.call(0, "GET", bad, ""); header.Get(platform.HeaderReason) == "" {
		t.Error("the next owner reports no reason")
	}
}
