package dispatch

// Weights and limits of the choice among workers. A worker's score is roughly the share
// of its processor time that is left; more is better. A serving task is a long-running task
// with a latency target; its headroom is the target divided by its tail latency.
const (
	// servingUse is the share of their declared processor time that long-running
	// tasks use on average.
	servingUse = 0.55
	// minAdmitHeadroom is the headroom that a serving task must keep for a fill to be
	// admitted: its own load may take 0.5 more within a second while the fill runs.
	minAdmitHeadroom = 1.5
	// deviationWeight is the weight of the model's standard deviation in admission: of a
	// pair that was not seen yet, one or two fills are tried on a worker.
	deviationWeight = 0.3
	// acceptanceWeight is the weight of a worker's fill acceptance; see rateFillAcceptance.
	acceptanceWeight = 0.5
	// costWeight is the weight of the headroom that a fill is expected to take,
	// relative to spare processor time, in the choice of a worker.
	costWeight = 1.0
	// mixWeight is the weight of another serving image on a worker, in the
	// choice for a long-running task.
	mixWeight = 2.0
	// failWeight is the weight of each consecutive failure at a worker after the
	// first. It exceeds all other terms: a worker that fails all it starts is
	// recognized only after three failures, and a second failure may be a task's last.
	// A single failure says little: tasks fail in 2% to 5% of their runs, and ranking each
	// such worker last keeps fills off workers where they do no harm.
	failWeight = 3.0
	// coldWeight ranks a worker that is still cold behind all warm ones, whose scores
	// differ by less, and before those that are slow or fail: a data centre that returns
	// to service gets what the others can't take until it is warm.
	coldWeight = 2.5
	// harmlessCost is the headroom up to which a fill is admitted regardless of what is left.
	harmlessCost = 0.1
)

// spareCPU is the processor time that a worker's tasks are expected to leave,
// as a share of the worker's size.
func (w *worker) spareCPU() float64 {
	size := float64(max(w.info.CPUMilli, 1))
	return 1 - (servingUse*float64(w.longRunning.cpu)+w.load.otherCPU+w.load.fillCPU)/size
}

// score rates a worker for one more task of the step; more is better. The second result is
// false if the worker takes none.
func (c *Core) score(s *stepRun, w *worker, starved bool) (float64, bool) {
	score := 0.0
	if s.spec.DataRack != "" && s.spec.DataRack != w.info.Rack {
		score -= c.params.RemoteFactor - 1
	}
	switch {
	case s.spec.Fills:
		f, ok := c.scoreFill(s, w, starved)
		return score + f, ok
	case s.spec.LongRunning:
		return score + c.scoreLongRunning(s, w), true
	default:
		return score + w.spareCPU(), true
	}
}

// scoreFill rates a worker for a fill by the processor time that the worker leaves and by
// the headroom that the fill would take of the tasks there.
func (c *Core) scoreFill(s *stepRun, w *worker, starved bool) (float64, bool) {
	size := float64(max(w.info.CPUMilli, 1))
	add := float64(s.spec.CPUMilli) / size
	spare := w.spareCPU() - add
	if spare < 0 && !starved || c.overTargetTooLong(w) {
		return 0, false
	}
	most := 0.0
	for _, v := range w.load.serving {
		mean, deviation := c.model.coefficient(v.image, s.spec.Image)
		cost := (mean + deviationWeight*deviation) * add
		left := v.baseHeadroom - c.model.cost(v.image, w.load.fills) - cost
		if (left < minAdmitHeadroom || w.overTarget > 0) && cost > harmlessCost && !starved {
			return 0, false
		}
		most = max(most, cost)
	}
	return spare - costWeight*most - acceptanceWeight*w.fillAcceptance, true
}

// overTargetTooLong reports whether a task of the worker has been over its target for so long
// that the worker's fills are halted: a new one would run until the next list is read.
func (c *Core) overTargetTooLong(w *worker) bool {
	return w.overTarget > 0 && w.overTarget >= c.overTargetTime(haltAfter)
}

// scoreLongRunning packs long-running tasks, each image beside tasks of the same image, so
// that each worker's fills affect few images and some workers have none.
func (c *Core) scoreLongRunning(s *stepRun, w *worker) float64 {
	size := float64(max(w.info.CPUMilli, 1))
	score := float64(w.used.cpu) / size
	for _, v := range w.load.serving {
		if v.image == s.spec.Image {
			score++
		} else {
			score -= mixWeight
		}
	}
	return score - costWeight*c.model.cost(s.spec.Image, w.load.fills)
}
