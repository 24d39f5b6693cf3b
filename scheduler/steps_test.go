package scheduler

import (
	"testing"

	"k8s.io/apimachinery/pkg/labels"

	"leverstile.dev/fleet"
)

// TestFilters has one case for each reason for which a filter passes or rejects a
// worker.
func TestFilters(t *testing.T) {
	noisy := NewInterference(DefaultInterferenceParams)
	for range 50 {
		noisy.Observe("svc", 0.9, 2.2, map[string]int{"noisy": 1})
		noisy.Observe("svc", 0.9, 1.0, map[string]int{"quiet": 1})
	}
	worker := func(change func(*Worker)) *Worker {
		w := newWorker("w", cores(4))
		w.Labels = labels.Set{"rack": "r1"}
		change(w)
		return w
	}
	service := func(w *Worker) { w.Services, w.Load = []string{"svc"}, 0.9 }
	none := func(*Worker) {}
	for _, c := range []struct {
		name   string
		filter Filter
		task   Task
		worker *Worker
		passes bool
	}{
		{"usable", usableFilter{}, Task{}, worker(none), true},
		{"not usable", usableFilter{}, Task{}, worker(func(w *Worker) { w.Usable = false }), false},
		{"room", capacityFilter{}, Task{Ask: cores(4)}, worker(none), true},
		{"no room", capacityFilter{}, Task{Ask: cores(5)}, worker(none), false},
		{"no accelerator", capacityFilter{}, Task{Ask: fleet.Resources{Accelerators: 1}}, worker(none), false},
		{"reserved for another", reservedFilter{}, Task{ID: "a"}, worker(func(w *Worker) { w.reservedFor = "b" }), false},
		{"reserved for it", reservedFilter{}, Task{ID: "b"}, worker(func(w *Worker) { w.reservedFor = "b" }), true},
		{"urgent passes a reservation", reservedFilter{}, Task{ID: "a", Urgent: true}, worker(func(w *Worker) { w.reservedFor = "b" }), true},
		{"selector matches", selectorFilter{}, Task{Selector: labels.SelectorFromSet(labels.Set{"rack": "r1"})}, worker(none), true},
		{"selector does not match", selectorFilter{}, Task{Selector: labels.SelectorFromSet(labels.Set{"rack": "r2"})}, worker(none), false},
		{"noisy beside a service", interferenceFilter{noisy}, Task{Kind: "noisy"}, worker(service), false},
		{"noisy without a service", interferenceFilter{noisy}, Task{Kind: "noisy"}, worker(none), true},
		{"quiet beside a service", interferenceFilter{noisy}, Task{Kind: "quiet"}, worker(service), true},
		{"urgent beside a service", interferenceFilter{noisy}, Task{Kind: "noisy", Urgent: true}, worker(service), true},
		{"barred kind", interferenceFilter{noisy}, Task{Kind: "quiet"}, worker(func(w *Worker) {
			service(w)
			w.ExcludedKinds = map[string]bool{"quiet": true}
		}), false},
	} {
		if got := c.filter.Passes(&c.task, c.worker); got != c.passes {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestScores: each scorer rates the better worker of its case above the worse.
func TestScores(t *testing.T) {
	noisy := NewInterference(DefaultInterferenceParams)
	for range 50 {
		noisy.Observe("svc", 0.9, 2.2, map[string]int{"noisy": 1})
	}
	empty, filled := newWorker("empty", cores(8)), newWorker("filled", cores(8))
	filled.Free = cores(2)
	withGPU := newWorker("gpu", cores(8))
	withGPU.Capacity.Accelerators, withGPU.Free.Accelerators = 4, 4
	startedGPU := newWorker("started", cores(8))
	startedGPU.Capacity.Accelerators, startedGPU.Free.Accelerators = 4, 1
	busy := newWorker("busy", cores(8))
	busy.Services, busy.Load = []string{"svc"}, 0.9
	oneGPU := Task{Ask: fleet.Resources{CPUMilli: 1000, Accelerators: 1}}
	for _, c := range []struct {
		name          string
		scorer        Scorer
		task          Task
		better, worse *Worker
	}{
		{"packing fills", packingScore{}, Task{Ask: cores(1)}, filled, empty},
		{"accelerators are for those who ask", acceleratorScore{}, Task{Ask: cores(1)}, empty, withGPU},
		{"started sets of accelerators first", acceleratorScore{}, oneGPU, startedGPU, withGPU},
		{"avoid where it failed", avoidScore{}, Task{Avoid: []string{"empty"}}, filled, empty},
		{"spare services", interferenceScore{noisy}, Task{Kind: "noisy"}, empty, busy},
	} {
		if b, w := c.scorer.Score(&c.task, c.better), c.scorer.Score(&c.task, c.worse); b <= w {
			t.Errorf("%s: %.3f against %.3f", c.name, b, w)
		}
	}
}
