package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// shapes has jobs ask for all that a step can ask of its place and time, of two services.
type shapes struct {
	// shapedJobs: such jobs are submitted, and workers differ.
	shapedJobs bool
	// forgetAsked changes what owners are told of these jobs, if set.
	forgetAsked func(spec *job.Spec)
	// asked holds the jobs as their customers submitted them, where that differs.
	asked map[string]*job.Spec
	// shaped counts the starts of their tasks.
	shaped int
}

const (
	// simOtherService has each simOtherEach-th worker, and a queue of its own name.
	simOtherService = "other"
	simOtherEach    = 4
	// simLabel is that of each second worker, simAccelerators what these have.
	simLabel        = "fast"
	simAccelerators = 3
)

// shapesOfJobs switches shaped jobs on, and has workers that differ from the start on.
func shapesOfJobs(s *sim) {
	s.shapedJobs, s.delayShare = true, 0.02
	for i := range s.workers {
		s.workers[i] = s.newWorker(i)
	}
}

// shapeWorker gives a worker what its place has.
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

// simQueues are the queues of the configuration.
func (s *sim) simQueues() []job.Queue {
	queues := []job.Queue{{Name: "q", Service: "svc", MaxAttempts: s.maxAttempts, Stretch: s.stretch}}
	if s.shapedJobs {
		queues = append(queues, job.Queue{Name: simOtherService, Service: simOtherService, MaxAttempts: s.maxAttempts, Stretch: s.stretch})
	}
	return queues
}

// submitShaped submits a job of one shape.
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
	if s.forgetAsked != nil {
		if s.asked == nil {
			s.asked = map[string]*job.Spec{}
		}
		s.asked[spec.ID] = spec
		told := *spec
		told.Steps = append([]job.Step(nil), spec.Steps...)
		s.forgetAsked(&told)
		spec = &told
	}
	s.submit(spec)
}

// askedSpec returns a job as its customer submitted it.
func (s *sim) askedSpec(id string) *job.Spec {
	if spec := s.asked[id]; spec != nil {
		return spec
	}
	return s.specs[id]
}

// checkAsked fails unless a start is of a task that was submitted, with its payload, where and
// when it may run. The run is among those of its worker.
func (o *oracle) checkAsked(w *simWorker, order Order) {
	spec := o.sim.askedSpec(order.Task.Job)
	t := order.Task
	if spec == nil || t.Occurrence >= spec.Times() || t.Step >= len(spec.Steps) || t.Index >= spec.Steps[t.Step].Count {
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
	o.checkRoom(w, t)
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

// checkRoom fails if what runs at a worker, a new run included, is more than its room.
func (o *oracle) checkRoom(w *simWorker, t job.TaskID) {
	var taken resources
	for id := range w.running {
		taken = taken.add(amountOf(&o.sim.askedSpec(id.Job).Steps[id.Step]), 1)
	}
	if taken.cpu > w.info.CPUMilli || taken.memory > w.info.MemoryMiB || taken.accelerators > w.info.Accelerators {
		o.fail("task %s starts at %s, where %+v are taken then", t, w.info.ID, taken)
	}
}

// forgetLabels has owners not know of required labels.
func forgetLabels(spec *job.Spec) {
	for i := range spec.Steps {
		spec.Steps[i].Requires = ""
	}
}

// forgetStep returns a forgetAsked that changes each step.
func forgetStep(change func(step *job.Step)) func(spec *job.Spec) {
	return func(spec *job.Spec) {
		for i := range spec.Steps {
			change(&spec.Steps[i])
		}
	}
}

// TestForgottenShapesAreFound: the oracle finds an owner that does not know what a job asks for.
func TestForgottenShapesAreFound(t *testing.T) {
	if testing.Short() {
		t.Skip("it is played without -short")
	}
	for name, forget := range map[string]func(spec *job.Spec){
		"label":        forgetLabels,
		"spread":       forgetStep(func(step *job.Step) { step.MaxPerWorker = 0 }),
		"memory":       forgetStep(func(step *job.Step) { step.MemoryMiB = 0 }),
		"accelerators": forgetStep(func(step *job.Step) { step.Accelerators = 0 }),
		"processors":   forgetStep(func(step *job.Step) { step.CPUMilli = 0 }),
		"earlier step": forgetStep(func(step *job.Step) { step.After = nil }),
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
				s := faultsRun(seed, func(s *sim) { shapesOfJobs(s); s.forgetAsked = forget })
				if len(s.oracle.broken) > 0 {
					t.Logf("seed %d: %s", seed, s.oracle.broken[0])
					return
				}
			}
			t.Errorf("not found in %d seeds", mutationSeeds)
		})
	}
}
