package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"leverstile.dev/job"
)

// crashFleet simulates a fleet of workers in racks of four under one core: calls are answered
// at once, and workers crash or fall silent as the test directs.
type crashFleet struct {
	t    *testing.T
	core *Core
	now  Instant
	// incarnation is the present one of each VM; down is until when none answers there.
	incarnation map[string]WorkerID
	down        map[string]time.Duration
	// cut VMs run on without answering; draining ones report that they drain.
	cut, draining map[string]bool
	incarnations  int
	// starts holds the runs of each task that a worker has started, running those
	// that are running, by incarnation.
	starts  map[job.TaskID][]uint64
	running map[WorkerID]map[job.TaskID]uint64
	// crashes counts the workers that crashed under each task of crasher.
	crashes map[job.TaskID]int
	// crasher reports which tasks crash the worker that starts them.
	crasher   func(job.TaskID) bool
	decisions []Decision
	// stored is the store's copy of progress; while storeDown it accepts no writes.
	stored    map[string][]byte
	storeDown bool
	roster    rosterStore
	unread    []byte
	vms       []string
	ended     map[WorkerID][]EndedTask
	// crashDown is how long a VM has no worker after a crash.
	crashDown time.Duration
	// sameID: all incarnations on a VM share one id, and report when they started.
	sameID bool
	// rackSize is how many VMs share a rack.
	rackSize int
	// startFault injects a fault into the call of a start, if set: it returns whether the worker
	// starts the run, and how the call ends.
	startFault func(o Order) (started bool, outcome Outcome)
}

const (
	// crashRack is the default number of VMs that share a rack.
	crashRack = 4
	// crashDown is the default time for which a VM has no worker after a crash.
	crashDown = 3 * time.Second
)

func newCrashFleet(t *testing.T, vms int) *crashFleet {
	t.Helper()
	return newCrashFleetOf(t, vms, false)
}

func newCrashFleetOf(t *testing.T, vms int, sameID bool) *crashFleet {
	t.Helper()
	f := &crashFleet{
		sameID: sameID, t: t, now: Instant{Steady: time.Second}, incarnation: map[string]WorkerID{}, down: map[string]time.Duration{},
		cut: map[string]bool{}, draining: map[string]bool{}, starts: map[job.TaskID][]uint64{}, running: map[WorkerID]map[job.TaskID]uint64{},
		crashes: map[job.TaskID]int{}, crasher: func(job.TaskID) bool { return false }, stored: map[string][]byte{}, roster: rosterStore{},
		ended: map[WorkerID][]EndedTask{}, crashDown: crashDown, rackSize: crashRack,
	}
	for i := range vms {
		vm := fmt.Sprintf("m%02d", i)
		f.vms = append(f.vms, vm)
		f.startIncarnation(vm)
	}
	f.core = f.newCore(1)
	f.pass(300 * time.Millisecond)
	return f
}

func (f *crashFleet) newCore(term uint64) *Core {
	core := New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Hour, OwnerHorizon: 2 * time.Hour, RecoveryWait: 10 * time.Second, JobKept: time.Hour}, term,
		func(d Decision) { f.decisions = append(f.decisions, d) })
	core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc", Stretch: 2, TargetLatency: time.Second, MaxAttempts: 3}}})
	core.Renewed(f.now.Steady)
	return core
}

// takeOver replaces the owner by the next one, which starts from the store's content and
// the jobs' specs.
func (f *crashFleet) takeOver(specs ...*job.Spec) {
	f.t.Helper()
	list, err := f.roster.read()
	if err != nil {
		f.t.Fatal(err)
	}
	next := f.newCore(f.core.Term() + 1)
	next.Recover(list, f.now)
	if f.unread != nil {
		if err := next.RecoverUnread(f.unread); err != nil {
			f.t.Fatal(err)
		}
	}
	f.core = next
	f.list()
	for _, spec := range specs {
		var p *job.Progress
		if value, ok := f.stored[spec.ID]; ok {
			if p, err = DecodeProgress(value); err != nil {
				f.t.Fatal(err)
			}
			if err = p.Check(spec); err != nil {
				f.t.Fatal(err)
			}
		}
		next.AddJob(spec, p, true, f.now)
	}
}

func (f *crashFleet) startIncarnation(vm string) {
	f.incarnations++
	id := WorkerID(fmt.Sprintf("%s-%d", vm, f.incarnations))
	if f.sameID {
		id = IncarnationID(vm, int64(f.incarnations))
	}
	f.incarnation[vm] = id
	f.running[id] = map[job.TaskID]uint64{}
}

func (f *crashFleet) info(vm string) WorkerInfo {
	var place int
	if _, err := fmt.Sscanf(vm, "m%d", &place); err != nil {
		f.t.Fatal(err)
	}
	info := testWorkerInfo(string(f.incarnation[vm]), vm)
	info.Address, info.Rack = vm, fmt.Sprintf("r%d", place/f.rackSize)
	info.Draining, info.Leaving = f.draining[vm], 20*time.Second
	return info
}

