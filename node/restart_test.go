package node_test

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// startSameID starts a worker whose incarnations all have the same id.
func (c *cell) startSameID(name string, o wiretest.WorkerOptions) *wiretest.Worker {
	o.ID, o.Service, o.SameID, o.Progress = name, "svc", true, true
	w := wiretest.StartWorker(c.store, o)
	w.OnRun(c.recordRun)
	c.workers = append(c.workers, w)
	return w
}

// TestEndsAfterARestartUnderTheSameID guards against tasks that run twice, one run after the
// other, although the first run ended done and its end was acknowledged.
//
// A worker crashes and starts again under its id, and gets tasks at once. Its new incarnation
// counts its ends from 1. An owner that takes it for the old incarnation takes these ends for
// ones that it has recorded, and its next poll, which acknowledges the ends of the old
// incarnation, lets the worker delete them. Neither the runs nor their ends are listed then,
// and each task is started anew until the new incarnation has reported more ends than the old
// one, here four times.
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

// TestLongRunningTaskAfterARestartUnderTheSameID guards against tasks that are to run until
// they are cancelled but no longer run, although there is capacity for them.
//
// Their worker crashes and starts again under its id. An owner that takes the answers of the
// new incarnation for those of the old one does not read its lists if its clock is behind the
// old one: they count as overtaken by newer answers, and the tasks count as running for ever.
// With a clock that starts ahead of the old one, the tasks start again at once. No log line
// reports the end of the old incarnation.
func TestLongRunningTaskAfterARestartUnderTheSameID(t *testing.T) {
	clocks := []int64{400_000, 3}
	c := newCell(t, 1, 0)
	w := c.startSameID("i-a", wiretest.WorkerOptions{
		Work:        func(string) time.Duration { return time.Hour },
		LongRunning: func(string) bool { return true },
		ClockStart:  func(incarnation int) int64 { return clocks[min(incarnation, len(clocks))-1] },
	})
	c.submit(0, id(1), `{"spec":"s","steps":[{"count":3,"cpu":500,"mem_mb":100,"long_running":true}]}`)
	c.await("tasks that run", func() bool { return w.Running() == 3 })
	time.Sleep(300 * time.Millisecond) // they are in the worker's lists
	w.Crash("", 0)
	c.await("tasks that run again", func() bool { return w.Running() == 3 })
	c.checkRuns()
}
