package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestOneOwnerLostCostsNoStartTooMany: whichever of a task's crashes an owner's end follows,
// and however soon, also if the store took nothing since the crash, the task is started as
// often as users allow. Others crash at each of its crashes, so that none is a proof.
//
// Users would see two runs too many of a task that crashes its workers, and ten tasks beside
// it lost each time, if an owner's end made the next one forget what was not written yet.
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

// TestLostOwnerAndWorkersUnderTheSameID: the same, where workers restart under their ids. What
// the previous owner may have ordered of a life is waited for at the next one; that the life
// before was lost unheard was forgotten with it, and a task was started six times.
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

// lostOwnerRun plays an owner that is lost some time after one of a task's crashes.
func lostOwnerRun(t *testing.T, f *crashFleet, crash int, after time.Duration, storeDown bool) {
	t.Helper()
	bad, good := simpleJob(1, 1), simpleJob(2, 24)
	f.crasher = crashesOf(bad)
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

// TestOwnersLostInARowCostNoStartTooMany: as with one owner that is lost, however many are lost
// one after the other.
//
// What callers saw: a task that crashes its workers was started three times after the third
// crash, two are allowed. Its first crash came 0.1 s before its owner was killed. The next owner
// saw that the worker's life was over, while it still waited for another worker with all tasks;
// it was killed then, and the one after it counted from nothing: what an owner knows of workers
// that were lost unheard is not handed on.
func TestOwnersLostInARowCostNoStartTooMany(t *testing.T) {
	for _, between := range []time.Duration{1700 * time.Millisecond, 3 * time.Second} {
		f := newCrashFleet(t, 24)
		f.crashDown = 500 * time.Millisecond
		bad, good := simpleJob(1, 1), simpleJob(2, 24)
		f.crasher = crashesOf(bad)
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
		other := len(f.vms) // in racks where the task does not start
		for seen := f.crashed(); f.now.Steady < 120*time.Second && f.state(bad) != job.Failed; {
			f.pass(20 * time.Millisecond)
			if n := f.crashed(); n != seen {
				seen = n
				other -= crashRack
				f.end(f.vms[other], crashDown) // so that no crash is a proof
			}
		}
		f.checkGivenUp(bad, good)
	}
}
