package dispatch

import (
	"time"

	"leverstile.dev/job"
)

// Limits of admission control, which refuses jobs that would start too late to be of use.
const (
	// admitFraction of a long-running job's tasks must find capacity at once. If all had to,
	// the widest jobs would be refused long before the others.
	admitFraction = 0.5
	// crowdedAfter is how long short tasks must have waited without interruption before
	// entries ask for admission of further ones: a burst is placed within a pass or two.
	crowdedAfter = 500 * time.Millisecond
	// startRateWindow is how long an owner must have counted starts to conclude from none that
	// there is no capacity. It polls all workers for the first time within that.
	startRateWindow = 5 * time.Second
	// minAdmitRetry and maxAdmitRetry bound the time after which a refused customer is asked to
	// retry.
	minAdmitRetry = 1 * time.Second
	maxAdmitRetry = 10 * time.Second
	// maxPolicyWait is how long a job may wait for the placement policy: capacity must not
	// stay unused for longer than 3 s beside a job that has nothing running.
	maxPolicyWait = 2 * time.Second
)

// Admission is the owner's decision on a job that is not recorded yet.
type Admission struct {
	// Refused is set if the job would find no capacity while it is of use, or no memory.
	Refused bool
	Reason  string
	// RetryAfter is the delay after which capacity is expected, bounded by minAdmitRetry and
	// maxAdmitRetry.
	RetryAfter time.Duration
}

// Admit decides whether a job will find capacity in time, by what is observed of its
// service: a long-running job beside the capacity that short tasks need, a short one
// behind those that wait already. A job that has been accepted before is admitted, and so
// is one whose capacity can't be determined.
func (c *Core) Admit(spec *job.Spec, now Instant) Admission {
	q, known := c.queues[spec.Queue]
	if c.jobs[spec.ID] == nil && !c.deposed && !c.memory.admit(spec, now.Steady) {
		c.trace(Decision{Event: "job_not_admitted", Job: spec.ID, Reason: "memory", Age: memoryRetry})
		return Admission{Refused: true, Reason: "no memory left for its tasks or its record", RetryAfter: memoryRetry}
	}
	if !known || c.jobs[spec.ID] != nil || c.deposed || len(c.unresolved) > 0 || spec.Occurrences > 0 {
		return Admission{}
	}
	a := c.admitToPolicy(q, spec, now)
	if !a.Refused {
		a = c.admitToCapacity(q, spec, now)
	}
	if a.Refused {
		a.RetryAfter = min(max(a.RetryAfter, minAdmitRetry), maxAdmitRetry)
		c.trace(Decision{Event: "job_not_admitted", Job: spec.ID, Reason: a.Reason, Age: a.RetryAfter})
	}
	return a
}

// admitToCapacity decides whether a job will find capacity on the workers in time.
func (c *Core) admitToCapacity(q job.Queue, spec *job.Spec, now Instant) Admission {
	k := c.reservedCapacity[q.Service]
	if k == nil {
		return Admission{}
	}
	if s := firstOf(spec, (*job.Step).IsLongRunning); s != nil {
		return c.admitLongRunning(k, q, s, now)
	}
	if s := firstOf(spec, (*job.Step).IsShort); s != nil {
		return c.admitShort(k, q, spec, s, now)
	}
	return Admission{}
}

// firstOf returns the first step of a kind that waits for no other, or nil.
func firstOf(spec *job.Spec, kind func(*job.Step) bool) *job.Step {
	for i := range spec.Steps {
		if s := &spec.Steps[i]; len(s.After) == 0 && kind(s) {
			return s
		}
	}
	return nil
}

// admitLongRunning refuses a long-running job that would have to use the capacity
// reserved for short tasks, or would stay accepted without running.
func (c *Core) admitLongRunning(k *reservedCapacity, q job.Queue, s *job.Step, now Instant) Admission {
	if k.need == 0 || q.Priority < k.priority {
		return Admission{}
	}
	places := c.longRunningSlots(q.Service, s, now) - c.longRunningWaiting(q.Service)
	lacking := admitFraction*float64(s.Count) - float64(places)
	if lacking <= 0 {
		return Admission{}
	}
	retry := maxAdmitRetry
	if k.freed.mean > 0 {
		retry = time.Duration(lacking * float64(s.CPUMilli) / k.freed.mean * float64(time.Second))
	}
	return Admission{Refused: true, Reason: "no room for its lasting tasks beside what short ones need", RetryAfter: retry}
}

// longRunningSlots returns for how many tasks of a long-running step there is capacity
// beside the long-running tasks of the workers that are not reserved.
func (c *Core) longRunningSlots(service string, s *job.Step, now Instant) int {
	amount, places := amountOf(s), 0
	for _, w := range c.workersByService[service] {
		if w.isReserved || !c.inPool(w, service, now) {
			continue
		}
		n := min(countFits(w.info.CPUMilli-w.longRunning.cpu, amount.cpu), countFits(w.info.MemoryMiB-w.longRunning.memory, amount.memory),
			countFits(w.info.Accelerators-w.longRunning.accelerators, amount.accelerators))
		if s.MaxPerWorker > 0 {
			n = min(n, s.MaxPerWorker)
		}
		places += min(n, s.Count)
	}
	return places
}

