package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Interference learns how much each kind of task slows each service down, by
// level of the service's load. Its samples arrive late.
//
// The model is additive: a service's slow-down is 1 plus the sum over the
// tasks on the VM of a coefficient for (service, kind, load level). The
// coefficients of a service and level are estimated together by a Kalman
// filter (Kalman 1960) whose state is a slow random walk, so that the slow-down
// is attributed to a few noisy tasks among many quiet ones. A kind without
// samples beside a service starts from the mean of its coefficients elsewhere.
type Interference struct {
	params  InterferenceParams
	filters map[kalmanKey]*kalmanFilter
	// kindMeans holds each kind's mean coefficient over all filters.
	kindMeans map[string]*mean
}

// InterferenceParams are the parameters of the model.
type InterferenceParams struct {
	// Noise is the variance of a sample, Drift the variance added to a
	// coefficient per sample, Prior the variance of a new coefficient.
	Noise, Drift, Prior float64
	// Tolerated is the predicted slow-down up to which a placement passes.
	Tolerated float64
}

// DefaultInterferenceParams are the usual parameters; see docs/design/interference.md.
var DefaultInterferenceParams = InterferenceParams{Noise: 0.02, Drift: 1e-6, Prior: 0.1, Tolerated: 1.5}

// loadLevels is the number of equal ranges into which load is divided.
const loadLevels = 4

type kalmanKey struct {
	service string
	level   int
}

// kalmanFilter estimates the coefficients of one service at one level of load.
type kalmanFilter struct {
	index  map[string]int
	names  []string
	values []float64
	// cov is the covariance of the estimates.
	cov [][]float64
}

type mean struct{ sum, n float64 }

// NewInterference returns a model without samples.
func NewInterference(params InterferenceParams) *Interference {
	return &Interference{params: params, filters: map[kalmanKey]*kalmanFilter{}, kindMeans: map[string]*mean{}}
}

func loadLevel(load float64) int {
	l := int(load * loadLevels)
	return min(max(l, 0), loadLevels-1)
}

// Observe updates the model with one sample: the service ran slower by factor
// under load while kinds ran beside it.
func (m *Interference) Observe(service string, load, factor float64, kinds map[string]int) {
	if len(kinds) == 0 || math.IsNaN(factor) || factor <= 0 {
		return
	}
	key := kalmanKey{service, loadLevel(load)}
	f := m.filters[key]
	if f == nil {
		f = &kalmanFilter{index: map[string]int{}}
		m.filters[key] = f
	}
	names := slices.Sorted(maps.Keys(kinds))
	for _, name := range names {
		f.addKind(name, m.prior(name), m.params.Prior)
	}
	f.update(m.params, factor-1, kinds)
	for _, name := range names {
		m.updateMean(name)
	}
}

// addKind adds a kind with a first estimate unless it exists.
func (f *kalmanFilter) addKind(name string, value, variance float64) {
	if _, ok := f.index[name]; ok {
		return
	}
	f.index[name] = len(f.names)
	f.names = append(f.names, name)
	f.values = append(f.values, value)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	row := make([]float64, len(f.names))
	row[len(row)-1] = variance
	f.cov = append(f.cov, row)
}

// update performs one step of the Kalman filter with the measured slow-down less 1.
func (f *kalmanFilter) update(p InterferenceParams, measured float64, kinds map[string]int) {
	n := len(f.names)
	counts := make([]float64, n)
	for name, c := range kinds {
		counts[f.index[name]] = float64(c)
	}
	for i := range n {
		f.cov[i][i] = min(f.cov[i][i]+p.Drift, p.Prior)
	}
	gain := make([]float64, n)
	variance, predicted := p.Noise, 0.0
	for i := range n {
		for j := range n {
			gain[i] += f.cov[i][j] * counts[j]
		}
		variance += counts[i] * gain[i]
		predicted += counts[i] * f.values[i]
	}
	for i := range n {
		f.values[i] = max(f.values[i]+gain[i]/variance*(measured-predicted), 0)
		for j := range n {
			f.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
}

// updateMean recomputes a kind's mean coefficient over all filters.
func (m *Interference) updateMean(kind string) {
	mn := &mean{}
	for _, f := range m.filters {
		if i, ok := f.index[kind]; ok {
			mn.sum += f.values[i]
			mn.n++
		}
	}
	m.kindMeans[kind] = mn
}

func (m *Interference) prior(kind string) float64 {
	if mn := m.kindMeans[kind]; mn != nil && mn.n > 0 {
		return mn.sum / mn.n
	}
	return 0
}

// Coefficient returns the slow-down that one task of kind adds to service under
// load.
func (m *Interference) Coefficient(service, kind string, load float64) float64 {
	if f := m.filters[kalmanKey{service, loadLevel(load)}]; f != nil {
		if i, ok := f.index[kind]; ok {
			return f.values[i]
		}
	}
	return m.prior(kind)
}

// Predict returns the slow-down of service under load beside kinds.
func (m *Interference) Predict(service string, load float64, kinds map[string]int) float64 {
	sum := 1.0
	for kind, n := range kinds {
		sum += float64(n) * m.Coefficient(service, kind, load)
	}
	return sum
}

// predictWith returns the worst predicted slow-down of the services on w if one
// task of kind is added.
func (m *Interference) predictWith(w *Worker, kind string) float64 {
	worst := 1.0
	for _, s := range w.Services {
		f := m.Predict(s, w.Load, w.Kinds) + m.Coefficient(s, kind, w.Load)
		worst = max(worst, f)
	}
	return worst
}

// History records which kinds ran on a worker, so that a late sample is
// attributed to the time at which it was taken.
type History struct {
	entries []historyEntry
}

type historyEntry struct {
	from  time.Duration
	kinds map[string]int
}

// maxHistoryEntries bounds the changes recorded per worker.
const maxHistoryEntries = 64

// Record records the kinds that run from now on.
func (h *History) Record(now time.Duration, kinds map[string]int) {
	kept := make(map[string]int, len(kinds))
	for k, n := range kinds {
		kept[k] = n
	}
	h.entries = append(h.entries, historyEntry{now, kept})
	if len(h.entries) > maxHistoryEntries {
		h.entries = append(h.entries[:0], h.entries[len(h.entries)-maxHistoryEntries/2:]...)
	}
}

// At returns the kinds that ran at a time, or nil if the history doesn't reach
// back that far.
func (h *History) At(at time.Duration) map[string]int {
	for i := len(h.entries) - 1; i >= 0; i-- {
		if h.entries[i].from <= at {
			return h.entries[i].kinds
		}
	}
	return nil
}
