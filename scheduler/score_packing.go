package scheduler

// packingScore prefers workers that have little left after the placement, so that
// capacity for large tasks isn't fragmented elsewhere.
type packingScore struct{}

func (packingScore) Name() string { return "packing" }

func (packingScore) Score(t *Task, w *Worker) float64 {
	left := w.Free.Sub(t.Ask)
	cpu := fraction(left.CPUMilli, w.Capacity.CPUMilli)
	mem := fraction(left.MemoryMiB, w.Capacity.MemoryMiB)
	// Processor and memory left in equal parts can be used by more tasks than much
	// of one kind and little of the other.
	gap := cpu - mem
	if gap < 0 {
		gap = -gap
	}
	return 1 - (cpu+mem+gap)/3
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
