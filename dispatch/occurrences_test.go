package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"leverstile.dev/job"
)

// openTasks returns the number of tasks that a core holds in memory.
func (c *Core) openTasks() int {
	n := 0
	for _, j := range c.jobs {
		for _, s := range j.steps {
			n += len(s.tasks)
		}
	}
	return n
}

// runRound lets all started tasks end at once, and returns their ids.
func runRound(o *ownerSequence, pause time.Duration) []job.TaskID {
	o.now.Steady += pause
	o.now.UnixMS += pause.Milliseconds()
	o.core.Renewed(o.now.Steady)
	o.listWorkers()
	o.core.Tick(o.now)
	var ended []EndedTask
	var ids []job.TaskID
	for _, order := range starts(o.core) {
		o.ends++
		ended = append(ended, EndedTask{Number: o.ends, Task: order.Task, Run: order.Run, Kind: EndDone})
		ids = append(ids, order.Task)
	}
	listEnds(o.core, "at-svc", o.now.Steady.Milliseconds(), o.now, ended...)
	o.store()
	return ids
}

// state returns the stored state of the job.
func (o *ownerSequence) state() job.State {
	if o.stored == nil {
		return job.Queued
	}
	return o.stored.State
}

// repeatedOwners returns owners of a cell with one stored job of two steps, repeated as given.
func repeatedOwners(t *testing.T, count int, interval, first int64) *ownerSequence {
	o := &ownerSequence{t: t, now: Instant{UnixMS: 1_700_000_000_000}, config: &job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: 2}}}}
	spec := simpleJob(1, 2, 1)
	spec.Steps[0].CPUMilli, spec.Steps[1].CPUMilli = 1, 1
	spec.Steps[0].MemoryMiB, spec.Steps[1].MemoryMiB = 0, 0
	spec.Occurrences, spec.IntervalMS, spec.FirstDueMS = count, interval, first
	spec.Clamp()
	if err := spec.Check(); err != nil {
		t.Fatal(err)
	}
	o.spec = spec
	o.takeOver()
	return o
}

// TestRepeatedJobsTakeMemoryAsTheyAreDue guards against an owner that builds all occurrences of a
// job at once and exceeds its memory, and so does each of the next ones. Owners are replaced
// every few rounds, whatever numbers the job has; no task starts before it is due or twice.
func TestRepeatedJobsTakeMemoryAsTheyAreDue(t *testing.T) {
	const now = 1_700_000_000_000
	for _, count := range []int{1, 2, 3000, math.MaxInt64} {
		for _, interval := range []int64{0, 1, 20_000, 600_000, math.MaxInt64} {
			for _, first := range []int64{math.MinInt64, 0, now - 3_600_000, now + 120_000, math.MaxInt64} {
				for _, takeoverEvery := range []int{1, 5} {
					t.Run(fmt.Sprintf("%d/%d/%d/%d", count, interval, first, takeoverEvery), func(t *testing.T) {
						o := repeatedOwners(t, count, interval, first)
						rounds := 12
						if interval < 2 && count > 2 {
							rounds = 2 // thousands are due at once
						}
						started := map[job.TaskID]bool{}
						for round := range rounds {
							for _, id := range runRound(o, 20*time.Second) {
								if due := o.spec.DueMS(id.Occurrence); started[id] || due > o.now.UnixMS {
									t.Fatalf("%s starts at %d, due at %d, started before %v", id, o.now.UnixMS, due, started[id])
								}
								started[id] = true
							}
							if n := o.core.openTasks(); n > maxOpenTasks+3 {
								t.Fatalf("%d tasks in memory", n)
							}
							if (round+1)%takeoverEvery == 0 {
								o.takeOver()
							}
						}
						due := o.spec.DueMS(0) <= o.now.UnixMS
						if due != (len(started) > 0) {
							t.Errorf("%d tasks started, the first occurrence is due: %v", len(started), due)
						}
						if state := o.state(); count <= 2 && first < now && interval < math.MaxInt64 && interval <= 20_000 && state != job.Succeeded {
							t.Errorf("the job is %s after %d starts", state, len(started))
						}
					})
				}
			}
		}
	}
}

// TestAllOccurrencesRunOnce guards against occurrences that are lost or run again as they are
// opened and closed one by one, with owners that are replaced at each moment.
func TestAllOccurrencesRunOnce(t *testing.T) {
	for takeovers := range 1 << 8 {
		o := repeatedOwners(t, 4, 20_000, 1_700_000_000_000+70_000)
		started := map[job.TaskID]int{}
		for round := range 16 {
			for _, id := range runRound(o, 10*time.Second) {
				started[id]++
			}
			if takeovers&(1<<(round/2)) != 0 && round%2 == 0 {
				o.takeOver()
			}
		}
		if state := o.state(); len(started) != 12 || state != job.Succeeded {
			t.Errorf("takeovers %b: %d of 12 tasks were started, the job is %s", takeovers, len(started), state)
		}
		for id, n := range started {
			if n != 1 {
				t.Errorf("takeovers %b: %s was started %d times", takeovers, id, n)
			}
		}
		if n := o.core.openTasks(); n != 0 {
			t.Errorf("takeovers %b: %d tasks of the ended job are in memory", takeovers, n)
		}
	}
}

