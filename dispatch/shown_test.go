package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// shownState returns the state that a customer may be shown.
func shownState(t *testing.T, core *Core, id string) job.State {
	t.Helper()
	state, known := core.Status(id)
	if !known {
		t.Fatalf("job %s is not known", id)
	}
	return state
}

// TestFinalStatesAreShownOnceStored: an end that is not stored may be lost with its owner, so it is
// not shown before, and the worker must not forget it.
func TestFinalStatesAreShownOnceStored(t *testing.T) {
	for name, c := range map[string]struct {
		kind EndKind
		want job.State
	}{
		"done": {EndDone, job.Succeeded}, "failed": {EndFailed, job.Failed},
	} {
		core, now := idleCore(t, 1)
		core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: 1, Stretch: 2}}})
		spec := simpleJob(1, 1)
		core.AddJob(spec, nil, false, now)
		core.Schedule(now)
		o := starts(core)[0]
		listEnds(core, "w0", 1100, now, EndedTask{Number: 1, Task: o.Task, Run: o.Run, Kind: c.kind})
		if got := shownState(t, core, spec.ID); got.Final() {
			t.Errorf("%s: shown as %s before it is stored", name, got)
		}
		if seen := core.workers["w0"].storedEnd; seen != 0 {
			t.Errorf("%s: the worker may forget end %d before it is stored", name, seen)
		}
		records, err := core.Records(1)
		if err != nil {
			t.Fatal(err)
		}
		core.Persisted(records)
		if got := shownState(t, core, spec.ID); got != c.want {
			t.Errorf("%s: shown as %s once stored, want %s", name, got, c.want)
		}
		if seen := core.workers["w0"].storedEnd; seen != 1 {
			t.Errorf("%s: end %d may be forgotten once stored, want 1", name, seen)
		}
	}
}

// TestCancelledIsShownOnceStored: a cancellation is not shown before it is stored, but nothing
// starts once the core has received it.
func TestCancelledIsShownOnceStored(t *testing.T) {
	core, now := idleCore(t, 1)
	spec := simpleJob(1, 1, 1)
	core.AddJob(spec, nil, false, now)
	core.Cancel(spec.ID, now)
	if got := shownState(t, core, spec.ID); got.Final() {
		t.Errorf("shown as %s before it is stored", got)
	}
	now.Steady += time.Second
	core.Tick(now)
	if list := starts(core); len(list) > 0 {
		t.Errorf("%d tasks of a cancelled job start", len(list))
	}
}
