package dispatch

// Parameters of fill acceptance.
const (
	// acceptableCost is the headroom that one fill task may take from a serving
	// task for the worker to accept the fill's image.
	acceptableCost = 0.25
	// usualShare is the share of a worker that one fill uses: 1.8 of 16 or 7 of
	// 64 cores.
	usualShare = 0.11
	// demandFading reduces an image's weight with each start of a fill: a
	// memory of about 500 starts.
	demandFading = 0.998
	// minDemandWeight is the weight below which an image is forgotten.
	minDemandWeight = 0.05
)

// fillDemand is the recent number of starts of each fill image, with older starts fading.
type fillDemand map[string]float64

func (d fillDemand) record(image string, n float64) {
	if n > 0 {
		for k, v := range d {
			if v *= demandFading; v < minDemandWeight {
				delete(d, k)
			} else {
				d[k] = v
			}
		}
	}
	d[image] += n
}

// rateFillAcceptance sets for each worker its fill acceptance: the share of the demand of
// fills that it could take without hurting the tasks that it serves. A fill goes to the
// worker with the least acceptance that can take it, so that workers that accept what
// hurts elsewhere stay free for that.
func (c *Core) rateFillAcceptance() {
	total := 0.0
	for _, v := range c.demand {
		total += v
	}
	if total == 0 {
		return
	}
	for _, w := range c.workers {
		if !w.listed {
			continue
		}
		accepted := 0.0
		for image, weight := range c.demand {
			if c.accepts(w, image) {
				accepted += weight
			}
		}
		w.fillAcceptance = accepted / total
	}
}

// accepts reports whether a usual fill of the image takes at most acceptableCost from each
// serving image of the worker.
func (c *Core) accepts(w *worker, image string) bool {
	for _, v := range w.load.serving {
		mean, _ := c.model.coefficient(v.image, image)
		if mean*usualShare > acceptableCost {
			return false
		}
	}
	return true
}
