package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestTasksAtSilentWorkersCountAsUnavailable: a long-running task whose worker has not answered for
// long may have ended, so no other of its step is moved beyond the step's MaxUnavailable.
func TestTasksAtSilentWorkersCountAsUnavailable(t *testing.T) {
	core, now := idleCore(t, 3)
	spec := simpleJob(1, 2)
	spec.Steps[0].LongRunning, spec.Steps[0].MaxPerWorker, spec.Steps[0].MaxUnavailable = true, 1, 1
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	list := starts(core)
	if len(list) != 2 {
		t.Fatalf("%d starts, want 2", len(list))
	}
	for _, o := range list {
		core.OrderDone(o, Answer{Outcome: OutcomeOK, ClockMS: 1001}, now)
		reply := PollReply{ClockMS: 1100, Running: []RunningTask{{Task: o.Task, Run: o.Run, Percent: fullPace}}}
		core.PollDone(core.PlanPoll(o.Worker, now).Request, reply, OutcomeOK, now)
	}
	available, silent := core.findTask(list[0].Task), list[1].Worker
	if !available.mayStop() {
		t.Fatal("a task may not be stopped while the other is available")
	}
	for range unreachedAfter {
		now.Steady += 500 * time.Millisecond
		core.PollDone(core.PlanPoll(silent, now).Request, PollReply{}, OutcomeUnknown, now)
	}
	if available.mayStop() {
		t.Error("a task may be stopped while the other's worker is silent")
	}
}

// TestStartingTasksCountAsUnavailable: a long-running task is available only once it is past its start.
func TestStartingTasksCountAsUnavailable(t *testing.T) {
	core, now := idleCore(t, 1)
	spec := simpleJob(1, 2)
	spec.Steps[0].LongRunning, spec.Steps[0].MaxUnavailable = true, 1
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	for _, percent := range []int{0, fullPace - 1, fullPace} {
		want := percent == fullPace
		reply := PollReply{ClockMS: 1100 + int64(percent)}
		for _, s := range core.jobs[spec.ID].steps[0].tasks {
			reply.Running = append(reply.Running, RunningTask{Task: s.id(), Run: s.attempt.run, Percent: percent})
		}
		core.PollDone(core.PlanPoll("w0", now).Request, reply, OutcomeOK, now)
		if got := core.findTask(reply.Running[0].Task).mayStop(); got != want {
			t.Errorf("a task may be stopped while the other is at %d%%: %v, want %v", percent, got, want)
		}
	}
}

// TestOnlyCheckpointedFillsArePreempted: neither long-running tasks nor short ones, nor fill tasks
// that would lose their work, are stopped for more urgent tasks.
func TestOnlyCheckpointedFillsArePreempted(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *job.Step)
		stops  int
	}{
		"lasting":             {func(s *job.Step) { s.LongRunning = true }, 0},
		"short":               {func(*job.Step) {}, 0},
		"fill that saves not": {func(s *job.Step) { s.Fills = true }, 0},
		"fill that saves":     {func(s *job.Step) { s.Fills, s.Checkpoints = true, true }, 1},
	} {
		core, now := idleCore(t, 1)
		core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", Priority: 1, Stretch: 2}, {Name: "urgent", Service: "svc", Stretch: 2}}})
		patient, urgent := simpleJob(1, 1), simpleJob(2, 1)
		patient.Steps[0].MemoryMiB, urgent.Steps[0].MemoryMiB, urgent.Queue = 8000, 8000, "urgent"
		c.change(&patient.Steps[0])
		core.AddJob(patient, nil, false, now)
		core.Schedule(now)
		for _, o := range starts(core) {
			core.OrderDone(o, Answer{Outcome: OutcomeOK, ClockMS: 1001}, now)
		}
		core.AddJob(urgent, nil, false, now)
		now.Steady += time.Second
		core.Schedule(now)
		if started, stopped := ordersOf(core); started != 0 || stopped != c.stops {
			t.Errorf("%s: %d starts and %d stops, want %d stops", name, started, stopped, c.stops)
		}
	}
}

// TestUnansweredStartIsNotRepeatedAtADrainingWorker: once a worker reports that it drains, a start
// that got no answer before is not sent there again.
func TestUnansweredStartIsNotRepeatedAtADrainingWorker(t *testing.T) {
	for _, draining := range []bool{false, true} {
		core, now := idleCore(t, 1)
		core.AddJob(simpleJob(1, 1), nil, false, now)
		core.Schedule(now)
		list := starts(core)
		if len(list) != 1 {
			t.Fatalf("%d starts, want 1", len(list))
		}
		info := core.workers["w0"].info
		info.Draining, info.Leaving = draining, 10*time.Second
		core.SetWorkers([]WorkerInfo{info}, now)
		now.Steady += 400 * time.Millisecond
		core.OrderDone(list[0], Answer{Outcome: OutcomeUnknown}, now)
		if again := len(starts(core)); again != 0 && draining || again != 1 && !draining {
			t.Errorf("draining %v: the start is sent %d times more", draining, again)
		}
	}
}
