package dispatch

import (
	"testing"
	"time"
)

// TestTasksAtSilentWorkersCountAsAway: a lasting task whose worker has not answered for long may
// be gone, so no other of its step is moved beyond what the step can miss.
func TestTasksAtSilentWorkersCountAsAway(t *testing.T) {
	core, now := idleCore(t, 3)
	spec := simpleJob(1, 2)
	spec.Steps[0].Lasting, spec.Steps[0].MaxPerWorker, spec.Steps[0].MaxAway = true, 1, 1
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	list := starts(core)
	if len(list) != 2 {
		t.Fatalf("%d starts, want 2", len(list))
	}
	for _, o := range list {
		core.OrderDone(o, Answer{Outcome: OutcomeOK, ClockMS: 1001}, now)
		reply := HoldReply{ClockMS: 1100, Running: []RunningTask{{Task: o.Task, Run: o.Run, Percent: fullPace}}}
		core.HoldDone(core.PlanHold(o.Worker, now).Order, reply, OutcomeOK, now)
	}
	sound, silent := core.findTask(list[0].Task), list[1].Worker
	if !sound.mayLeave() {
		t.Fatal("a task may not leave while the other is at work")
	}
	for range suspectAfter {
		now.Steady += 500 * time.Millisecond
		core.HoldDone(core.PlanHold(silent, now).Order, HoldReply{}, OutcomeUnknown, now)
	}
	if sound.mayLeave() {
		t.Error("a task may leave while the other's worker is silent")
	}
}

// TestUnansweredStartIsNotRepeatedAtADrainingWorker: once a worker says that it drains, a start
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
