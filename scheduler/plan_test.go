package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/fleet"
)

func cores(n int64) fleet.Resources {
	return fleet.Resources{CPUMilli: 1000 * n, MemoryMiB: 1024 * n}
}

func newWorker(id string, capacity fleet.Resources) *Worker {
	return &Worker{ID: id, Capacity: capacity, Free: capacity, Usable: true, Kinds: map[string]int{}}
}

func snapshot(shares *Shares, workers []*Worker, tasks ...*Task) *Snapshot {
	byGroup := map[string]*Queue{}
	snap := &Snapshot{Workers: workers, Shares: shares, EvictionsLeft: 100}
	for _, t := range tasks {
		if byGroup[t.Group] == nil {
			byGroup[t.Group] = &Queue{Group: t.Group}
			snap.Queues = append(snap.Queues, byGroup[t.Group])
		}
		byGroup[t.Group].Tasks = append(byGroup[t.Group].Tasks, t)
	}
	return snap
}

func oneGroup() *Shares {
	return NewShares([]GroupSpec{{Name: "g", Share: 1}}, cores(32), time.Minute)
}

// TestReservationsEnd guards against a reservation that outlives its task: a VM
// reserved for a large task is available in the next round if the task is gone.
func TestReservationsEnd(t *testing.T) {
	p := NewPlanner(DefaultLimits, nil)
	w := newWorker("w", cores(4))
	w.Free = cores(2)
	shares := oneGroup()
	large := &Task{ID: "large", Group: "g", Ask: cores(4), Waited: time.Minute}
	small := &Task{ID: "small", Group: "g", Ask: cores(1)}
	first := p.Plan(snapshot(shares, []*Worker{w}, large, small))
	if len(first.Placements) != 0 {
		t.Fatalf("the VM should be reserved for the large task: %+v", first.Placements)
	}
	second := p.Plan(snapshot(shares, []*Worker{w}, small))
	if len(second.Placements) != 1 {
		t.Fatalf("the small task should be placed once the large one is gone: %+v", second.Waiting)
	}
}

// TestUnplaceableTaskBlocksNone guards against a task that is too large for each
// VM blocking the tasks behind it in the queue.
func TestUnplaceableTaskBlocksNone(t *testing.T) {
	p := NewPlanner(DefaultLimits, nil)
	shares := oneGroup()
	huge := &Task{ID: "huge", Group: "g", Ask: cores(100)}
	small := &Task{ID: "small", Group: "g", Ask: cores(1)}
	plan := p.Plan(snapshot(shares, []*Worker{newWorker("w", cores(4))}, huge, small))
	if len(plan.Placements) != 1 || plan.Placements[0].Task != small {
		t.Fatalf("placements %+v", plan.Placements)
	}
	if len(plan.Waiting) != 1 || plan.Waiting[0].Reason != ReasonFitsNoVM {
		t.Fatalf("waiting %+v", plan.Waiting)
	}
}

// TestSharesByWeight: groups with more work than capacity get capacity in
// proportion to their weights, and so do the children within a group.
func TestSharesByWeight(t *testing.T) {
	specs := []GroupSpec{
		{Name: "a", Share: 3}, {Name: "b", Share: 1},
		{Name: "a1", Parent: "a", Share: 1}, {Name: "a2", Parent: "a", Share: 2},
	}
	var workers []*Worker
	for i := range 12 {
		workers = append(workers, newWorker(fmt.Sprint("w", i), cores(4)))
	}
	shares := NewShares(specs, cores(48), time.Minute)
	var tasks []*Task
	for _, g := range []string{"a1", "a2", "b"} {
		for i := range 60 {
			tasks = append(tasks, &Task{ID: fmt.Sprint(g, i), Group: g, Ask: cores(1)})
		}
	}
	NewPlanner(DefaultLimits, nil).Plan(snapshot(shares, workers, tasks...))
	for group, want := range map[string]int64{"a1": 12, "a2": 24, "b": 12} {
		got := shares.InUse()[group].CPUMilli / 1000
		if got < want-1 || got > want+1 {
			t.Errorf("group %s holds %d cores, its share is %d", group, got, want)
		}
	}
}

