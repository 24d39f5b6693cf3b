package job

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// State is what a caller is told of a job.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Succeeded || s == Failed || s == Cancelled }

// Status is what a caller is told of a job.
type Status struct {
	State State
	// Reason is why it failed.
	Reason string
}

// Progress is the durable part of a job's progress: what a new owner can't
// learn from the workers, because they were told to forget it.
type Progress struct {
	State State `json:"state"`
	// Done holds a bitmap of finished tasks for each occurrence and step
	// that has any, under StepKey.
	Done map[string][]byte `json:"done,omitempty"`
	// Failures holds the numbers of the failed runs of tasks, under
	// OCCURRENCE.STEP.INDEX. Workers list an end until it is acknowledged,
	// and after a takeover in any order, so a mere count would not do.
	Failures map[string][]uint64 `json:"failures,omitempty"`
	// Crashes holds the runs of a task in a row at whose start their worker crashed,
	// under the same keys: a crashed worker tells nobody of them.
	Crashes map[string][]Crash `json:"crashes,omitempty"`
	// Starts holds the starts of tasks that may crash their workers, under the same keys,
	// until it is known what became of them.
	Starts map[string][]Start `json:"starts,omitempty"`
	// Reason is why the job failed, for its customer.
	Reason string `json:"reason,omitempty"`
	// EndedMS is when the state became final, milliseconds since 1970.
	EndedMS int64 `json:"ended_ms,omitempty"`
}

// Start is a run that was ordered of a worker.
type Start struct {
	Run    uint64 `json:"run"`
	Worker string `json:"worker"`
}

// Crash is a run at whose start its worker crashed.
type Crash struct {
	Run uint64 `json:"run"`
	// Alone is set if no other worker crashed at that moment.
	Alone bool `json:"alone,omitempty"`
	// Unsure is set if another run is likelier to have crashed the worker, and of a
	// start that may have been when its owner was lost, and a worker: then Run is a
	// number that no start has.
	Unsure bool `json:"unsure,omitempty"`
}

// StepKey is the key of a step in Progress.Done.
func StepKey(occurrence, step int) string { return fmt.Sprintf("%d.%d", occurrence, step) }

// FailureKey is the key of a task in Progress.Failures.
func (t TaskID) FailureKey() string { return fmt.Sprintf("%d.%d.%d", t.Occurrence, t.Step, t.Index) }

// MarkDone sets the bit of a finished task and reports whether it was clear.
func (p *Progress) MarkDone(t TaskID, count int) bool {
	if p.Done == nil {
		p.Done = map[string][]byte{}
	}
	key := StepKey(t.Occurrence, t.Step)
	bits := p.Done[key]
	if bits == nil {
		bits = make([]byte, (count+7)/8)
		p.Done[key] = bits
	}
	mask := byte(1) << (t.Index % 8)
	if bits[t.Index/8]&mask != 0 {
		return false
	}
	bits[t.Index/8] |= mask
	return true
}

// IsDone reports whether a task's bit is set.
func (p *Progress) IsDone(t TaskID) bool {
	bits := p.Done[StepKey(t.Occurrence, t.Step)]
	return t.Index/8 < len(bits) && bits[t.Index/8]&(1<<(t.Index%8)) != 0
}

// CountFailure notes a failed run once and reports whether it was new.
func (p *Progress) CountFailure(t TaskID, run uint64) bool {
	if p.Failures == nil {
		p.Failures = map[string][]uint64{}
	}
	key := t.FailureKey()
	if slices.Contains(p.Failures[key], run) {
		return false
	}
	p.Failures[key] = append(p.Failures[key], run)
	return true
}

// FailureCount returns how many runs of a task have failed.
func (p *Progress) FailureCount(t TaskID) int { return len(p.Failures[t.FailureKey()]) }

// CountCrash notes once that a worker crashed at the start of a run, and reports
// whether that was new.
func (p *Progress) CountCrash(t TaskID, crash Crash) bool {
	if p.Crashes == nil {
		p.Crashes = map[string][]Crash{}
	}
	key := t.FailureKey()
	if slices.ContainsFunc(p.Crashes[key], func(c Crash) bool { return c.Run == crash.Run }) {
		return false
	}
	p.Crashes[key] = append(p.Crashes[key], crash)
	return true
}

