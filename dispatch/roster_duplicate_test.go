package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A worker that was dropped from one part of the roster, and added to another before the first was
// written, has two entries and may run the tasks of either. If the next owner used only one entry,
// a task would run twice at a time.
func TestWorkerWithTwoRosterEntries(t *testing.T) {
	task := func(n int) string { return fmt.Sprintf("%s.0.0.%d", simpleJob(1, 3).ID, n) }
	open := RosterEntry{ID: "w1", VM: "m1"}
	closed := func(n int) RosterEntry {
		return RosterEntry{ID: "w1", VM: "m1", Closed: true, Tasks: []string{task(n)}}
	}
	for name, x := range map[string]struct {
		entries []RosterEntry
		started []string // before the worker's lists are read
	}{
		"two tasks":          {[]RosterEntry{closed(0), closed(1)}, []string{task(2)}},
		"one task twice":     {[]RosterEntry{closed(1), closed(1)}, []string{task(0), task(2)}},
		"any task, first":    {[]RosterEntry{open, closed(0)}, nil},
		"any task, second":   {[]RosterEntry{closed(0), open}, nil},
		"any task and again": {[]RosterEntry{open, open}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			now := Instant{Steady: time.Second}
			for i := range x.entries {
				x.entries[i].part = i
			}
			core := recoveredCore(now, append(slices.Clone(x.entries), RosterEntry{ID: "w2", VM: "m2", part: len(x.entries)})...)
			core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2")}, now)
			core.AddJob(simpleJob(1, 3), nil, true, now)
			rosterOf(t, core)
			poll(core, "w2", now.Steady, now.Steady+time.Millisecond)
			core.Schedule(now)
			if got := startedTasks(core); !slices.Equal(got, x.started) {
				t.Errorf("before the worker's lists are read, %v are started, want %v", got, x.started)
			}
			for range 2 { // a run that was just being started may be on the second list only
				now.Steady += 2 * startGap
				poll(core, "w1", now.Steady-startGap, now.Steady)
			}
			core.Schedule(now)
			if n := len(x.started) + len(startedTasks(core)); n != 3 {
				t.Errorf("%d tasks are started once all lists are read, want 3", n)
			}
			if n := core.Recovering(); n != 0 {
				t.Errorf("%d workers are unresolved once all lists are read", n)
			}
		})
	}
}

// startedTasks returns the tasks of the starts that were decided, sorted.
func startedTasks(core *Core) []string {
	var list []string
	for _, o := range starts(core) {
		list = append(list, o.Task.String())
	}
	slices.Sort(list)
	return list
}
