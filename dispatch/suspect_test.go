package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"leverstile.dev/job"
)

// crashingJob returns a job of four tasks and a kind of step; task 0 is meant to crash its workers.
func crashingJob(id int, kind string) *job.Spec {
	spec := simpleJob(id, 4)
	switch kind {
	case "gang":
		spec.Steps[0].Gang = true
	case "gang of one rack":
		spec.Steps[0].Gang, spec.Steps[0].SameRack = true, true
	case "lasting":
		spec.Steps[0].LongRunning = true
	case "timed":
		spec.Occurrences, spec.FirstDueMS, spec.IntervalMS = 3, 1, 20_000
	case "copies":
		spec.Steps[0].Speculative = true
	case "fills":
		spec.Steps[0].Fills = true
	case "spread":
		spec.Steps[0].MaxPerWorker = 1
	}
	return spec
}

// firstTaskOf returns a function that reports whether a task is the first one of a job.
func firstTaskOf(spec *job.Spec) func(job.TaskID) bool {
	return func(id job.TaskID) bool { return id.Job == spec.ID && id.Index == 0 }
}

// checkGivenUp checks that a job has failed, that its first task was started at most
// mostStartsOfACrasher times, and that no other job has failed.
func (f *crashFleet) checkGivenUp(bad *job.Spec, others ...*job.Spec) {
	f.t.Helper()
	for id, runs := range f.starts {
		if id.Job == bad.ID && id.Index == 0 && len(runs) > mostStartsOfACrasher {
			f.t.Errorf("%v was started %d times, want at most %d", id, len(runs), mostStartsOfACrasher)
		}
	}
	if s := f.state(bad); s != job.Failed {
		f.t.Errorf("the job is %q, want failed", s)
	}
	for _, spec := range others {
		if s := f.state(spec); s == job.Failed {
			f.t.Errorf("job %s, which crashes nothing, has failed", spec.ID)
		}
	}
}

// crashed returns how many workers have crashed.
func (f *crashFleet) crashed() int {
	n := 0
	for _, c := range f.crashes {
		n += c
	}
	return n
}

// TestCrashersOfEachKindAreGivenUp: whatever the kind of its step, a task that crashes its
// workers is given up after three of them, and no other job fails.
func TestCrashersOfEachKindAreGivenUp(t *testing.T) {
	for _, kind := range []string{"plain", "gang", "gang of one rack", "lasting", "timed", "copies", "fills", "spread"} {
		t.Run(kind, func(t *testing.T) {
			f := newCrashFleet(t, 12)
			bad, good, longRunning := crashingJob(1, kind), simpleJob(2, 24), crashingJob(3, "lasting")
			f.crasher = firstTaskOf(bad)
			f.core.AddJob(good, nil, false, f.now)
			f.core.AddJob(longRunning, nil, false, f.now)
			f.pass(time.Second)
			f.core.AddJob(bad, nil, false, f.now)
			f.pass(60 * time.Second)
			f.checkGivenUp(bad, good, longRunning)
			if n := f.crashed(); n > crashLimit {
				t.Errorf("%d workers have crashed, want %d", n, crashLimit)
			}
			if f.core.Suspects() != 0 {
				t.Errorf("%d tasks are still suspected", f.core.Suspects())
			}
		})
	}
}

// TestManyCrashersAreDistinguished: several tasks that crash their workers at once, including some
// that were started together, are all given up within maxCrashes workers each, and no other task is.
func TestManyCrashersAreDistinguished(t *testing.T) {
	f := newCrashFleet(t, 24)
	good := simpleJob(50, 100)
	f.core.AddJob(good, nil, false, f.now)
	var bad []*job.Spec
	f.crasher = func(id job.TaskID) bool { return id.Job != good.ID && id.Index == 0 }
	for i := range 6 {
		spec := simpleJob(i+1, 5)
		bad = append(bad, spec)
		f.core.AddJob(spec, nil, false, f.now)
	}
	f.pass(90 * time.Second)
	for _, spec := range bad {
		f.checkGivenUp(spec, good)
	}
	if n := f.crashed(); n > len(bad)*maxCrashes {
		t.Errorf("%d workers have crashed under %d tasks", n, len(bad))
	}
}

