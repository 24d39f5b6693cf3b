package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// runningTask returns a core that holds its lease for certain for two seconds and may give orders
// for ten, with two workers and one task that runs at the first of them.
func runningTask(t *testing.T) (core *Core, now Instant, o Order) {
	t.Helper()
	core, now = idleCore(t, 2)
	core.AddJob(simpleJob(1, 1), nil, false, now)
	core.Schedule(now)
	list := starts(core)
	if len(list) != 1 {
		t.Fatalf("%d starts, want 1", len(list))
	}
	core.OrderDone(list[0], Answer{Outcome: OutcomeOK, ClockMS: 1001}, now)
	core.leaseHeldUntil, core.validUntil = now.Steady+2*time.Second, now.Steady+10*time.Second
	return core, now, list[0]
}

// TestReplacedOwnerStartsNothing: an owner starts nothing once a worker has reported a higher term or
// its right to give orders has expired; another owner may start the same tasks.
func TestReplacedOwnerStartsNothing(t *testing.T) {
	for name, replace := range map[string]func(core *Core, now *Instant, o Order){
		"fenced by an order": func(core *Core, now *Instant, o Order) {
			core.OrderDone(o, Answer{Outcome: OutcomeFenced, ClockMS: 1002}, *now)
		},
		"fenced by a poll": func(core *Core, now *Instant, o Order) {
			core.PollDone(PollRequest{Worker: o.Worker, Token: o.Token}, PollReply{}, OutcomeFenced, *now)
		},
		"horizon": func(core *Core, now *Instant, _ Order) { now.Steady = core.validUntil },
	} {
		core, now, o := runningTask(t)
		core.AddJob(simpleJob(2, 1), nil, false, now)
		replace(core, &now, o)
		core.Schedule(now)
		if list := starts(core); len(list) > 0 {
			t.Errorf("%s: task %s starts", name, list[0].Task)
		}
	}
}

// TestTaskWhoseEndIsUnknownWaitsForTheLease: a task whose worker was lost starts again only while
// the lease is held for certain, since another owner may know how the run ended.
func TestTaskWhoseEndIsUnknownWaitsForTheLease(t *testing.T) {
	core, now, o := runningTask(t)
	core.releaseAllLost(core.workers[o.Worker], "its leases are over", now)
	now.Steady = core.leaseHeldUntil
	core.Schedule(now)
	if list := starts(core); len(list) > 0 {
		t.Error("it starts again while the lease is not held for certain")
	}
	core.Renewed(now.Steady)
	core.Schedule(now)
	if list := starts(core); len(list) != 1 {
		t.Errorf("%d starts while the lease is held for certain, want 1", len(list))
	}
}

// TestEarlierDoneRunEndsTheTask: a run that was given up is reported as done while a later one runs
// elsewhere. The later one is stopped and the task does not start again.
func TestEarlierDoneRunEndsTheTask(t *testing.T) {
	core, now, o := runningTask(t)
	core.releaseAllLost(core.workers[o.Worker], "its leases are over", now)
	core.Schedule(now)
	list := starts(core)
	if len(list) != 1 || list[0].Worker == o.Worker {
		t.Fatalf("starts after the worker is lost: %+v", list)
	}
	core.OrderDone(list[0], Answer{Outcome: OutcomeOK, ClockMS: 1001}, now)
	listEnds(core, o.Worker, 1100, now, EndedTask{Number: 1, Task: o.Task, Run: o.Run, Kind: EndDone})
	stops := core.TakeOrders()
	if len(stops) != 1 || stops[0].Kind != OrderStop || stops[0].Run != list[0].Run || stops[0].Worker != list[0].Worker {
		t.Errorf("orders %+v, want a stop of the later run", stops)
	}
	listEnds(core, list[0].Worker, 1200, now, EndedTask{Number: 1, Task: o.Task, Run: list[0].Run, Kind: EndStopped})
	core.Schedule(now)
	if again := starts(core); len(again) > 0 {
		t.Error("a task that is done starts again")
	}
}

