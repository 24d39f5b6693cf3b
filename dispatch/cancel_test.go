package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// ordersOf takes the orders and returns how many starts and stops are among them.
func ordersOf(core *Core) (started, stopped int) {
	for _, o := range core.TakeOrders() {
		switch o.Kind {
		case OrderStart:
			started++
		case OrderStop:
			stopped++
		}
	}
	return started, stopped
}

// TestCancelledJobStopsForGood: however its runs end after the cancellation is received, running
// tasks are stopped until they have ended, and none starts again.
func TestCancelledJobStopsForGood(t *testing.T) {
	for _, kind := range []EndKind{EndStopped, EndFailed, EndDone, EndLapsed} {
		for name, change := range map[string]func(s *job.Step){
			"plain": func(*job.Step) {}, "lasting": func(s *job.Step) { s.LongRunning = true }, "gang": func(s *job.Step) { s.Gang = true },
		} {
			t.Run(name+" "+string(kind), func(t *testing.T) {
				core, now := idleCore(t, 1)
				spec := simpleJob(1, 2, 1)
				spec.Steps[0].CPUMilli = 2000
				change(&spec.Steps[0])
				core.AddJob(spec, nil, false, now)
				core.Schedule(now)
				list := starts(core)
				if len(list) != 2 {
					t.Fatalf("%d starts, want 2", len(list))
				}
				for _, o := range list {
					core.OrderDone(o, Answer{Outcome: OutcomeOK, ClockMS: 1001}, now)
				}
				core.Cancel(spec.ID, now)
				if started, stopped := ordersOf(core); started != 0 || stopped != 2 {
					t.Errorf("%d starts and %d stops at the cancellation, want 2 stops", started, stopped)
				}
				now.Steady += stopRetry
				core.Tick(now)
				if started, stopped := ordersOf(core); started != 0 || stopped != 2 {
					t.Errorf("%d starts and %d stops while no end is listed, want 2 stops", started, stopped)
				}
				var ended []EndedTask
				for i, o := range list {
					ended = append(ended, EndedTask{Number: uint64(i + 1), Task: o.Task, Run: o.Run, Kind: kind})
				}
				listEnds(core, "w0", 1300, now, ended...)
				for range 5 {
					now.Steady += time.Second
					core.Tick(now)
				}
				if started, _ := ordersOf(core); started != 0 {
					t.Errorf("%d tasks of a cancelled job start", started)
				}
			})
		}
	}
}

// TestCancelledTasksThatWaitNeverStart guards against starts of cancelled tasks that wait for
// capacity or for their time, or whose job is received or added after its cancellation.
func TestCancelledTasksThatWaitNeverStart(t *testing.T) {
	for name, submit := range map[string]func(core *Core, spec *job.Spec, now Instant){
		"cancelled later": func(core *Core, spec *job.Spec, now Instant) {
			core.AddJob(spec, nil, false, now)
			core.Cancel(spec.ID, now)
		},
		"cancelled before": func(core *Core, spec *job.Spec, now Instant) {
			core.Cancel(spec.ID, now)
			core.AddJob(spec, nil, false, now)
		},
		"cancelled before a sure lease": func(core *Core, spec *job.Spec, now Instant) {
			certainUntil := core.leaseHeldUntil
			core.leaseHeldUntil = now.Steady
			core.AddJob(spec, nil, false, now)
			core.Cancel(spec.ID, now)
			core.leaseHeldUntil = certainUntil
		},
	} {
		for _, delay := range []int64{0, 500} {
			core, now := idleCore(t, 1)
			spec := simpleJob(1, 1)
			if delay > 0 {
				spec.Occurrences, spec.FirstDueMS, spec.IntervalMS = 2, now.UnixMS+delay, 300
			}
			submit(core, spec, now)
			for range 20 {
				now.Steady += 100 * time.Millisecond
				now.UnixMS += 100
				core.Tick(now)
			}
			if started, _ := ordersOf(core); started != 0 {
				t.Errorf("%s, due in %d ms: %d starts", name, delay, started)
			}
			if state := core.jobs[spec.ID].progress.State; state != job.Cancelled {
				t.Errorf("%s, due in %d ms: the job is %s", name, delay, state)
			}
		}
	}
}
