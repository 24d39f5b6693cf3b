package dispatch

import (
	"math"
	"slices"
)

// interference learns how much headroom each image of fill tasks takes from each
// serving image. A fill task ("fill") uses only processor time that others leave; a serving
// task is a long-running task with a latency target, and its image a serving image.
//
// Headroom is a serving task's target divided by its tail latency: 1 at the target, more
// below it. The tail latency of a server grows with 1/(1 - utilization), and what runs
// beside it adds to its utilization, so headroom falls by a coefficient times
// the processor use of each image beside it, as a share of the worker's size.
// Readings swing with the task's own load within seconds, but smoothly, while
// fills start and end abruptly: the model learns from the difference between two
// readings. The coefficients of a serving image are a Bayesian linear
// regression over the readings of all workers (recursive least squares); old
// readings fade. The variance of a coefficient distinguishes a harmless pair from one that was
// not seen yet.
type interference struct {
	images map[string]*regression
}

// Parameters of the model; see docs/design/interference.md.
const (
	// priorPair is the expected coefficient of a pair that was not seen yet. A third of
	// the pairs have 4 to 9, the others under 1.
	priorPair    = 2.0
	priorPairVar = 9.0
	// differenceVar is the variance of a difference of readings that the model
	// does not explain: rounding, and swings of the task's own load.
	differenceVar = 0.12
	// fading multiplies the variance with each reading, which gives
	// a memory of about 20,000 readings of a serving image.
	fading = 1.00005
	// maxPairs limits the images that are distinguished beside a serving image;
	// with 8 bytes for each of their pairs, that is 18 KB per serving image.
	maxPairs = 48
)

// regression estimates the coefficients of one serving image.
type regression struct {
	index map[string]int
	mean  []float64
	cov   [][]float64
}

// pressure is the processor use of one image on a worker, as a share of the worker's size.
type pressure struct {
	image string
	share float64
}

func newInterference() *interference { return &interference{images: map[string]*regression{}} }

func (m *interference) regression(image string) *regression {
	r := m.images[image]
	if r == nil {
		r = &regression{index: map[string]int{}}
		m.images[image] = r
	}
	return r
}

// grow adds an image's coefficient.
func (r *regression) grow(image string, mean, variance float64) {
	r.index[image] = len(r.mean)
	r.mean = append(r.mean, mean)
	for i := range r.cov {
		r.cov[i] = append(r.cov[i], 0)
	}
	row := make([]float64, len(r.mean))
	row[len(row)-1] = variance
	r.cov = append(r.cov, row)
}

// find returns the index of an image's coefficient, adding it if needed, or -1 if there
// are maxPairs already.
func (r *regression) find(image string) int {
	if i, ok := r.index[image]; ok {
		return i
	}
	if len(r.mean) >= maxPairs {
		return -1
	}
	r.grow(image, priorPair, priorPairVar)
	return len(r.mean) - 1
}

// learn updates the model with the change of a serving task's headroom between two
// readings and the changes of the pressures beside it.
func (m *interference) learn(serving string, change float64, beside []pressure) {
	r := m.regression(serving)
	x := r.vector(beside)
	gain, variance, predicted := r.apply(x)
	if variance == 0 {
		return // nothing beside it has changed
	}
	variance += differenceVar
	residual := -change - predicted
	for i := range r.mean {
		g := gain[i] / variance
		r.mean[i] = max(r.mean[i]+g*residual, 0)
		for j := range r.cov[i] {
			r.cov[i][j] = (r.cov[i][j] - g*gain[j]) * fading
		}
		if r.cov[i][i] > priorPairVar {
			r.limit(i, priorPairVar)
		}
	}
}

// limit reduces a variance to its prior. Without that, fading would increase the variances of
// pairs that do not occur without limit.
func (r *regression) limit(i int, variance float64) {
	f := math.Sqrt(variance / r.cov[i][i])
	for j := range r.cov {
		r.cov[i][j] *= f
		r.cov[j][i] *= f
	}
}