// TestAboveShareYieldsToStarved guards against starvation: while a group below its
// share waits long for capacity, a group above its share must not take the small
// amounts of free capacity that accumulate for it.
func TestAboveShareYieldsToStarved(t *testing.T) {
	shares := NewShares([]GroupSpec{{Name: "many", Share: 1}, {Name: "few", Share: 1}}, cores(8), time.Minute)
	w := newWorker("w", cores(8))
	w.Free = cores(1)
	shares.AddUse("many", cores(7))
	large := &Task{ID: "large", Group: "few", Ask: cores(2), Waited: time.Minute}
	small := &Task{ID: "small", Group: "many", Ask: cores(1)}
	planner := NewPlanner(Limits{Placements: 9, BlockedPerGroup: 9, ReserveAfter: time.Second}, nil)
	plan := planner.Plan(snapshot(shares, []*Worker{w}, large, small))
	if len(plan.Placements) != 0 {
		t.Errorf("placed %s", plan.Placements[0].Task.ID)
	}
	large.Waited = 0 // it has not waited long: other groups don't yield yet
	if plan := planner.Plan(snapshot(shares, []*Worker{w}, large, small)); len(plan.Placements) != 1 {
		t.Errorf("placements %+v", plan.Placements)
	}
}

// TestQuotaOfParentHolds: a child's tasks count against the quota of its parent.
func TestQuotaOfParentHolds(t *testing.T) {
	specs := []GroupSpec{{Name: "a", Share: 1, Quota: cores(3)}, {Name: "a1", Parent: "a", Share: 1}}
	shares := NewShares(specs, cores(8), time.Minute)
	var tasks []*Task
	for i := range 8 {
		tasks = append(tasks, &Task{ID: fmt.Sprint(i), Group: "a1", Ask: cores(1)})
	}
	plan := NewPlanner(DefaultLimits, nil).Plan(snapshot(shares, []*Worker{newWorker("w", cores(8))}, tasks...))
	if len(plan.Placements) != 3 {
		t.Fatalf("%d placements, the quota is 3 cores", len(plan.Placements))
	}
}

// TestUrgentEvictsLeastLoss: an urgent task replaces the task with the least loss,
// and nothing without an eviction budget.
func TestUrgentEvictsLeastLoss(t *testing.T) {
	shares := oneGroup()
	var workers []*Worker
	for i, loss := range []time.Duration{time.Hour, time.Second, time.Minute} {
		w := newWorker(fmt.Sprint("w", i), cores(2))
		w.Free = fleet.Resources{}
		w.Running = []*Running{{ID: fmt.Sprint("r", i), Given: cores(2), Loss: loss}}
		workers = append(workers, w)
	}
	urgent := &Task{ID: "u", Group: "g", Ask: cores(1), Urgent: true}
	plan := NewPlanner(DefaultLimits, nil).Plan(snapshot(shares, workers, urgent))
	if len(plan.Evictions) != 1 || plan.Evictions[0].Task != "r1" {
		t.Fatalf("evictions %+v", plan.Evictions)
	}
	snap := snapshot(shares, workers, urgent)
	snap.EvictionsLeft = 0
	if plan := NewPlanner(DefaultLimits, nil).Plan(snap); len(plan.Evictions) != 0 {
		t.Fatal("evicted beyond the budget")
	}
}

