package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// standingFills returns a core with a long-running step of fills, some on each worker and all
// available, and the workers' memory full but for free MiB.
func standingFills(t *testing.T, workers, each, maxUnavailable int, free int64) (*Core, Instant, *stepRun) {
	t.Helper()
	core, now := idleCore(t, workers)
	core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", Priority: 2, Stretch: 2}, {Name: "urgent", Service: "svc", Stretch: 2}}})
	spec := simpleJob(1, workers*each)
	s := &spec.Steps[0]
	s.LongRunning, s.Fills, s.Checkpoints, s.MaxPerWorker, s.MaxUnavailable = true, true, true, each, maxUnavailable
	s.CPUMilli, s.MemoryMiB = 100, (8000-free)/int64(each)
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	lists := map[WorkerID][]RunningTask{}
	for _, o := range starts(core) {
		core.OrderDone(o, Answer{Outcome: OutcomeOK, ClockMS: 1001}, now)
		lists[o.Worker] = append(lists[o.Worker], RunningTask{Task: o.Task, Run: o.Run, Percent: fullPace})
	}
	for id, list := range lists {
		core.PollDone(core.PlanPoll(id, now).Request, PollReply{ClockMS: 1100, Running: list}, OutcomeOK, now)
	}
	step := core.jobs[spec.ID].steps[0]
	for _, x := range step.tasks {
		if !x.available() {
			t.Fatalf("task %s is not available", x.id())
		}
	}
	return core, now, step
}

// TestPreemptionKeepsTasksAvailable guards against an urgent job that stops more tasks of a
// long-running step of fills than may be unavailable: on several workers, several on one worker, and
// while others are away already.
func TestPreemptionKeepsTasksAvailable(t *testing.T) {
	for _, each := range []int{1, 3} {
		for _, max := range []int{0, 1, 2, 5} {
			for _, needed := range []int64{1000, 4000, 8000} {
				core, now, step := standingFills(t, 4, each, max, 500)
				urgent := simpleJob(2, 4)
				urgent.Queue, urgent.Steps[0].MemoryMiB = "urgent", needed
				core.AddJob(urgent, nil, false, now)
				for range 20 {
					now.Steady += preemptPause
					core.Renewed(now.Steady)
					core.Schedule(now)
				}
				stopped := 0
				for _, x := range step.tasks {
					if x.attempt.stopping {
						stopped++
					}
				}
				what := fmt.Sprintf("%d tasks on each of 4 workers, %d may be away, %d MiB are needed on each", each, max, needed)
				if max > 0 && stopped > max {
					t.Errorf("%s: %d were stopped", what, stopped)
				}
				if max == 0 && stopped == 0 {
					t.Errorf("%s: none was stopped, though no bound applies", what)
				}
			}
		}
	}
}

// TestSlowedFillsStayAvailable guards against a long-running fill that hurts serving tasks and is
// moved while too many others of its step are unavailable.
func TestSlowedFillsStayAvailable(t *testing.T) {
	core, now, step := standingFills(t, 2, 2, 1, 500)
	now.Steady += time.Minute
	a := step.tasks[0].attempt
	a.slowedSince = now.Steady - requeueAfter
	if !core.shouldMove(a, now) {
		t.Fatal("a fill is not moved though all others are available")
	}
	core.move(step.tasks[1].attempt, "test", now)
	if core.shouldMove(a, now) {
		t.Error("a second fill is moved, one may be unavailable")
	}
}
