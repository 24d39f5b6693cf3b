package scheduler

// packingScore prefers workers that are left well filled, so that room for
// large tasks stays whole elsewhere.
type packingScore struct{}

func (packingScore) Name() string { return "packing" }

func (packingScore) Score(t *Task, w *Worker) float64 {
	left := w.Free.Sub(t.Ask)
	cpu := fraction(left.CPUMilli, w.Capacity.CPUMilli)
	mem := fraction(left.MemoryMiB, w.Capacity.MemoryMiB)
	// An even rest of both kinds is worth more than a lot of one.
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
