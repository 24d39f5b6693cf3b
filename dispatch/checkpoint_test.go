package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// checkpointCore is a core with idle workers and a job, whose lists a test makes up.
type checkpointCore struct {
	*testing.T
	core  *Core
	now   Instant
	clock int64
	ends  map[WorkerID]uint64
	// orders holds the newest start of each task.
	orders map[job.TaskID]Order
}

// newCheckpointCore starts all tasks of a job with one step, at two workers.
func newCheckpointCore(t *testing.T, tasks int, change func(s *job.Step)) *checkpointCore {
	t.Helper()
	core, now := idleCore(t, 2)
	x := &checkpointCore{T: t, core: core, now: now, clock: 1000, ends: map[WorkerID]uint64{}, orders: map[job.TaskID]Order{}}
	spec := simpleJob(1, tasks)
	spec.Steps[0].Checkpoints = true
	if change != nil {
		change(&spec.Steps[0])
	}
	core.AddJob(spec, nil, false, now)
	x.schedule()
	if len(x.orders) != tasks {
		t.Fatalf("%d tasks start, want %d", len(x.orders), tasks)
	}
	return x
}

// schedule lets time pass until tasks that failed start again.
func (x *checkpointCore) schedule() {
	x.now.Steady += 2 * retryDelay
	x.core.Schedule(x.now)
	for _, o := range starts(x.core) {
		x.orders[o.Task] = o
	}
}

func (x *checkpointCore) order(index int) Order {
	return x.orders[job.TaskID{Job: simpleJob(1, 1).ID, Index: index}]
}

// list has a worker list these rows and ends, and numbers the ends.
func (x *checkpointCore) list(id WorkerID, running []RunningTask, ended ...EndedTask) {
	x.clock += 20
	for i := range ended {
		x.ends[id]++
		ended[i].Number = x.ends[id]
	}
	x.now.Steady += 20 * time.Millisecond
	x.core.PollDone(PollRequest{Worker: id}, PollReply{ClockMS: x.clock, Running: running, Ended: ended}, OutcomeOK, x.now)
}

func endOf(o Order, kind EndKind, text string) EndedTask {
	return EndedTask{Task: o.Task, Run: o.Run, Kind: kind, Checkpoint: text}
}

func rowOf(o Order, text string) RunningTask {
	return RunningTask{Task: o.Task, Run: o.Run, Checkpoint: text}
}

// markUnread marks the lists of all workers as not read by this owner.
func (x *checkpointCore) markUnread() {
	for _, w := range x.core.workers {
		w.synced = false
	}
}

// wantCheckpoint fails the test unless a task has started again after before, with a text.
func (x *checkpointCore) wantCheckpoint(index int, before Order, want string) {
	x.Helper()
	switch o := x.order(index); {
	case o.Run <= before.Run:
		x.Errorf("task %d did not start again", index)
	case o.Checkpoint != want:
		x.Errorf("task %d starts with checkpoint %q, want %q", index, o.Checkpoint, want)
	}
}

// A checkpoint that a worker reports for a task of a step without checkpoints must not be used.
func TestStepsWithoutCheckpointsStartWithNone(t *testing.T) {
	x := newCheckpointCore(t, 1, func(s *job.Step) { s.Checkpoints = false })
	first := x.order(0)
	x.list(first.Worker, []RunningTask{rowOf(first, "listed")})
	x.list(first.Worker, nil, endOf(first, EndFailed, "ended"))
	x.schedule()
	x.wantCheckpoint(0, first, "")
}

// A checkpoint in the end of a run that the owner has not ordered at that worker must not be used
// by the task's next start.
func TestCheckpointsOfUnknownRunsAreIgnored(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(unknown *Order)
	}{
		{"a later run", func(unknown *Order) { unknown.Run += 100 }},
		{"an earlier run", func(unknown *Order) { unknown.Run-- }},
		{"the run at another worker", func(unknown *Order) { unknown.Worker = map[WorkerID]WorkerID{"w0": "w1", "w1": "w0"}[unknown.Worker] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newCheckpointCore(t, 1, nil)
			first := x.order(0)
			x.list(first.Worker, nil, endOf(first, EndFailed, "own"))
			unknown := first
			c.change(&unknown)
			x.list(unknown.Worker, nil, endOf(unknown, EndLapsed, "unknown"))
			x.schedule()
			x.wantCheckpoint(0, first, "own")
		})
	}
}

// The end of an older run that a worker reports after those of newer runs must not replace their
// checkpoint: the task would repeat work.
func TestOlderRunDoesNotReplaceCheckpoint(t *testing.T) {
	core, now := idleCore(t, 2)
	x := &checkpointCore{T: t, core: core, now: now, clock: 1000, ends: map[WorkerID]uint64{}, orders: map[job.TaskID]Order{}}
	core.term = 3
	x.markUnread()
	spec := simpleJob(1, 1)
	spec.Steps[0].Checkpoints = true
	core.AddJob(spec, nil, false, now)
	of := func(term uint64) Order { return Order{Task: job.TaskID{Job: spec.ID}, Run: term<<runBits | 7} }
	x.list("w0", nil, endOf(of(2), EndLapsed, "newer"))
	x.list("w1", nil, endOf(of(1), EndLapsed, "older"))
	x.schedule()
	x.wantCheckpoint(0, of(2), "newer")
}