// TestCrashesOutliveTheOwner: the next owner continues the count of crashes, whether the owner
// ends after it has counted one, while the worker is down, or long after.
func TestCrashesOutliveTheOwner(t *testing.T) {
	for name, after := range map[string]time.Duration{
		"while the worker is away": time.Second, "after each crash was counted": 3500 * time.Millisecond, "at each third crash": 10 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 12)
			bad, good := simpleJob(1, 1), simpleJob(2, 24)
			f.crasher = firstTaskOf(bad)
			f.core.AddJob(good, nil, false, f.now)
			f.core.AddJob(bad, nil, false, f.now)
			for seen := 0; f.now.Steady < 120*time.Second && f.state(bad) != job.Failed; {
				f.pass(20 * time.Millisecond)
				if n := f.crashed(); n > seen {
					seen = n
					f.pass(after)
					f.takeOver(bad, good)
				}
			}
			f.checkGivenUp(bad, good)
			f.takeOver(bad, good)
			f.pass(20 * time.Second)
			f.checkGivenUp(bad, good)
		})
	}
}

// TestCrashDuringTakeover: the owner ends as the worker crashes, before it has written anything
// of the crash, and the next owner must not allow maxCrashes further ones: an owner killed 66 ms after
// the first crash led to five more. Another worker crashes at each later crash, so that none is
// isolated and maxCrashes ends the job.
func TestCrashDuringTakeover(t *testing.T) {
	f := newCrashFleet(t, 24)
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
		if seen = n; n == 1 {
			f.takeOver(bad, good)
			continue
		}
		for _, vm := range f.vms {
			if _, down := f.down[vm]; !down {
				f.end(vm, crashDown)
				break
			}
		}
	}
	f.checkGivenUp(bad, good)
}

// TestStartOfASuspectWaitsForTheStore: until the store holds the crashes of a suspect, it is not
// started again; otherwise the end of the owner would lose them.
func TestStartOfASuspectWaitsForTheStore(t *testing.T) {
	f := newCrashFleet(t, 12)
	bad := simpleJob(1, 1)
	f.crasher = firstTaskOf(bad)
	f.core.AddJob(bad, nil, false, f.now)
	f.pass(time.Second)
	f.storeDown = true
	f.pass(20 * time.Second)
	if n := f.crashed(); n != 1 {
		t.Errorf("%d workers have crashed while the store was down, want only the first", n)
	}
	e := f.core.Explain(bad.ID, f.now)
	if len(e.Tasks) != 1 || !strings.Contains(e.Tasks[0].WaitsFor, "store") || e.Tasks[0].Crashes != 1 {
		t.Errorf("Explain returned %+v", e.Tasks)
	}
	f.storeDown = false
	f.pass(60 * time.Second)
	f.checkGivenUp(bad)
}

// TestVMsThatComeBackLateCountTheirCrashes: a crash also counts if it is proven only after the
// leases have expired, when the task already runs elsewhere.
func TestVMsThatComeBackLateCountTheirCrashes(t *testing.T) {
	for _, downFor := range []time.Duration{6 * time.Second, 9 * time.Second, 15 * time.Second, 25 * time.Second} {
		t.Run(downFor.String(), func(t *testing.T) {
			f := newCrashFleet(t, 12)
			bad, good := simpleJob(1, 1), simpleJob(2, 24)
			f.crashDown = downFor
			f.crasher = firstTaskOf(bad)
			f.core.AddJob(good, nil, false, f.now)
			f.core.AddJob(bad, nil, false, f.now)
			f.pass(150 * time.Second)
			f.checkGivenUp(bad, good)
		})
	}
}

