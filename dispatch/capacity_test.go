package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// capacityFleet is one worker, in a service that may not check its capacity itself, and a core
// whose list of workers has it.
type capacityFleet struct {
	core *Core
	now  Instant
	info WorkerInfo
}

func newCapacityFleet(t *testing.T, unguarded bool) *capacityFleet {
	t.Helper()
	f := &capacityFleet{now: Instant{Steady: time.Second}, info: testWorkerInfo("w1", "m1")}
	f.info.CPUMilli = 4000
	f.core = leasedCore(Params{MaxWorkerListAge: 3 * time.Second}, 1, f.now)
	f.core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", Stretch: 2, TargetLatency: time.Second, CapacityUnchecked: unguarded}}})
	f.list()
	rosterOf(t, f.core)
	poll(f.core, "w1", f.now.Steady, f.now.Steady+time.Millisecond)
	return f
}

func (f *capacityFleet) list() { f.core.SetWorkers([]WorkerInfo{f.info}, f.now) }

// starts advances the time by 20 ms, schedules, and has all orders answered; it returns the
// number of starts.
func (f *capacityFleet) starts() int {
	n := 0
	f.now.Steady += 20 * time.Millisecond
	f.core.Schedule(f.now)
	for _, o := range f.core.TakeOrders() {
		if o.Kind == OrderStart {
			n++
		}
		f.core.OrderDone(o, Answer{Outcome: OutcomeOK, ClockMS: f.now.Steady.Milliseconds()}, f.now)
	}
	return n
}

// end has the worker list the end of an attempt, and its other attempts as running.
func (f *capacityFleet) end(a *attempt, number uint64) {
	w := a.worker
	reply := PollReply{ClockMS: f.now.Steady.Milliseconds(), Ended: []EndedTask{{Number: number, Task: a.task.id(), Run: a.run, Kind: EndStopped}}}
	for _, other := range w.attempts {
		if other != a {
			reply.Running = append(reply.Running, RunningTask{Task: other.task.id(), Run: other.run, Percent: fullPace})
		}
	}
	f.core.PollDone(f.core.PlanPoll("w1", f.now).Request, reply, OutcomeOK, f.now)
}

// TestShrunkAndGrownCapacity: a start never exceeds the capacity that a worker lists, including
// runs that are being stopped; capacity that has grown is used at once.
func TestShrunkAndGrownCapacity(t *testing.T) {
	f := newCapacityFleet(t, true)
	spec := simpleJob(1, 20) // each task takes 500
	f.core.AddJob(spec, nil, false, f.now)
	if n := f.starts(); n != 8 {
		t.Fatalf("%d starts with capacity for 8", n)
	}
	f.info.CPUMilli = 2000
	f.list()
	w := f.core.workers["w1"]
	for number := uint64(1); number <= 4; number++ {
		a := w.attempts[0]
		f.core.stop(a, "test", f.now)
		if n := f.starts(); n != 0 {
			t.Fatalf("%d starts while a worker has %d runs, one being stopped, with capacity for 4", n, len(w.attempts))
		}
		f.end(a, number)
		if n := f.starts(); n != 0 {
			t.Fatalf("%d starts while a worker has %d runs with capacity for 4", n, len(w.attempts))
		}
	}
	a := w.attempts[0]
	f.core.stop(a, "test", f.now)
	if n := f.starts(); n != 0 {
		t.Errorf("%d starts while the run whose capacity is needed is being stopped", n)
	}
	f.end(a, 5)
	if n := f.starts(); n != 1 {
		t.Errorf("%d starts once there is capacity for one", n)
	}
	f.info.CPUMilli = 5000
	f.list()
	if n := f.starts(); n != 6 {
		t.Errorf("%d starts after the capacity has grown by 6", n)
	}
}

// TestStaleListOfUnguardedCapacity: capacity may have shrunk since the list was read. A worker
// that checks its own capacity refuses what does not fit; others get nothing by a stale list.
func TestStaleListOfUnguardedCapacity(t *testing.T) {
	for _, unguarded := range []bool{false, true} {
		f := newCapacityFleet(t, unguarded)
		f.core.AddJob(simpleJob(1, 2), nil, false, f.now)
		if n := f.starts(); n != 2 {
			t.Fatalf("%d starts with a new list", n)
		}
		f.now.Steady += f.core.params.MaxWorkerListAge
		f.core.AddJob(simpleJob(2, 2), nil, false, f.now)
		want := 2
		if unguarded {
			want = 0
		}
		if n := f.starts(); n != want {
			t.Errorf("unguarded %v: %d starts with an old list, want %d", unguarded, n, want)
		}
		f.list()
		if n := f.starts(); n != 2-want {
			t.Errorf("unguarded %v: %d starts with a new list, want %d", unguarded, n, 2-want)
		}
	}
}

// TestReservedCapacityOfShrunkWorkers: a worker that has shrunk below what its long-running tasks
// take leaves nothing to short tasks, and reduces nothing of what others leave.
func TestReservedCapacityOfShrunkWorkers(t *testing.T) {
	w := &worker{info: WorkerInfo{CPUMilli: 2000}, longRunning: resources{cpu: 5000}}
	if free := w.freeOfLongRunning(); free != 0 {
		t.Errorf("%d free, want 0", free)
	}
}
