package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"leverstile.dev/api/result"
)

// lossesCommand reports where jobs lost time, from the logs of all entries.
type lossesCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"log files of the entries; standard input without one"`
	} `positional-args:"true"`
}

// slowestShare is the share of a queue's succeeded jobs, at least one job, whose
// reasons for lost time are printed.
const slowestShare = 0.1

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	l := newLosses()
	if err := readLogs(c.Args.Files, l.recordLine); err != nil {
		return err
	}
	return l.print(os.Stdout)
}

// losses collects what the logs report of all jobs.
type losses struct {
	jobs map[string]*lossJob
	// takeovers are the times when entries became owner of the cell, outages
	// the times in which an entry could not reach the store.
	takeovers   []time.Time
	outages     []outage
	storeLostAt map[string]time.Time // by entry: start of its current outage
}

type outage struct{ from, to time.Time }

// lossJob is what the logs report of a job.
type lossJob struct {
	queue, end  string // end is the last part of the job's final event
	submittedAt time.Time
	endedAt     time.Time
	notAccepted string // why the job was not accepted, "" if it was
	reasons     map[string]int
}

func newLosses() *losses {
	return &losses{jobs: map[string]*lossJob{}, storeLostAt: map[string]time.Time{}}
}

func (l *losses) job(id string) *lossJob {
	j := l.jobs[id]
	if j == nil {
		j = &lossJob{reasons: map[string]int{}}
		l.jobs[id] = j
	}
	return j
}

// recordLine adds a log line.
func (l *losses) recordLine(line *logLine) {
	switch line.Event {
	case "owner_begin":
		l.takeovers = append(l.takeovers, line.Time)
	case "store_lost":
		l.storeLostAt[line.Entry] = line.Time
	case "store_regained":
		if from, ok := l.storeLostAt[line.Entry]; ok {
			l.outages = append(l.outages, outage{from, line.Time})
			delete(l.storeLostAt, line.Entry)
		}
	}
	if line.Job == "" {
		return
	}
	switch j := l.job(line.Job); line.Event {
	case "job_submitted":
		j.recordSubmission(line)
	case "job_succeeded", "job_failed", "job_cancelled":
		if j.end == "" {
			j.end, j.endedAt = line.Event[len("job_"):], line.Time
		}
	default:
		if reason := line.lossReason(); reason != "" {
			j.reasons[reason]++
		}
	}
}

func (j *lossJob) recordSubmission(line *logLine) {
	j.queue = line.Queue
	if j.submittedAt.IsZero() || line.Time.Before(j.submittedAt) {
		j.submittedAt = line.Time
	}
	switch {
	case line.Recorded == "yes":
		j.notAccepted = ""
	case j.endedAt.IsZero() && j.end == "":
		j.notAccepted = line.Recorded
	}
}

// lossReason returns the reason for lost time that a line reports, or "".
func (l *logLine) lossReason() string {
	switch l.Event {
	case "step_waits":
		return "waited: " + l.Reason
	case "run_stop":
		return "stopped: " + l.Reason
	case "run_lost":
		return "run lost: " + l.Reason
	case "task_suspected":
		return "suspected to crash its workers, started apart"
	case "run_missing":
		return "run missing: " + l.Reason
	case "start_refused":
		return "start refused: " + l.Reason
	case "run_failed":
		return "run failed"
	case "run_lapsed":
		return "lease lapsed"
	case "start_unanswered":
		return "start unanswered"
	case "fill_slowed":
		return "slowed"
	default:
		return ""
	}
}

// duration is the time from submission to the end.
func (j *lossJob) duration() time.Duration { return j.endedAt.Sub(j.submittedAt) }

// addSystemEvents adds the takeovers and store outages during the job as reasons.
func (l *losses) addSystemEvents(j *lossJob) {
	for _, at := range l.takeovers {
		if at.After(j.submittedAt) && at.Before(j.endedAt) {
			j.reasons["a takeover"]++
		}
	}
	for _, o := range l.outages {
		if o.from.Before(j.endedAt) && o.to.After(j.submittedAt) {
			j.reasons["an entry without the store"]++
		}
	}
}

// print writes a table for each queue, ordered by queue name.
func (l *losses) print(out io.Writer) error {
	queues := map[string][]*lossJob{}
	for _, j := range l.jobs {
		if !j.submittedAt.IsZero() {
			queues[j.queue] = append(queues[j.queue], j)
		}
	}
	if len(queues) == 0 {
		return result.New(result.UnknownTask, "the logs contain no submitted job")
	}
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		if err := l.printQueue(out, name, queues[name]); err != nil {
			return err
		}
	}
	return nil
}

func (l *losses) printQueue(out io.Writer, name string, jobs []*lossJob) error {
	count := map[string]int{}
	var done []*lossJob
	for _, j := range jobs {
		switch {
		case j.end != "":
			count[j.end]++
		case j.notAccepted != "":
			count["not accepted"]++
		default:
			count["not ended"]++
		}
		if j.end == "succeeded" {
			done = append(done, j)
		}
	}
	if _, err := fmt.Fprintf(out, "queue %s: %d jobs; succeeded %d, failed %d, cancelled %d, not ended %d, not accepted %d\n",
		name, len(jobs), count["succeeded"], count["failed"], count["cancelled"], count["not ended"], count["not accepted"]); err != nil {
		return err
	}
	if len(done) == 0 {
		return nil
	}
	slices.SortFunc(done, func(a, b *lossJob) int { return cmp.Compare(b.duration(), a.duration()) })
	slowest := done[:max(int(slowestShare*float64(len(done))), 1)]
	if _, err := fmt.Fprintf(out, "  hand-in to end: half within %.2f s, 95 of 100 within %.2f s, longest %.2f s; the slowest %d, from %.2f s:\n",
		done[len(done)/2].duration().Seconds(), done[len(done)/20].duration().Seconds(), done[0].duration().Seconds(),
		len(slowest), slowest[len(slowest)-1].duration().Seconds()); err != nil {
		return err
	}
	return l.printReasons(out, slowest)
}

// printReasons prints how many of the jobs have each reason, the most frequent first.
func (l *losses) printReasons(out io.Writer, jobs []*lossJob) error {
	met, times := map[string]int{}, map[string]int{}
	for _, j := range jobs {
		l.addSystemEvents(j)
		for reason, n := range j.reasons {
			met[reason]++
			times[reason] += n
		}
	}
	reasons := slices.Sorted(maps.Keys(met))
	slices.SortStableFunc(reasons, func(a, b string) int { return cmp.Compare(met[b], met[a]) })
	for _, reason := range reasons {
		if _, err := fmt.Fprintf(out, "  %4d of %d jobs, %d times: %s\n", met[reason], len(jobs), times[reason], reason); err != nil {
			return err
		}
	}
	return nil
}
