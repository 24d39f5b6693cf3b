package job

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// State is the state of a job that is reported to callers.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == Succeeded || s == Failed || s == Cancelled }

// Status is the state of a job that is reported to callers, with its reason.
type Status struct {
	State State
	// Reason is why the job failed.
	Reason string
}

// Progress is the durable part of a job's progress: what a new owner can't
// learn from the workers, because they drop a run once its end is acknowledged.
type Progress struct {
	State State `json:"state"`
	// Done holds a bitmap of finished tasks under StepKey, for each occurrence
	// and step that has any.
	Done map[string][]byte `json:"done,omitempty"`
	// Failures holds the numbers of the failed runs of tasks, under
	// OCCURRENCE.STEP.INDEX. Workers list an end until it is acknowledged,
	// and after a takeover in any order, so a counter would count some twice.
	Failures map[string][]uint64 `json:"failures,omitempty"`
	// Crashes holds the consecutive runs of a task at whose start the worker crashed,
	// under the same keys. A crashed worker can't report them.
	Crashes map[string][]Crash `json:"crashes,omitempty"`
	// Starts holds the starts of tasks that may crash their workers, under the same keys,
	// until their outcome is known.
	Starts map[string][]Start `json:"starts,omitempty"`
	// Reason is why the job failed, as the customer is shown it.
	Reason string `json:"reason,omitempty"`
	// EndedMS is when the state became final, milliseconds since 1970.
	EndedMS int64 `json:"ended_ms,omitempty"`
}

// Start is a run that a worker was ordered to start.
type Start struct {
	Run    uint64 `json:"run"`
	Worker string `json:"worker"`
}

// Crash is a run at whose start its worker crashed.
type Crash struct {
	Run uint64 `json:"run"`
	// Isolated is set if no other worker crashed around the same time.
	Isolated bool `json:"alone,omitempty"`
	// Inconclusive is set if another run more likely crashed the worker. It is also
	// set for a start that may have been ordered when its owner and a worker were
	// lost: then Run is a number that no start has.
	Inconclusive bool `json:"unsure,omitempty"`
	// Members holds the members of a gang's run that were at the worker, by their index; none
	// if that is unknown, as in records of earlier versions.
	Members []int `json:"members,omitempty"`
}

// implicates reports whether a member of a gang was at the worker that crashed, or may have been.
func (c *Crash) implicates(member int) bool {
	return len(c.Members) == 0 || slices.Contains(c.Members, member)
}

// StepKey is the key of a step in Progress.Done.
func StepKey(occurrence, step int) string { return fmt.Sprintf("%d.%d", occurrence, step) }

// ProgressKey is the key of a task in Progress.Failures, Crashes and Starts.
func (t TaskID) ProgressKey() string { return fmt.Sprintf("%d.%d.%d", t.Occurrence, t.Step, t.Index) }

// MarkDone sets the bit of a finished task and reports whether it was clear before.
func (p *Progress) MarkDone(t TaskID, count int) bool {
	if p.Done == nil {
		p.Done = map[string][]byte{}
	}
	key := StepKey(t.Occurrence, t.Step)
	done := p.Done[key]
	if done == nil {
		done = make([]byte, (count+7)/8)
		p.Done[key] = done
	}
	mask := byte(1) << (t.Index % 8)
	if done[t.Index/8]&mask != 0 {
		return false
	}
	done[t.Index/8] |= mask
	return true
}

// IsDone reports whether a task's bit is set.
func (p *Progress) IsDone(t TaskID) bool {
	done := p.Done[StepKey(t.Occurrence, t.Step)]
	return t.Index/8 < len(done) && done[t.Index/8]&(1<<(t.Index%8)) != 0
}

// StepDone reports whether all tasks of a step of count tasks are done.
func (p *Progress) StepDone(occurrence, step, count int) bool {
	n := 0
	for _, b := range p.Done[StepKey(occurrence, step)] {
		n += bits.OnesCount8(b)
	}
	return n >= count
}

// RecordFailure records a failed run once and reports whether it was new.
func (p *Progress) RecordFailure(t TaskID, run uint64) bool {
	if p.Failures == nil {
		p.Failures = map[string][]uint64{}
	}
	key := t.ProgressKey()
	if slices.Contains(p.Failures[key], run) {
		return false
	}
	p.Failures[key] = append(p.Failures[key], run)
	return true
}

// ClearFailures removes the failures of a task, which no longer matter once it is done.
func (p *Progress) ClearFailures(t TaskID) {
	if len(p.Failures) > 0 {
		delete(p.Failures, t.ProgressKey())
	}
}

// FailureCount returns how many runs of a task have failed.
func (p *Progress) FailureCount(t TaskID) int { return len(p.Failures[t.ProgressKey()]) }

// RecordCrash records once that a worker crashed at the start of a run, and reports
// whether the record is new. A further crash at the same run of a gang adds its members.
func (p *Progress) RecordCrash(t TaskID, crash Crash) bool {
	if p.Crashes == nil {
		p.Crashes = map[string][]Crash{}
	}
	key := t.ProgressKey()
	if i := slices.IndexFunc(p.Crashes[key], func(c Crash) bool { return c.Run == crash.Run }); i >= 0 {
		return p.Crashes[key][i].addMembers(crash.Members)
	}
	p.Crashes[key] = append(p.Crashes[key], crash)
	return true
}

