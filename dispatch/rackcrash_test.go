package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestCrashesThatLookLikeALostRackCostNoStartTooMany: at one or two crashes of a task the rest of
// the rack crashes too, so that the worker seems lost with its rack. Such a crash must still count
// towards the limit: the task is started at most as often as users allow, and no other job fails.
func TestCrashesThatLookLikeALostRackCostNoStartTooMany(t *testing.T) {
	if testing.Short() {
		t.Skip("long test, skipped with -short")
	}
	for set := 1; set < 1<<(mostStartsOfACrasher-1); set++ {
		var crashes []int
		for i := range mostStartsOfACrasher - 1 {
			if set&(1<<i) != 0 {
				crashes = append(crashes, i+1)
			}
		}
		if len(crashes) > maxCrashes-crashLimit {
			continue
		}
		for _, after := range []time.Duration{0, 100, 300, 500, 800} {
			for _, sameID := range []bool{false, true} {
				after := after * time.Millisecond
				t.Run(fmt.Sprintf("crashes %v, rack %v later, same ids %v", crashes, after, sameID), func(t *testing.T) {
					lostRackRun(t, newCrashFleetOf(t, 24, sameID), crashes, after)
				})
			}
		}
	}
}

func lostRackRun(t *testing.T, f *crashFleet, crashes []int, after time.Duration) {
	t.Helper()
	f.playCrasher(48, func(crash int, _ ...*job.Spec) {
		if !slices.Contains(crashes, crash) {
			f.endAnyOther() // so that no crash is isolated
			return
		}
		rack := f.rackThatCrashed()
		f.pass(after)
		for _, vm := range f.vms {
			if f.info(vm).Rack == rack && f.down[vm] == 0 {
				f.end(vm, crashDown)
			}
		}
	})
}

// rackThatCrashed returns the rack of the VM whose worker crashed most recently.
func (f *crashFleet) rackThatCrashed() string {
	newest := f.vms[0]
	for _, vm := range f.vms {
		if f.down[vm] > f.down[newest] {
			newest = vm
		}
	}
	return f.info(newest).Rack
}
