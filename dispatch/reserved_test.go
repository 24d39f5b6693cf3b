package dispatch

import (
	"slices"
	"testing"
	"time"

	"leverstile.dev/job"
)

// crowdedDay is the result for customers of a day whose long-running jobs want more capacity
// than there is.
type crowdedDay struct {
	urgent, onTime              int
	longRunning, refused        int
	shortestRetry, longestRetry time.Duration
	// tasks is the number of accepted long-running tasks, summed over the samples; atWork is how
	// many of them ran.
	tasks, atWork int
}

// urgentWithin is the time in which an urgent job of the crowded day must end:
// its tasks take up to 2.7 s.
const urgentWithin = 3500 * time.Millisecond

// crowdedSim simulates a crowded day: long-running jobs fill four fifths of 40 workers of
// 4 cores before the first urgent job arrives, and then more of them arrive than
// end. An urgent job needs twice half a worker; all of them need some 6% of the pool.
type crowdedSim struct {
	*sim
	day         crowdedDay
	id          int
	longRunning []*job.Spec
	due         map[string]time.Duration // of urgent jobs that have not ended
}

func simulateCrowdedDay(seed uint64) crowdedDay {
	c := &crowdedSim{sim: newSim(seed, 40), due: map[string]time.Duration{}}
	c.day.shortestRetry = maxAdmitRetry
	c.run(time.Second)
	for range 20 {
		c.submitLongRunning()
	}
	c.run(2 * time.Second)
	for tick := range 2000 { // 40 s
		c.step()
		if tick%25 == 0 {
			c.submitLongRunning()
		}
		if tick%160 == 0 {
			c.cancel(c.longRunning[0].ID)
			c.longRunning = c.longRunning[1:]
		}
		if tick%30 == 0 && tick < 1700 {
			c.submitUrgent()
		}
		if tick%10 == 0 {
			c.sample()
		}
	}
	return c.day
}

// submitAdmitted submits a job if the owner admits it, as an entry does.
func (c *crowdedSim) submitAdmitted(spec *job.Spec) bool {
	spec.AcceptedMS = c.now.Milliseconds()
	a := c.owner.core.Admit(spec, c.instant())
	if !a.Refused {
		c.submit(spec)
		return true
	}
	c.day.shortestRetry = min(c.day.shortestRetry, a.RetryAfter)
	c.day.longestRetry = max(c.day.longestRetry, a.RetryAfter)
	return false
}

func (c *crowdedSim) submitLongRunning() {
	c.id++
	spec := longRunningJob(c.id, 8)
	spec.Steps[0].CPUMilli, spec.Steps[0].MaxUnavailable = 800, 1
	c.day.longRunning++
	if !c.submitAdmitted(spec) {
		c.day.refused++
		return
	}
	c.longRunning = append(c.longRunning, spec)
}

func (c *crowdedSim) submitUrgent() {
	c.id++
	spec := simpleJob(c.id, 2)
	spec.Steps[0].CPUMilli = 2000
	c.day.urgent++
	if c.submitAdmitted(spec) {
		c.due[spec.ID] = c.now + urgentWithin
	}
}

// sample counts the urgent jobs that have ended in time, and the accepted
// long-running tasks that run.
func (c *crowdedSim) sample() {
	for id, due := range c.due {
		if state, _ := c.owner.core.Status(id); state == job.Succeeded {
			delete(c.due, id)
			if c.now <= due {
				c.day.onTime++
			}
		}
	}
	running := map[string]int{}
	for _, w := range c.workers {
		for id := range w.running {
			running[id.Job]++
		}
	}
	for _, spec := range c.longRunning {
		c.day.tasks += spec.Steps[0].Count
		c.day.atWork += running[spec.ID]
	}
}

