package dispatch

import (
	"slices"
	"testing"
	"time"

	"leverstile.dev/job"
)

// listedRun is a run of a job's first task that the previous owner started.
func listedRun(spec *job.Spec) RunningTask {
	return RunningTask{Task: job.TaskID{Job: spec.ID}, Run: 1<<runBits | 1, Percent: fullPace}
}

// takeoverWithRoster returns a core that took over with one worker in the roster, another
// one that is idle, and a job that the previous owner may have started.
func takeoverWithRoster(t *testing.T, now Instant) (*Core, *job.Spec) {
	t.Helper()
	core := recoveredCore(now, RosterEntry{ID: "w1", Address: "w1", VM: "m1"})
	core.params.TaskLease = 3 * time.Second
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2")}, now)
	rosterOf(t, core)
	poll(core, "w2", now.Steady, now.Steady+time.Millisecond)
	spec := simpleJob(1, 1)
	core.AddJob(spec, nil, true, now)
	return core, spec
}

// A run of the previous owner that starts after the worker has received the new term must be
// adopted, and not started elsewhere. It comes about if the worker checks the term of the previous
// owner's start, reports to the new owner in its first list that nothing runs, and only then
// carries out the start; two runs of one task would run at once.
func TestStartCheckedBeforeTheTakeoverRunsOnce(t *testing.T) {
	for name, ends := range map[string][]EndedTask{
		"the poll is held":           nil,
		"ends are listed, at once":   {{Number: 1, Task: job.TaskID{Job: "00000000000000ff"}, Run: 1<<runBits | 9, Kind: EndDone}},
		"as many as an answer holds": fullEnds(),
	} {
		t.Run(name, func(t *testing.T) {
			now := Instant{Steady: time.Second}
			core, spec := takeoverWithRoster(t, now)
			begins := now.Steady + 40*time.Millisecond
			for range 4 {
				order := core.PlanPoll("w1", now).Request
				unseen := slices.DeleteFunc(slices.Clone(ends), func(e EndedTask) bool { return e.Number <= order.Seen })
				if len(unseen) == 0 {
					now.Steady += order.Wait
				}
				reply := PollReply{ClockMS: now.Steady.Milliseconds(), Ended: unseen}
				if now.Steady >= begins {
					reply.Running = []RunningTask{listedRun(spec)}
				}
				now.Steady += time.Millisecond
				pause := core.PollDone(order, reply, OutcomeOK, now)
				core.Tick(now)
				core.Schedule(now)
				for _, o := range core.TakeOrders() {
					if o.Kind == OrderStart || o.Kind == OrderStop {
						t.Errorf("order %+v at %v", o, now.Steady)
					}
				}
				now.Steady += pause
			}
			if a := core.jobs[spec.ID].steps[0].tasks[0].attempt; a == nil || a.worker.info.ID != "w1" {
				t.Error("the run is not adopted")
			}
			if n := core.Recovering(); n != 0 {
				t.Errorf("%d workers unresolved", n)
			}
		})
	}
}

// startGapSeeds is the number of seeds of startsAfterGaps that are run: of 400, 24 violated an
// invariant while one list of each worker sufficed at a takeover, the first at seed 25.
const startGapSeeds = 60

// TestStartsAfterGaps simulates workers that carry out starts some time after the check of the
// starts' terms, beside the other faults.
func TestStartsAfterGaps(t *testing.T) {
	if testing.Short() {
		t.Skip("it is played without -short")
	}
	late := 0
	for seed := range uint64(startGapSeeds) {
		s := faultsRun(seed, startsAfterGaps)
		late += s.startedLate
		checkAll(t, s)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if late == 0 {
		t.Error("no start was carried out after a takeover")
	}
}
