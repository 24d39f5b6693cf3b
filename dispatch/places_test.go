package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"leverstile.dev/job"
)

// listEnds has a worker list these ended tasks, and no running ones.
func listEnds(core *Core, id WorkerID, clock int64, now Instant, ended ...EndedTask) {
	core.PollDone(PollRequest{Worker: id}, PollReply{ClockMS: clock, Ended: ended}, OutcomeOK, now)
}

// placesOf returns the workers of these start orders, sorted.
func placesOf(list []Order) string {
	places := make([]string, len(list))
	for i, o := range list {
		places[i] = string(o.Worker)
	}
	slices.Sort(places)
	return fmt.Sprint(places)
}

// TestGangRespectsLabelAndSpread: the label and the limit per worker apply to gang members.
func TestGangRespectsLabelAndSpread(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *job.Step)
		want   string
	}{
		"label":  {func(s *job.Step) { s.Requires = "label1" }, "[w1 w1 w1]"},
		"spread": {func(s *job.Step) { s.MaxPerWorker = 1 }, "[w0 w1 w2]"},
	} {
		core, now := idleCore(t, 3)
		spec := simpleJob(1, 3)
		spec.Steps[0].Gang = true
		c.change(&spec.Steps[0])
		core.AddJob(spec, nil, false, now)
		core.Schedule(now)
		if got := placesOf(starts(core)); got != c.want {
			t.Errorf("%s: started at %s, want %s", name, got, c.want)
		}
	}
}

// TestGangAwaitsCapacityForItsSpread: a gang that its limit per worker keeps from starting whole
// does not start at all.
func TestGangAwaitsCapacityForItsSpread(t *testing.T) {
	core, now := idleCore(t, 2)
	spec := simpleJob(1, 3)
	spec.Steps[0].Gang, spec.Steps[0].MaxPerWorker = true, 1
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	if list := starts(core); len(list) > 0 {
		t.Errorf("%d of 3 members start at 2 workers", len(list))
	}
}

// TestStoppedTaskKeepsItsPlace: until the end of a stopped run is listed, the run counts towards
// the worker's capacity and the step's limit per worker.
func TestStoppedTaskKeepsItsPlace(t *testing.T) {
	for name, change := range map[string]func(s *job.Step){
		"spread":       func(s *job.Step) { s.MaxPerWorker = 1 },
		"processors":   func(s *job.Step) { s.CPUMilli = 3000 },
		"memory":       func(s *job.Step) { s.MemoryMiB = 5000 },
		"accelerators": func(s *job.Step) { s.Accelerators = 1 },
	} {
		core, now := idleCore(t, 1)
		core.workers["w0"].info.Accelerators = 1
		spec := simpleJob(1, 2)
		change(&spec.Steps[0])
		core.AddJob(spec, nil, false, now)
		core.Schedule(now)
		list := starts(core)
		if len(list) != 1 {
			t.Fatalf("%s: %d starts, want 1", name, len(list))
		}
		core.OrderDone(list[0], Answer{Outcome: OutcomeOK, ClockMS: 1001}, now)
		core.stop(core.findTask(list[0].Task).attempt, "test", now)
		now.Steady += 100 * time.Millisecond
		core.Schedule(now)
		if again := starts(core); len(again) > 0 {
			t.Errorf("%s: a task starts beside one that is being stopped", name)
		}
		listEnds(core, "w0", 1200, now, EndedTask{Number: 1, Task: list[0].Task, Run: list[0].Run, Kind: EndStopped})
		now.Steady += 100 * time.Millisecond
		core.Schedule(now)
		if again := starts(core); len(again) != 1 {
			t.Errorf("%s: %d starts after the end is listed, want 1", name, len(again))
		}
	}
}

// TestAdoptedRunsTakeTheirPlace: runs that the previous owner started count towards the worker's
// capacity and the step's limit per worker.
func TestAdoptedRunsTakeTheirPlace(t *testing.T) {
	for name, change := range map[string]func(s *job.Step){
		"spread": func(s *job.Step) { s.MaxPerWorker = 1 },
		"room":   func(s *job.Step) { s.CPUMilli = 3000 },
	} {
		now := Instant{Steady: time.Second}
		core := leasedCore(Params{}, 2, now)
		core.Recover([]RosterEntry{{ID: "w0", Address: "w0"}}, now)
		spec := simpleJob(1, 2)
		change(&spec.Steps[0])
		core.AddJob(spec, nil, true, now)
		core.SetWorkers([]WorkerInfo{{ID: "w0", Address: "w0", Service: "svc", CPUMilli: 4000, MemoryMiB: 8000}}, now)
		storeOpen(core, "w0")
		row := RunningTask{Task: job.TaskID{Job: spec.ID}, Run: 1<<runBits | 1, Percent: 10}
		core.PollDone(core.PlanPoll("w0", now).Request, PollReply{ClockMS: 1000, Running: []RunningTask{row}}, OutcomeOK, now)
		core.Schedule(now)
		if list := starts(core); len(list) > 0 {
			t.Errorf("%s: task %s starts beside an adopted one", name, list[0].Task)
		}
		if a := core.findTask(row.Task).attempt; a == nil || !a.adopted {
			t.Errorf("%s: the run is not adopted", name)
		}
	}
}

// TestStepsWaitWithinTheirOccurrence: in a repeated job, a step waits for the earlier steps of its
// own occurrence, not of another.
func TestStepsWaitWithinTheirOccurrence(t *testing.T) {
	core, now := idleCore(t, 1)
	spec := simpleJob(1, 1, 1)
	spec.Occurrences, spec.FirstDueMS = 2, now.UnixMS-1 // both are due
	core.AddJob(spec, nil, false, now)
	for round, occurrence := range []int{1, 0} {
		core.Schedule(now)
		for _, o := range starts(core) {
			if want := (job.TaskID{Job: spec.ID, Occurrence: 1, Step: 1}); round > 0 && o.Task != want {
				t.Errorf("task %s starts after step 0 of occurrence 1, want %s", o.Task, want)
			}
			core.OrderDone(o, Answer{Outcome: OutcomeOK, ClockMS: 1001}, now)
		}
		first := core.findTask(job.TaskID{Job: spec.ID, Occurrence: occurrence})
		if first.attempt == nil {
			t.Fatalf("step 0 of occurrence %d does not run", occurrence)
		}
		now.Steady += 100 * time.Millisecond
		core.processEnd(core.workers["w0"], &EndedTask{Number: uint64(round + 1), Task: first.id(), Run: first.attempt.run, Kind: EndDone}, now)
	}
	core.Schedule(now)
	list := starts(core)
	if want := (job.TaskID{Job: spec.ID, Step: 1}); len(list) != 1 || list[0].Task != want {
		t.Errorf("after step 0 of occurrence 0: %+v, want a start of %s", list, want)
	}
}