// TestEndsThatAreNoCrashes: a task is not suspected if its workers are drained, cut off, lost
// with their racks, or keep running while they refuse connections, however often.
func TestEndsThatAreNoCrashes(t *testing.T) {
	const downFor = 2 * time.Second
	for name, end := range map[string]func(f *crashFleet, vm string){
		"drained": func(f *crashFleet, vm string) {
			f.draining[vm] = true
			f.pass(time.Second)
			f.end(vm, downFor)
			f.draining[vm] = false
		},
		"cut off and started again": func(f *crashFleet, vm string) {
			f.cut[vm] = true
			f.pass(2 * time.Second)
			f.end(vm, downFor)
			f.cut[vm] = false
		},
		"cut off for longer than its leases": func(f *crashFleet, vm string) {
			f.cut[vm] = true
			f.pass(8 * time.Second)
			f.cut[vm] = false
		},
		"lost with its rack": func(f *crashFleet, vm string) {
			for _, other := range f.vms {
				if f.info(other).Rack == f.info(vm).Rack {
					f.end(other, downFor)
				}
			}
		},
		"refuses connections for longer than its leases": func(f *crashFleet, vm string) {
			f.down[vm] = f.now.Steady + time.Hour
			f.pass(8 * time.Second)
			delete(f.down, vm) // the same incarnation answers
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 12)
			spec := simpleJob(1, 1)
			spec.Steps[0].LongRunning = true
			f.core.AddJob(spec, nil, false, f.now)
			for range 6 {
				f.pass(time.Second)
				if f.state(spec) != job.Running {
					t.Fatalf("the job is %s: %v", f.state(spec), f.decisionsOf("task_suspected"))
				}
				w := f.core.jobs[spec.ID].steps[0].tasks[0].attempt
				if w == nil {
					t.Fatal("the task does not run")
				}
				end(f, w.worker.info.VM)
				f.pass(6 * time.Second)
			}
			if n := f.core.jobs[spec.ID].progress.CrashCount(job.TaskID{Job: spec.ID}).All; n > 0 {
				t.Errorf("%d crashes were counted", n)
			}
			if s := f.state(spec); s != job.Running {
				t.Errorf("the job is %s", s)
			}
			if n := len(f.starts[job.TaskID{Job: spec.ID}]); n < 6 {
				t.Errorf("started %d times", n)
			}
		})
	}
}

// TestWavesOfCrashesFailNoJob: workers crash at random, 15% at a time as users expect and wave
// after wave, as in a fleet with a fault of its own. Tasks that were at three crashing workers
// by chance must not fail their jobs.
func TestWavesOfCrashesFailNoJob(t *testing.T) {
	if testing.Short() {
		t.Skip("long test, skipped with -short")
	}
	const share = 0.15
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newCrashFleet(t, 24)
		var specs []*job.Spec
		for i := range 4 {
			spec := simpleJob(i+1, 30)
			specs = append(specs, spec)
			f.core.AddJob(spec, nil, false, f.now)
		}
		for range 12 {
			f.pass(3*time.Second + time.Duration(rng.IntN(2000))*time.Millisecond)
			for _, vm := range f.vms {
				if rng.Float64() < share {
					f.end(vm, crashDown)
				}
			}
		}
		f.pass(20 * time.Second)
		for _, spec := range specs {
			if s := f.state(spec); s != job.Running {
				t.Errorf("seed %d: job %s is %s: %v", seed, spec.ID, s, f.decisionsOf("job_failed"))
			}
		}
		if n := f.core.Suspects(); n > 0 {
			t.Errorf("seed %d: %d tasks are still suspected 20 s after the last crash", seed, n)
		}
		if n := len(f.decisionsOf("task_suspected")); n < 20 {
			t.Errorf("seed %d: only %d suspicions", seed, n)
		}
	}
}

