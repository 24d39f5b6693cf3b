package dispatch

import (
	"slices"
	"time"
)

// requeueAfter is how long a fill that checkpoints its work may have a pace below movePace.
// Then it is stopped and queued again: its place in the queue depends on its job, while a
// halted run would wait for this worker alone.
const requeueAfter = 3 * time.Second

// headroomBudget is the headroom (latency target divided by tail latency) of a serving image
// that fills may take.
type headroomBudget struct {
	image string
	left  float64
}

// fillPace is the desired pace of a fill, in percent, and the most headroom that
// it takes from a task at full pace.
type fillPace struct {
	fill    *attempt
	percent int
	cost    float64
}

// fillPaces distributes the headroom of the worker's serving tasks among its fills: fills
// that take little stay at full pace, the others get a pace in the order of their jobs'
// ranks, the full one as long as there is headroom.
func (c *Core) fillPaces(w *worker, now Instant) []fillPace {
	budgets := make([]headroomBudget, 0, len(w.load.serving))
	for _, v := range w.load.serving {
		budgets = append(budgets, headroomBudget{v.image, max(v.baseHeadroom-paceHeadroom, 0) * w.paceScale})
	}
	var paces []fillPace
	var culprits []candidate
	byStep := map[*stepRun][]*attempt{}
	for _, a := range w.attempts {
		s := a.task.step
		if !s.spec.Fills || a.stopping {
			continue
		}
		if c.maxCost(w, a) < culpritCost {
			c.spend(w, a, budgets, fullPace)
			paces = append(paces, fillPace{a, fullPace, 0})
			continue
		}
		if byStep[s] == nil {
			q := c.settingsOf(s.job.spec)
			culprits = append(culprits, candidate{s, q, c.rankOf(s, q, now)})
		}
		byStep[s] = append(byStep[s], a)
	}
	slices.SortStableFunc(culprits, func(a, b candidate) int { return a.rank.compare(b.rank) })
	for _, x := range culprits {
		for _, a := range byStep[x.step] {
			percent := c.affordablePace(w, a, budgets)
			c.spend(w, a, budgets, percent)
			paces = append(paces, fillPace{a, percent, c.maxCost(w, a)})
		}
	}
	return paces
}

// affordablePace returns the pace of a fill that the budgets allow.
func (c *Core) affordablePace(w *worker, a *attempt, budgets []headroomBudget) int {
	scale := 1.0
	for _, b := range budgets {
		if cost := c.costOf(w, a, b.image); cost >= culpritCost {
			scale = min(scale, max(b.left, 0)/cost)
		}
	}
	return int(scale*fullPace) / paceStep * paceStep
}

func (c *Core) spend(w *worker, a *attempt, budgets []headroomBudget, percent int) {
	for i := range budgets {
		budgets[i].left -= c.costOf(w, a, budgets[i].image) * float64(percent) / fullPace
	}
}

// costOf returns the headroom that a fill at its full pace is expected to take
// from a serving image beside it.
func (c *Core) costOf(w *worker, a *attempt, serving string) float64 {
	mean, _ := c.model.coefficient(serving, a.task.step.spec.Image)
	return mean * a.demand() / float64(max(w.info.CPUMilli, 1))
}

// maxCost returns the most headroom that a fill takes from any serving image there.
func (c *Core) maxCost(w *worker, a *attempt) float64 {
	most := 0.0
	for _, v := range w.load.serving {
		most = max(most, c.costOf(w, a, v.image))
	}
	return most
}
