package scheduler

import (
	"math"
	"time"
)

// Interference learns how much each kind of task slows each service down, by
// level of the service's load, from samples that arrive late.
//
// The model is additive: a service's slow-down is 1 plus the sum over the
// tasks on the VM of a coefficient for (service, kind, load level). Each
// sample corrects the coefficients of the kinds that ran at the time it speaks
// of, by normalized least mean squares (Widrow and Hoff 1960; Nagumo and Noda
// 1967). A pair with few samples leans on the kind's mean over all services.
type Interference struct {
	params InterferenceParams
	pairs  map[pairKey]*coefficient
	kinds  map[string]*coefficient
}

// InterferenceParams are the parameters of the model.
type InterferenceParams struct {
	// Rate is the step of the correction, between 0 and 1.
	Rate float64
	// Confident is the number of samples after which a pair's own coefficient
	// counts in full.
	Confident float64
	// Tolerated is the predicted slow-down up to which a placement passes.
	Tolerated float64
}

// DefaultInterferenceParams were chosen by the traces in docs/MEASUREMENTS.md.
var DefaultInterferenceParams = InterferenceParams{Rate: 0.3, Confident: 12, Tolerated: 1.5}

// loadLevels is the number of levels into which load is cut.
const loadLevels = 4

type pairKey struct {
	service, kind string
	level         int
}

type coefficient struct {
	value   float64
	samples float64
}

// NewInterference returns a model that knows nothing.
func NewInterference(params InterferenceParams) *Interference {
	return &Interference{params: params, pairs: map[pairKey]*coefficient{}, kinds: map[string]*coefficient{}}
}

func level(load float64) int {
	l := int(load * loadLevels)
	return min(max(l, 0), loadLevels-1)
}

// Observe learns from one sample: service ran slower by factor under load
// while kinds ran beside it.
func (m *Interference) Observe(service string, load, factor float64, kinds map[string]int) {
	if len(kinds) == 0 || math.IsNaN(factor) || factor <= 0 {
		return
	}
	lvl := level(load)
	norm := 0.0
	for _, n := range kinds {
		norm += float64(n) * float64(n)
	}
	err := factor - m.Predict(service, load, kinds)
	for kind, n := range kinds {
		step := m.params.Rate * err * float64(n) / norm
		m.pair(pairKey{service, kind, lvl}, kind).learn(step)
		m.kind(kind).learn(step)
	}
}

func (c *coefficient) learn(step float64) {
	c.value = max(c.value+step, 0)
	c.samples++
}

func (m *Interference) kind(kind string) *coefficient {
	c := m.kinds[kind]
	if c == nil {
		c = &coefficient{}
		m.kinds[kind] = c
	}
	return c
}

func (m *Interference) pair(k pairKey, kind string) *coefficient {
	c := m.pairs[k]
	if c == nil {
		c = &coefficient{value: m.kind(kind).value}
		m.pairs[k] = c
	}
	return c
}

// Coefficient returns what one task of kind adds to the slow-down of service
// under load.
func (m *Interference) Coefficient(service, kind string, load float64) float64 {
	prior := 0.0
	if c := m.kinds[kind]; c != nil {
		prior = c.value
	}
	own := m.pairs[pairKey{service, kind, level(load)}]
	if own == nil {
		return prior
	}
	trust := min(own.samples/m.params.Confident, 1)
	return trust*own.value + (1-trust)*prior
}

// Predict returns the slow-down of service under load beside kinds.
func (m *Interference) Predict(service string, load float64, kinds map[string]int) float64 {
	sum := 1.0
	for kind, n := range kinds {
		sum += float64(n) * m.Coefficient(service, kind, load)
	}
	return sum
}

// with returns the worst predicted slow-down of the services on w if one task
// of kind is added.
func (m *Interference) with(w *Worker, kind string) float64 {
	worst := 1.0
	for _, s := range w.Services {
		f := m.Predict(s, w.Load, w.Kinds) + m.Coefficient(s, kind, w.Load)
		worst = max(worst, f)
	}
	return worst
}

// interferenceFilter keeps tasks off VMs where a service would be slowed down
// beyond the tolerated factor: the first step of the ladder, avoid.
type interferenceFilter struct{ model *Interference }

func (interferenceFilter) Name() string { return "interference" }

func (f interferenceFilter) Passes(t *Task, w *Worker) bool {
	if len(w.Services) == 0 {
		return true
	}
	if f.model.with(w, t.Kind) <= f.model.params.Tolerated {
		return true
	}
	// A task that adds nothing may run where another kind is to blame.
	return f.model.harmless(w, t.Kind)
}

// harmlessCoefficient is the added slow-down below which a kind is not held
// responsible.
const harmlessCoefficient = 0.02

func (m *Interference) harmless(w *Worker, kind string) bool {
	for _, s := range w.Services {
		if m.Coefficient(s, kind, w.Load) > harmlessCoefficient {
			return false
		}
	}
	return true
}

// interferenceScore prefers VMs whose services suffer least.
type interferenceScore struct{ model *Interference }

func (interferenceScore) Name() string { return "interference" }

func (s interferenceScore) Score(t *Task, w *Worker) float64 {
	if len(w.Services) == 0 {
		return 1
	}
	return 1 / s.model.with(w, t.Kind)
}

// History remembers which kinds ran on a worker, so that a late sample is
// attributed to the time it speaks of.
type History struct {
	entries []historyEntry
}

type historyEntry struct {
	from  time.Duration
	kinds map[string]int
}

// historyLength bounds the changes remembered per worker.
const historyLength = 64

// Record notes the kinds that run from now on.
func (h *History) Record(now time.Duration, kinds map[string]int) {
	kept := make(map[string]int, len(kinds))
	for k, n := range kinds {
		kept[k] = n
	}
	h.entries = append(h.entries, historyEntry{now, kept})
	if len(h.entries) > historyLength {
		h.entries = append(h.entries[:0], h.entries[len(h.entries)-historyLength/2:]...)
	}
}

// At returns the kinds that ran at a time, or nil if that is not remembered.
func (h *History) At(at time.Duration) map[string]int {
	for i := len(h.entries) - 1; i >= 0; i-- {
		if h.entries[i].from <= at {
			return h.entries[i].kinds
		}
	}
	return nil
}
