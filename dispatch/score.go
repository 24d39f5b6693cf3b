package dispatch

// Figures of the choice among workers.
const (
	// servingUse is the part of their declared processor time that lasting
	// tasks use on average.
	servingUse = 0.55
	// admitRatio is the expected tail over target up to which a fill is
	// admitted. Undisturbed tasks are at 0.45 with a hundredth of their
	// readings over 1, so this leaves few readings over the target.
	admitRatio = 0.7
	// doubt is the weight of the model's deviation in admission: of a pair
	// that was not seen yet one or two fills are tried on a worker.
	doubt = 0.3
	// openWeight is the weight of a worker's openness to other images.
	openWeight = 0.5
	// harmWeight is the weight of an expected rise of a tail, against spare
	// processor time, in the choice of a worker for a fill.
	harmWeight = 2.0
	// mixWeight is the same of another serving image on a worker, in the
	// choice for a lasting task.
	mixWeight = 2.0
	// harmlessRise of a tail over its target does not keep a fill out.
	harmlessRise = 0.03
)

// spareCPU is the processor time that a worker's tasks are expected to leave,
// over the worker's size.
func (w *worker) spareCPU() float64 {
	size := float64(max(w.info.CPUMilli, 1))
	return 1 - (servingUse*float64(w.lastingCPU)+w.load.otherCPU+w.load.fillCPU)/size
}

// score rates a worker for one more task of the step; more is better.
func (c *Core) score(s *stepRun, w *worker, starved bool) (float64, bool) {
	score := 0.0
	if s.spec.DataRack != "" && s.spec.DataRack != w.info.Rack {
		score -= c.params.RemoteFactor - 1
	}
	switch {
	case s.spec.Fills:
		f, ok := c.scoreFill(s, w, starved)
		return score + f, ok
	case s.spec.Lasting:
		return score + c.scoreLasting(s, w), true
	default:
		return score + w.spareCPU(), true
	}
}

// scoreFill rates a worker by the processor time that it leaves and by what
// the fill would do to the tails of the tasks there.
func (c *Core) scoreFill(s *stepRun, w *worker, starved bool) (float64, bool) {
	size := float64(max(w.info.CPUMilli, 1))
	add := float64(s.spec.CPUMilli) / size
	spare := w.spareCPU() - add
	if spare < 0 && !starved {
		return 0, false
	}
	harm := 0.0
	for _, v := range w.load.serving {
		mean, deviation := c.model.coefficient(v.image, s.spec.Image)
		rise := (mean + doubt*deviation) * add * v.load
		if c.model.expect(v.image, w.load.fills)*v.load+rise > admitRatio && rise > harmlessRise && !starved {
			return 0, false
		}
		harm = max(harm, rise)
	}
	return spare - harmWeight*harm - openWeight*w.openness, true
}

// scoreLasting packs lasting tasks, each image beside its like only, so that
// each worker's fills have few images to spare and some workers have none.
func (c *Core) scoreLasting(s *stepRun, w *worker) float64 {
	size := float64(max(w.info.CPUMilli, 1))
	score := float64(w.used.cpu) / size
	for _, v := range w.load.serving {
		if v.image == s.spec.Image {
			score++
		} else {
			score -= mixWeight
		}
	}
	return score - harmWeight*max(0, c.model.expect(s.spec.Image, w.load.fills)-c.model.base(s.spec.Image))
}
