package scheduler

import (
	"github.com/DataDog/sketches-go/ddsketch"

	"leverstile.dev/fleet"
)

// Estimator corrects declared sizes by the measured use of tasks of the same
// kind.
type Estimator struct {
	kinds map[string]*kindUsage
}

type kindUsage struct {
	cpu, memory *ddsketch.DDSketch
	samples     int
	// cached is the size computed from the sketches; it is refreshed every
	// refreshEvery samples.
	cached fleet.Resources
}

const (
	// minSamples is the number of samples of a kind needed to correct its size.
	minSamples = 30
	// refreshEvery is the number of samples between updates of the size.
	refreshEvery = 16
	// cpuQuantile and memoryQuantile are quantiles of the measured use. The one
	// of memory is higher because too little processor time slows a task down,
	// while too little memory ends it.
	cpuQuantile    = 0.90
	memoryQuantile = 0.99
	// headroom is the factor applied to the measured quantile.
	headroom = 1.15
	// sketchAccuracy is the relative error of the quantiles.
	sketchAccuracy = 0.02
)

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator { return &Estimator{kinds: map[string]*kindUsage{}} }

// Observe records the measured use of one task of a kind.
func (e *Estimator) Observe(kind string, used fleet.Resources) {
	k := e.kinds[kind]
	if k == nil {
		k = newKindUsage()
		e.kinds[kind] = k
	}
	// The sketch refuses only negative numbers and those out of its range,
	// which are no valid sizes.
	_ = k.cpu.Add(float64(used.CPUMilli))
	_ = k.memory.Add(float64(used.MemoryMiB))
	k.samples++
	if k.samples >= minSamples && k.samples%refreshEvery == 0 || k.samples == minSamples {
		k.refresh()
	}
}

func newKindUsage() *kindUsage {
	k := &kindUsage{}
	// NewDefaultDDSketch fails only for an accuracy outside (0, 1).
	k.cpu, _ = ddsketch.NewDefaultDDSketch(sketchAccuracy)
	k.memory, _ = ddsketch.NewDefaultDDSketch(sketchAccuracy)
	return k
}

func (k *kindUsage) refresh() {
	cpu, err := k.cpu.GetValueAtQuantile(cpuQuantile)
	if err != nil {
		return
	}
	memory, err := k.memory.GetValueAtQuantile(memoryQuantile)
	if err != nil {
		return
	}
	k.cached = fleet.Resources{CPUMilli: int64(cpu * headroom), MemoryMiB: int64(memory * headroom)}
}

// Ask returns the size for planning a task of a kind. Accelerators are as
// declared. A kind with fewer than minSamples gets the declared size.
func (e *Estimator) Ask(kind string, declared fleet.Resources) fleet.Resources {
	k := e.kinds[kind]
	if k == nil || k.samples < minSamples {
		return declared
	}
	ask := k.cached
	ask.Accelerators = declared.Accelerators
	ask.CPUMilli = max(ask.CPUMilli, 1)
	ask.MemoryMiB = max(ask.MemoryMiB, 1)
	return ask
}
