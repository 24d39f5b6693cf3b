package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// listedRun is a run of a job's first task that the previous owner started.
func listedRun(spec *job.Spec) RunningTask {
	return RunningTask{Task: job.TaskID{Job: spec.ID}, Run: 1<<runBits | 1, Percent: fullPace}
}

// takeoverWithRoster returns a core that took over with one worker in the roster, another
// one that is idle, and a job that the previous owner may have started.
func takeoverWithRoster(t *testing.T, now Instant) (*Core, *job.Spec) {
	t.Helper()
	core := livesCore(now, RosterEntry{ID: "w1", Address: "w1", VM: "m1"})
	core.params.TaskLease = 3 * time.Second
	core.SetWorkers([]WorkerInfo{lifeInfo("w1", "m1"), lifeInfo("w2", "m2")}, now)
	rosterOf(t, core)
	poll(core, "w2", now.Steady, now.Steady+time.Millisecond)
	spec := simpleJob(1, 1)
	core.AddJob(spec, nil, true, now)
	return core, spec
}

// TestStartCheckedBeforeTheTakeoverRunsOnce: a run of the previous owner that is missing in
// a worker's first list under the new term, and is there in the next one, is not started
// elsewhere; it is adopted.
//
// Users would see two runs of one task at once: the worker checked the term of the previous
// owner's start, answered the new owner's first poll, and only then carried out the start.
func TestStartCheckedBeforeTheTakeoverRunsOnce(t *testing.T) {
	now := Instant{Steady: time.Second}
	core, spec := takeoverWithRoster(t, now)
	order := core.PlanHold("w1", now).Order
	now.Steady += 5 * time.Millisecond
	core.HoldDone(order, HoldReply{ClockMS: 1000}, OutcomeOK, now)
	core.Tick(now)
	core.Schedule(now)
	if list := starts(core); len(list) != 0 {
		t.Errorf("started at %s after one list of a worker that may be about to start it", list[0].Worker)
	}
	now.Steady += time.Second
	core.Tick(now)
	order = core.PlanHold("w1", now).Order
	now.Steady += 5 * time.Millisecond
	core.HoldDone(order, HoldReply{ClockMS: 2000, Running: []RunningTask{listedRun(spec)}}, OutcomeOK, now)
	core.Tick(now)
	for _, o := range core.TakeOrders() {
		if o.Kind == OrderStart || o.Kind == OrderStop {
			t.Errorf("order %+v though the run is there", o)
		}
	}
	if a := core.jobs[spec.ID].steps[0].tasks[0].attempt; a == nil || a.worker.info.ID != "w1" {
		t.Error("the run is not adopted")
	}
	if n := core.Recovering(); n != 0 {
		t.Errorf("waits for %d workers after two lists", n)
	}
}

// startGapSeeds are those of startsAfterGaps in which a task ran twice at once, or a worker
// was given more than its room, while one list of each worker was enough at a takeover.
var startGapSeeds = []uint64{25, 38, 52}

// TestStartsAfterGaps plays workers that carry out starts a moment after the check of their
// terms, beside the other faults.
func TestStartsAfterGaps(t *testing.T) {
	if testing.Short() {
		t.Skip("it is played without -short")
	}
	late := 0
	for _, seed := range startGapSeeds {
		s := faultsRun(seed, startsAfterGaps)
		late += s.startedLate
		checkAll(t, s)
	}
	if late == 0 {
		t.Error("no start was carried out after a takeover")
	}
}