// TestUrgentJobsRunBesideLongRunningOnes: where long-running jobs would take all capacity, urgent
// jobs still end in time, accepted long-running jobs run, and those without capacity are
// refused at once, with a time to retry.
func TestUrgentJobsRunBesideLongRunningOnes(t *testing.T) {
	for seed := range uint64(3) {
		d := simulateCrowdedDay(seed)
		atWork := float64(d.atWork) / float64(d.tasks)
		t.Logf("seed %d: %d of %d urgent jobs on time; %d of %d long-running jobs refused, with a retry after %v to %v; of the others %.2f at work",
			seed, d.onTime, d.urgent, d.refused, d.longRunning, d.shortestRetry, d.longestRetry, atWork)
		if d.onTime < d.urgent-1 {
			t.Errorf("seed %d: %d of %d urgent jobs on time", seed, d.onTime, d.urgent)
		}
		if atWork < 0.9 {
			t.Errorf("seed %d: %.2f of the accepted long-running tasks at work", seed, atWork)
		}
		if d.refused > 0 && (d.shortestRetry < minAdmitRetry || d.longestRetry > maxAdmitRetry) {
			t.Errorf("seed %d: retry after %v to %v", seed, d.shortestRetry, d.longestRetry)
		}
	}
}

// reservingCore returns a core with idle workers of 4 cores, short tasks of 1 core that
// hold and wait for half of one worker in eight, and the workers reserved for them.
func reservingCore(t *testing.T, workers int) (*Core, Instant) {
	t.Helper()
	core, now := idleCore(t, workers)
	spec := simpleJob(90, workers/2)
	spec.Steps[0].CPUMilli = 1000
	spec.AcceptedMS = now.UnixMS
	core.AddJob(spec, nil, false, now)
	for range 20 {
		now.Steady += 100 * time.Millisecond
		core.Tick(now)
	}
	starts(core)
	return core, now
}

func (c *Core) reservedWorkers() int {
	n := 0
	for _, w := range c.sortedWorkers {
		if w.isReserved {
			n++
		}
	}
	return n
}

// TestReservedCapacityFollowsDemand: as much is reserved as short tasks need, at most three tenths
// of the pool, and nothing once they have gone.
func TestReservedCapacityFollowsDemand(t *testing.T) {
	core, now := reservingCore(t, 40)
	if n := core.reservedWorkers(); n < 5 || n > 12 {
		t.Errorf("%d of 40 workers are reserved for tasks that need 5", n)
	}
	core.Cancel(simpleJob(90, 1).ID, now)
	for _, w := range core.sortedWorkers {
		for _, a := range slices.Clone(w.attempts) {
			core.release(a, now)
		}
	}
	for range 1200 {
		now.Steady += 100 * time.Millisecond
		core.Tick(now)
	}
	if n := core.reservedWorkers(); n != 0 {
		t.Errorf("%d workers are reserved two minutes after the last short task", n)
	}
}

// TestSmallPoolReservesNothing: with one worker, or two, a long-running job would never run.
func TestSmallPoolReservesNothing(t *testing.T) {
	for workers := 1; workers <= 3; workers++ {
		core, now := reservingCore(t, workers)
		if n := core.reservedWorkers(); n != 0 {
			t.Errorf("%d of %d workers are reserved", n, workers)
		}
		if a := core.Admit(longRunningJob(1, 1), now); a.Refused {
			t.Errorf("%d workers: a long-running job is refused: %s", workers, a.Reason)
		}
	}
}

// TestLongRunningTasksAvoidReservedCapacity, but not permanently: a job that has nothing running
// takes it, and a task that has waited long.
func TestLongRunningTasksAvoidReservedCapacity(t *testing.T) {
	core, now := reservingCore(t, 40)
	free := 0
	for _, w := range core.sortedWorkers {
		if !w.isReserved {
			free += int((w.info.CPUMilli - w.used.cpu) / 500)
		}
	}
	core.AddJob(longRunningJob(1, free), nil, false, now)
	core.Schedule(now)
	if n := len(starts(core)); n != free {
		t.Fatalf("%d long-running tasks start on workers that are not reserved, of %d that fit", n, free)
	}
	core.AddJob(longRunningJob(2, 4), nil, false, now)
	core.Schedule(now)
	if n := len(starts(core)); n != 0 {
		t.Fatalf("%d long-running tasks take reserved capacity at once", n)
	}
	now.Steady += reservedAfterJobIdle + time.Millisecond
	core.Schedule(now)
	if n := len(starts(core)); n == 0 {
		t.Error("a job with nothing running still waits although reserved capacity is free")
	}
}