// TestLateEndDoesNotClear: an end of a run before the crashes that is reported late proves
// nothing about them; one of a later run does.
func TestLateEndDoesNotClear(t *testing.T) {
	f := newCrashFleet(t, 12)
	spec := simpleJob(1, 1)
	id := job.TaskID{Job: spec.ID}
	f.core.AddJob(spec, nil, false, f.now)
	f.pass(time.Second)
	first := f.core.jobs[spec.ID].steps[0].tasks[0].attempt
	vm, incarnation, run := first.worker.info.VM, first.worker.info.ID, first.run
	f.cut[vm] = true
	f.pass(15 * time.Second) // its leases have expired, the task runs elsewhere
	second := f.core.jobs[spec.ID].steps[0].tasks[0].attempt
	if second == nil || second.worker.info.ID == incarnation {
		t.Fatal("the task was not started elsewhere")
	}
	f.end(second.worker.info.VM, crashDown)
	f.pass(4 * time.Second)
	crashes := func() int { return f.core.jobs[spec.ID].progress.CrashCount(id).All }
	if n := crashes(); n != 0 {
		t.Fatalf("%d crashes of a run that had outlived its start, want 0", n)
	}
	third := f.core.jobs[spec.ID].steps[0].tasks[0].attempt
	f.end(third.worker.info.VM, crashDown)
	f.pass(4 * time.Second)
	if n := crashes(); n != 1 {
		t.Fatalf("%d crashes, want 1", n)
	}
	delete(f.running[incarnation], id)
	f.ended[incarnation] = []EndedTask{{Number: 1, Task: id, Run: run, Kind: EndFailed}}
	f.cut[vm] = false
	f.pass(time.Second)
	if n := crashes(); n != 1 {
		t.Errorf("%d crashes after the end of an earlier run was reported, want 1", n)
	}
	f.finish(id, EndFailed)
	f.pass(time.Second)
	if n := crashes(); n != 0 {
		t.Errorf("%d crashes after a run that its worker outlived, want 0", n)
	}
}

// TestSuspectsAreStartedApart: suspects are started at different workers, so that the next crash
// can be attributed to one of them, and nothing else is started beside a recently started task on
// trial, so that its crash does not affect tasks that serve customers.
func TestSuspectsAreStartedApart(t *testing.T) {
	f := newCrashFleet(t, 12)
	spec := simpleJob(1, 6)
	f.core.AddJob(spec, nil, false, f.now)
	f.pass(500 * time.Millisecond)
	tasks := f.core.jobs[spec.ID].steps[0].tasks
	for _, x := range tasks {
		progress := &f.core.jobs[spec.ID].progress
		progress.RecordCrash(x.id(), job.Crash{Run: 1})
		if x.index < 2 {
			progress.RecordCrash(x.id(), job.Crash{Run: 2})
		}
		f.core.setCrashes(x, progress.CrashCount(x.id()).All)
		f.core.release(x.attempt, f.now)
	}
	f.running = map[WorkerID]map[job.TaskID]uint64{}
	for _, id := range f.incarnation {
		f.running[id] = map[job.TaskID]uint64{}
	}
	f.core.AddJob(simpleJob(2, 60), nil, false, f.now)
	f.pass(trialInterval + 300*time.Millisecond)
	if apart := tasks[1].attempt.placedAt - tasks[0].attempt.placedAt; apart.Abs() < trialInterval {
		t.Errorf("tasks on trial were started %v apart", apart)
	}
	at := map[WorkerID]int{}
	for _, x := range tasks {
		if x.attempt == nil {
			t.Fatalf("%v does not run", x.id())
		}
		at[x.attempt.worker.info.ID]++
		if x.index < 2 {
			if !x.attempt.trial {
				t.Errorf("%v is not on trial", x.id())
			}
			newest := slices.MaxFunc(x.attempt.worker.attempts, func(a, b *attempt) int { return int(a.placedAt - b.placedAt) })
			if newest.placedAt > x.attempt.placedAt {
				t.Errorf("%v was started beside %v, which is on trial", newest.task.id(), x.id())
			}
		}
	}
	for id, n := range at {
		if n > 1 {
			t.Errorf("%d suspects were started at %s at once", n, id)
		}
	}
}

// TestRosterKeepsRecentRuns: roster entries with task names that are invalid or unknown are harmless.
func TestRosterKeepsRecentRuns(t *testing.T) {
	now := Instant{Steady: time.Second}
	entry := RosterEntry{ID: "old", Address: "old", VM: "m1", Closed: true, Tasks: []string{"x"}, RecentRuns: []LostRun{{Task: "x", Run: 1}, {Task: fmt.Sprintf("%016x.0.0.9", 1), Run: 2}}}
	core := recoveredCore(now, entry)
	core.SetWorkers([]WorkerInfo{testWorkerInfo("new", "m1")}, now)
	core.AddJob(simpleJob(1, 1), nil, true, now)
	poll(core, "new", 1100*time.Millisecond, 1110*time.Millisecond)
	if n := core.Recovering(); n != 0 {
		t.Errorf("waits for %d workers", n)
	}
	if n := core.Suspects(); n != 0 {
		t.Errorf("%d tasks are suspected", n)
	}
}