// CrashAlone notes that no other worker crashed when that of a run did, and reports whether
// the crash still counts.
func (p *Progress) CrashAlone(t TaskID, run uint64) bool {
	list := p.Crashes[t.FailureKey()]
	i := slices.IndexFunc(list, func(c Crash) bool { return c.Run == run })
	if i >= 0 {
		list[i].Alone = true
	}
	return i >= 0
}

// mostStarts bounds the starts that are kept of a task; a gang has one for each member.
const mostStarts = 64

// AddStart notes a start.
func (p *Progress) AddStart(t TaskID, start Start) {
	if p.Starts == nil {
		p.Starts = map[string][]Start{}
	}
	key := t.FailureKey()
	list := append(p.Starts[key], start)
	p.Starts[key] = list[max(0, len(list)-mostStarts):]
}

// DropStarts forgets the starts of a task up to a run, and reports whether there were any.
func (p *Progress) DropStarts(t TaskID, run uint64) bool {
	key := t.FailureKey()
	list := p.Starts[key]
	rest := slices.DeleteFunc(slices.Clone(list), func(s Start) bool { return s.Run <= run })
	switch {
	case len(rest) == len(list):
		return false
	case len(rest) == 0:
		delete(p.Starts, key)
	default:
		p.Starts[key] = rest
	}
	return true
}

// CrashCount is how often the worker of a task crashed at its start, in a row.
type CrashCount struct {
	// All counts also the unsure ones.
	All, Sure, Alone int
}

// CrashCount returns how often the worker of a task crashed at its start, in a row.
func (p *Progress) CrashCount(t TaskID) CrashCount {
	list := p.Crashes[t.FailureKey()]
	n := CrashCount{All: len(list)}
	for _, c := range list {
		if !c.Unsure {
			n.Sure++
		}
		if c.Alone {
			n.Alone++
		}
	}
	return n
}

// NewestCrash returns the highest of those runs, 0 without any.
func (p *Progress) NewestCrash(t TaskID) uint64 {
	newest := uint64(0)
	for _, c := range p.Crashes[t.FailureKey()] {
		newest = max(newest, c.Run)
	}
	return newest
}

// ClearCrashes forgets the crashes of a task.
func (p *Progress) ClearCrashes(t TaskID) { delete(p.Crashes, t.FailureKey()) }

// Check reports whether the progress can be that of a job: each bitmap is of one of
// its steps and as long as that, and each failure of one of its tasks. A damaged
// record would make tasks run again, or a bit be set outside of its bitmap. So it is
// with crashes.
func (p *Progress) Check(spec *Spec) error {
	switch p.State {
	case Queued, Running, Succeeded, Failed, Cancelled:
	default:
		return errors.Errorf("state %q", p.State)
	}
	for key, bits := range p.Done {
		at, err := parseNumbers(key, 2)
		if err != nil {
			return err
		}
		count, ok := spec.tasksOf(at[0], at[1])
		if !ok || len(bits) != (count+7)/8 {
			return errors.Errorf("bitmap %s of %d bytes", key, len(bits))
		}
	}
	if err := checkTasks(p.Failures, spec); err != nil {
		return errors.Annotate(err, "failures")
	}
	if err := checkTasks(p.Starts, spec); err != nil {
		return errors.Annotate(err, "starts")
	}
	return errors.Annotate(checkTasks(p.Crashes, spec), "crashes")
}

// checkTasks reports whether each key is that of a task of the job.
func checkTasks[R any](runs map[string][]R, spec *Spec) error {
	for key := range runs {
		at, err := parseNumbers(key, 3)
		if err != nil {
			return err
		}
		if count, ok := spec.tasksOf(at[0], at[1]); !ok || at[2] >= count {
			return errors.Errorf("no task %s", key)
		}
	}
	return nil
}

// tasksOf returns how many tasks a step of an occurrence has; ok is false if there
// is none.
func (s *Spec) tasksOf(occurrence, step int) (count int, ok bool) {
	if occurrence >= s.Times() || step >= len(s.Steps) {
		return 0, false
	}
	return s.Steps[step].Count, true
}

// parseNumbers reads so many numbers from 0 with points between them.
func parseNumbers(key string, count int) ([]int, error) {
	parts := strings.Split(key, ".")
	if len(parts) != count {
		return nil, errors.Errorf("key %q", key)
	}
	numbers := make([]int, count)
	for i, part := range parts {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return nil, errors.Errorf("key %q", key)
		}
		numbers[i] = n
	}
	return numbers, nil
}
