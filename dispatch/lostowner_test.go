package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestOneOwnerLostCostsNoStartTooMany: whichever crash of a task the end of an owner follows, and
// however soon, even if the store accepted nothing since the crash, the task is started at most as
// often as users allow. A next owner that lacks what was not written yet would start it again too
// often. Another worker crashes at each of its crashes, so that none is isolated.
func TestOneOwnerLostCostsNoStartTooMany(t *testing.T) {
	for crash := 1; crash < mostStartsOfACrasher; crash++ {
		for _, after := range []time.Duration{0, 40, 100, 200, 400, 1000, 2000, 2900, 3000, 3100, 3300, 4000} {
			for _, down := range []bool{false, true} {
				after := after * time.Millisecond
				t.Run(fmt.Sprintf("crash %d, %v later, store down %v", crash, after, down), func(t *testing.T) {
					lostOwnerRun(t, newCrashFleet(t, 24), crash, after, down)
				})
			}
		}
	}
}

// TestLostOwnerAndWorkersUnderTheSameID: the same, where workers restart under their ids. It guards
// against a sixth start of the task, which comes about if the transfer of unresolved tasks to the
// next incarnation drops the record that the previous one was lost before its lists were read.
func TestLostOwnerAndWorkersUnderTheSameID(t *testing.T) {
	for crash := 1; crash < mostStartsOfACrasher; crash++ {
		for _, after := range []time.Duration{0, 100, 1000, 3100} {
			for _, down := range []bool{false, true} {
				after := after * time.Millisecond
				t.Run(fmt.Sprintf("crash %d, %v later, store down %v", crash, after, down), func(t *testing.T) {
					lostOwnerRun(t, newCrashFleetOf(t, 24, true), crash, after, down)
				})
			}
		}
	}
}

// lostOwnerRun simulates an owner that is lost some time after one of a task's crashes.
func lostOwnerRun(t *testing.T, f *crashFleet, crash int, after time.Duration, storeDown bool) {
	t.Helper()
	bad, good := simpleJob(1, 1), simpleJob(2, 24)
	f.crasher = firstTaskOf(bad)
	f.core.AddJob(good, nil, false, f.now)
	f.pass(8 * time.Second)
	f.core.AddJob(bad, nil, false, f.now)
	for seen := 0; f.now.Steady < 120*time.Second && f.state(bad) != job.Failed; {
		f.pass(20 * time.Millisecond)
		n := f.crashed()
		if n == seen {
			continue
		}
		seen = n
		f.endAnyOther()
		if n == crash {
			f.storeDown = storeDown
			f.pass(after)
			f.takeOver(bad, good)
			f.storeDown = false
		}
	}
	f.checkGivenUp(bad, good)
}

// endAnyOther crashes a worker that is up.
func (f *crashFleet) endAnyOther() {
	for _, vm := range f.vms {
		if _, down := f.down[vm]; !down {
			f.end(vm, crashDown)
			return
		}
	}
}

// TestOwnersLostInARowCostNoStartTooMany: the same for several owners that are lost one after
// another. It guards against an owner that does not hand on which workers were lost before it read
// their lists: the task crashes first 0.1 s before its owner ends; the next owner ends while it
// still waits for another worker, and the third one would count the crashes from zero.
func TestOwnersLostInARowCostNoStartTooMany(t *testing.T) {
	for _, between := range []time.Duration{1700 * time.Millisecond, 3 * time.Second} {
		f := newCrashFleet(t, 24)
		f.crashDown = 500 * time.Millisecond
		bad, good := simpleJob(1, 1), simpleJob(2, 24)
		f.crasher = firstTaskOf(bad)
		f.core.AddJob(good, nil, false, f.now)
		f.pass(8 * time.Second)
		f.core.AddJob(bad, nil, false, f.now)
		for f.crashed() == 0 {
			f.pass(20 * time.Millisecond)
		}
		f.storeDown = true
		f.pass(100 * time.Millisecond)
		f.takeOver(bad, good)
		f.storeDown = false
		silent := f.vms[len(f.vms)-1]
		f.cut[silent] = true
		f.pass(between)
		f.cut[silent] = false
		f.takeOver(bad, good)
		f.crashDown = crashDown
		other := len(f.vms) // counts down through racks where the task does not start
		for seen := f.crashed(); f.now.Steady < 120*time.Second && f.state(bad) != job.Failed; {
			f.pass(20 * time.Millisecond)
			if n := f.crashed(); n != seen {
				seen = n
				other -= crashRack
				f.end(f.vms[other], crashDown) // so that no crash is isolated
			}
		}
		f.checkGivenUp(bad, good)
	}
}
