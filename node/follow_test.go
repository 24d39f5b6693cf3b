package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// configDelay is the time within which a new version of the configuration is in force everywhere.
const configDelay = 2 * time.Second

// TestOwnerFollowsTheConfiguration: a queue moves to the workers of another service with a new version.
func TestOwnerFollowsTheConfiguration(t *testing.T) {
	c := newCell(t, 1, 1)
	c.submit(0, id(1), twoSteps)
	c.awaitState(0, id(1), "succeeded")
	w := wiretest.NewWorker(c.store, "i-other", "other", 30*time.Millisecond)
	c.workers = append(c.workers, w)
	config := fmt.Sprintf(configText, 2)
	config = strings.Replace(config, `"service":"svc"`, `"service":"other"`, 1)
	config = strings.Replace(config, `"services":[`, `"services":[{"name":"other","admission_check":true},`, 1)
	c.store.Put("op/config", []byte(config))
	c.await("version 2", func() bool { return c.nodes[0].node.Config().Version == 2 })
	time.Sleep(configDelay)
	c.submit(0, id(2), twoSteps)
	c.awaitState(0, id(2), "succeeded")
	for task := range c.workers[0].Starts() {
		if strings.HasPrefix(task, id(2)) {
			t.Errorf("task %s ran at the previous service", task)
		}
	}
}

// TestJobsOfALostHistoryAreRun: a job and a cancellation that the watch missed, since the store
// compacted its history, are found when all records are read again.
func TestJobsOfALostHistoryAreRun(t *testing.T) {
	c := newCell(t, 1, 1)
	c.submit(0, id(1), twoSteps)
	c.awaitState(0, id(1), "succeeded")
	c.store.SetFault(func(_, path string) wiretest.Fault {
		if path == "/kv-watch" {
			return wiretest.FaultBusy
		}
		return wiretest.FaultNone
	})
	c.store.Compact() // ends the watches that wait
	time.Sleep(100 * time.Millisecond)
	value, ok := c.store.Value("ls/in/job/" + id(1))
	if !ok {
		t.Fatal("no record of the job")
	}
	c.store.Put("ls/in/job/"+id(2), []byte(strings.ReplaceAll(string(value), id(1), id(2))))
	c.store.Put("ls/in/job/"+id(3), []byte(strings.ReplaceAll(string(value), id(1), id(3))))
	c.store.Put("ls/in/cancel/"+id(3), []byte("1"))
	c.store.Compact()
	c.store.SetFault(nil)
	c.awaitState(0, id(2), "succeeded")
	c.awaitState(0, id(3), "cancelled")
}

// drainDelay is the time after which no more tasks are started at a draining worker.
const drainDelay = 2 * time.Second

// TestDrainingWorkerGetsNothing: no task is started at a worker after its drain is known.
func TestDrainingWorkerGetsNothing(t *testing.T) {
	c := newCell(t, 2, 2)
	next := 0
	submit := func() {
		for range 6 {
			c.submit(next%2, id(next), twoSteps)
			next++
		}
	}
	submit()
	leaving := c.workers[0]
	leaving.Drain(30 * time.Second)
	time.Sleep(drainDelay)
	before := len(leaving.Records())
	submit()
	for i := range next {
		c.awaitState(i%2, id(i), "succeeded")
	}
	if n := len(leaving.Records()) - before; n > 0 {
		t.Errorf("%d tasks were started at a draining worker", n)
	}
	c.checkRuns()
}