// addMembers adds the members that it lacks, and reports whether there are any. It stays a crash
// of unknown members if it is one.
func (c *Crash) addMembers(members []int) bool {
	if len(c.Members) == 0 {
		return false
	}
	before := len(c.Members)
	for _, m := range members {
		if !slices.Contains(c.Members, m) {
			c.Members = append(c.Members, m)
		}
	}
	return len(c.Members) > before
}

// MarkCrashIsolated records that no other worker crashed around the time of a run's crash,
// and reports whether the crash is still counted.
func (p *Progress) MarkCrashIsolated(t TaskID, run uint64) bool {
	list := p.Crashes[t.ProgressKey()]
	i := slices.IndexFunc(list, func(c Crash) bool { return c.Run == run })
	if i >= 0 {
		list[i].Isolated = true
	}
	return i >= 0
}

// maxStarts bounds the starts that are kept of a task; a gang has one for each member.
const maxStarts = 64

// AddStart records a start, and drops the oldest beyond maxStarts.
func (p *Progress) AddStart(t TaskID, start Start) {
	if p.Starts == nil {
		p.Starts = map[string][]Start{}
	}
	key := t.ProgressKey()
	list := append(p.Starts[key], start)
	p.Starts[key] = list[max(0, len(list)-maxStarts):]
}

// DropStarts removes the starts of a task up to a run, and reports whether there were any.
func (p *Progress) DropStarts(t TaskID, run uint64) bool {
	key := t.ProgressKey()
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

// CrashCount counts the consecutive starts of a task at which its worker crashed.
type CrashCount struct {
	// All counts the inconclusive crashes too.
	All, Conclusive, Isolated int
}

// CrashCount returns how often in a row the worker of a task crashed at its start. For a gang,
// whose members start together, it is that of the member at whose workers most crashes were: a
// wide gang meets most crashes, but a crash says nothing about its members elsewhere.
func (p *Progress) CrashCount(t TaskID) CrashCount {
	list := p.Crashes[t.ProgressKey()]
	most := countCrashes(list, -1)
	for _, c := range list {
		for _, member := range c.Members {
			if n := countCrashes(list, member); n.compare(most) > 0 {
				most = n
			}
		}
	}
	return most
}

// countCrashes counts the crashes that implicate a member; -1 stands for none of the known ones.
func countCrashes(list []Crash, member int) (n CrashCount) {
	for i := range list {
		c := &list[i]
		if !c.implicates(member) {
			continue
		}
		n.All++
		if !c.Inconclusive {
			n.Conclusive++
		}
		if c.Isolated {
			n.Isolated++
		}
	}
	return n
}

func (n CrashCount) compare(o CrashCount) int {
	return cmp.Or(cmp.Compare(n.Conclusive, o.Conclusive), cmp.Compare(n.Isolated, o.Isolated), cmp.Compare(n.All, o.All))
}

// NewestCrash returns the highest run number among the task's crashes, 0 without any.
func (p *Progress) NewestCrash(t TaskID) uint64 {
	newest := uint64(0)
	for _, c := range p.Crashes[t.ProgressKey()] {
		newest = max(newest, c.Run)
	}
	return newest
}

// ClearCrashes removes the crashes of a task.
func (p *Progress) ClearCrashes(t TaskID) { delete(p.Crashes, t.ProgressKey()) }

// Check returns an error unless the progress can be that of a job: each bitmap belongs to one
// of its steps and has that step's length, and each failure, start and crash belongs to
// one of its tasks. A damaged record would make tasks run again, or set a bit outside
// its bitmap.
func (p *Progress) Check(spec *Spec) error {
	switch p.State {
	case Queued, Running, Succeeded, Failed, Cancelled:
	default:
		return errors.Errorf("state %q", p.State)
	}
	for key, done := range p.Done {
		at, err := parseNumbers(key, 2)
		if err != nil {
			return err
		}
		count, ok := spec.taskCount(at[0], at[1])
		if !ok || len(done) != (count+7)/8 {
			return errors.Errorf("bitmap %s of %d bytes", key, len(done))
		}
	}
	if err := checkTaskKeys(p.Failures, spec); err != nil {
		return errors.Annotate(err, "failures")
	}
	if err := checkTaskKeys(p.Starts, spec); err != nil {
		return errors.Annotate(err, "starts")
	}
	return errors.Annotate(checkTaskKeys(p.Crashes, spec), "crashes")
}

// checkTaskKeys returns an error unless each key is that of a task of the job.
func checkTaskKeys[R any](runs map[string][]R, spec *Spec) error {
	for key := range runs {
		at, err := parseNumbers(key, 3)
		if err != nil {
			return err
		}
		if count, ok := spec.taskCount(at[0], at[1]); !ok || at[2] >= count {
			return errors.Errorf("no task %s", key)
		}
	}
	return nil
}

// taskCount returns how many tasks a step of an occurrence has; ok is false if the job
// has no such step.
func (s *Spec) taskCount(occurrence, step int) (count int, ok bool) {
	if occurrence >= s.OccurrenceCount() || step >= len(s.Steps) {
		return 0, false
	}
	return s.Steps[step].Count, true
}

// parseNumbers parses count non-negative numbers that are separated by dots.
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