// TestUnwantedRunsAreStopped: runs of the previous owner, of tasks that are done or of jobs that have
// ended, are stopped repeatedly until they are no longer listed, and not adopted.
func TestUnwantedRunsAreStopped(t *testing.T) {
	done := func(spec *job.Spec) *job.Progress {
		p := &job.Progress{State: job.Running}
		p.MarkDone(job.TaskID{Job: spec.ID}, spec.Steps[0].Count)
		return p
	}
	for name, progress := range map[string]func(spec *job.Spec) *job.Progress{
		"the task is done":     done,
		"the job has ended":    func(*job.Spec) *job.Progress { return &job.Progress{State: job.Succeeded} },
		"the job is cancelled": func(*job.Spec) *job.Progress { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			now := Instant{Steady: time.Second}
			core := leasedCore(Params{}, 2, now)
			core.Recover([]RosterEntry{{ID: "w0", Address: "w0"}}, now)
			spec := simpleJob(1, 2)
			p := progress(spec)
			core.AddJob(spec, p, true, now)
			if p == nil {
				core.Cancel(spec.ID, now)
			}
			core.SetWorkers([]WorkerInfo{testWorkerInfo("w0", "m0")}, now)
			row := RunningTask{Task: job.TaskID{Job: spec.ID}, Run: 1<<runBits | 1, Percent: 10}
			stops := 0
			for i := range 8 {
				now.Steady += unexpectedStopRetry / 4
				core.PollDone(core.PlanPoll("w0", now).Request, PollReply{ClockMS: 1000 + int64(i), Running: []RunningTask{row}}, OutcomeOK, now)
				for _, o := range core.TakeOrders() {
					if o.Kind == OrderStop && o.Task == row.Task && o.Run == row.Run {
						stops++
					}
				}
			}
			if stops != 2 {
				t.Errorf("%d stops in 2 periods, want 2", stops)
			}
			if task := core.findTask(row.Task); task != nil && task.attempt != nil {
				t.Error("the run is adopted")
			}
		})
	}
}

// TestRefusedCopyDoesNotReleaseUnansweredStart: if an earlier copy of a start got no answer, it may
// have been carried out, so the refusal of a later copy must not release the task.
func TestRefusedCopyDoesNotReleaseUnansweredStart(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		for _, refusal := range []Outcome{OutcomeOld, OutcomeNoCapacity, OutcomeUnwell, OutcomeLate} {
			core, now := idleCore(t, 2)
			core.AddJob(simpleJob(1, 1), nil, false, now)
			core.Schedule(now)
			o := starts(core)[0]
			if unanswered {
				core.OrderDone(o, Answer{Outcome: OutcomeUnknown}, now)
				if again := starts(core); len(again) != 1 {
					t.Fatalf("sent again %d times", len(again))
				}
			}
			core.OrderDone(o, Answer{Outcome: refusal, ClockMS: 1001}, now)
			if released := core.findTask(o.Task).attempt == nil; released == unanswered {
				t.Errorf("%v, after an unanswered copy %v: released %v", refusal, unanswered, released)
			}
		}
	}
}

// TestHeldJobsDoNotStart: a held job does not start, however often it is received.
func TestHeldJobsDoNotStart(t *testing.T) {
	core, now := idleCore(t, 1)
	spec := simpleJob(1, 1)
	core.HoldJob(spec.ID)
	core.AddJob(spec, nil, false, now)
	core.AddRecordedJob(spec, 7, now)
	core.Schedule(now)
	if list := starts(core); len(list) > 0 {
		t.Error("a job whose progress is not known starts")
	}
}

// TestEndOfIncarnationIsAppliedUnderTheLease: runs of an ended incarnation are given up only while
// the lease is held for certain: the next owner may have read how they ended.
func TestEndOfIncarnationIsAppliedUnderTheLease(t *testing.T) {
	core, now, o := runningTask(t)
	now.Steady = core.leaseHeldUntil
	core.PollDone(PollRequest{Worker: o.Worker}, PollReply{}, OutcomeOtherIncarnation, now)
	core.Tick(now)
	if core.findTask(o.Task).attempt == nil {
		t.Error("its run counts as ended while the lease is not held for certain")
	}
	core.Renewed(now.Steady)
	now.Steady += 2 * time.Second
	core.Renewed(now.Steady)
	core.Tick(now)
	if a := core.findTask(o.Task).attempt; a != nil && a.run == o.Run {
		t.Error("its run goes on though its worker's incarnation has ended")
	}
}
