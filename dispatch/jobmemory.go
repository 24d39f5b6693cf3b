package dispatch

import (
	"time"

	"leverstile.dev/job"
)

// Memory of accepted jobs, in bytes, with what the collector has not freed yet. A job of eighty
// bytes may have 20,000 tasks.
const (
	// recordJobBytes and recordStepBytes are for a job and each of its steps, until it has ended.
	recordJobBytes  = 1024
	recordStepBytes = 448
	// endedJobBytes and endedStepBytes are for a job that has ended, as long as its state is kept.
	endedJobBytes  = 512
	endedStepBytes = 192
	// openStepBytes and openTaskBytes are for each step and task of an open occurrence.
	openStepBytes = 512
	openTaskBytes = 448
)

// recordShare is the part of the memory for records; the rest is for open tasks.
const recordShare = 0.65

const (
	// smallJobBytes is the memory from which on a job counts as large, largeJobShare the share of
	// the memory that these may use.
	smallJobBytes = 64 << 10
	largeJobShare = 0.75
	// admittedFor is how long memory stays reserved for a job that was admitted: an entry's write
	// takes at most as long as its caller waits.
	admittedFor = 3 * time.Second
	// crowdedShare is the share of the memory from which on entries ask for the admission of each
	// job. The rest is for the jobs that they record until they know.
	crowdedShare = 0.5
	// heavyJobBytes is the memory from which on entries ask for a job's admission in any case.
	heavyJobBytes = 512 << 10
	// memoryRetry is the delay after which a customer may retry that was refused for lack of
	// memory: tasks end meanwhile, and the records of old jobs are removed.
	memoryRetry = 5 * time.Second
)

// jobMemory is the memory of the cell's jobs. The owner refuses jobs for which there is none left.
// Those that entries recorded nevertheless are opened one after the other, as others end.
//
// It answers more work than the owner can hold, whatever its jobs look like. Large jobs are
// limited to a share, so that they do not keep small ones out.
type jobMemory struct {
	// recordLimit bounds records, openLimit the open occurrences; 0 means no limit.
	recordLimit, openLimit int64
	small, large           sizeClass
	// admitted are jobs that were admitted and are not added yet.
	admitted map[string]admittedJob
}

// sizeClass counts the memory of the small or of the large jobs.
type sizeClass struct {
	// records is for all jobs that are kept, open for their open occurrences, waiting for the
	// occurrences that jobs without times have not opened yet, admitted for jobs to come.
	records, open, waiting, admitted int64
}

// demand is the memory of all tasks that are open or will be.
func (c *sizeClass) demand() int64 { return c.open + c.waiting + c.admitted }

// admittedJob is a job that an entry is about to record.
type admittedJob struct {
	spec *job.Spec
	at   time.Duration
}

// newJobMemory divides a number of bytes; 0 means no limit.
func newJobMemory(bytes int64) jobMemory {
	records := int64(recordShare * float64(bytes))
	return jobMemory{recordLimit: records, openLimit: bytes - records}
}

// recordCost returns the memory of a job as long as its record is kept.
func recordCost(spec *job.Spec) int64 {
	n := recordJobBytes + 2*int64(len(spec.Payload))
	for i := range spec.Steps {
		s := &spec.Steps[i]
		n += recordStepBytes + 16*int64(len(s.After)) + 2*int64(len(s.Requires)+len(s.DataRack)+len(s.Image))
	}
	return n
}

// endedCost is recordCost for a job that has ended and is stored.
func endedCost(spec *job.Spec) int64 { return endedJobBytes + endedStepBytes*int64(len(spec.Steps)) }

// openCost returns the memory of one open occurrence of a job.
func openCost(spec *job.Spec) int64 {
	return openStepBytes*int64(len(spec.Steps)) + openTaskBytes*int64(spec.TasksPerOccurrence())
}

// IsHeavy reports whether a job takes so much memory that it needs the owner's admission.
func IsHeavy(spec *job.Spec) bool { return recordCost(spec)+openCost(spec) > heavyJobBytes }

// isLarge reports whether a job counts as large.
func isLarge(spec *job.Spec) bool { return max(recordCost(spec), openCost(spec)) > smallJobBytes }

// classOf returns the count that a job belongs to.
func (m *jobMemory) classOf(spec *job.Spec) *sizeClass {
	if isLarge(spec) {
		return &m.large
	}
	return &m.small
}

// fits reports whether a job may take more memory of a limit, where the large and the small jobs
// use some. Large ones may exceed their share by one job, which does not count against the small
// ones.
func fits(limit int64, large bool, largeUsed, smallUsed, more int64) bool {
	share := int64(largeJobShare * float64(limit))
	if large && largeUsed+more > share {
		return false
	}
	return min(largeUsed, share)+smallUsed+more <= limit
}