func (r *regression) vector(beside []pressure) []float64 {
	at := make([]int, len(beside))
	for k, p := range beside {
		at[k] = r.find(p.image)
	}
	x := make([]float64, len(r.mean))
	for k, p := range beside {
		if at[k] >= 0 {
			x[at[k]] += p.share
		}
	}
	return x
}

// apply returns cov·x, x·cov·x and mean·x.
func (r *regression) apply(x []float64) (gain []float64, variance, predicted float64) {
	gain = make([]float64, len(x))
	for i, xi := range x {
		if xi == 0 {
			continue
		}
		for j := range x {
			gain[j] += r.cov[i][j] * xi
		}
		predicted += r.mean[i] * xi
	}
	for i, xi := range x {
		variance += xi * gain[i]
	}
	return gain, variance, predicted
}

// cost returns the headroom that these pressures are expected to take from a
// serving image.
func (m *interference) cost(serving string, beside []pressure) float64 {
	sum := 0.0
	for _, p := range beside {
		mean, _ := m.coefficient(serving, p.image)
		sum += mean * p.share
	}
	return sum
}

// coefficient returns the expected coefficient of a pair and its standard deviation.
func (m *interference) coefficient(serving, image string) (mean, deviation float64) {
	r := m.images[serving]
	if r == nil {
		return priorPair, math.Sqrt(priorPairVar)
	}
	i, ok := r.index[image]
	if !ok {
		return priorPair, math.Sqrt(priorPairVar)
	}
	return r.mean[i], math.Sqrt(max(r.cov[i][i], 0))
}

// workerLoad sums the load of a worker's tasks as far as it affects other tasks. It is
// rebuilt at each list of the worker and corrected at each start, so that placement needs
// no walk over tasks.
type workerLoad struct {
	serving  []servingLoad
	fills    []pressure // by image, from readings or, for recent runs, demands
	fillCPU  float64    // thousandths of a core that fills use or request
	otherCPU float64    // of tasks that are neither serving nor fill tasks
}

// servingLoad is a serving image on a worker, with the least headroom that any
// of its tasks is expected to have without fills beside it.
type servingLoad struct {
	image        string
	baseHeadroom float64
}

func (l *workerLoad) addFill(image string, cpu float64, size int64) {
	l.fillCPU += cpu
	share := cpu / float64(max(size, 1))
	if i := slices.IndexFunc(l.fills, func(p pressure) bool { return p.image == image }); i >= 0 {
		l.fills[i].share += share
		return
	}
	l.fills = append(l.fills, pressure{image, share})
}

func (l *workerLoad) addServing(image string, baseHeadroom float64) {
	if i := slices.IndexFunc(l.serving, func(s servingLoad) bool { return s.image == image }); i >= 0 {
		l.serving[i].baseHeadroom = min(l.serving[i].baseHeadroom, baseHeadroom)
		return
	}
	l.serving = append(l.serving, servingLoad{image, baseHeadroom})
}

// rebuildLoad recomputes the worker's load from its tasks.
func (w *worker) rebuildLoad() {
	l := workerLoad{serving: w.load.serving[:0], fills: w.load.fills[:0]}
	for _, a := range w.attempts {
		s := a.task.step.spec
		switch {
		case s.Fills:
			l.addFill(s.Image, a.cpu(), w.info.CPUMilli)
		case s.LongRunning && s.TargetMS > 0:
			l.addServing(s.Image, a.tail.expectedBaseHeadroom())
		case !s.LongRunning:
			l.otherCPU += float64(s.CPUMilli)
		}
	}
	w.load = l
}

// demand returns the processor time that a fill uses at its full pace, or requests
// while there is no reading.
func (a *attempt) demand() float64 {
	if a.hasFullCPU {
		return a.fullCPU
	}
	return float64(a.task.step.spec.CPUMilli)
}

// cpu returns the processor time that a fill uses at its present pace (its CPU share
// limit); an unknown pace counts as the full one.
func (a *attempt) cpu() float64 {
	if a.ackedPace == paceUnknown {
		return a.demand()
	}
	return a.demand() * float64(a.ackedPace) / fullPace
}
