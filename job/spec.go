// Package job is the model of batch work: a job has steps, a step has tasks,
// and a step may wait for earlier ones. It has no I/O.
package job

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Limits of a job. They bound the memory that one request can take at an
// entry; the jobs of users stay two orders of magnitude below.
const (
	MaxSteps = 256
	// MaxTasks is the most tasks of all occurrences.
	MaxTasks        = 20_000
	MaxPayloadBytes = 4000
	// MaxAmount is the most of one resource that a task may request, in the units of Step: no
	// VM has as much, and sums over many tasks do not overflow.
	MaxAmount = 1 << 36
	// MaxTimeMS bounds the first due time, before and after 1970, and the interval: 200 years
	// in milliseconds, which a time.Duration holds.
	MaxTimeMS = 200 * 365 * 24 * 3_600_000
	// maxEstimate bounds the estimate of a run time, so that the sum over MaxSteps is a
	// time.Duration.
	maxEstimate = 30 * 24 * time.Hour
)

// IDLength is the length of a job id: 64 bits in hexadecimal.
const IDLength = 16

// Errors that callers distinguish.
const (
	// ErrInvalid means that a job is malformed and can't be accepted.
	ErrInvalid = errors.ConstError("invalid job")
)

// Spec is an accepted job.
type Spec struct {
	ID      string `json:"id"`
	Queue   string `json:"queue"`
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// AcceptedMS is when an entry accepted the job, milliseconds since 1970
	// by that entry's clock.
	AcceptedMS int64 `json:"accepted_ms"`
	// Occurrences, if above 0, is how often all steps run, at fixed intervals; each time is
	// one occurrence.
	Occurrences int   `json:"occurrences,omitempty"`
	FirstDueMS  int64 `json:"first_due_ms,omitempty"`
	IntervalMS  int64 `json:"interval_ms,omitempty"`
	// AcceptedQueue holds the settings of the queue when the job was accepted, for an owner
	// that knows none of its own. Jobs that an earlier version accepted lack it.
	AcceptedQueue *QueueRecord `json:"accepted_queue,omitempty"`
}

