package scheduler

// acceleratorScore leaves workers with accelerators to tasks that ask for some,
// and prefers those with few accelerators free, so that whole sets stay free.
type acceleratorScore struct{}

func (acceleratorScore) Name() string { return "accelerator" }

func (acceleratorScore) Score(t *Task, w *Worker) float64 {
	if w.Capacity.Accelerators == 0 {
		return 1
	}
	if t.Ask.Accelerators == 0 {
		return 0
	}
	return 1 - fraction(w.Free.Accelerators-t.Ask.Accelerators, w.Capacity.Accelerators)
}
