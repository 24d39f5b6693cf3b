package dispatch

import (
	"testing"
	"time"
)

// Where headroom does not suffice for all fills, the job that is due first gets it, and a fill
// that stays halted is queued again.
func TestHeadroomGoesToTheJobThatIsDueFirst(t *testing.T) {
	now := Instant{Steady: 20 * time.Second, UnixMS: 20_000}
	core := leasedCore(Params{}, 1, now)
	w := core.addWorker(WorkerInfo{ID: "w", CPUMilli: 16000, MemoryMiB: 64000}, now)
	core.model.regression("web").grow("loud", 6, 0.01)
	w.load.serving = []servingLoad{{"web", paceHeadroom + 1}}
	add := func(n int, acceptedMS int64, image string) *attempt {
		spec := simpleJob(n, 1)
		spec.AcceptedMS = acceptedMS
		spec.Steps[0].CPUMilli, spec.Steps[0].Fills, spec.Steps[0].Image, spec.Steps[0].Checkpoints = 1600, true, image, true
		core.AddJob(spec, nil, false, now)
		task := core.jobs[spec.ID].steps[0].tasks[0]
		core.start(task, w, core.newRun(), "", "", now)
		task.phase = phaseRunning
		return task.attempt
	}
	core.model.regression("web").grow("calm", 0.1, 0.01)
	later, harmless, sooner := add(1, 19_900, "loud"), add(2, 19_900, "calm"), add(3, 19_000, "loud")
	want := map[*attempt]int{sooner: fullPace, harmless: fullPace, later: 60}
	for _, p := range core.fillPaces(w, now) {
		if p.percent != want[p.fill] {
			t.Errorf("job %s has pace %d, want %d", p.fill.task.step.job.spec.ID, p.percent, want[p.fill])
		}
	}
	w.load.serving[0].baseHeadroom = paceHeadroom
	for at := now; at.Steady < now.Steady+2*requeueAfter; at.Steady += pollWaitWatched {
		core.adjustPaces(w, at)
		if later.stopping && at.Steady-now.Steady < requeueAfter {
			t.Fatalf("stopped %v after it was halted", at.Steady-now.Steady)
		}
	}
	if !later.stopping || harmless.stopping {
		t.Errorf("after %v at pace 0 stopped: %v; a fill that takes no headroom: %v", 2*requeueAfter, later.stopping, harmless.stopping)
	}
}
