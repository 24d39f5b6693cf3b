package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestSilentEndOfASuspectCountsForTheLimit: a task crashes five workers, the first of which is cut
// off as it crashes, so that its incarnation ends in silence. That start must count towards
// maxCrashes, or the task is started a sixth time. Another worker crashes at each other crash, so
// that none is isolated.
func TestSilentEndOfASuspectCountsForTheLimit(t *testing.T) {
	const cutFor = 2 * time.Second
	f := newCrashFleet(t, 24)
	bad, good := simpleJob(1, 1), simpleJob(2, 24)
	crasher := job.TaskID{Job: bad.ID}
	var cutUntil time.Duration
	f.crasher = func(id job.TaskID) bool {
		if id != crasher {
			return false
		}
		vm := f.vmOf(id)
		if len(f.starts[id]) == 1 {
			f.cut[vm], cutUntil = true, f.now.Steady+cutFor
		} else {
			f.end(f.vmInAnotherRack(vm), crashDown)
		}
		return true
	}
	f.core.AddJob(good, nil, false, f.now)
	f.pass(time.Second)
	f.core.AddJob(bad, nil, false, f.now)
	for range 600 {
		f.pass(100 * time.Millisecond)
		if f.now.Steady >= cutUntil {
			clear(f.cut)
		}
	}
	f.checkGivenUp(bad, good)
}

// vmOf returns the VM whose worker has a run of a task.
func (f *crashFleet) vmOf(id job.TaskID) string {
	for _, vm := range f.vms {
		if _, ok := f.running[f.incarnation[vm]][id]; ok {
			return vm
		}
	}
	f.t.Fatalf("%v runs nowhere", id)
	return ""
}

// vmInAnotherRack returns a VM that has tasks and shares no rack with the given one.
func (f *crashFleet) vmInAnotherRack(vm string) string {
	for _, other := range f.vms {
		if f.info(other).Rack != f.info(vm).Rack && f.down[other] == 0 && len(f.running[f.incarnation[other]]) > 0 {
			return other
		}
	}
	f.t.Fatal("no other VM has tasks")
	return ""
}