// Step is a number of identical tasks.
type Step struct {
	Count        int   `json:"count"`
	CPUMilli     int64 `json:"cpu_milli,omitempty"`
	MemoryMiB    int64 `json:"memory_mib,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
	// EstimateMS is the submitter's estimate of one task's run time.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// After lists the steps, counted from 0, that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set if a stopped task can resume from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is set if the tasks work only all together; they share one run number.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if the gang is slower when spread over racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Requires is a label that the worker must have.
	Requires string `json:"requires,omitempty"`
	// DataRack is the rack where the tasks run fastest.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no bound.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative is set if a task may run in several copies at once.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names the program; tasks of one image behave similarly.
	Image string `json:"image,omitempty"`
	// TargetMS is the tail latency that a long-running task promises to its
	// own users; 0 for none.
	TargetMS int64 `json:"target_ms,omitempty"`
	// Fills is set for fill tasks: they use only processor time that other
	// tasks leave.
	Fills bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step the scheduler may make
	// unavailable at once; 0 means no bound.
	MaxUnavailable int `json:"max_away,omitempty"`
}

// IsLongRunning reports whether the step's tasks run until the job is cancelled.
func (s *Step) IsLongRunning() bool { return s.LongRunning }

// IsShort reports whether the step's tasks end by themselves and need capacity of
// their own.
func (s *Step) IsShort() bool { return !s.LongRunning && !s.Fills }

// Estimate returns the submitter's estimate of a task's run time, at most maxEstimate.
func (s *Step) Estimate() time.Duration {
	return time.Duration(min(s.EstimateMS, maxEstimate.Milliseconds())) * time.Millisecond
}

// OccurrenceCount returns how many times the steps run.
func (s *Spec) OccurrenceCount() int { return max(s.Occurrences, 1) }

// TasksPerOccurrence returns the number of tasks of all steps.
func (s *Spec) TasksPerOccurrence() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// DueMS returns when an occurrence is due, milliseconds since 1970, or 0 for a
// job that is due at once. An occurrence in the far future is due at math.MaxInt64.
func (s *Spec) DueMS(occurrence int) int64 {
	if s.Occurrences == 0 {
		return 0
	}
	if s.IntervalMS > 0 && int64(occurrence) > (math.MaxInt64-max(s.FirstDueMS, 0))/s.IntervalMS {
		return math.MaxInt64
	}
	return s.FirstDueMS + int64(occurrence)*s.IntervalMS
}

// LongRunning reports whether a step of the job runs until it is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// ValidID reports whether id has the form of a job id.
func ValidID(id string) bool {
	if len(id) != IDLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Validate returns ErrInvalid annotated with the first mistake of a submitted job, or nil.
func (s *Spec) Validate() error {
	if err := s.Check(); err != nil {
		return err
	}
	if tasks := s.TasksPerOccurrence(); s.OccurrenceCount() > MaxTasks/tasks {
		return errors.Annotatef(ErrInvalid, "%d occurrences of %d tasks, at most %d tasks in all", s.OccurrenceCount(), tasks, MaxTasks)
	}
	if max(s.FirstDueMS, -s.FirstDueMS, s.IntervalMS) > MaxTimeMS || s.FirstDueMS == math.MinInt64 {
		return errors.Annotatef(ErrInvalid, "first due at %d ms with an interval of %d ms, at most %d", s.FirstDueMS, s.IntervalMS, int64(MaxTimeMS))
	}
	for i := range s.Steps {
		if step := &s.Steps[i]; max(step.CPUMilli, step.MemoryMiB, step.Accelerators) > MaxAmount {
			return errors.Annotatef(ErrInvalid, "step %d requests more than any VM has", i)
		}
	}
	return nil
}

// Clamp limits the numbers of a stored job to what Validate allows, for jobs that an earlier
// version accepted. It does not change which VM can run a task, nor the number of occurrences.
func (s *Spec) Clamp() {
	s.FirstDueMS = min(max(s.FirstDueMS, -MaxTimeMS), MaxTimeMS)
	s.IntervalMS = min(s.IntervalMS, MaxTimeMS)
	for i := range s.Steps {
		step := &s.Steps[i]
		step.CPUMilli, step.MemoryMiB, step.Accelerators = min(step.CPUMilli, MaxAmount), min(step.MemoryMiB, MaxAmount), min(step.Accelerators, MaxAmount)
	}
}

// Check returns ErrInvalid annotated with the first mistake for which a stored job can't be
// processed, or nil.
func (s *Spec) Check() error {
	if !ValidID(s.ID) {
		return errors.Annotatef(ErrInvalid, "id %q is not %d hexadecimal digits", s.ID, IDLength)
	}
	if len(s.Payload) > MaxPayloadBytes {
		return errors.Annotatef(ErrInvalid, "payload of %d bytes, at most %d", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return errors.Annotatef(ErrInvalid, "%d steps, 1 to %d allowed", len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.IntervalMS < 0 {
		return errors.Annotatef(ErrInvalid, "negative occurrences or interval")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return errors.Annotatef(ErrInvalid, "%d tasks, at most %d", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count <= 0 || s.Count > MaxTasks {
		return errors.Annotatef(ErrInvalid, "step %d has %d tasks", number, s.Count)
	}
	if s.CPUMilli < 0 || s.MemoryMiB < 0 || s.Accelerators < 0 || s.EstimateMS < 0 || s.MaxPerWorker < 0 || s.TargetMS < 0 || s.MaxUnavailable < 0 {
		return errors.Annotatef(ErrInvalid, "step %d has a negative size", number)
	}
	for _, after := range s.After {
		if after < 0 || after >= number {
			return errors.Annotatef(ErrInvalid, "step %d waits for step %d, which is not an earlier one", number, after)
		}
	}
	return nil
}

// TaskID identifies a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepString() + "." + strconv.Itoa(t.Index) }

// StepString returns JOB.OCCURRENCE.STEP.
func (t TaskID) StepString() string {
	b := make([]byte, 0, len(t.Job)+16)
	b = append(b, t.Job...)
	b = strconv.AppendInt(append(b, '.'), int64(t.Occurrence), 10)
	b = strconv.AppendInt(append(b, '.'), int64(t.Step), 10)
	return string(b)
}

// ParseTaskID parses the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	var t TaskID
	rest := s
	var numbers [3]int
	for i := 2; i >= 0; i-- {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			return t, errors.Errorf("task id %q has too few parts", s)
		}
		n, err := strconv.Atoi(rest[dot+1:])
		if err != nil || n < 0 {
			return t, errors.Errorf("task id %q has a part that is no number", s)
		}
		numbers[i] = n
		rest = rest[:dot]
	}
	if rest == "" {
		return t, errors.Errorf("task id %q names no job", s)
	}
	return TaskID{Job: rest, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
