package dispatch

import "testing"

// A worker told the ends of runs of this term that the owner had never ordered. One that was
// "done" marked the task as done and stopped its real run: the job was shown as succeeded with its
// work undone. "Failed" ones used up its attempts. No worker that keeps to its protocol lists
// such ends.
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
	if seen := x.core.workers[first.Worker].seen; seen != 6 {
		t.Errorf("ends up to %d may be forgotten, want 6", seen)
	}
	x.list(first.Worker, nil, endOf(first, EndDone, ""))
	if !progress.IsDone(first.Task) {
		t.Error("the end of the run that was ordered does not count")
	}
}
