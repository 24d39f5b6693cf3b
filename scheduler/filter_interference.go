package scheduler

// interferenceFilter rejects VMs where the task would slow a service down beyond
// the tolerated factor. This avoids what Ladder corrects later by throttling and
// eviction.
type interferenceFilter struct{ model *Interference }

func (interferenceFilter) Name() string { return "interference" }

// Passes implements Filter.
func (f interferenceFilter) Passes(t *Task, w *Worker) bool {
	if len(w.Services) == 0 || t.Urgent {
		return true // an urgent task is as important as a service's requests
	}
	if w.ExcludedKinds[t.Kind] {
		return false
	}
	if f.model.predictWith(w, t.Kind) <= f.model.params.Tolerated {
		return true
	}
	// The slow-down has another cause if this kind adds almost nothing to it.
	return f.model.isHarmless(w, t.Kind)
}

// harmlessCoefficient is the added slow-down up to which a kind is not considered
// a cause.
const harmlessCoefficient = 0.02

func (m *Interference) isHarmless(w *Worker, kind string) bool {
	for _, s := range w.Services {
		if m.Coefficient(s, kind, w.Load) > harmlessCoefficient {
			return false
		}
	}
	return true
}
