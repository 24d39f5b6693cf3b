package scheduler

// avoidScore prefers workers on which no attempt has failed.
type avoidScore struct{}

func (avoidScore) Name() string { return "avoid" }

func (avoidScore) Score(t *Task, w *Worker) float64 {
	for _, id := range t.Avoid {
		if id == w.ID {
			return 0
		}
	}
	return 1
}
