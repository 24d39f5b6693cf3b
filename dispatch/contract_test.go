package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// idleCore returns a core with idle workers of 4 cores each, for tests of single decisions.
func idleCore(t *testing.T, workers int) (*Core, Instant) {
	t.Helper()
	core := New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour, JobKept: time.Hour, RemoteFactor: 2}, 1, nil)
	core.Renewed(0)
	core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: 9, Stretch: 2}}})
	now := Instant{Steady: time.Second, UnixMS: 1_000_000}
	var list []WorkerInfo
	var ids []WorkerID
	for i := range workers {
		id := WorkerID(fmt.Sprintf("w%d", i))
		ids = append(ids, id)
		list = append(list, WorkerInfo{
			ID: id, Address: string(id), Service: "svc", CPUMilli: 4000, MemoryMiB: 8000,
			Rack: fmt.Sprintf("r%d", i%2), Labels: []string{"plain", fmt.Sprintf("label%d", i)},
		})
	}
	core.SetWorkers(list, now)
	storeOpen(core, ids...)
	for _, id := range ids {
		core.PollDone(core.PlanPoll(id, now).Request, PollReply{ClockMS: 1000}, OutcomeOK, now)
	}
	return core, now
}

func starts(core *Core) []Order {
	var list []Order
	for _, o := range core.TakeOrders() {
		if o.Kind == OrderStart {
			list = append(list, o)
		}
	}
	return list
}

func TestGangStartsWholeUnderOneRun(t *testing.T) {
	core, now := idleCore(t, 2)
	spec := simpleJob(1, 6)
	spec.Steps[0].Gang, spec.Steps[0].CPUMilli = true, 1000
	large := simpleJob(2, 9) // does not fit: 8 cores in all
	large.Steps[0].Gang, large.Steps[0].CPUMilli = true, 1000
	core.AddJob(large, nil, false, now)
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	list := starts(core)
	if len(list) != 6 {
		t.Fatalf("%d starts, want the 6 of the gang that fits", len(list))
	}
	for _, o := range list {
		if o.Run != list[0].Run || o.Task.Job != spec.ID {
			t.Errorf("start %+v", o)
		}
	}
	// One member is refused for lack of capacity: the others stop, and all start again.
	core.OrderDone(list[0], Answer{Outcome: OutcomeNoCapacity, ClockMS: 1001}, now)
	stops := map[int]bool{}
	for _, o := range core.TakeOrders() {
		if o.Kind != OrderStop {
			t.Errorf("order %v while members run", o.Kind)
		}
		stops[o.Task.Index] = true
	}
	if len(stops) != 5 {
		t.Errorf("%d members stopped, want 5", len(stops))
	}
	for _, id := range []WorkerID{"w0", "w1"} {
		var ended []EndedTask
		for i, o := range list[1:] {
			if o.Worker == id {
				ended = append(ended, EndedTask{Number: uint64(i + 1), Task: o.Task, Run: o.Run, Kind: EndStopped})
			}
		}
		core.PollDone(PollRequest{Worker: id}, PollReply{ClockMS: 1100, Ended: ended}, OutcomeOK, now)
	}
	now.Steady += time.Second
	core.Schedule(now)
	again := starts(core)
	if len(again) != 6 || again[0].Run <= list[0].Run {
		t.Errorf("%d starts of the next run", len(again))
	}
}

func TestTimedJobStartsWhenItIsDue(t *testing.T) {
	core, now := idleCore(t, 2)
	spec := simpleJob(1, 1)
	spec.Occurrences, spec.FirstDueMS, spec.IntervalMS = 2, now.UnixMS+500, 1000
	core.AddJob(spec, nil, false, now)
	var at []int64
	for range 30 {
		now.Steady += 100 * time.Millisecond
		now.UnixMS += 100
		core.Tick(now)
		for range starts(core) {
			at = append(at, now.UnixMS-1_000_000)
		}
	}
	if fmt.Sprint(at) != "[500 1500]" {
		t.Errorf("started at %v, want at 500 and 1500", at)
	}
}

func TestWhereATaskMayRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		spec  func(s *job.Step)
		check func(w WorkerID, n int) bool
		want  int
	}{
		{"label", func(s *job.Step) { s.Requires = "label2" }, func(w WorkerID, _ int) bool { return w == "w2" }, 4},
		{"spread", func(s *job.Step) { s.MaxPerWorker = 1 }, func(_ WorkerID, n int) bool { return n <= 1 }, 3},
		{"room", func(s *job.Step) { s.CPUMilli = 3000 }, func(_ WorkerID, n int) bool { return n <= 1 }, 3},
		{"memory", func(s *job.Step) { s.MemoryMiB = 5000 }, func(_ WorkerID, n int) bool { return n <= 1 }, 3},
		{"data", func(s *job.Step) { s.DataRack = "r1" }, func(w WorkerID, _ int) bool { return w == "w1" }, 4},
	} {
		core, now := idleCore(t, 3)
		spec := simpleJob(1, 4)
		spec.Steps[0].CPUMilli = 500
		c.spec(&spec.Steps[0])
		core.AddJob(spec, nil, false, now)
		core.Schedule(now)
		list := starts(core)
		if len(list) != c.want {
			t.Errorf("%s: %d starts, want %d", c.name, len(list), c.want)
		}
		count := map[WorkerID]int{}
		for _, o := range list {
			count[o.Worker]++
			if !c.check(o.Worker, count[o.Worker]) {
				t.Errorf("%s: start at %s, its number %d there", c.name, o.Worker, count[o.Worker])
			}
		}
	}
}
