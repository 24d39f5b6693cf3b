package soak

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"leverstile.dev/platform/wiretest"
)

// maxFullReports bounds the number of violations of a seed that are reported in full.
const maxFullReports = 6

// check compares what workers did with what customers were answered.
func (w *world) check() {
	runs := w.runs()
	tasks := map[string][]wiretest.RunRecord{}
	for _, r := range runs {
		tasks[r.Task] = append(tasks[r.Task], r)
		if r.Payload != payloadOf(jobOf(r.Task)) {
			w.violation(r.Task, fmt.Sprintf("started with another payload %q", r.Payload))
		}
		if r.OverCapacity {
			w.violation(r.Task, "started beyond the worker's capacity: "+r.String())
		}
	}
	for task, list := range tasks {
		w.checkSingleRun(task, list)
		w.checkOrder(task, list, tasks)
		w.checkCrashes(task, list)
	}
	w.checkCheckpoints(runs)
	w.checkResumed(tasks)
	w.mu.Lock()
	defer w.mu.Unlock()
	reported := map[string]bool{}
	for _, r := range runs {
		if id := jobOf(r.Task); w.refused[id] && !reported[id] {
			reported[id] = true
			w.violation(r.Task, "its job was refused, but the task was started")
		}
	}
	w.t.Logf("%d jobs accepted, %d refused, %d runs of %d tasks, %d violations",
		len(w.accepted), len(w.refused), len(runs), len(tasks), w.violations)
}

// runs returns the runs at all workers in the order of their starts.
func (w *world) runs() []wiretest.RunRecord {
	var all []wiretest.RunRecord
	for _, worker := range w.workers {
		all = append(all, worker.Records()...)
	}
	slices.SortFunc(all, func(a, b wiretest.RunRecord) int { return a.Start.Compare(b.Start) })
	return all
}

// checkSingleRun finds overlapping runs of a task, and starts after an acknowledged end. An
// end may be forgotten if the worker's lease expired before it was acknowledged.
func (w *world) checkSingleRun(task string, list []wiretest.RunRecord) {
	for i, a := range list {
		for _, b := range list[i+1:] {
			switch {
			case a.End.IsZero() || a.End.After(b.Start):
				w.violation(task, fmt.Sprintf("two overlapping runs:\n  %s\n  %s", a, b))
			case a.How == "done" && !a.Acknowledged.IsZero() && !a.LeaseExpired:
				w.violation(task, fmt.Sprintf("started after an acknowledged end:\n  %s\n  %s", a, b))
			}
		}
	}
}

// The users allow two starts of a task after three workers have crashed under it, by entries
// that have been without a fault for faultFreeFor.
const (
	crashesAllowed = 3
	startsAllowed  = 2
	faultFreeFor   = 3 * time.Second
)

// checkCrashes finds tasks that were started too often after they had crashed their workers. It
// counts only starts later than faultFreeFor after the end of all faults.
func (w *world) checkCrashes(task string, list []wiretest.RunRecord) {
	crashes, after := 0, 0
	for _, r := range list {
		if crashes >= crashesAllowed && r.Start.After(w.faultsEnded.Add(faultFreeFor)) {
			after++
		}
		if w.crashes(task) && r.How == "crashed" {
			crashes++
		}
	}
	if after > startsAllowed {
		w.violation(task, fmt.Sprintf("started %d times after %d workers had crashed under it", after, crashesAllowed))
	}
	if w.crashes(task) {
		w.t.Logf("task %s was started %d times and crashed %d workers", task, len(list), crashes)
	}
}

// checkOrder finds starts of the second step before the first step was done.
func (w *world) checkOrder(task string, list []wiretest.RunRecord, tasks map[string][]wiretest.RunRecord) {
	if !isSecondStep(task) {
		return
	}
	for i := range firstTasks {
		first := fmt.Sprintf("%s.0.0.%d", jobOf(task), i)
		done := slices.ContainsFunc(tasks[first], func(r wiretest.RunRecord) bool {
			return r.How == "done" && !r.End.After(list[0].Start)
		})
		if !done {
			w.violation(task, "started before "+first+" was done")
		}
	}
}

// violation reports a broken guarantee with all that is known of the task.
func (w *world) violation(task, text string) {
	w.violations++
	w.t.Errorf("task %s: %s", task, text)
	if w.violations <= maxFullReports {
		w.t.Log(w.taskReport(task))
	}
}

// taskReport returns the runs of a task, the calls about it that reached workers, and what
// the entries logged of it and of their ownership in that time.
func (w *world) taskReport(task string) string {
	var b strings.Builder
	var calls []wiretest.CallRecord
	from, to := time.Now(), time.Time{}
	for _, r := range w.runs() {
		if r.Task == task {
			_, _ = fmt.Fprintln(&b, r)
		}
	}
	for _, worker := range w.workers {
		for _, c := range worker.Calls() {
			if c.Task == task {
				calls = append(calls, c)
				from, to = minTime(from, c.Received), maxTime(to, c.Done)
			}
		}
	}
	slices.SortFunc(calls, func(a, b wiretest.CallRecord) int { return a.Done.Compare(b.Done) })
	for _, c := range calls {
		_, _ = fmt.Fprintln(&b, c)
	}
	for _, line := range w.logLines(task, from.Add(-time.Second), to.Add(time.Second)) {
		_, _ = fmt.Fprintln(&b, line)
	}
	return b.String()
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Prefix and format of the time in a log line.
const (
	timePrefix = `{"time":"`
	timeFormat = "2006-01-02T15:04:05.000Z"
)

// logLines returns the lines that name a task, those that show which entry owned which term,
// and those of owners and faults between two times.
func (w *world) logLines(task string, from, to time.Time) []string {
	text, err := os.ReadFile(w.log.Name())
	if err != nil {
		return []string{err.Error()}
	}
	type line struct{ at, text string }
	var found []line
	for l := range strings.Lines(string(text)) {
		if !strings.HasPrefix(l, timePrefix) || len(l) < len(timePrefix)+len(timeFormat) {
			continue
		}
		at := l[len(timePrefix) : len(timePrefix)+len(timeFormat)]
		near := at >= from.UTC().Format(timeFormat) && at <= to.UTC().Format(timeFormat)
		if strings.Contains(l, `"`+task+`"`) || strings.Contains(l, `"owner_begin"`) || near && isContext(l) {
			found = append(found, line{at, strings.TrimSpace(l)})
		}
	}
	slices.SortStableFunc(found, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	out := make([]string, 0, len(found))
	for _, l := range found {
		out = append(out, l.text)
	}
	return out
}

func isContext(line string) bool {
	return slices.ContainsFunc([]string{
		"soak_fault", `"owner_`, `"lease_`, `"deposed"`, `"recovery_`, `"worker_forgotten"`, `"worker_unreached"`, `"worker_reached"`,
	}, func(s string) bool { return strings.Contains(line, s) })
}
