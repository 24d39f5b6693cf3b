package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// shapes has jobs of two services use every setting of a step for its place and time.
type shapes struct {
	// shapedJobs: such jobs are submitted, and workers differ.
	shapedJobs bool
	// alterSpec, if set, changes the jobs that owners receive.
	alterSpec func(spec *job.Spec)
	// submitted holds the jobs as their customers submitted them, where that differs.
	submitted map[string]*job.Spec
	// shaped counts the starts of tasks of such jobs.
	shaped int
}

const (
	// simOtherService has every simOtherEach-th worker, and a queue of its own name.
	simOtherService = "other"
	simOtherEach    = 4
	// simLabel is the label of every second worker, simAccelerators its accelerators.
	simLabel        = "fast"
	simAccelerators = 3
)

// shapesOfJobs switches shaped jobs on and replaces the workers by ones that differ in service,
// labels and accelerators.
func shapesOfJobs(s *sim) {
	s.shapedJobs, s.delayShare = true, 0.02
	for i := range s.workers {
		s.workers[i] = s.newWorker(i)
	}
}

// shapeWorker sets a worker's service, labels and accelerators by its place.
func (s *sim) shapeWorker(info *WorkerInfo, place int) {
	if !s.shapedJobs {
		return
	}
	if place%simOtherEach == simOtherEach-1 {
		info.Service = simOtherService
	}
	if place%2 == 0 {
		info.Labels, info.Accelerators = []string{simLabel}, simAccelerators
	}
}

// simQueues returns the queues of the configuration.
func (s *sim) simQueues() []job.Queue {
	queues := []job.Queue{{Name: "q", Service: "svc", MaxAttempts: s.maxAttempts, Stretch: s.stretch}}
	if s.policy != nil {
		queues[0].Advice, queues[0].TargetLatency = &s.policy.terms, time.Second
	}
	if s.shapedJobs {
		queues = append(queues, job.Queue{Name: simOtherService, Service: simOtherService, MaxAttempts: s.maxAttempts, Stretch: s.stretch})
	}
	return queues
}

// submitShaped submits a job that uses some of the settings that shapes covers.
func (s *sim) submitShaped(id int) {
	spec := simpleJob(id, 1+s.rng.IntN(4), 1+s.rng.IntN(3))
	spec.Payload = fmt.Sprintf("payload %d", id)
	first, second := &spec.Steps[0], &spec.Steps[1]
	if s.rng.IntN(2) == 0 {
		spec.Occurrences, spec.FirstDueMS = 1+s.rng.IntN(3), (s.now + s.within(3*time.Second)).Milliseconds()
		spec.IntervalMS = s.within(3 * time.Second).Milliseconds()
	}
	switch s.rng.IntN(6) {
	case 0:
		first.Requires, second.MaxPerWorker = simLabel, 1+s.rng.IntN(2)
	case 1:
		first.Gang, first.MaxPerWorker = true, 2
	case 2:
		first.Gang, first.Requires = true, simLabel
	case 3:
		first.MemoryMiB, second.Fills, second.MemoryMiB, second.CPUMilli = 3500, true, 3000, 4000
	case 4:
		first.Accelerators, second.Accelerators = 1+int64(s.rng.IntN(2)), 2
	case 5:
		spec.Queue = simOtherService
	}
	if s.alterSpec != nil {
		if s.submitted == nil {
			s.submitted = map[string]*job.Spec{}
		}
		s.submitted[spec.ID] = spec
		altered := *spec
		altered.Steps = append([]job.Step(nil), spec.Steps...)
		s.alterSpec(&altered)
		spec = &altered
	}
	s.submit(spec)
}

// submittedSpec returns a job as its customer submitted it.
func (s *sim) submittedSpec(id string) *job.Spec {
	if spec := s.submitted[id]; spec != nil {
		return spec
	}
	return s.specs[id]
}