// The end of a member of a gang's earlier run, reported after the next run has ended, must not
// replace the later run's checkpoint.
func TestOlderGangRunDoesNotReplaceCheckpoint(t *testing.T) {
	core, now := idleCore(t, 2)
	x := &checkpointCore{T: t, core: core, now: now, clock: 1000, ends: map[WorkerID]uint64{}, orders: map[job.TaskID]Order{}}
	core.term = 3
	x.markUnread()
	spec := simpleJob(1, 2)
	spec.Steps[0].Checkpoints, spec.Steps[0].Gang = true, true
	core.AddJob(spec, nil, false, now)
	of := func(index int, term uint64) Order {
		return Order{Task: job.TaskID{Job: spec.ID, Index: index}, Run: term<<runBits | 7}
	}
	x.list("w0", nil, endOf(of(0, 2), EndLapsed, "newer"))
	x.list("w1", nil, endOf(of(1, 1), EndLapsed, "older"))
	x.schedule()
	x.wantCheckpoint(0, of(0, 2), "newer")
	x.wantCheckpoint(1, of(1, 2), "newer")
}

// Two tasks may report the same text, since some texts hold only the amount of work done: each
// continues from its own checkpoint, and a later one of either does not affect the other.
func TestEqualCheckpointsOfTwoTasksAreSeparate(t *testing.T) {
	x := newCheckpointCore(t, 2, nil)
	first, second := x.order(0), x.order(1)
	x.list(first.Worker, nil, endOf(first, EndFailed, "text"))
	x.list(second.Worker, nil, endOf(second, EndFailed, "text"))
	x.schedule()
	x.wantCheckpoint(0, first, "text")
	x.wantCheckpoint(1, second, "text")
	first, second = x.order(0), x.order(1)
	x.list(first.Worker, nil, endOf(first, EndFailed, "later"))
	x.list(second.Worker, nil, endOf(second, EndFailed, ""))
	x.schedule()
	x.wantCheckpoint(0, first, "later")
	x.wantCheckpoint(1, second, "text")
}

// An earlier term's run counts only when a worker's lists are first read. Otherwise a job that was
// added as new would start with the checkpoint of a run that it can't have had.
func TestEarlierTermsCountAtFirstReadOnly(t *testing.T) {
	for _, c := range []struct {
		name   string
		run    uint64
		unread bool
		want   string
	}{
		{"an earlier term, lists read before", 2<<runBits | 7, false, ""},
		{"an earlier term, lists not read yet", 2<<runBits | 7, true, "earlier"},
		{"no term, lists not read yet", 7, true, ""},
		{"a later term", 4<<runBits | 7, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, now := idleCore(t, 2)
			x := &checkpointCore{T: t, core: core, now: now, clock: 1000, ends: map[WorkerID]uint64{}, orders: map[job.TaskID]Order{}}
			core.term = 3
			spec := simpleJob(1, 1)
			spec.Steps[0].Checkpoints = true
			core.AddJob(spec, nil, false, now)
			x.schedule()
			first := x.order(0)
			other := map[WorkerID]WorkerID{"w0": "w1", "w1": "w0"}[first.Worker]
			core.workers[other].synced = !c.unread
			x.list(other, nil, EndedTask{Task: first.Task, Run: c.run, Kind: EndLapsed, Checkpoint: "earlier"})
			x.list(first.Worker, nil, endOf(first, EndFailed, ""))
			x.schedule()
			x.wantCheckpoint(0, first, c.want)
		})
	}
}

// A worker is cut off until its leases expire, and the next start elsewhere is refused. The
// lapsed run's end, which comes only then, has more work, which must not be done again.
func TestLapsedRunsCheckpointCountsAfterRefusedStart(t *testing.T) {
	x := newCheckpointCore(t, 1, nil)
	first := x.order(0)
	x.list(first.Worker, []RunningTask{rowOf(first, "at 1 s")})
	x.core.releaseAllLost(x.core.workers[first.Worker], "its leases are over", x.now)
	x.schedule()
	second := x.order(0)
	if second.Worker == first.Worker {
		t.Fatal("the task starts at the same worker again")
	}
	x.core.OrderDone(second, Answer{Outcome: OutcomeUnwell, ClockMS: x.clock}, x.now)
	x.list(first.Worker, nil, endOf(first, EndLapsed, "at 5 s"))
	x.now.Steady += time.Second
	x.schedule()
	x.wantCheckpoint(0, second, "at 5 s")
}

// A run that counted as lost is listed again by its worker, whose lists count as unread, and is
// adopted: checkpoints that it saves from then on count.
func TestAdoptedRunsCheckpointCounts(t *testing.T) {
	x := newCheckpointCore(t, 1, nil)
	first := x.order(0)
	x.list(first.Worker, []RunningTask{rowOf(first, "a")})
	x.core.releaseAllLost(x.core.workers[first.Worker], "its leases are over", x.now)
	x.schedule()
	second := x.order(0)
	x.core.OrderDone(second, Answer{Outcome: OutcomeNoCapacity, ClockMS: x.clock}, x.now)
	x.list(first.Worker, []RunningTask{rowOf(first, "b")})
	x.list(first.Worker, []RunningTask{rowOf(first, "c")})
	if a := x.core.findTask(first.Task).attempt; a == nil || a.run != first.Run {
		t.Fatal("the run is not adopted")
	}
	x.list(first.Worker, nil, endOf(first, EndFailed, "d"))
	x.now.Steady += time.Second
	x.schedule()
	x.wantCheckpoint(0, second, "d")
}