// countFits returns how often an amount fits into the capacity.
func countFits(capacity, amount int64) int {
	if amount <= 0 {
		return job.MaxTasks
	}
	return int(max(capacity, 0) / amount)
}

// longRunningWaiting returns how many long-running tasks of a service are ready.
func (c *Core) longRunningWaiting(service string) int {
	n := 0
	for _, s := range c.openSteps {
		if s.spec.LongRunning && c.serviceOf(s.job.spec) == service {
			n += s.ready
		}
	}
	return n
}

// admitShort refuses a short job that would start so late, behind the tasks that
// wait, that it is of no use by its end.
func (c *Core) admitShort(k *reservedCapacity, q job.Queue, spec *job.Spec, s *job.Step, now Instant) Admission {
	if k.waiting == 0 || !k.startRateKnown(now) {
		return Admission{}
	}
	useful := c.usefulWait(q, spec)
	wait := float64(k.waiting+int64(s.Count)*s.CPUMilli) / max(k.starts.mean, 1)
	if wait < useful.Seconds() {
		return Admission{}
	}
	return Admission{Refused: true, Reason: "short tasks wait longer for room than it is of use", RetryAfter: time.Duration(min(wait, maxAdmitRetry.Seconds()) * float64(time.Second))}
}

// startRateKnown reports whether it is known how fast waiting tasks start: a new owner has seen none
// start, and tasks that came just now may start in the next pass.
func (d *shortDemand) startRateKnown(now Instant) bool {
	if now.Steady-d.waitingSince < crowdedAfter {
		return false
	}
	return d.starts.mean > 0 || d.starts.age >= startRateWindow
}

// usefulWait returns how late a job may start and still be of use by its end.
func (c *Core) usefulWait(q job.Queue, spec *job.Spec) time.Duration {
	j := &jobState{spec: spec}
	for i := range spec.Steps {
		j.steps = append(j.steps, &stepRun{job: j, spec: &spec.Steps[i], index: i})
	}
	chain := c.totalCriticalPath(j)
	return lateFactor*(time.Duration(float64(chain)*q.Stretch)+q.TargetLatency) - chain
}

// admitToPolicy refuses a job that would wait too long for the placement policy. The policy
// decides on one call after the other, so that admitted jobs can exceed what it decides on
// however much capacity the workers have.
func (c *Core) admitToPolicy(q job.Queue, spec *job.Spec, now Instant) Admission {
	if q.Advice == nil {
		return Admission{}
	}
	for i := range spec.Steps {
		if s := &spec.Steps[i]; s.Gang && !collectable(q.Advice, c.fewestWorkers(q.Service, s), 1) {
			return Admission{Refused: true, Reason: "the placement policy decides too slowly for so wide a gang", RetryAfter: maxAdmitRetry}
		}
	}
	limit := maxPolicyWait
	if firstOf(spec, (*job.Step).IsShort) != nil {
		limit = min(limit, c.usefulWait(q, spec))
	}
	wait := c.policyWait(q.Priority, now)
	if wait <= limit {
		return Admission{}
	}
	return Admission{Refused: true, Reason: "the placement policy has too many steps to decide on", RetryAfter: wait}
}

// fewestWorkers returns how many workers of a service the tasks of a step need at least.
func (c *Core) fewestWorkers(service string, s *job.Step) int {
	amount, most := amountOf(s), 1
	for _, w := range c.workersByService[service] {
		most = max(most, min(countFits(w.info.CPUMilli, amount.cpu), countFits(w.info.MemoryMiB, amount.memory), countFits(w.info.Accelerators, amount.accelerators)))
	}
	if s.MaxPerWorker > 0 {
		most = min(most, s.MaxPerWorker)
	}
	return ceilDiv(s.Count, most)
}

// Crowded reports whether entries must ask for the admission of short jobs: short tasks have
// waited for capacity for longer than crowdedAfter, or will wait as long for the placement policy.
func (c *Core) Crowded(now Instant) bool {
	if c.memory.crowded() || c.policyWait(leastUrgent, now) > crowdedAfter {
		return true
	}
	for _, k := range c.reservedCapacity {
		if k.waiting > 0 && now.Steady-k.waitingSince > crowdedAfter {
			return true
		}
	}
	return false
}

// ReservedCPU returns what is reserved for short tasks of all services, and what short
// tasks on time hold and wait for on average, in thousandths of a core.
func (c *Core) ReservedCPU() (reserved, demand int64) {
	for _, k := range c.reservedCapacity {
		reserved += k.available
		demand += int64(k.demand.mean)
	}
	return reserved, demand
}
