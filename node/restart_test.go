package node_test

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// startSameID starts a worker whose lives all have its id.
func (c *cell) startSameID(name string, o wiretest.WorkerOptions) *wiretest.Worker {
	o.ID, o.Service, o.SameID, o.Progress = name, "svc", true, true
	w := wiretest.StartWorker(c.store, o)
	w.OnRun(c.note)
	c.workers = append(c.workers, w)
	return w
}

// TestEndsAfterARestartUnderTheSameID.
//
// What users saw: tasks ran twice, one after the other. The first run had ended done, and
// that end had been acknowledged.
//
// What happened: a worker crashed, started again under its id, and got tasks at once: to its
// owner it was the life that had answered before. The next life counts its ends from 1, so the
// owner took them for ends that it knew, and its next poll, which acknowledged the ends of the
// life before, let the worker forget them. The runs were then no longer listed, nor their ends,
// and the tasks were started again.
//
// The evidence: each task is started anew until the next life has told more ends than the one
// before, here four times; every run has ended done and is noted as acknowledged.
func TestEndsAfterARestartUnderTheSameID(t *testing.T) {
	const before, after = 12, 4
	c := newCell(t, 1, 0)
	w := c.startSameID("i-a", wiretest.WorkerOptions{Work: func(string) time.Duration { return 60 * time.Millisecond }})
	c.submit(0, id(1), fmt.Sprintf(`{"spec":"s","steps":[{"count":%d,"cpu":500,"mem_mb":100}]}`, before))
	c.awaitState(0, id(1), "succeeded")
	w.Crash("", 0)
	c.submit(0, id(2), fmt.Sprintf(`{"spec":"s","steps":[{"count":%d,"cpu":500,"mem_mb":100}]}`, after))
	c.awaitState(0, id(2), "succeeded")
	c.checkRuns()
	for _, r := range w.Records() {
		if n := w.Starts()[r.Task]; n != 1 {
			t.Errorf("%d starts of a task that did not fail: %s", n, r)
		}
	}
}

// TestLastingTaskAfterARestartUnderTheSameID.
//
// What users saw: tasks that are to run until they are cancelled did not run any more, with
// room for them.
//
// What happened: their worker crashed and started again under its id. An id named one life,
// so the owner took the answers of the next life for those of the one before. Its clock was
// behind, so its lists counted as overtaken by newer answers and were not read: the tasks
// counted as running for good.
//
// The evidence: with a clock that starts ahead of the one before, the tasks start again at
// once; with one that starts behind, never. No log line told that a life had ended.
func TestLastingTaskAfterARestartUnderTheSameID(t *testing.T) {
	clocks := []int64{400_000, 3}
	c := newCell(t, 1, 0)
	w := c.startSameID("i-a", wiretest.WorkerOptions{
		Work:        func(string) time.Duration { return time.Hour },
		LongRunning: func(string) bool { return true },
		ClockStart:  func(life int) int64 { return clocks[min(life, len(clocks))-1] },
	})
	c.submit(0, id(1), `{"spec":"s","steps":[{"count":3,"cpu":500,"mem_mb":100,"long_running":true}]}`)
	c.await("tasks that run", func() bool { return w.Running() == 3 })
	time.Sleep(300 * time.Millisecond) // they are in the worker's lists
	w.Crash("", 0)
	c.await("tasks that run again", func() bool { return w.Running() == 3 })
	c.checkRuns()
}
