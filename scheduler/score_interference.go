package scheduler

// interferenceScore prefers VMs whose services are slowed down least.
type interferenceScore struct{ model *Interference }

func (interferenceScore) Name() string { return "interference" }

// Score implements Scorer.
func (s interferenceScore) Score(t *Task, w *Worker) float64 {
	if len(w.Services) == 0 {
		return 1
	}
	return 1 / s.model.predictWith(w, t.Kind)
}
