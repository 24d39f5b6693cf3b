package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// failingFleet is a fleet whose runs end as a test directs, with jobs of other customers.
type failingFleet struct {
	*crashFleet
	// outcome returns how a run ends and when after its start; never if the kind is empty.
	outcome func(w WorkerID, id job.TaskID) (EndKind, time.Duration)
	since   map[job.TaskID]time.Duration
	specs   []*job.Spec
	// mostAvoided is the most workers that were excluded at once, avoided those that ever were.
	mostAvoided int
	avoided     map[WorkerID]bool
	// failures counts the failed runs by worker.
	failures map[WorkerID]int
}

func newFailingFleet(t *testing.T, vms int) *failingFleet {
	return &failingFleet{crashFleet: newCrashFleet(t, vms), since: map[job.TaskID]time.Duration{}, avoided: map[WorkerID]bool{}, failures: map[WorkerID]int{}}
}

func (f *failingFleet) add(spec *job.Spec) {
	f.specs = append(f.specs, spec)
	f.core.AddJob(spec, nil, false, f.now)
}

// play advances the time by one step, and ends the runs whose time has come.
func (f *failingFleet) play() {
	f.pass(100 * time.Millisecond)
	for w, runs := range f.running {
		for id, run := range runs {
			if _, known := f.since[id]; !known {
				f.since[id] = f.now.Steady
			}
			if kind, after := f.outcome(w, id); kind != "" && f.now.Steady-f.since[id] >= after {
				delete(f.since, id)
				delete(runs, id)
				f.ended[w] = append(f.ended[w], EndedTask{Number: uint64(len(f.ended[w]) + 1), Task: id, Run: run, Kind: kind})
				if kind == EndFailed {
					f.failures[w]++
				}
			}
		}
	}
	avoided := 0
	for id, w := range f.core.workers {
		if f.now.Steady < w.avoidUntil {
			avoided++
			f.avoided[id] = true
		}
	}
	f.mostAvoided = max(f.mostAvoided, avoided)
}

// longestWait returns how long the jobs of a range of ids, with tasks to run, have had nothing running.
func (f *failingFleet) longestWait(from int) (longest time.Duration) {
	for _, spec := range f.specs {
		if j := f.core.jobs[spec.ID]; spec.ID >= fmt.Sprintf("%016x", from) && j != nil && !j.progress.State.Final() && j.active == 0 {
			longest = max(longest, f.now.Steady-j.idleSince)
		}
	}
	return longest
}

// Ids of jobs in these tests: failing ones are below firstSound.
const firstSound = 1000

// TestFailingJobsLeaveWorkersToOthers guards against jobs whose tasks fail wherever they run and
// so exclude the workers for everybody. The sound jobs always have something running, few workers
// are excluded at once, and owners are replaced meanwhile.
func TestFailingJobsLeaveWorkersToOthers(t *testing.T) {
	for _, workers := range []int{2, 5, 24} {
		for _, kind := range []string{"lasting", "short", "stream", "short and lasting"} {
			for _, jobs := range []int{1, 2, 6} {
				for _, takeoverEvery := range []int{0, 17, 40} {
					t.Run(fmt.Sprintf("%d workers/%d %s/takeover every %d", workers, jobs, kind, takeoverEvery), func(t *testing.T) {
						f := newFailingFleet(t, workers)
						f.outcome = func(_ WorkerID, id job.TaskID) (EndKind, time.Duration) {
							if id.Job < fmt.Sprintf("%016x", firstSound) {
								return EndFailed, 300 * time.Millisecond
							}
							return EndDone, 500 * time.Millisecond
						}
						failing := 0
						addFailing := func(lasting bool) {
							failing++
							spec := simpleJob(failing, 2*workers)
							spec.Steps[0].LongRunning, spec.Steps[0].CPUMilli = lasting, 16000/int64(3*jobs)
							f.add(spec)
						}
						for i := range jobs {
							addFailing(kind == "lasting" || kind == "short and lasting" && i%2 == 0)
						}
						for step := range 150 {
							if step%5 == 0 {
								f.add(simpleJob(firstSound+step, 2))
							}
							if kind == "stream" && step%5 == 2 {
								addFailing(false)
							}
							if takeoverEvery > 0 && step%takeoverEvery == takeoverEvery-1 {
								f.takeOver(f.specs...)
							}
							f.play()
							if wait := f.longestWait(firstSound); wait > 3*time.Second {
								t.Fatalf("a sound job has had nothing running for %v after %d steps; excluded: %v", wait, step, f.core.countExclusions("svc", f.now))
							}
						}
						if most := max(int(maxAvoidedShare*float64(workers)), 1); f.mostAvoided > most {
							t.Errorf("%d of %d workers were excluded at once, at most %d allowed", f.mostAvoided, workers, most)
						}
					})
				}
			}
		}
	}
}

// TestBadWorkersAreStillExcluded guards against a bad worker that keeps getting tasks: all runs
// fail there, of one wide job, of many small ones, or of lasting ones.
func TestBadWorkersAreStillExcluded(t *testing.T) {
	for _, kind := range []string{"one job", "many jobs", "lasting", "beside a failing job"} {
		t.Run(kind, func(t *testing.T) {
			f := newFailingFleet(t, 8)
			bad := f.incarnation["m03"]
			f.outcome = func(w WorkerID, id job.TaskID) (EndKind, time.Duration) {
				switch {
				case w == bad || id.Job == simpleJob(1).ID && kind == "beside a failing job":
					return EndFailed, 200 * time.Millisecond
				case kind == "lasting":
					return "", 0
				default:
					return EndDone, time.Second
				}
			}
			f.add(simpleJob(1, 24))
			for step := range 300 {
				switch {
				case kind == "one job" && step == 0:
					f.add(simpleJob(2, 1500))
				case kind == "lasting" && step%40 == 0:
					spec := simpleJob(2+step, 10)
					spec.Steps[0].LongRunning = true
					f.add(spec)
				case (kind == "many jobs" || kind == "beside a failing job") && step%2 == 0:
					f.add(simpleJob(2+step, 6))
				}
				f.play()
			}
			if n := f.failures[bad]; !f.avoided[bad] && n > 2*failStreakLimit || n > 4*32 { // 32 tasks fit there; it is tried again after 2, 6 and 14 s
				t.Errorf("%d runs failed at the bad worker, excluded: %v", n, f.avoided[bad])
			}
			if len(f.avoided) > 2 {
				t.Errorf("%d workers were excluded, one is bad", len(f.avoided))
			}
		})
	}
}

// TestFailingLongRunningTasksRestartLater guards against a task that fails soon after each start
// and is started again at once for ever, and against a task that waits long although its run had
// worked.
func TestFailingLongRunningTasksRestartLater(t *testing.T) {
	for _, c := range []struct {
		works      time.Duration
		least, max int
	}{{200 * time.Millisecond, 8, 20}, {settledAfter + time.Second, 9, 12}} {
		f := newFailingFleet(t, 3)
		f.outcome = func(WorkerID, job.TaskID) (EndKind, time.Duration) { return EndFailed, c.works }
		spec := simpleJob(1, 1)
		spec.Steps[0].LongRunning = true
		f.add(spec)
		for range 600 {
			f.play()
		}
		if n := len(f.starts[job.TaskID{Job: spec.ID}]); n < c.least || n > c.max {
			t.Errorf("%d starts in a minute of a task that works for %v, want %d to %d", n, c.works, c.least, c.max)
		}
	}
}
