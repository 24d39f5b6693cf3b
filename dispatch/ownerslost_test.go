package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"leverstile.dev/job"
)

// ownersLost is a case of owners that are lost at some crashes of a task.
type ownersLost struct {
	crashes []int
	after   time.Duration
	// down: the store accepts nothing from the crash on. sameID: workers restart under their
	// ids. others: another worker crashes at each crash of the task.
	down, sameID, others bool
}

func (x ownersLost) String() string {
	return fmt.Sprintf("crashes %v, %v later, store down %v, same ids %v, others crash %v", x.crashes, x.after, x.down, x.sameID, x.others)
}

// severalOwnersLost returns all choices of two to four of a task's crashes, with several delays.
func severalOwnersLost() []ownersLost {
	var list []ownersLost
	for set := range 1 << (mostStartsOfACrasher - 1) {
		var crashes []int
		for i := range mostStartsOfACrasher - 1 {
			if set&(1<<i) != 0 {
				crashes = append(crashes, i+1)
			}
		}
		if len(crashes) < 2 {
			continue
		}
		for _, after := range []time.Duration{0, 40, 100, 400, 1000, 2000, 2900, 3100} {
			for flags := range 8 {
				list = append(list, ownersLost{crashes, after * time.Millisecond, flags&1 != 0, flags&2 != 0, flags&4 != 0})
			}
		}
	}
	return list
}

// TestSeveralOwnersLostCostNoStartTooMany: at whichever crashes of a task owners are lost, and
// however soon after them, the task is started at most as often as users allow and its job fails.
// If crashes without any record counted as one for all lost owners together, the task would be
// started up to two times too often.
func TestSeveralOwnersLostCostNoStartTooMany(t *testing.T) {
	if testing.Short() {
		t.Skip("long test, skipped with -short")
	}
	for _, x := range severalOwnersLost() {
		t.Run(x.String(), func(t *testing.T) { x.play(t, newCrashFleetOf(t, 24, x.sameID)) })
	}
}

func (x ownersLost) play(t *testing.T, f *crashFleet) {
	t.Helper()
	f.playCrasher(24, func(crash int, jobs ...*job.Spec) {
		if x.others {
			f.endAnyOther()
		}
		if slices.Contains(x.crashes, crash) {
			f.storeDown = x.down
			f.pass(x.after)
			f.takeOver(jobs...)
			f.storeDown = false
		}
	})
}

// playCrasher runs a task that crashes its workers together with a job of the given number of
// tasks, calls atCrash at each crash, and checks that its job is given up.
func (f *crashFleet) playCrasher(beside int, atCrash func(crash int, jobs ...*job.Spec)) {
	f.t.Helper()
	bad, good := simpleJob(1, 1), simpleJob(2, beside)
	f.crasher = firstTaskOf(bad)
	f.core.AddJob(good, nil, false, f.now)
	f.pass(8 * time.Second)
	f.core.AddJob(bad, nil, false, f.now)
	for seen := 0; f.now.Steady < 3*time.Minute && f.state(bad) != job.Failed; {
		f.pass(20 * time.Millisecond)
		if n := f.crashed(); n != seen {
			seen = n
			atCrash(n, bad, good)
		}
	}
	f.checkGivenUp(bad, good)
}
