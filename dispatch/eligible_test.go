package dispatch

import (
	"testing"
	"time"
)

// TestExcludedWorkersGetNoTasks: each exclusion alone keeps new tasks off a worker, single ones
// as well as gangs.
func TestWorkersBehindABarrierGetNothing(t *testing.T) {
	for want, exclude := range map[barrier]func(core *Core, w *worker, now Instant){
		barrierNone:     func(*Core, *worker, Instant) {},
		barrierUnlisted: func(core *Core, w *worker, _ Instant) { w.listed = false },
		barrierOver:     func(_ *Core, w *worker, _ Instant) { w.endReason = "test" },
		barrierDraining: func(core *Core, w *worker, now Instant) {
			info := w.info
			info.Draining = true
			core.SetWorkers([]WorkerInfo{info}, now)
		},
		barrierEvacuated: func(core *Core, w *worker, _ Instant) { core.SetEvacuated([]string{w.info.DataCentre}) },
		barrierUpkeep:    func(_ *Core, w *worker, _ Instant) { w.cordoned = true },
		barrierUnread:    func(_ *Core, w *worker, _ Instant) { w.synced = false },
		barrierSilent: func(core *Core, w *worker, now Instant) {
			for range unreachedAfter {
				core.PollDone(PollRequest{Worker: w.info.ID}, PollReply{}, OutcomeUnknown, now)
			}
		},
		barrierAvoided: func(core *Core, w *worker, now Instant) { core.avoidWorker(w, "test", now) },
		barrierStale: func(core *Core, w *worker, now Instant) {
			core.validUntil = now.Steady + time.Second
			w.clockAt = now.Steady - 10*time.Minute
		},
		barrierUnrecorded: func(_ *Core, w *worker, _ Instant) { w.recorded = false },
	} {
		for _, gang := range []bool{false, true} {
			core, now := idleCore(t, 1)
			w := core.workers["w0"]
			exclude(core, w, now)
			if got := core.barrierOf(w, now); got != want {
				t.Errorf("%v: the exclusion is %v", want, got)
			}
			spec := simpleJob(1, 2)
			spec.Steps[0].Gang = gang
			core.AddJob(spec, nil, false, now)
			core.Schedule(now)
			if n := len(starts(core)); n != 0 && want != barrierNone || n != 2 && want == barrierNone {
				t.Errorf("%v, gang %v: %d starts", want, gang, n)
			}
		}
	}
}