// TestLostTaskTakesReservedCapacityAtOnce guards against a task that waits for reserved capacity after
// it has waited for the leases of its lost worker.
func TestLostTaskTakesReservedCapacityAtOnce(t *testing.T) {
	core, now := reservingCore(t, 40)
	spec := longRunningJob(1, 3)
	spec.Steps[0].MaxPerWorker = 1
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	starts(core)
	for _, w := range core.sortedWorkers {
		w.isReserved = true
	}
	lost := core.jobs[spec.ID].steps[0].tasks[0].attempt
	core.reservedCapacityOf("svc").workers = len(core.sortedWorkers)
	core.releaseLost(lost.worker, []*attempt{lost}, "its leases are over", now)
	core.Schedule(now)
	if n := len(starts(core)); n != 1 {
		t.Errorf("%d starts of the lost task, want 1", n)
	}
}

// TestUrgentLongRunningTasksTakeReservedCapacity: capacity is not reserved from a queue that goes
// before all short tasks.
func TestUrgentLongRunningTasksTakeReservedCapacity(t *testing.T) {
	core, now := reservingCore(t, 40)
	config := *core.config
	config.Version++
	config.Queues = append(config.Queues, job.Queue{Name: "first", Service: "svc", Priority: -1})
	core.SetConfig(&config)
	spec := longRunningJob(1, 1)
	spec.Queue = "first"
	core.AddJob(spec, nil, false, now)
	if s := core.jobs[spec.ID].steps[0]; core.avoidsReserved(s, now) {
		t.Error("it leaves reserved capacity to less urgent tasks")
	}
}

// TestClearingRespectsMaxUnavailable: while short tasks wait, long-running ones are moved off reserved
// workers, of each step no more at a time than may be unavailable.
func TestClearingRespectsMaxUnavailable(t *testing.T) {
	core, now := idleCore(t, 8)
	spec := longRunningJob(1, 16)
	spec.Steps[0].CPUMilli, spec.Steps[0].MaxUnavailable = 1500, 2
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	starts(core)
	for _, w := range core.sortedWorkers {
		for _, a := range w.attempts {
			a.task.phase, a.pastStart, a.started = phaseRunning, true, now.Steady-clearAge
		}
	}
	k := core.reservedCapacityOf("svc")
	k.waiting, k.waitingSince = 4000, now.Steady
	core.sortedWorkers[0].isReserved, core.sortedWorkers[1].isReserved = true, true
	core.clearReserved("svc", k, now)
	if n := stops(core); n != 0 {
		t.Fatalf("%d stops before short tasks have waited", n)
	}
	now.Steady += clearAfter + time.Millisecond
	core.clearReserved("svc", k, now)
	if n := stops(core); n != 2 {
		t.Errorf("%d tasks are stopped of a step of which 2 may be unavailable", n)
	}
	now.Steady += clearPause + time.Millisecond
	core.clearReserved("svc", k, now)
	if n := stops(core); n != 0 {
		t.Errorf("%d more are stopped while those are unavailable", n)
	}
}

// TestNothingIsReservedForTasksThatFitNoWorker: a job whose tasks are larger than any worker, or
// need a label that none has, must not keep long-running tasks from starting.
func TestNothingIsReservedForTasksThatFitNoWorker(t *testing.T) {
	for name, change := range map[string]func(s *job.Step){
		"too large": func(s *job.Step) { s.CPUMilli = 1_000_000 },
		"no memory": func(s *job.Step) { s.MemoryMiB = 1_000_000 },
		"no label":  func(s *job.Step) { s.Requires = "none has it" },
	} {
		core, now := idleCore(t, 40)
		core.Tick(now)
		core.AddJob(simpleJob(1, 1), nil, false, now) // the core has a record of short tasks
		now.Steady += reservePause
		core.Tick(now)
		spec := simpleJob(2, 50)
		spec.AcceptedMS, spec.Steps[0].EstimateMS = now.UnixMS, 60_000
		change(&spec.Steps[0])
		core.AddJob(spec, nil, false, now)
		for range 20 {
			now.Steady += 100 * time.Millisecond
			core.Tick(now)
		}
		if k := core.reservedCapacityOf("svc"); k.waiting != 0 || core.reservedWorkers() > 1 {
			t.Errorf("%s: %d workers are reserved, %d thousandths of a core waited for", name, core.reservedWorkers(), k.waiting)
		}
	}
}

func stops(core *Core) int {
	n := 0
	for _, o := range core.TakeOrders() {
		if o.Kind == OrderStop {
			n++
		}
	}
	return n
}