// TestInterferenceIsLearntFromLateSamples: the slow-down is attributed to the kind
// that ran when the sample was taken, not to the one that runs when it arrives.
func TestInterferenceIsLearntFromLateSamples(t *testing.T) {
	m := NewInterference(DefaultInterferenceParams)
	var h History
	h.Record(time.Second, map[string]int{"noisy": 1})
	h.Record(10*time.Second, map[string]int{"quiet": 1})
	for range 40 {
		m.Observe("svc", 0.9, 1.8, h.At(5*time.Second))
		m.Observe("svc", 0.9, 1.0, h.At(11*time.Second))
	}
	noisy, quiet := m.Coefficient("svc", "noisy", 0.9), m.Coefficient("svc", "quiet", 0.9)
	if noisy < 0.7 || noisy > 0.9 || quiet > 0.05 {
		t.Errorf("noisy %.2f, quiet %.2f; they are 0.8 and 0", noisy, quiet)
	}
	w := newWorker("w", cores(8))
	w.Services, w.Load = []string{"svc"}, 0.9
	plan := NewPlanner(DefaultLimits, m).Plan(snapshot(oneGroup(), []*Worker{w},
		&Task{ID: "n", Kind: "noisy", Group: "g", Ask: cores(1)},
		&Task{ID: "q", Kind: "quiet", Group: "g", Ask: cores(1)}))
	if len(plan.Placements) != 1 || plan.Placements[0].Task.ID != "q" {
		t.Errorf("placements %+v", plan.Placements)
	}
}

// TestLadderHasHysteresis guards against a VM that alternates between throttling
// and release.
func TestLadderHasHysteresis(t *testing.T) {
	var l Ladder
	p := DefaultLadderParams
	steps := []struct {
		measured, unthrottled float64
		want                  Step
	}{
		{1.6, 1.6, StepNone}, {1.4, 1.6, StepNone}, {1.6, 1.6, StepNone}, {1.6, 1.6, StepThrottle},
		// While tasks are throttled the measured slow-down is low. They are not
		// released for that, as it would rise again at once.
		{1.0, 1.6, StepNone}, {1.0, 1.6, StepEvict}, {1.0, 1.45, StepNone}, {1.0, 1.45, StepEvict},
		{1.0, 1.3, StepNone}, {1.0, 1.45, StepNone}, {1.0, 1.3, StepNone}, {1.0, 1.3, StepRelease}, {1.3, 1.3, StepNone},
	}
	for i, s := range steps {
		if got := l.Next(p, s.measured, s.unthrottled); got != s.want {
			t.Errorf("sample %d (%+v): step %d", i, s, got)
		}
	}
}

// TestEstimatesCorrectDeclarations: with enough samples the planned size follows
// the measured use, not the declared size.
func TestEstimatesCorrectDeclarations(t *testing.T) {
	e := NewEstimator()
	declared := cores(4)
	if got := e.Ask("k", declared); got != declared {
		t.Fatalf("without samples %+v", got)
	}
	for range 64 {
		e.Observe("k", cores(1))
	}
	got := e.Ask("k", declared)
	if got.CPUMilli < 1000 || got.CPUMilli > 1300 || got.MemoryMiB < 1024 || got.MemoryMiB > 1300 {
		t.Errorf("declared 4 cores, uses 1: planned with %+v", got)
	}
}

// TestSharesCountOtherCells: the resources that a group holds in other cells count
// against its share in this cell.
func TestSharesCountOtherCells(t *testing.T) {
	shares := NewShares([]GroupSpec{{Name: "a", Share: 1}, {Name: "b", Share: 1}}, cores(16), time.Minute)
	shares.SetElsewhere("a", cores(6))
	var tasks []*Task
	for i := range 8 {
		tasks = append(tasks, &Task{ID: fmt.Sprint("a", i), Group: "a", Ask: cores(1)}, &Task{ID: fmt.Sprint("b", i), Group: "b", Ask: cores(1)})
	}
	NewPlanner(DefaultLimits, nil).Plan(snapshot(shares, []*Worker{newWorker("w", cores(8))}, tasks...))
	if a, b := shares.InUse()["a"].CPUMilli, shares.InUse()["b"].CPUMilli; a != 1000 || b != 7000 {
		t.Errorf("a holds %d and 6000 elsewhere, b holds %d", a, b)
	}
}