// TestRunsOfAClockThatWasAheadAreAdopted guards against a second run of an occurrence that the
// previous owner started before it is due by the clock of this one.
func TestRunsOfAClockThatWasAheadAreAdopted(t *testing.T) {
	for _, answer := range []string{"runs", "has ended"} {
		o := repeatedOwners(t, math.MaxInt64, 600_000, 1_700_000_000_000+3_600_000)
		id := job.TaskID{Job: o.spec.ID, Occurrence: 2}
		run := uint64(1)<<runBits | 1
		o.term++
		o.core = recoveredCore(o.now, RosterEntry{ID: "at-svc", Address: "at-svc", VM: "vm-svc"})
		o.core.SetWorkers([]WorkerInfo{testWorkerInfo("at-svc", "vm-svc")}, o.now)
		storeOpen(o.core, "at-svc")
		o.core.AddJob(o.spec, nil, true, o.now)
		reply := PollReply{ClockMS: 1000}
		if answer == "runs" {
			reply.Running = []RunningTask{{Task: id, Run: run, Percent: 50}}
		} else {
			reply.Ended = []EndedTask{{Number: 1, Task: id, Run: run, Kind: EndDone}}
		}
		o.core.PollDone(o.core.PlanPoll("at-svc", o.now).Request, reply, OutcomeOK, o.now)
		tk := o.core.findTask(id)
		if tk == nil || answer == "runs" && (tk.attempt == nil || !tk.attempt.adopted) || answer == "has ended" && tk.phase != phaseDone {
			t.Errorf("a worker reports that the task %s: %+v", answer, tk)
		}
		for _, order := range o.core.TakeOrders() {
			t.Errorf("a worker reports that the task %s: %+v", answer, order)
		}
	}
}

// TestLargeRecordsAreWrittenApart guards against a write of so many bytes that it times out each
// time, so that nothing of any job is stored any more.
func TestLargeRecordsAreWrittenApart(t *testing.T) {
	core, now := idleCore(t, 1)
	for i := range 5 {
		spec := simpleJob(i+1, 1)
		spec.Occurrences, spec.IntervalMS = job.MaxTasks, 1
		progress := &job.Progress{State: job.Running}
		for k := range 10_000 {
			progress.MarkDone(job.TaskID{Job: spec.ID, Occurrence: k}, 1)
		}
		core.AddJob(spec, progress, true, now)
		core.markChanged(core.jobs[spec.ID])
	}
	written := 0
	for core.Dirty() {
		records, err := core.Records(24)
		size := 0
		for _, r := range records {
			size += len(r.Value)
		}
		if err != nil || len(records) == 0 || size > maxRecordBytes {
			t.Fatalf("%d records of %d bytes in a write, %v", len(records), size, err)
		}
		core.Persisted(records)
		written += len(records)
	}
	if written != 5 {
		t.Errorf("%d of 5 records were written", written)
	}
}

// TestHugeAmountsFitNoWorker guards against sums of requested capacity that overflow, so that a
// task seems to fit, and against estimates whose sum does.
func TestHugeAmountsFitNoWorker(t *testing.T) {
	for name, set := range map[string]func(s *job.Step){
		"cpu": func(s *job.Step) { s.CPUMilli = math.MaxInt64 }, "memory": func(s *job.Step) { s.MemoryMiB = math.MaxInt64 },
		"accelerators": func(s *job.Step) { s.Accelerators = math.MaxInt64 }, "estimate": func(s *job.Step) { s.EstimateMS = math.MaxInt64 },
	} {
		for _, gang := range []bool{false, true} {
			core, now := idleCore(t, 2)
			small := simpleJob(1, 2)
			core.AddJob(small, nil, false, now)
			spec := simpleJob(2, 2, 2)
			for i := range spec.Steps {
				set(&spec.Steps[i])
				spec.Steps[i].Gang = gang
			}
			spec.Clamp()
			core.AddJob(spec, nil, true, now)
			core.Schedule(now)
			startedOf := map[string]int{}
			for _, order := range starts(core) {
				startedOf[order.Task.Job]++
			}
			if startedOf[small.ID] != 2 || (startedOf[spec.ID] > 0) != (name == "estimate") {
				t.Errorf("%s, gang %v: %d tasks of the small job and %d of the huge one start", name, gang, startedOf[small.ID], startedOf[spec.ID])
			}
			if path := core.totalCriticalPath(core.jobs[spec.ID]); path < 0 {
				t.Errorf("%s: a critical path of %v", name, path)
			}
		}
	}
}
