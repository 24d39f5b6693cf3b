package dispatch

import (
	"strings"
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestFaultFreeGangMembersNeverEndAlone guards against gang members that time out waiting for the
// others although no fault occurs, also while jobs are cancelled.
func TestFaultFreeGangMembersNeverEndAlone(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(seed, 4)
		s.gangJobs, s.slowStops, s.longPolls = true, true, true
		for id := 1; s.now < 30*time.Second; s.step() {
			if s.rng.IntN(20) == 0 {
				s.submitGang(id)
				id++
			}
			if id > 1 && s.rng.IntN(200) == 0 {
				s.cancel(s.order[s.rng.IntN(len(s.order))])
			}
		}
		s.run(settleFor)
		checkAll(t, s)
		for _, line := range s.trace {
			if strings.Contains(line, "run_"+string(EndAlone)) {
				t.Fatalf("seed %d: %s", seed, line)
			}
		}
	}
}

// TestAllEndsAreAcknowledged guards against ends that a worker lists forever: once the faults are
// over, all of them must be acknowledged.
func TestAllEndsAreAcknowledged(t *testing.T) {
	for seed := range uint64(10) {
		s := faultsRun(seed, lateAnswers)
		for _, w := range s.workers {
			if n := len(w.ended); n > 0 && w.alive {
				t.Errorf("seed %d: worker %s still lists %d ends, the first is %+v", seed, w.info.ID, n, w.ended[0])
			}
		}
	}
}

// simIdleLimit is the longest that a job may have nothing running while capacity is free.
const simIdleLimit = 3 * time.Second

// idleJobs tracks since when each job has had nothing running.
type idleJobs struct {
	sim   *sim
	since map[string]time.Duration
}

// check fails for a job that has waited too long. Time in which more than half of the processors are
// in use does not count.
func (i *idleJobs) check(t *testing.T) {
	t.Helper()
	s := i.sim
	running := map[string]bool{}
	var used, total int64
	for _, w := range s.workers {
		total += w.info.CPUMilli
		for id := range w.running {
			running[id.Job] = true
			used += amountOf(&s.specs[id.Job].Steps[id.Step]).cpu
		}
	}
	for id, spec := range s.specs {
		state, known := s.owner.core.Status(id)
		due := time.Duration(spec.DueMS(0)) * time.Millisecond
		if running[id] || !known || state.Final() || s.cancelled[id] > 0 || 2*used > total {
			delete(i.since, id)
			continue
		}
		if _, waits := i.since[id]; !waits {
			i.since[id] = max(s.now, due)
		}
		if waited := s.now - i.since[id]; waited > simIdleLimit {
			t.Fatalf("%v: job %s has had nothing running for %v, %d of %d millicores are in use", s.now, id, waited, used, total)
		}
	}
}

// TestJobsDoNotWaitWhileCapacityIsFree guards against jobs that wait although capacity is free:
// without faults, with failing tasks, with a worker at which all runs fail, with gangs and slow
// stops, or with workers that refuse starts.
func TestJobsDoNotWaitWhileCapacityIsFree(t *testing.T) {
	for name, setup := range map[string]func(s *sim){
		"calm":       func(*sim) {},
		"failures":   func(s *sim) { s.failShare = 0.05 },
		"bad worker": func(s *sim) { s.failShare, s.workers[0].failsAll = 0.05, true },
		"gangs":      func(s *sim) { s.gangJobs, s.slowStops, s.failShare = true, true, 0.05 },
		"unwell":     func(s *sim) { s.refuseShare, s.noCapacityShare = 0.05, 0.03 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				s := newSim(seed, 6)
				setup(s)
				idle := &idleJobs{s, map[string]time.Duration{}}
				s.run(time.Second)
				for id := 1; s.now < 30*time.Second; s.step() {
					idle.check(t)
					switch {
					case s.rng.IntN(40) == 0:
						s.submit(simpleJob(id, 1+s.rng.IntN(4), 1+s.rng.IntN(3)))
						id++
					case s.gangJobs && s.rng.IntN(80) == 0:
						s.submitGang(id)
						id++
					}
				}
			}
		})
	}
}

// notDone returns a task of the job that has not ended done, if there is one.
func (o *oracle) notDone(spec *job.Spec) (job.TaskID, bool) {
	for occurrence := range spec.OccurrenceCount() {
		for step := range spec.Steps {
			for i := range spec.Steps[step].Count {
				id := job.TaskID{Job: spec.ID, Occurrence: occurrence, Step: step, Index: i}
				if !o.everDone[id] {
					return id, true
				}
			}
		}
	}
	return job.TaskID{}, false
}
