package dispatch

import "testing"

// A worker that violates the protocol may list ends of runs of this term that the owner never
// ordered. A "done" one must not mark the task as done and stop its real run, which would show the
// job as succeeded with its work undone; "failed" ones must not use up the task's attempts.
func TestEndsOfRunsThatWereNotOrderedAreIgnored(t *testing.T) {
	x := newCheckpointCore(t, 1, nil)
	first := x.order(0)
	unordered := first
	for range 5 {
		unordered.Run++
		x.list(first.Worker, []RunningTask{rowOf(first, "")}, endOf(unordered, EndFailed, ""))
	}
	unordered.Run++
	x.list(first.Worker, []RunningTask{rowOf(first, "")}, endOf(unordered, EndDone, ""))
	progress := &x.core.jobs[first.Task.Job].progress
	if progress.IsDone(first.Task) || progress.FailureCount(first.Task) > 0 {
		t.Errorf("done %v, %d failures", progress.IsDone(first.Task), progress.FailureCount(first.Task))
	}
	if seen := x.core.workers[first.Worker].storedEnd; seen != 6 {
		t.Errorf("ends up to %d may be forgotten, want 6", seen)
	}
	x.list(first.Worker, nil, endOf(first, EndDone, ""))
	if !progress.IsDone(first.Task) {
		t.Error("the end of the run that was ordered does not count")
	}
}
