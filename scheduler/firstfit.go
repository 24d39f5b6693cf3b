package scheduler

import "sort"

// FirstFit is the baseline for comparing policies: it places all tasks in order
// of arrival, each on the first VM with free capacity, and ignores shares and
// interference.
type FirstFit struct{ filters []Filter }

// NewFirstFit returns a FirstFit with its filters.
func NewFirstFit() *FirstFit {
	return &FirstFit{filters: []Filter{usableFilter{}, capacityFilter{}, selectorFilter{}}}
}

// Plan implements Scheduler.
func (f *FirstFit) Plan(snap *Snapshot) Plan {
	var all []*Task
	for _, q := range snap.Queues {
		all = append(all, q.Tasks...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Waited > all[j].Waited })
	var plan Plan
	for _, t := range all {
		if !f.place(snap, t, &plan) {
			plan.Waiting = append(plan.Waiting, Waiting{t, ReasonNoCapacity})
		}
	}
	return plan
}

func (f *FirstFit) place(snap *Snapshot, t *Task, plan *Plan) bool {
	for _, w := range snap.Workers {
		if firstRejection(f.filters, t, w) != "" {
			continue
		}
		w.Free = w.Free.Sub(t.Ask)
		w.Kinds[t.Kind]++
		snap.Shares.AddUse(t.Group, t.Ask)
		plan.Placements = append(plan.Placements, Placement{Task: t, Worker: w, Fitting: 1})
		return true
	}
	return false
}

// Explain implements Scheduler.
func (f *FirstFit) Explain(t *Task, workers []*Worker) map[string]int {
	return countRejections(f.filters, t, workers)
}

// countRejections counts the workers by the first filter that rejects t on them,
// and those that pass all filters as "fits".
func countRejections(filters []Filter, t *Task, workers []*Worker) map[string]int {
	counts := map[string]int{}
	for _, w := range workers {
		name := firstRejection(filters, t, w)
		if name == "" {
			name = "fits"
		}
		counts[name]++
	}
	return counts
}

// firstRejection returns the name of the first filter that rejects w, or "".
func firstRejection(filters []Filter, t *Task, w *Worker) string {
	for _, f := range filters {
		if !f.Passes(t, w) {
			return f.Name()
		}
	}
	return ""
}
