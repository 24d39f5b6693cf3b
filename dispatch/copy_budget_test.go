package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// copyOf starts a copy of a task whose worker is silent, and confirms its start.
func copyOf(t *testing.T, maxAttempts int) (core *Core, now Instant, tk *task, second Order) {
	t.Helper()
	core, now, first := silentTask(t)
	tk = core.findTask(first.Task)
	q := core.queues[tk.step.job.spec.Queue]
	q.MaxAttempts = maxAttempts
	core.queues[q.Name] = q
	core.startCopies(now)
	second = starts(core)[0]
	core.OrderDone(second, Answer{Outcome: OutcomeOK, ClockMS: 1500}, now)
	return core, now, tk, second
}

// TestLostRunsCountAsPossibleFailures guards against a start beyond the limit of attempts: a run
// that was given up may have failed, and so may the one that a copy is started beside.
func TestLostRunsCountAsPossibleFailures(t *testing.T) {
	core, now, tk, second := copyOf(t, 2)
	core.releaseLost(tk.attempt.worker, []*attempt{tk.attempt}, "its leases are over", now)
	w := core.workers[second.Worker]
	w.failedPolls, w.failedPollSent = 1, now.Steady
	w.lastDeadline += 5000
	tk.copyAfter, core.copiesCheckedAt = 0, 0
	core.startCopies(now)
	if n := len(starts(core)); n != 0 {
		t.Errorf("%d starts beside a run and a lost one, two attempts allowed", n)
	}
}

// TestFailureOfADoneTaskFailsNoJob guards against a job that is shown as failed though the task in
// question is done: both other runs of the task failed, and were read afterwards.
func TestFailureOfADoneTaskFailsNoJob(t *testing.T) {
	core, now, tk, _ := copyOf(t, 2)
	j := tk.step.job
	tk.step.remaining = 2 // the job goes on after the task
	core.taskDone(tk, now)
	for run := range uint64(2) {
		core.countFailure(tk, run+1, now)
	}
	if j.progress.State == job.Failed {
		t.Errorf("the job failed: %s", j.progress.Reason)
	}
}

// TestDisabledCopiesKeepNoSteps guards against memory that grows with each speculative step.
func TestDisabledCopiesKeepNoSteps(t *testing.T) {
	core, now := idleCore(t, 4)
	core.params.NoCopies = true
	spec := simpleJob(1, 1)
	spec.Steps[0].Speculative = true
	core.AddJob(spec, nil, false, now)
	core.Tick(now)
	if n := len(core.copySteps); n != 0 {
		t.Errorf("%d steps are watched", n)
	}
}

// TestClosedEntryWithACopyIsWrittenOnce guards against a part of the roster that each write makes
// stale again while a draining worker runs the second run of a task.
func TestClosedEntryWithACopyIsWrittenOnce(t *testing.T) {
	core, _, tk, second := copyOf(t, 9)
	w := core.workers[second.Worker]
	core.roster.ensure(w.info)
	w.info.Draining = true
	core.updateEntries(Instant{})
	for range 2 {
		parts, err := core.Roster(10)
		if err != nil {
			t.Fatal(err)
		}
		core.RosterStored(parts)
		core.roster.updateParts()
		core.followEnds(w)
	}
	if tk.copy == nil || core.RosterStale() {
		t.Errorf("copy %v; the part is stale after it was written twice", tk.copy != nil)
	}
}

// TestCopyWithoutAWorkerHoldsUpNoOther guards against one step that fits no worker, and is checked
// first, keeping all other steps of the service without copies.
func TestCopyWithoutAWorkerHoldsUpNoOther(t *testing.T) {
	core, now, first := silentTask(t)
	spec := simpleJob(2, 1)
	spec.Steps[0].Speculative, spec.Steps[0].CPUMilli = true, 100
	core.AddJob(spec, nil, false, now)
	core.start(core.findTask(job.TaskID{Job: spec.ID}), core.workers[first.Worker], core.newRun(), "", "", now)
	spec.Steps[0].Requires = "a label of no worker"
	core.TakeOrders()
	last := len(core.copySteps) - 1
	core.copySteps[0], core.copySteps[last] = core.copySteps[last], core.copySteps[0]
	now.Steady += 60 * time.Millisecond
	core.startCopies(now)
	if n := len(starts(core)); n != 1 {
		t.Errorf("%d copies of the other step", n)
	}
}

// TestSlowRunWithoutASpareAttemptIsMoved guards against a slow run that is neither copied, since no
// attempt is left for a copy, nor moved, since a copy is expected.
func TestSlowRunWithoutASpareAttemptIsMoved(t *testing.T) {
	core, now, first := silentTask(t)
	tk := core.findTask(first.Task)
	q := core.queues[tk.step.job.spec.Queue]
	q.MaxAttempts = 1
	core.queues[q.Name] = q
	if core.copiedInsteadOfMoved(tk, now) {
		t.Error("the run waits for a copy that is not allowed")
	}
}
