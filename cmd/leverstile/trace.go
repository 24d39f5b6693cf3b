package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"leverstile.dev/api/result"
)

// traceCommand prints the log lines of a job from the logs of all entries.
type traceCommand struct {
	Job  string `long:"job" required:"true" value-name:"ID" description:"id of the job"`
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"log files of the entries; standard input without one"`
	} `positional-args:"true"`
}

// logLine holds the fields of a log line that trace and losses use.
type logLine struct {
	Time     time.Time `json:"time"`
	Entry    string    `json:"entry"`
	Event    string    `json:"event"`
	Job      string    `json:"job"`
	Queue    string    `json:"queue"`
	Task     string    `json:"task"`
	Run      uint64    `json:"run"`
	Worker   string    `json:"worker"`
	Reason   string    `json:"reason"`
	Key      string    `json:"key"`
	Recorded string    `json:"recorded"`
	Error    string    `json:"error"`
	Status   int       `json:"status"`
}

// contextEvents are events that explain a job's outcome without naming the job.
var contextEvents = map[string]bool{
	"store_lost": true, "store_regained": true, "owner_begin": true, "owner_end": true, "owner_loaded": true,
	"recovery_begun": true, "recovery_done": true, "owner_suspended": true, "owner_resumed": true, "lease_lost": true,
	"deposed": true, "config_in_force": true, "signal": true, "start": true, "stop": true,
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	t := tracer{job: c.Job, out: os.Stdout}
	if err := readLogs(c.Args.Files, t.processLine); err != nil {
		return err
	}
	return t.summary()
}

// readLogs passes the lines of the log files to handle. Without files it reads
// standard input.
func readLogs(files []string, handle func(*logLine)) error {
	if len(files) == 0 {
		return readLog(os.Stdin, handle)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return result.New(result.BadRequest, "%v", err)
		}
		err = readLog(f, handle)
		_ = f.Close() // an error of Close loses nothing: the file was only read
		if err != nil {
			return err
		}
	}
	return nil
}

// tracer prints the lines of a job and counts the events of its runs.
type tracer struct {
	job     string
	out     io.Writer
	first   time.Time
	last    time.Time
	events  map[string]int
	workers map[string]bool
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

func readLog(in io.Reader, handle func(*logLine)) error {
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		text := scan.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l) != nil {
			continue // not a log line of an entry
		}
		handle(&l)
	}
	return scan.Err()
}

func (t *tracer) processLine(l *logLine) {
	ofJob := l.Job == t.job || strings.HasSuffix(l.Key, "/"+t.job)
	if !ofJob && (t.first.IsZero() || !contextEvents[l.Event] && !t.isEndOfJobWorker(l)) {
		return
	}
	if ofJob {
		t.recordLine(l)
	}
	mark := "  "
	if !ofJob {
		mark = "~ "
	}
	_, _ = fmt.Fprintf(t.out, "%s%s %-18s %-16s %s\n", mark, l.Time.Format("15:04:05.000"), l.Entry, l.Event, l.detail())
}

// isEndOfJobWorker reports whether a line records the end of a worker that ran the job.
func (t *tracer) isEndOfJobWorker(l *logLine) bool {
	return l.Event == "worker_ended" && t.workers[l.Worker]
}

func (t *tracer) recordLine(l *logLine) {
	if t.first.IsZero() {
		t.first, t.events, t.workers = l.Time, map[string]int{}, map[string]bool{}
	}
	t.last = l.Time
	t.events[l.Event]++
	if l.Worker != "" {
		t.workers[l.Worker] = true
	}
}

func (l *logLine) detail() string {
	var parts []string
	for _, p := range []struct{ name, value string }{
		{"task", l.Task}, {"worker", l.Worker}, {"recorded", l.Recorded}, {"reason", l.Reason}, {"error", l.Error},
	} {
		if p.value != "" {
			parts = append(parts, p.name+"="+p.value)
		}
	}
	if l.Status != 0 {
		parts = append(parts, fmt.Sprintf("status=%d", l.Status))
	}
	return strings.Join(parts, " ")
}

// summary prints the duration of the job and the counts of its runs' events.
func (t *tracer) summary() error {
	if t.first.IsZero() {
		return result.New(result.UnknownTask, "the logs contain no line of job %s", t.job)
	}
	_, err := fmt.Fprintf(t.out, "job %s: %.3f s from its first line to its last; on %d workers; started %d, done %d, failed %d, stopped %d, lost %d (%d shortly after their start, as their worker crashed), slowed %d, waited %d times\n",
		t.job, t.last.Sub(t.first).Seconds(), len(t.workers), t.events["run_started"], t.events["run_done"], t.events["run_failed"],
		t.events["run_stopped"], t.events["run_lost"], t.events["run_in_crash"], t.events["fill_slowed"], t.events["step_waits"])
	return err
}