func (f *crashFleet) list() {
	var list []WorkerInfo
	for _, vm := range f.vms {
		list = append(list, f.info(vm))
	}
	f.core.SetWorkers(list, f.now)
}

// end ends the incarnation on a VM; the next one starts after the down time.
func (f *crashFleet) end(vm string, down time.Duration) {
	f.running[f.incarnation[vm]] = map[job.TaskID]uint64{}
	f.down[vm] = f.now.Steady + down
}

// reach returns the outcome of a call to an incarnation as far as its VM's state decides it.
func (f *crashFleet) reach(vm string, id WorkerID) Outcome {
	switch {
	case f.cut[vm]:
		return OutcomeUnknown
	case f.down[vm] > f.now.Steady:
		return OutcomeBroken
	case f.incarnation[vm] != id && !f.sameID:
		return OutcomeOtherIncarnation
	default:
		return OutcomeOK
	}
}

// pass advances the time: polls are answered every 100 ms, orders at once.
func (f *crashFleet) pass(d time.Duration) {
	for end := f.now.Steady + d; f.now.Steady < end; {
		f.now.Steady += 20 * time.Millisecond
		f.now.UnixMS = f.now.Steady.Milliseconds()
		for _, vm := range f.vms {
			if f.down[vm] > 0 && f.now.Steady >= f.down[vm] {
				delete(f.down, vm)
				f.startIncarnation(vm)
			}
		}
		f.core.Renewed(f.now.Steady)
		f.list()
		if f.now.Steady%(100*time.Millisecond) == 0 {
			f.poll()
			f.core.Tick(f.now)
		}
		f.core.Schedule(f.now)
		f.orders()
		f.write()
	}
}

func (f *crashFleet) poll() {
	for _, id := range f.core.Workers() {
		plan := f.core.PlanPoll(id, f.now)
		if !plan.Send {
			continue
		}
		outcome := f.reach(plan.Request.Address, id)
		reply := PollReply{}
		if outcome == OutcomeOK {
			id = f.incarnation[plan.Request.Address]
			reply.ClockMS, reply.Born = f.now.Steady.Milliseconds(), id.Born()
			for task, run := range f.running[id] {
				reply.Running = append(reply.Running, RunningTask{Task: task, Run: run, Percent: fullPace})
			}
			slices.SortFunc(reply.Running, func(a, b RunningTask) int { return strings.Compare(a.Task.String(), b.Task.String()) })
			for _, e := range f.ended[id] {
				if e.Number > plan.Request.Seen {
					reply.Ended = append(reply.Ended, e)
				}
			}
		}
		f.core.PollDone(plan.Request, reply, outcome, f.now)
	}
}

// finish ends a task's run at the worker that has it.
func (f *crashFleet) finish(task job.TaskID, kind EndKind) {
	for id, runs := range f.running {
		if run, ok := runs[task]; ok {
			delete(runs, task)
			f.ended[id] = append(f.ended[id], EndedTask{Number: uint64(len(f.ended[id]) + 1), Task: task, Run: run, Kind: kind})
		}
	}
}

func (f *crashFleet) orders() {
	for _, o := range f.core.TakeOrders() {
		outcome := f.reach(o.Address, o.Worker)
		started := outcome == OutcomeOK
		if started && o.Kind == OrderStart && f.startFault != nil {
			started, outcome = f.startFault(o)
		}
		if started {
			f.carryOut(o)
		}
		refused := outcome == OutcomeBroken && !started
		f.core.OrderDone(o, Answer{Outcome: outcome, ClockMS: f.now.Steady.Milliseconds(), Unsent: refused}, f.now)
	}
}

func (f *crashFleet) carryOut(o Order) {
	runs := f.running[f.incarnation[o.Address]]
	switch o.Kind {
	case OrderStart:
		runs[o.Task] = o.Run
		f.starts[o.Task] = append(f.starts[o.Task], o.Run)
		if f.crasher(o.Task) {
			f.crashes[o.Task]++
			f.end(o.Address, f.crashDown)
		}
	case OrderStop:
		if runs[o.Task] == o.Run {
			delete(runs, o.Task)
		}
	}
}

// write writes the progress of jobs, the roster and the unread record to the store.
func (f *crashFleet) write() {
	if f.storeDown {
		return
	}
	records, err := f.core.Records(100)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, r := range records {
		f.stored[r.Job] = r.Value
	}
	f.core.Persisted(records)
	if f.core.RosterStale() {
		f.roster.put(storeRoster(f.t, f.core))
	}
	unread, err := f.core.Unread()
	if err != nil {
		f.t.Fatal(err)
	}
	if unread != nil {
		f.unread = unread
		f.core.UnreadStored(unread)
	}
}

