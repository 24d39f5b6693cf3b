package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"leverstile.dev/job"
)

// pairSim simulates a worker with serving tasks whose own loads swing, and fills that
// start and end, as on recorded days: tail = unloaded / (1 - load - pressure).
type pairSim struct {
	rng   *rand.Rand
	truth map[string]float64 // utilization added by an image, over its share of the worker
	at    time.Duration
	fills []pressure
	phase []float64
}

// step advances half a second, and returns each serving task's headroom.
func (b *pairSim) step() []float64 {
	b.at += 500 * time.Millisecond
	images := []string{"loud", "calm", "soft"}
	if b.rng.IntN(2) == 0 {
		b.fills = nil
		for range b.rng.IntN(4) {
			b.fills = append(b.fills, pressure{images[b.rng.IntN(len(images))], 0.08 + 0.06*b.rng.Float64()})
		}
	}
	pressed := 0.0
	for _, f := range b.fills {
		pressed += b.truth[f.image] * f.share
	}
	list := make([]float64, len(b.phase))
	for i, phase := range b.phase {
		load := 0.45 * (1 + 0.5*math.Sin(2*math.Pi*b.at.Seconds()/14+phase))
		const unloaded, target = 10, 50 // ms
		tail := math.Round(unloaded / max(1-load-pressed, 0.02))
		list[i] = target / tail
	}
	return list
}

// Guards against attributing swings of the serving tasks' own loads, which exceed the effect of
// any single pair, to the fills beside them.
func TestPairsAreFoundDespiteSwingsOfLoad(t *testing.T) {
	m := newInterference()
	b := &pairSim{rng: rand.New(rand.NewPCG(1, 2)), truth: map[string]float64{"loud": 1.2, "calm": 0.02, "soft": 0.15}, phase: []float64{0, 1, 2.5, 4, 5.5}}
	last, beside := b.step(), b.fills
	const steps = 40 // 20 s of one worker
	for range steps {
		now := b.step()
		changes := difference(b.fills, beside)
		for i, h := range now {
			if min(h, last[i]) >= minLearnHeadroom {
				m.learn("web", h-last[i], changes)
			}
		}
		last, beside = now, b.fills
	}
	for image, bounds := range map[string][2]float64{"loud": {5, 7}, "soft": {0, 1.5}, "calm": {0, 0.6}} {
		mean, deviation := m.coefficient("web", image)
		if mean < bounds[0] || mean > bounds[1] || deviation > 0.7 {
			t.Errorf("%s: %.2f ± %.2f, want %v", image, mean, deviation, bounds)
		}
	}
}

// Images with equal pressures are left out, and those that only one side has are included.
func TestDifferenceOfPressures(t *testing.T) {
	d := difference([]pressure{{"a", 0.2}, {"b", 0.1}}, []pressure{{"b", 0.1}, {"c", 0.3}})
	if len(d) != 2 || d[0] != (pressure{"a", 0.2}) || d[1] != (pressure{"c", -0.3}) {
		t.Fatalf("%v", d)
	}
}

// Guards against admitting a fill that is known to hurt to a worker without headroom for it.
func TestFillNeedsHeadroomOfServingTasks(t *testing.T) {
	core := leasedCore(Params{}, 1, Instant{})
	w := core.addWorker(WorkerInfo{CPUMilli: 16000, MemoryMiB: 64000}, Instant{})
	s := &stepRun{spec: &job.Step{Count: 1, CPUMilli: 1600, Fills: true, Image: "loud"}}
	core.model.regression("web").grow("loud", 6, 0.01)
	for alone, admitted := range map[float64]bool{3: true, minAdmitHeadroom + 0.5: false} {
		w.load.serving = []servingLoad{{"web", alone}}
		if _, ok := core.scoreFill(s, w, false); ok != admitted {
			t.Errorf("beside a task with headroom %.1f admitted: %v, want %v", alone, ok, admitted)
		}
	}
	if _, ok := core.scoreFill(s, w, true); !ok {
		t.Error("a fill of a starved job is not admitted")
	}
}

// Guards against new fills on a worker whose tasks have been over their targets for long, each of
// which would run until the next list is read.
func TestNoFillsBesideTasksOverTheirTarget(t *testing.T) {
	core := leasedCore(Params{OverTarget: 4 * time.Second}, 1, Instant{})
	w := core.addWorker(WorkerInfo{CPUMilli: 16000, MemoryMiB: 64000}, Instant{})
	core.model.regression("web").grow("loud", 6, 0.01)
	core.model.regression("web").grow("calm", 0.1, 0.01)
	w.load.serving = []servingLoad{{"web", maxHeadroom}}
	for _, x := range []struct {
		over               time.Duration
		image              string
		starved, admission bool
	}{
		{0, "loud", false, true},
		{500 * time.Millisecond, "loud", false, false},
		{500 * time.Millisecond, "calm", false, true},
		{500 * time.Millisecond, "loud", true, true},
		{time.Second, "calm", false, false},
		{time.Second, "calm", true, false},
	} {
		w.overTarget = x.over
		s := &stepRun{spec: &job.Step{Count: 1, CPUMilli: 1600, Fills: true, Image: x.image}}
		if _, ok := core.scoreFill(s, w, x.starved); ok != x.admission {
			t.Errorf("%s, starved %v, beside a task over its target for %v: admitted %v", x.image, x.starved, x.over, ok)
		}
	}
}
