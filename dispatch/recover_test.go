package dispatch

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"leverstile.dev/job"
)

// rosterOf returns the entries that a core would have stored, after storing them.
func rosterOf(t *testing.T, core *Core) []RosterEntry {
	t.Helper()
	for n := range core.roster.parts {
		core.roster.markStale(n)
	}
	parts := storeRoster(t, core)
	list, err := rosterStore{}.put(parts).read()
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// storeRoster stores all parts of the roster that are stale, and returns them.
func storeRoster(t testing.TB, core *Core) []RosterPart {
	t.Helper()
	parts, err := core.Roster(math.MaxInt)
	if err != nil {
		t.Fatal(err)
	}
	core.RosterStored(parts)
	return parts
}

// storeOpen records in a core that the store has open entries of these workers.
func storeOpen(core *Core, ids ...WorkerID) { core.RosterStored([]RosterPart{{open: ids}}) }

// rosterStore is the stored parts of the roster.
type rosterStore map[int]RosterPart

func (s rosterStore) put(parts []RosterPart) rosterStore {
	for _, p := range parts {
		s[p.Number] = p
	}
	return s
}

func (s rosterStore) read() ([]RosterEntry, error) {
	var list []RosterEntry
	for _, n := range slices.Sorted(maps.Keys(s)) {
		part, err := DecodeRoster(s[n])
		if err != nil {
			return nil, err
		}
		list = append(list, part...)
	}
	return list, nil
}

// startedCore returns a core with two workers that run one task each, and the
// worker of the first task.
func startedCore(t *testing.T, now Instant) (*Core, WorkerID) {
	t.Helper()
	core := leasedCore(Params{RecoveryWait: 10 * time.Second}, 1, now)
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2")}, now)
	rosterOf(t, core)
	for _, id := range []WorkerID{"w1", "w2"} {
		poll(core, id, now.Steady, now.Steady+time.Millisecond)
	}
	spec := simpleJob(1, 2)
	spec.Steps[0].MaxPerWorker = 1
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	if n := len(core.TakeOrders()); n != 2 {
		t.Fatalf("%d starts", n)
	}
	return core, core.jobs[spec.ID].steps[0].tasks[0].attempt.worker.info.ID
}

// A worker that drained, was silent or was no longer listed before the owner died must
// delay only the tasks that it may run, not all tasks.
func TestTakeoverDelaysOnlyTasksOfSilentWorkers(t *testing.T) {
	for name, quieten := range map[string]func(core *Core, id WorkerID, now Instant){
		"draining": func(core *Core, id WorkerID, now Instant) {
			list := []WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2")}
			for i := range list {
				list[i].Draining = list[i].ID == id
			}
			core.SetWorkers(list, now)
		},
		"silent": func(core *Core, id WorkerID, now Instant) {
			for range unreachedAfter {
				core.PollDone(PollRequest{Worker: id}, PollReply{}, OutcomeUnknown, now)
			}
		},
		"not listed": func(core *Core, id WorkerID, now Instant) {
			for _, info := range []WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2")} {
				if info.ID != id {
					core.SetWorkers([]WorkerInfo{info}, now)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := Instant{Steady: time.Second}
			old, gone := startedCore(t, now)
			quieten(old, gone, now)
			old.Tick(now)
			list := rosterOf(t, old)

			next := recoveredCore(now, list...)
			next.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2"), testWorkerInfo("w3", "m3")}, now)
			next.AddJob(simpleJob(1, 2), nil, true, now) // as it was submitted
			next.AddJob(simpleJob(2, 3), nil, true, now)
			rosterOf(t, next)
			for _, id := range []WorkerID{"w1", "w2", "w3"} {
				if id != gone {
					poll(next, id, now.Steady, now.Steady+time.Millisecond)
				}
			}
			next.Schedule(now)
			started := map[string]bool{}
			for _, o := range next.TakeOrders() {
				if o.Kind == OrderStart {
					started[o.Task.String()] = true
				}
			}
			atGone := old.jobs[simpleJob(1, 2).ID].steps[0].tasks[0].id().String()
			if started[atGone] {
				t.Error("a task that may run at the silent worker was started again")
			}
			if len(started) != 4 {
				t.Errorf("%d tasks start beside it, want 4: %v", len(started), started)
			}
		})
	}
}

// A start at a reopened worker before its entry is stored as open would be unknown to the
// next owner.
func TestReopenedWorkerGetsNoStartsBeforeItsEntryIsStored(t *testing.T) {
	now := Instant{Steady: time.Second}
	core, id := startedCore(t, now)
	for range unreachedAfter {
		core.PollDone(PollRequest{Worker: id}, PollReply{}, OutcomeUnknown, now)
	}
	core.Tick(now)
	if list := rosterOf(t, core); !entryOf(list, id).Closed {
		t.Fatal("the entry of a silent worker stays open")
	}
	now.Steady += 3 * time.Second
	poll(core, id, now.Steady, now.Steady+time.Millisecond)
	core.AddJob(simpleJob(2, 40), nil, false, now)
	core.Tick(now)
	for _, o := range core.TakeOrders() {
		if o.Kind == OrderStart && o.Worker == id {
			t.Fatalf("%s is started there before the open entry is stored", o.Task)
		}
	}
	if list := rosterOf(t, core); entryOf(list, id).Closed {
		t.Fatal("the entry of a worker that answers stays closed")
	}
	core.AddJob(simpleJob(3, 40), nil, false, now)
	core.Schedule(now)
	for _, o := range core.TakeOrders() {
		if o.Kind == OrderStart && o.Worker == id {
			return
		}
	}
	t.Error("nothing is started there after the entry was stored")
}

func entryOf(list []RosterEntry, id WorkerID) RosterEntry {
	for _, e := range list {
		if e.ID == id {
			return e
		}
	}
	return RosterEntry{}
}

// A closed entry must name a task whose end the worker lists and the store lacks, or the
// next owner starts the task again.
func TestClosedEntryNamesEndsThatAreNotStored(t *testing.T) {
	now := Instant{Steady: time.Second}
	core, id := startedCore(t, now)
	task := core.workers[id].attempts[0].task
	end := EndedTask{Number: 1, Task: task.id(), Run: task.attempt.run, Kind: EndDone}
	core.PollDone(PollRequest{Worker: id}, PollReply{ClockMS: 2000, Ended: []EndedTask{end}}, OutcomeOK, now)
	for range unreachedAfter {
		core.PollDone(PollRequest{Worker: id}, PollReply{}, OutcomeUnknown, now)
	}
	core.Tick(now)
	if e := entryOf(rosterOf(t, core), id); len(e.Tasks) != 1 || e.Tasks[0] != task.id().String() {
		t.Errorf("the entry names %v", e.Tasks)
	}
}

// After a takeover, a worker may still run tasks of a job that was cancelled, or whose record
// was removed. Until they are stopped they use capacity, which workers without an admission
// check do not enforce.
func TestRunsOfEndedJobsUseCapacity(t *testing.T) {
	for _, known := range []bool{true, false} {
		now := Instant{Steady: time.Second}
		core := recoveredCore(now, RosterEntry{ID: "w1", Address: "w1"})
		core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1")}, now)
		ended := simpleJob(1, 1)
		ended.Steps[0].CPUMilli = 15000
		if known {
			core.AddJob(ended, &job.Progress{State: job.Cancelled}, true, now)
		}
		core.AddJob(simpleJob(2, 4), nil, true, now) // 4 times 500 of 16000
		order := core.PlanPoll("w1", now).Request
		row := RunningTask{Task: job.TaskID{Job: ended.ID}, Run: 7}
		core.PollDone(order, PollReply{ClockMS: 1000, Running: []RunningTask{row}}, OutcomeOK, now)
		rosterOf(t, core)
		core.Schedule(now)
		if n := len(starts(core)); n > 2 || !known && n > 0 {
			t.Errorf("known %v: %d tasks of 500 started beside 15000 of 16000", known, n)
		}
		now.Steady += time.Second
		core.PollDone(order, PollReply{ClockMS: 2000}, OutcomeOK, now)
		core.Schedule(now)
		if n := len(starts(core)); n == 0 {
			t.Errorf("known %v: nothing starts after the stop", known)
		}
	}
}

// failedRun has a worker list the failed end of a run, as its first end.
func failedRun(core *Core, id WorkerID, task job.TaskID, run uint64, now Instant) {
	end := EndedTask{Number: 1, Task: task, Run: run, Kind: EndFailed}
	core.PollDone(core.PlanPoll(id, now).Request, PollReply{ClockMS: now.Steady.Milliseconds(), Ended: []EndedTask{end}}, OutcomeOK, now)
}

// A task failed at w1, and its second run is running at w2 when the owner dies before either is
// stored. The next owner adopts the second run and reads its failure before w1 has answered. With
// two attempts allowed it must not start the task again.
func TestTakeoverAwaitsEarlierFailures(t *testing.T) {
	for name, gang := range map[string]bool{"task": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			now := Instant{Steady: time.Second}
			core := recoveredCore(now, RosterEntry{ID: "w1", Address: "w1"}, RosterEntry{ID: "w2", Address: "w2"})
			core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2}}})
			core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2"), testWorkerInfo("w3", "m3")}, now)
			rosterOf(t, core)
			spec := simpleJob(1, 1)
			spec.Steps[0].Gang = gang
			core.AddJob(spec, nil, true, now)
			poll(core, "w3", now.Steady, now.Steady+time.Millisecond)
			id := job.TaskID{Job: spec.ID}
			listed := []RunningTask{{Task: id, Run: 8, Percent: 50}}
			core.PollDone(core.PlanPoll("w2", now).Request, PollReply{ClockMS: 1000, Running: listed}, OutcomeOK, now)
			now.Steady += 50 * time.Millisecond
			failedRun(core, "w2", id, 8, now)

			now.Steady += 2 * retryDelay
			core.Tick(now)
			if n := len(starts(core)); n != 0 {
				t.Fatalf("the task is started again though w1 may list a failure of it")
			}
			failedRun(core, "w1", id, 7, now)
			core.Tick(now)
			if n := len(starts(core)); n != 0 {
				t.Fatalf("the task is started again after two failures of two")
			}
			if state := core.jobs[spec.ID].progress.State; state != job.Failed {
				t.Errorf("the job is %s after its last attempt", state)
			}
		})
	}
}

