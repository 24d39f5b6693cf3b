package dispatch

import (
	"strings"
	"testing"
	"time"

	"leverstile.dev/job"
)

// evacuationCore returns a core with two workers in each of the data centres a and b, whose lists
// are read and whose roster entries are stored.
func evacuationCore(t *testing.T) (*Core, Instant) {
	t.Helper()
	now := Instant{Steady: time.Minute, UnixMS: 60_000}
	core := leasedCore(Params{}, 1, now)
	var list []WorkerInfo
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		list = append(list, WorkerInfo{ID: WorkerID(id), Address: id, Service: "svc", DataCentre: id[:1], CPUMilli: 4000, MemoryMiB: 4000})
	}
	core.SetWorkers(list, now)
	storeRoster(t, core)
	for _, w := range list {
		core.PollDone(core.PlanPoll(w.ID, now).Request, PollReply{ClockMS: 500_000}, OutcomeOK, now)
	}
	return core, now
}

// startsByDataCentre takes the orders and counts the starts.
func startsByDataCentre(core *Core) map[string]int {
	counts := map[string]int{}
	for _, o := range starts(core) {
		counts[core.workers[o.Worker].info.DataCentre]++
	}
	return counts
}

// Every kind of task starts in the other data centre only; none starts once all are evacuated,
// the reason is explained, and tasks start again once an evacuation is revoked.
func TestEvacuationAppliesToEveryKindOfTask(t *testing.T) {
	for name, change := range map[string]func(*job.Spec){
		"plain":    func(*job.Spec) {},
		"gang":     func(s *job.Spec) { s.Steps[0].Gang = true },
		"repeated": func(s *job.Spec) { s.Occurrences, s.FirstDueMS, s.IntervalMS = 2, 1, 1 },
		"lasting":  func(s *job.Spec) { s.Steps[0].LongRunning = true },
		"fills":    func(s *job.Spec) { s.Steps[0].Fills, s.Steps[0].Image = true, "i" },
		"copies":   func(s *job.Spec) { s.Steps[0].Speculative = true },
	} {
		t.Run(name, func(t *testing.T) {
			core, now := evacuationCore(t)
			add := func(n int) *job.Spec {
				spec := simpleJob(n, 4)
				change(spec)
				core.AddJob(spec, nil, false, now)
				core.Schedule(now)
				return spec
			}
			core.SetEvacuated([]string{"a", "unknown"})
			add(1)
			if n := startsByDataCentre(core); n["a"] > 0 || n["b"] == 0 {
				t.Errorf("starts %v with a evacuated", n)
			}
			core.SetEvacuated([]string{"a", "b"})
			last := add(2)
			if n := startsByDataCentre(core); len(n) > 0 {
				t.Errorf("starts %v with all evacuated", n)
			}
			if why := core.Explain(last.ID, now).Tasks[0].WaitsFor; !strings.Contains(why, "4 evacuated") {
				t.Errorf("the task waits for %q", why)
			}
			core.SetEvacuated([]string{"b"})
			core.Schedule(now)
			if n := startsByDataCentre(core); n["a"] == 0 || n["b"] > 0 {
				t.Errorf("starts %v with the evacuation of a revoked", n)
			}
		})
	}
}

// A start whose answer was lost is not sent again once its data centre is evacuated.
func TestUnansweredStartIsNotRepeatedIntoAnEvacuation(t *testing.T) {
	core, now := evacuationCore(t)
	core.SetEvacuated([]string{"b"})
	core.AddJob(simpleJob(1, 1), nil, false, now)
	core.Schedule(now)
	o := starts(core)[0]
	core.SetEvacuated([]string{"a"})
	core.OrderDone(o, Answer{Outcome: OutcomeUnknown}, now)
	if list := starts(core); len(list) != 0 {
		t.Errorf("sent again: %v", list)
	}
}

// Workers that are still cold, which run tasks slowly after a start, get tasks only when the warm
// ones are full.
func TestColdWorkersComeLast(t *testing.T) {
	core, now := evacuationCore(t)
	var list []WorkerInfo
	for _, w := range core.sortedWorkers {
		info := w.info
		if info.DataCentre == "a" {
			info.Cold = 5 * time.Second
		}
		list = append(list, info)
	}
	core.SetWorkers(list, now)
	core.AddJob(simpleJob(1, 16), nil, false, now) // as many as the warm ones take
	core.Schedule(now)
	if n := startsByDataCentre(core); n["a"] > 0 || n["b"] != 16 {
		t.Errorf("starts %v while warm workers have capacity", n)
	}
	core.AddJob(simpleJob(2, 4), nil, false, now)
	core.Schedule(now)
	if n := startsByDataCentre(core); n["a"] != 4 {
		t.Errorf("starts %v with the warm ones full", n)
	}
}
