package scheduler

// interferenceFilter keeps tasks off VMs where a service would be slowed down
// beyond the tolerated factor: the first step of the ladder, avoid.
type interferenceFilter struct{ model *Interference }

func (interferenceFilter) Name() string { return "interference" }

// Passes implements Filter.
func (f interferenceFilter) Passes(t *Task, w *Worker) bool {
	if len(w.Services) == 0 || t.Urgent {
		return true // an urgent task is as dear as a request
	}
	if w.Barred[t.Kind] {
		return false
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
