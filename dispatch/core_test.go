package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

func simpleJob(id int, tasks ...int) *job.Spec {
	spec := &job.Spec{ID: fmt.Sprintf("%016x", id), Queue: "q", Payload: "p"}
	for i, n := range tasks {
		step := job.Step{Count: n, CPUMilli: 500, MemoryMiB: 500, EstimateMS: 1000}
		for earlier := range i {
			step.After = append(step.After, earlier)
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// checkAll fails the test if an invariant was violated, or a job has not ended as expected.
func checkAll(t *testing.T, s *sim) {
	t.Helper()
	for _, b := range s.oracle.broken {
		t.Error(b)
	}
	for id, spec := range s.specs {
		state, known := s.owner.core.Status(id)
		if last, removed := s.removed[id]; removed {
			state, known = last, true
		}
		want := state == job.Succeeded || s.cancelled[id] > 0 && state == job.Cancelled
		if spec.Payload == crashPayload {
			want = state == job.Failed || s.cancelled[id] > 0 && state == job.Cancelled
		}
		if !want && state == job.Failed && s.mayBeGivenUp(id) {
			t.Logf("job %s was given up: a task of it ran at %d workers that crashed", id, s.maxCrashesOfTask(id))
			want = true
		}
		if !known || !want {
			t.Errorf("job %s is %q (known %v)", id, state, known)
		}
		if task, missing := s.oracle.notDone(spec); missing && state == job.Succeeded {
			t.Errorf("job %s is shown as succeeded, task %s has not ended done", id, task)
		}
	}
	if t.Failed() {
		for _, line := range s.trace[max(0, len(s.trace)-*simTrace):] {
			t.Log(line)
		}
	}
}

func TestJobRunsThroughItsSteps(t *testing.T) {
	s := newSim(1, 3)
	s.run(time.Second)
	s.submit(simpleJob(1, 5, 3, 1))
	s.run(30 * time.Second)
	checkAll(t, s)
}

// A tick right after a takeover must not treat adopted runs, whose leases the new owner has
// not given yet, as expired and start the tasks again.
func TestTickBetweenAdoptionAndFirstLease(t *testing.T) {
	core := New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Minute, OwnerHorizon: time.Minute}, 2, nil)
	now := Instant{Steady: time.Second}
	core.Recover([]RosterEntry{{ID: "w1", Address: "a"}, {ID: "w2", Address: "b"}}, now)
	core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc"}}})
	core.SetWorkers([]WorkerInfo{
		{ID: "w1", Address: "a", Service: "svc", CPUMilli: 4000, MemoryMiB: 4000},
		{ID: "w2", Address: "b", Service: "svc", CPUMilli: 4000, MemoryMiB: 4000},
	}, now)
	spec := simpleJob(1, 1)
	core.AddJob(spec, nil, true, now)
	core.Renewed(0)
	listed := []RunningTask{{Task: job.TaskID{Job: spec.ID}, Run: 7, Percent: 100}}
	core.PollDone(core.PlanPoll("w1", now).Request, PollReply{ClockMS: 500_000, Running: listed}, OutcomeOK, now)
	core.PollDone(core.PlanPoll("w2", now).Request, PollReply{ClockMS: 500_000}, OutcomeOK, now)
	core.Tick(Instant{Steady: now.Steady + 100*time.Millisecond})
	for _, o := range core.TakeOrders() {
		t.Errorf("order %v of run %d at %s", o.Kind, o.Run, o.Worker)
	}
}

// longRunningJob is a job of tasks that run until the job is cancelled.
func longRunningJob(id, tasks int) *job.Spec {
	spec := simpleJob(id, tasks)
	spec.Steps[0].LongRunning = true
	return spec
}

// runningTasks counts the tasks that run at the workers of the sim.
func (s *sim) runningTasks() int {
	n := 0
	for _, w := range s.workers {
		n += len(w.running)
	}
	return n
}

// Polls of a lost worker that carry new deadlines, which it might have accepted, would keep its
// leases from ever expiring, so that its long-running tasks never start again.
func TestTasksOfLostWorkerStartAgain(t *testing.T) {
	s := newSim(3, 3)
	s.run(time.Second)
	s.submit(longRunningJob(1, 6))
	s.run(2 * time.Second)
	w := s.workers[0]
	s.oracle.crashed(w)
	w.alive, w.cut = false, true
	w.running = map[job.TaskID]*simRun{}
	s.run(s.params.TaskLease + 2*time.Second)
	if n := s.runningTasks(); n != 6 {
		t.Errorf("%d of 6 long-running tasks run after their worker is lost", n)
	}
	for _, b := range s.oracle.broken {
		t.Error(b)
	}
}

func TestDrainingWorkerIsEvacuated(t *testing.T) {
	s := newSim(3, 3)
	s.run(time.Second)
	s.submit(longRunningJob(1, 6))
	s.run(2 * time.Second)
	w := s.workers[0]
	w.info.Draining, w.info.Leaving = true, 4*time.Second
	s.run(3 * time.Second)
	if len(w.running) != 0 || s.runningTasks() != 6 {
		t.Errorf("%d of %d tasks still run on a draining worker", len(w.running), s.runningTasks())
	}
}

// After a takeover, workers list failed runs of one task in any order: a run with a lower
// number than one already counted must be counted too.
func TestFailuresCountInAnyOrder(t *testing.T) {
	core := New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Minute, OwnerHorizon: time.Minute}, 2, nil)
	now := Instant{Steady: time.Second}
	core.Recover([]RosterEntry{{ID: "w1", Address: "a"}, {ID: "w2", Address: "b"}}, now)
	core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: 2}}})
	core.SetWorkers([]WorkerInfo{
		{ID: "w1", Address: "a", Service: "svc", CPUMilli: 4000, MemoryMiB: 4000},
		{ID: "w2", Address: "b", Service: "svc", CPUMilli: 4000, MemoryMiB: 4000},
	}, now)
	spec := simpleJob(1, 1)
	core.AddJob(spec, nil, true, now)
	core.Renewed(0)
	for i, w := range []WorkerID{"w1", "w2"} {
		ended := []EndedTask{{Number: 1, Task: job.TaskID{Job: spec.ID}, Run: uint64(8 - i), Kind: EndFailed}}
		core.PollDone(core.PlanPoll(w, now).Request, PollReply{ClockMS: 500_000, Ended: ended}, OutcomeOK, now)
	}
	core.Tick(Instant{Steady: 2 * time.Second})
	for _, o := range core.TakeOrders() {
		t.Errorf("order %v after both attempts have failed", o.Kind)
	}
}

