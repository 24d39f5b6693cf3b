package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// speedCase is a core with one step, whose tasks run one on each of several workers.
type speedCase struct {
	core *Core
	now  Instant
	step *stepRun
}

func newSpeedCase(workers int, step job.Step) *speedCase {
	s := &speedCase{now: Instant{Steady: time.Second}}
	s.core = leasedCore(Params{Restore: 600 * time.Millisecond}, 1, s.now)
	var infos []WorkerInfo
	var ids []WorkerID
	for i := range workers {
		id := WorkerID(fmt.Sprintf("w%d", i))
		infos = append(infos, WorkerInfo{ID: id, Address: "a", Service: "svc", CPUMilli: 4000, MemoryMiB: 8000})
		ids = append(ids, id)
	}
	s.core.SetWorkers(infos, s.now)
	storeOpen(s.core, ids...)
	for _, id := range ids {
		s.core.PollDone(PollRequest{Worker: id}, PollReply{ClockMS: 1}, OutcomeOK, s.now)
	}
	spec := simpleJob(1, 1)
	step.CPUMilli, step.MaxPerWorker = 1000, 1
	spec.Steps = []job.Step{step}
	s.core.AddJob(spec, nil, false, s.now)
	s.step = s.core.jobs[spec.ID].steps[0]
	s.core.Schedule(s.now)
	for _, o := range s.core.TakeOrders() {
		s.core.OrderDone(o, Answer{ClockMS: 2}, s.now)
	}
	return s
}

// run lists each task's progress, as a function of its index and the time since its
// start, every half second; it returns the orders.
func (s *speedCase) run(d time.Duration, progress func(index int, since time.Duration) int) []Order {
	var orders []Order
	start := s.now.Steady
	for s.now.Steady < start+d {
		s.now.Steady += 500 * time.Millisecond
		for _, t := range s.step.tasks {
			a := t.attempt
			if a == nil || a.stopping {
				continue
			}
			row := RunningTask{Task: t.id(), Run: a.run, Percent: progress(t.index, s.now.Steady-a.started)}
			s.core.PollDone(PollRequest{Worker: a.worker.info.ID}, PollReply{ClockMS: s.now.Steady.Milliseconds(), Running: []RunningTask{row}}, OutcomeOK, s.now)
		}
		orders = append(orders, s.core.TakeOrders()...)
	}
	return orders
}

func percentOf(since, whole time.Duration) int { return int(100 * since / whole) }

// A task that stands still, or works at a fraction of the speed of its step's other tasks, moves
// to another worker, and its worker gets no new tasks for a while.
func TestTasksLeaveSlowWorkers(t *testing.T) {
	for name, slow := range map[string]func(since time.Duration) int{
		"stands still": func(time.Duration) int { return 3 },
		"slow":         func(since time.Duration) int { return percentOf(since, 60*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSpeedCase(6, job.Step{Count: 5})
			orders := s.run(3*time.Second, func(index int, since time.Duration) int {
				if index == 0 {
					return slow(since)
				}
				return percentOf(since, 10*time.Second)
			})
			if len(orders) != 1 || orders[0].Kind != OrderStop || orders[0].Task.Index != 0 {
				t.Fatalf("orders: %v", orders)
			}
			if w := s.core.workers[orders[0].Worker]; s.now.Steady >= w.slowUntil {
				t.Error("the slow worker gets new tasks")
			}
		})
	}
}

// Guards against moving tasks that are slow for a reason other than their worker: all tasks of the
// step alike, a fill that gets little processor time, a run that reads its checkpoint.
func TestTasksStayThatAreSlowEverywhere(t *testing.T) {
	for name, x := range map[string]struct {
		step     job.Step
		progress func(index int, since time.Duration) int
		prepare  func(s *speedCase)
	}{
		"long tasks": {job.Step{Count: 5}, func(_ int, since time.Duration) int { return percentOf(since, 60*time.Second) }, nil},
		"a fill without processors": {job.Step{Count: 5, Fills: true, Image: "i"}, func(index int, since time.Duration) int {
			if index == 0 {
				return percentOf(since, 40*time.Second)
			}
			return percentOf(since, 10*time.Second)
		}, func(s *speedCase) {
			for _, task := range s.step.tasks {
				task.attempt.lastReading = 1000
			}
			s.step.tasks[0].attempt.lastReading = 250
		}},
		"a restore": {job.Step{Count: 5}, func(index int, since time.Duration) int {
			if index == 0 {
				return percentOf(max(since-700*time.Millisecond, 0), 10*time.Second)
			}
			return percentOf(since, 10*time.Second)
		}, func(s *speedCase) { s.step.tasks[0].checkpoint.text = "c" }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSpeedCase(6, x.step)
			if x.prepare != nil {
				x.prepare(s)
			}
			if orders := s.run(3*time.Second, x.progress); len(orders) > 0 {
				t.Fatalf("orders: %v", orders)
			}
		})
	}
}

// Capacity of a worker that counts as slow must serve long-running tasks, and jobs that have
// nothing running, if there is none elsewhere.
func TestSlowWorkersServeWhatHasNoOtherPlace(t *testing.T) {
	now := Instant{Steady: time.Minute}
	core := leasedCore(Params{}, 1, now)
	slow := core.addWorker(testWorkerInfo("slow", "m1"), now)
	slow.slowUntil = now.Steady + slowPause
	sound := core.addWorker(testWorkerInfo("sound", "m2"), now)
	choose := func(step job.Step, idle time.Duration, pool ...*worker) *worker {
		j := &jobState{spec: simpleJob(1, 1), idleSince: now.Steady - idle}
		s := &stepRun{job: j, spec: &step}
		return core.choose(&task{step: s}, pool, core.plainView(s, now), now)
	}
	short, longRunning := job.Step{Count: 1, CPUMilli: 100}, job.Step{Count: 1, CPUMilli: 100, LongRunning: true}
	for name, x := range map[string]struct{ got, want *worker }{
		"a short task waits":             {choose(short, 0, slow), nil},
		"a short task has another place": {choose(short, 0, slow, sound), sound},
		"a job with nothing running":     {choose(short, 2*starvedAfter, slow), slow},
		"the same with another place":    {choose(short, 2*starvedAfter, slow, sound), sound},
		"a long-running task":            {choose(longRunning, 0, slow), slow},
		"the same with another place ":   {choose(longRunning, 0, slow, sound), sound},
	} {
		if x.got != x.want {
			t.Errorf("%s: %v", name, x.got)
		}
	}
}