// The wait for earlier failures must end with the last worker's answer.
func TestTakeoverRetriesOnceAllHaveAnswered(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := recoveredCore(now, RosterEntry{ID: "w1", Address: "w1"}, RosterEntry{ID: "w2", Address: "w2"})
	core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2}}})
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2")}, now)
	rosterOf(t, core)
	spec := simpleJob(1, 1)
	core.AddJob(spec, nil, true, now)
	id := job.TaskID{Job: spec.ID}
	listed := []RunningTask{{Task: id, Run: 8, Percent: 50}}
	core.PollDone(core.PlanPoll("w2", now).Request, PollReply{ClockMS: 1000, Running: listed}, OutcomeOK, now)
	now.Steady += 50 * time.Millisecond
	failedRun(core, "w2", id, 8, now)
	now.Steady += 2 * retryDelay
	poll(core, "w1", now.Steady, now.Steady+time.Millisecond)
	core.Tick(now)
	if n := len(starts(core)); n != 1 {
		t.Errorf("%d starts of a task with one failure of two, after all have answered", n)
	}
}

// A next owner that can't read which workers had orders must delay all tasks that may
// have started until every lease of the previous owner has expired.
func TestUnreadableRosterDelaysTasksThatMayRun(t *testing.T) {
	now := Instant{Steady: time.Minute}
	core := leasedCore(Params{RecoveryWait: 10 * time.Second}, 2, now)
	core.RecoverUnknown(now)
	core.SetWorkers([]WorkerInfo{{ID: "w1", Address: "a", Service: "svc", CPUMilli: 4000, MemoryMiB: 4000}}, now)
	storeRoster(t, core)
	core.PollDone(core.PlanPoll("w1", now).Request, PollReply{ClockMS: 500_000}, OutcomeOK, now)
	core.AddJob(simpleJob(1, 1), nil, true, now)
	core.AddJob(simpleJob(2, 1), nil, false, now)
	core.Tick(now)
	if list := starts(core); len(list) != 1 || list[0].Task.Job != simpleJob(2, 1).ID {
		t.Errorf("starts %v, want that of the new job", list)
	}
	now.Steady += 10 * time.Second
	core.Tick(now)
	if list := starts(core); len(list) != 1 || list[0].Task.Job != simpleJob(1, 1).ID {
		t.Errorf("starts %v, want that of the job from before", list)
	}
}