func (f *crashFleet) state(spec *job.Spec) job.State {
	state, _ := f.core.Status(spec.ID)
	return state
}

// decisionsOf returns the decisions with an event.
func (f *crashFleet) decisionsOf(event string) []Decision {
	var list []Decision
	for _, d := range f.decisions {
		if d.Event == event {
			list = append(list, d)
		}
	}
	return list
}

// mostStartsOfACrasher is the number of starts that users allow: three that crash their
// workers, and two more.
const mostStartsOfACrasher = 5

// TestTaskThatCrashesWorkersIsGivenUp guards against a task that crashes each worker that starts
// it being restarted forever. A crashed worker lists no failure, so that the task's limit of
// attempts never applied: each time the next incarnation answered, 3 s later, the run counted as
// lost and the task was started at the next worker. Each crash also lost about nine other runs.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	f := newCrashFleet(t, 12)
	bad, good := simpleJob(1, 1), simpleJob(2, 24)
	crasher := job.TaskID{Job: bad.ID}
	f.crasher = func(id job.TaskID) bool { return id == crasher }
	f.core.AddJob(good, nil, false, f.now)
	f.pass(time.Second)
	f.core.AddJob(bad, nil, false, f.now)
	f.pass(90 * time.Second)
	if n := len(f.starts[crasher]); n > mostStartsOfACrasher {
		t.Errorf("started %d times, want at most %d", n, mostStartsOfACrasher)
	}
	if s := f.state(bad); s != job.Failed {
		t.Errorf("the job is %s, want failed", s)
	}
	if s := f.state(good); s != job.Running {
		t.Errorf("the other job is %s, want running", s)
	}
}

// TestIncarnationEndsAreLogged: the log distinguishes a crash from other ends of an incarnation,
// and names the runs that had recently started there.
func TestIncarnationEndsAreLogged(t *testing.T) {
	const downFor = 2 * time.Second
	for name, x := range map[string]struct {
		end  func(f *crashFleet)
		want incarnationEnd
	}{
		"crashed":         {func(f *crashFleet) { f.end("m00", downFor) }, endCrashed},
		"restarted quick": {func(f *crashFleet) { f.end("m00", time.Millisecond) }, endCrashed},
		"drained":         {func(f *crashFleet) { f.draining["m00"] = true; f.pass(time.Second); f.end("m00", downFor) }, endDrained},
		"cut off": {func(f *crashFleet) {
			f.cut["m00"] = true
			f.pass(2 * time.Second)
			f.end("m00", downFor)
			f.cut["m00"] = false
		}, endSilent},
		"rack lost": {func(f *crashFleet) { f.end("m00", downFor); f.end("m01", downFor); f.end("m02", downFor) }, endRackLost},
		"evacuated": {func(f *crashFleet) { f.core.SetEvacuated([]string{""}); f.end("m00", downFor) }, endCrashed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 8)
			old := simpleJob(1, 8)
			old.Steps[0].MaxPerWorker = 1
			f.core.AddJob(old, nil, false, f.now)
			f.pass(8 * time.Second)
			recent := simpleJob(2, 8)
			recent.Steps[0].MaxPerWorker = 1
			f.core.AddJob(recent, nil, false, f.now)
			f.pass(time.Second)
			id := f.incarnation["m00"]
			x.end(f)
			f.pass(4 * time.Second)
			var logged *Decision
			for _, d := range f.decisionsOf("worker_ended") {
				if d.Worker == id {
					logged = &d
				}
			}
			if logged == nil || logged.Reason != x.want.String() {
				t.Fatalf("logged: %v, want %v", logged, x.want)
			}
			var runs []string
			for _, d := range f.decisionsOf("run_in_crash") {
				if d.Worker == id {
					runs = append(runs, d.Job)
				}
			}
			if x.want == endCrashed && (len(runs) != 1 || runs[0] != recent.ID) {
				t.Errorf("runs that may have crashed it: %v, want the one of %s", runs, recent.ID)
			}
			if x.want != endCrashed && len(runs) > 0 {
				t.Errorf("runs that may have crashed it: %v, want none", runs)
			}
		})
	}
}

// TestBrokenConnectionProvesNothing: a refused or broken connection changes nothing about the
// worker's incarnation and its runs; only an expired lease or another incarnation ends them.
func TestBrokenConnectionProvesNothing(t *testing.T) {
	f := newCrashFleet(t, 8)
	spec := simpleJob(1, 8)
	f.core.AddJob(spec, nil, false, f.now)
	f.pass(time.Second)
	f.down["m00"] = f.now.Steady + time.Hour // refuses, and runs on
	f.pass(4 * time.Second)
	if n := len(f.decisionsOf("run_lost")); n > 0 {
		t.Errorf("%d runs were given up while their leases lasted", n)
	}
	for id, runs := range f.starts {
		if len(runs) > 1 {
			t.Errorf("%v was started %d times", id, len(runs))
		}
	}
}
