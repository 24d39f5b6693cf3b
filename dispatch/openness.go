package dispatch

// Figures of openness.
const (
	// openCost is the headroom that one task that fills may take of a serving
	// task for the worker to count as open to its image.
	openCost = 0.25
	// usualShare is the part of a worker that one fill uses: 1.8 of 16 or 7 of
	// 64 cores.
	usualShare = 0.11
	// demandFading lets an image's weight fade with each start of a fill: a
	// memory of about 500 starts.
	demandFading = 0.998
	// demandLeast is the weight below which an image is forgotten.
	demandLeast = 0.05
)

// fillDemand is how much each image that fills was placed of late.
type fillDemand map[string]float64

func (d fillDemand) note(image string, n float64) {
	if n > 0 {
		for k, v := range d {
			if v *= demandFading; v < demandLeast {
				delete(d, k)
			} else {
				d[k] = v
			}
		}
	}
	d[image] += n
}

// rateOpenness sets for each worker the share of the demand of fills that it
// could take without hurting the tasks that it serves. A fill goes to the least
// open worker that can take it, so that workers open to what hurts elsewhere
// stay free for that.
func (c *Core) rateOpenness() {
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
		open := 0.0
		for image, weight := range c.demand {
			if c.openTo(w, image) {
				open += weight
			}
		}
		w.openness = open / total
	}
}

func (c *Core) openTo(w *worker, image string) bool {
	for _, v := range w.load.serving {
		mean, _ := c.model.coefficient(v.image, image)
		if mean*usualShare > openCost {
			return false
		}
	}
	return true
}