// mayOpen reports whether one more occurrence of a job may be opened. One of each class is open
// whatever it costs.
func (m *jobMemory) mayOpen(spec *job.Spec, cost int64) bool {
	return m.openLimit <= 0 || m.classOf(spec).open == 0 || fits(m.openLimit, isLarge(spec), m.large.open, m.small.open, cost)
}

// admit reports whether there is memory for one more job, and reserves it until the job is added.
func (m *jobMemory) admit(spec *job.Spec, now time.Duration) bool {
	if m.openLimit <= 0 {
		return true
	}
	m.forgetAdmitted(now)
	if _, again := m.admitted[spec.ID]; again {
		return true // its memory is reserved
	}
	c, large := m.classOf(spec), isLarge(spec)
	if !fits(m.recordLimit, large, m.large.records, m.small.records, recordCost(spec)) ||
		c.demand() > 0 && !fits(m.openLimit, large, m.large.demand(), m.small.demand(), openCost(spec)) {
		return false
	}
	if m.admitted == nil {
		m.admitted = map[string]admittedJob{}
	}
	m.admitted[spec.ID] = admittedJob{spec, now}
	c.admitted += openCost(spec)
	return true
}

// forgetAdmitted ends the reservations of jobs that their entries have not recorded.
func (m *jobMemory) forgetAdmitted(now time.Duration) {
	for id, a := range m.admitted {
		if now-a.at > admittedFor {
			m.endAdmission(id)
		}
	}
}

func (m *jobMemory) endAdmission(id string) {
	if a, ok := m.admitted[id]; ok {
		m.classOf(a.spec).admitted -= openCost(a.spec)
		delete(m.admitted, id)
	}
}

// crowded reports whether entries must ask before they record a job.
func (m *jobMemory) crowded() bool {
	return crowded(m.recordLimit, m.large.records, m.small.records) || crowded(m.openLimit, m.large.demand(), m.small.demand())
}

func crowded(limit, large, small int64) bool {
	share := largeJobShare * float64(limit)
	used := min(float64(large), share) + float64(small)
	return limit > 0 && (float64(large) > crowdedShare*share || used > crowdedShare*float64(limit))
}

// countRecord counts a job that is added.
func (c *Core) countRecord(j *jobState) {
	c.memory.endAdmission(j.spec.ID)
	j.memory, j.openCost, j.recordCost = c.memory.classOf(j.spec), openCost(j.spec), recordCost(j.spec)
	j.memory.records += j.recordCost
}

// dropRecord is the opposite of countRecord.
func (c *Core) dropRecord(j *jobState) { j.memory.records -= j.recordCost }

// compactEnded drops what only the tasks need of a job that has ended, is stored and has no runs.
// The sizes of its steps stay: a late run takes capacity at its worker.
func (c *Core) compactEnded(j *jobState) {
	if j.compacted {
		return
	}
	c.countClosed(j, len(j.steps))
	c.dropRecord(j)
	j.steps, j.compacted = nil, true
	j.progress = job.Progress{State: j.progress.State, Reason: j.progress.Reason, EndedMS: j.progress.EndedMS}
	spec := *j.spec
	spec.Payload, spec.AcceptedQueue, spec.Steps = "", nil, make([]job.Step, len(j.spec.Steps))
	for i := range spec.Steps {
		s := &j.spec.Steps[i]
		spec.Steps[i] = job.Step{Count: s.Count, CPUMilli: s.CPUMilli, MemoryMiB: s.MemoryMiB, Accelerators: s.Accelerators, LongRunning: s.LongRunning, Fills: s.Fills}
	}
	j.spec, j.recordCost = &spec, endedCost(&spec)
	j.memory.records += j.recordCost
}

// countWaiting counts the only occurrence of a job without times, if it is not open.
func (c *Core) countWaiting(j *jobState) {
	waits := j.spec.Occurrences == 0 && j.nextOccurrence == 0 && !j.progress.State.Final()
	if waits == j.waiting {
		return
	}
	j.waiting = waits
	if waits {
		j.memory.waiting += j.openCost
		c.trace(Decision{Event: "job_not_opened", Job: j.spec.ID, Reason: "no memory left for its tasks"})
		return
	}
	j.memory.waiting -= j.openCost
}

// countOpened and countClosed count the steps of occurrences that are built and dropped.
func (c *Core) countOpened(j *jobState) { j.memory.open += j.openCost }

func (c *Core) countClosed(j *jobState, steps int) {
	if steps == 0 {
		return
	}
	j.memory.open -= int64(steps/len(j.spec.Steps)) * j.openCost
}

// JobMemory returns the memory that the cell's jobs take, as estimated, in bytes: of their
// records, of their open tasks and of those that wait for memory.
func (c *Core) JobMemory() (records, open, waiting int64) {
	s, l := &c.memory.small, &c.memory.large
	return s.records + l.records, s.open + l.open, s.waiting + l.waiting
}