// The list entry of a crashed incarnation stays for some heartbeats beside that of the next
// incarnation at its address, and a late write may recreate it. Neither may end the incarnation
// that runs: only the worker proves which incarnation has ended.
func TestListedIncarnationsAtOneAddress(t *testing.T) {
	core := New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Minute, OwnerHorizon: time.Minute}, 1, nil)
	core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc"}}})
	info := func(id WorkerID) WorkerInfo {
		return WorkerInfo{ID: id, Address: "a", Service: "svc", CPUMilli: 4000, MemoryMiB: 4000}
	}
	core.Renewed(0)
	old, next := info("old"), info("new")
	var now Instant
	var rows []RunningTask
	lists := [][]WorkerInfo{{old}, {old, next}, {next, old}, {next}, {next, old}, {old}, {old, next}}
	for i, list := range lists {
		now = Instant{Steady: time.Duration(i+1) * time.Second}
		core.SetWorkers(list, now)
		storeOpen(core, "old", "new")
		if i >= 1 {
			// The address answers for the next incarnation only.
			core.PollDone(PollRequest{Worker: "old"}, PollReply{}, OutcomeOtherIncarnation, now)
			core.PollDone(PollRequest{Worker: "new"}, PollReply{ClockMS: int64(1000 * i), Running: rows}, OutcomeOK, now)
		}
		if i == 1 {
			core.AddJob(simpleJob(1, 2), nil, false, now)
		}
		core.Tick(now)
		for _, o := range core.TakeOrders() {
			if o.Worker != "new" || i != 1 {
				t.Errorf("list %d: order %v at %s", i, o.Kind, o.Worker)
			}
			core.OrderDone(o, Answer{ClockMS: int64(1000*i + 1)}, now)
			rows = append(rows, RunningTask{Task: o.Task, Run: o.Run, Percent: fullPace})
		}
		if w := core.workers["new"]; i >= 1 && (w == nil || len(w.attempts) != 2) {
			t.Fatalf("list %d: the running incarnation was ended", i)
		}
	}
	if ids := core.Workers(); len(ids) != 1 || ids[0] != "new" {
		t.Errorf("workers %v, want the later incarnation only", ids)
	}
}

// The interference and short-task demand that an owner has learned pass to the next owner.
func TestLearnedStatePassesToNextOwner(t *testing.T) {
	first := New(Params{}, 1, nil)
	for i := range 400 {
		share := 0.1 * float64(i%3-1)
		first.model.learn("web", -5*share, []pressure{{"noisy", share}, {"calm", 0.1 * float64(i%2)}})
	}
	short := first.reservedCapacityOf("svc")
	short.peak, short.priority, short.taskSize.mean = 70_000, 2, 5000
	value, err := first.EncodeModels(Instant{})
	if err != nil {
		t.Fatal(err)
	}
	next := New(Params{}, 2, nil)
	if err := next.LoadModels(value); err != nil {
		t.Fatal(err)
	}
	if k := next.reservedCapacityOf("svc"); k.peak != 70_000 || k.priority != 2 || k.taskSize.mean != 5000 {
		t.Errorf("the next owner reads %+v as the demand of short tasks", k)
	}
	mean, deviation := next.model.coefficient("web", "noisy")
	if mean < 4 || mean > 6 || deviation > 0.6 {
		t.Errorf("noisy beside web: %.2f ± %.2f, want 5", mean, deviation)
	}
	if mean, _ := next.model.coefficient("web", "calm"); mean > 1 {
		t.Errorf("calm beside web: %.2f, want about 0", mean)
	}
	if len(value) > 4<<10 {
		t.Errorf("%d bytes for two pairs", len(value))
	}
}