// checkSubmitted fails unless a started task was submitted, has its payload, and may run at this
// place and time. The run is already among those of its worker.
func (o *oracle) checkSubmitted(w *simWorker, order Order) {
	spec := o.sim.submittedSpec(order.Task.Job)
	t := order.Task
	if spec == nil || t.Occurrence >= spec.OccurrenceCount() || t.Step >= len(spec.Steps) || t.Index >= spec.Steps[t.Step].Count {
		o.fail("task %s starts, which nobody submitted", t)
		return
	}
	if spec.Queue == simOtherService || spec.Occurrences > 0 || spec.Payload != "p" {
		o.sim.shaped++
	}
	if order.Payload != spec.Payload {
		o.fail("task %s starts with payload %q, want %q", t, order.Payload, spec.Payload)
	}
	if due := spec.DueMS(t.Occurrence); o.sim.now.Milliseconds() < due {
		o.fail("task %s starts %d ms early", t, due-o.sim.now.Milliseconds())
	}
	o.checkPlace(w, t, spec)
	o.checkCapacity(w, t)
}

func (o *oracle) checkPlace(w *simWorker, t job.TaskID, spec *job.Spec) {
	step := &spec.Steps[t.Step]
	service := "svc"
	if spec.Queue == simOtherService {
		service = simOtherService
	}
	if w.info.Service != service {
		o.fail("task %s of service %s starts at %s of service %s", t, service, w.info.ID, w.info.Service)
	}
	if step.Requires != "" && (len(w.info.Labels) == 0 || w.info.Labels[0] != step.Requires) {
		o.fail("task %s starts at %s without label %q", t, w.info.ID, step.Requires)
	}
	beside := 0
	for id := range w.running {
		if id.StepString() == t.StepString() {
			beside++
		}
	}
	if step.MaxPerWorker > 0 && beside > step.MaxPerWorker {
		o.fail("task %s starts at %s as number %d of its step, at most %d", t, w.info.ID, beside, step.MaxPerWorker)
	}
}

// checkCapacity fails if the runs at a worker, including a new one, exceed its capacity.
func (o *oracle) checkCapacity(w *simWorker, t job.TaskID) {
	var taken resources
	for id := range w.running {
		taken = taken.add(amountOf(&o.sim.submittedSpec(id.Job).Steps[id.Step]), 1)
	}
	if taken.cpu > w.info.CPUMilli || taken.memory > w.info.MemoryMiB || taken.accelerators > w.info.Accelerators {
		o.fail("task %s starts at %s, where %+v are then in use", t, w.info.ID, taken)
	}
}

// dropLabels removes required labels from the jobs that owners receive.
func dropLabels(spec *job.Spec) {
	for i := range spec.Steps {
		spec.Steps[i].Requires = ""
	}
}

// alterSteps returns an alterSpec that changes each step.
func alterSteps(change func(step *job.Step)) func(spec *job.Spec) {
	return func(spec *job.Spec) {
		for i := range spec.Steps {
			change(&spec.Steps[i])
		}
	}
}

// TestForgottenShapesAreFound checks that the oracle detects an owner that ignores a job's settings.
func TestForgottenShapesAreFound(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without -short")
	}
	for name, forget := range map[string]func(spec *job.Spec){
		"label":        dropLabels,
		"spread":       alterSteps(func(step *job.Step) { step.MaxPerWorker = 0 }),
		"memory":       alterSteps(func(step *job.Step) { step.MemoryMiB = 0 }),
		"accelerators": alterSteps(func(step *job.Step) { step.Accelerators = 0 }),
		"processors":   alterSteps(func(step *job.Step) { step.CPUMilli = 0 }),
		"earlier step": alterSteps(func(step *job.Step) { step.After = nil }),
		"time":         func(spec *job.Spec) { spec.FirstDueMS -= 1000 },
		"interval":     func(spec *job.Spec) { spec.IntervalMS /= 2 },
		"payload":      func(spec *job.Spec) { spec.Payload = "another" },
		"service": func(spec *job.Spec) {
			if spec.Queue == simOtherService {
				spec.Queue = "q"
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				s := faultsRun(seed, func(s *sim) { shapesOfJobs(s); s.alterSpec = forget })
				if len(s.oracle.broken) > 0 {
					t.Logf("seed %d: %s", seed, s.oracle.broken[0])
					return
				}
			}
			t.Errorf("not detected in %d seeds", mutationSeeds)
		})
	}
}
