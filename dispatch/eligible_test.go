package dispatch

import (
	"testing"
	"time"
)

// TestExcludedWorkersGetNoTasks: each exclusion alone keeps new tasks off a worker, single ones
// as well as gangs.
func TestExcludedWorkersGetNoTasks(t *testing.T) {
	for want, exclude := range map[exclusion]func(core *Core, w *worker, now Instant){
		exclusionNone:     func(*Core, *worker, Instant) {},
		exclusionUnlisted: func(core *Core, w *worker, _ Instant) { w.listed = false },
		exclusionEnded:    func(_ *Core, w *worker, _ Instant) { w.endReason = "test" },
		exclusionDraining: func(core *Core, w *worker, now Instant) {
			info := w.info
			info.Draining = true
			core.SetWorkers([]WorkerInfo{info}, now)
		},
		exclusionEvacuated:   func(core *Core, w *worker, _ Instant) { core.SetEvacuated([]string{w.info.DataCentre}) },
		exclusionMaintenance: func(_ *Core, w *worker, _ Instant) { w.cordoned = true },
		exclusionUnread:      func(_ *Core, w *worker, _ Instant) { w.synced = false },
		exclusionSilent: func(core *Core, w *worker, now Instant) {
			for range unreachedAfter {
				core.PollDone(PollRequest{Worker: w.info.ID}, PollReply{}, OutcomeUnknown, now)
			}
		},
		exclusionAvoided: func(core *Core, w *worker, now Instant) { core.avoidWorker(w, "test", now) },
		exclusionStaleClock: func(core *Core, w *worker, now Instant) {
			core.validUntil = now.Steady + time.Second
			w.clockAt = now.Steady - 10*time.Minute
		},
		exclusionUnrecorded: func(_ *Core, w *worker, _ Instant) { w.recorded = false },
	} {
		for _, gang := range []bool{false, true} {
			core, now := idleCore(t, 1)
			w := core.workers["w0"]
			exclude(core, w, now)
			if got := core.exclusionOf(w, now); got != want {
				t.Errorf("%v: the exclusion is %v", want, got)
			}
			spec := simpleJob(1, 2)
			spec.Steps[0].Gang = gang
			core.AddJob(spec, nil, false, now)
			core.Schedule(now)
			if n := len(starts(core)); n != 0 && want != exclusionNone || n != 2 && want == exclusionNone {
				t.Errorf("%v, gang %v: %d starts", want, gang, n)
			}
		}
	}
}