// With more changed jobs than one write takes, jobs with high ids must still be written, or
// the ends of their tasks are never acknowledged.
func TestAllRecordsAreWrittenInTurn(t *testing.T) {
	const jobs, limit = 12, 3
	core := New(Params{OwnerTTL: time.Minute, OwnerHorizon: time.Minute}, 1, nil)
	core.Renewed(0)
	for i := range jobs {
		core.AddJob(simpleJob(i, 1), nil, false, Instant{})
	}
	written := map[string]bool{}
	for range 3 * jobs / limit {
		for _, j := range core.jobs {
			core.markChanged(j) // all change faster than they are written
		}
		records, err := core.Records(limit)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			written[r.Job] = true
		}
		for _, j := range core.jobs {
			core.markChanged(j)
		}
		core.Persisted(records)
	}
	if len(written) != jobs {
		t.Errorf("%d of %d jobs were ever written", len(written), jobs)
	}
}

// A more urgent task that lacks only memory preempts fill tasks, which continue
// elsewhere from their checkpoints.
func TestUrgentTasksPreemptFillsForMemory(t *testing.T) {
	core := New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Minute, OwnerHorizon: time.Minute, JobKept: time.Hour}, 1, nil)
	now := Instant{Steady: time.Second}
	core.Renewed(0)
	core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc"}, {Name: "patient", Service: "svc", Priority: 2}}})
	core.SetWorkers([]WorkerInfo{{ID: "w", Address: "a", Service: "svc", CPUMilli: 16000, MemoryMiB: 1000}}, now)
	storeOpen(core, "w")
	core.PollDone(core.PlanPoll("w", now).Request, PollReply{ClockMS: 1000}, OutcomeOK, now)
	fills := simpleJob(1, 2)
	fills.Queue = "patient"
	fills.Steps[0].Fills, fills.Steps[0].Checkpoints = true, true
	core.AddJob(fills, nil, false, now)
	core.Schedule(now)
	for _, o := range core.TakeOrders() {
		core.OrderDone(o, Answer{ClockMS: 1001}, now)
	}
	core.AddJob(simpleJob(2, 1), nil, false, now)
	core.Schedule(now)
	stops := 0
	for _, o := range core.TakeOrders() {
		if o.Kind == OrderStop && o.Task.Job == fills.ID {
			stops++
		}
	}
	if stops != 1 {
		t.Errorf("%d fills were stopped for one task, want 1", stops)
	}
}

// Noisy readings of a task that is over its target dip below it; the fill tasks beside it must
// still be halted before the allowed time is over.
func TestDippingReadingsDoNotResetTimeOverTarget(t *testing.T) {
	const allowed = 4 * time.Second
	core := New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour, OverTarget: allowed}, 1, nil)
	core.Renewed(0)
	core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc"}}})
	core.SetWorkers([]WorkerInfo{{ID: "w", Address: "a", Service: "svc", CPUMilli: 16000, MemoryMiB: 9000}}, Instant{})
	storeOpen(core, "w")
	now := Instant{Steady: time.Second}
	core.PollDone(core.PlanPoll("w", now).Request, PollReply{ClockMS: 1000}, OutcomeOK, now)
	serving, fill := longRunningJob(1, 1), simpleJob(2, 1)
	serving.Steps[0].TargetMS, serving.Steps[0].Image = 100, "web"
	fill.Steps[0].Fills, fill.Steps[0].Image = true, "noisy"
	core.AddJob(serving, nil, false, now)
	core.AddJob(fill, nil, false, now)
	core.Schedule(now)
	var rows []RunningTask
	for _, o := range core.TakeOrders() {
		core.OrderDone(o, Answer{ClockMS: 1001}, now)
		rows = append(rows, RunningTask{Task: o.Task, Run: o.Run, Percent: fullPace, HasReading: true})
	}
	began := now.Steady
	for i := 0; now.Steady-began < allowed*3/4; i++ {
		now.Steady += pollWaitWatched
		reply := PollReply{ClockMS: 1001 + now.Steady.Milliseconds(), Running: rows}
		for k := range rows {
			rows[k].Reading = 500 // a fill's processor use
			if rows[k].Task.Job == serving.ID {
				rows[k].Reading = []int64{91, 88, 107, 92, 94, 113}[i%6]
			}
		}
		core.PollDone(PollRequest{Worker: "w"}, reply, OutcomeOK, now)
		for _, o := range core.TakeOrders() {
			core.OrderDone(o, Answer{ClockMS: reply.ClockMS}, now)
			if o.Kind == OrderPace && o.Percent == 0 {
				return
			}
		}
	}
	t.Errorf("the fill task still runs after %v", now.Steady-began)
}
