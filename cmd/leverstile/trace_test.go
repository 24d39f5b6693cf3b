package main

import (
	"bytes"
	"strings"
	"testing"
)

const traceLog = `{"time":"2026-01-01T10:00:00.000Z","entry":"e1","event":"store_lost"}
not a log line
12.0 e1 {"time":"2026-01-01T10:00:01.000Z","entry":"e1","event":"job_submitted","job":"aa","recorded":"yes"}
{"time":"2026-01-01T10:00:01.500Z","entry":"e2","event":"owner_begin","term":2}
{"time":"2026-01-01T10:00:02.000Z","entry":"e2","event":"run_started","job":"aa","task":"aa.0.0.0","worker":"w1"}
{"time":"2026-01-01T10:00:02.000Z","entry":"e2","event":"run_started","job":"bb","task":"bb.0.0.0","worker":"w1"}
{"time":"2026-01-01T10:00:04.000Z","entry":"e2","event":"run_done","job":"aa","task":"aa.0.0.0","worker":"w1"}
`

// TestTraceFollowsOneJob guards against lines of other jobs in the trace, and events of the
// system from before the job's first line.
func TestTraceFollowsOneJob(t *testing.T) {
	var out bytes.Buffer
	tr := tracer{job: "aa", out: &out}
	if err := readLog(strings.NewReader(traceLog), tr.processLine); err != nil {
		t.Fatal(err)
	}
	if err := tr.summary(); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"recorded=yes", "~ 10:00:01.500", "3.000 s from its first line", "started 1, done 1, failed 0"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
	for _, other := range []string{"bb", "store_lost"} {
		if strings.Contains(text, other) {
			t.Errorf("%q must not be in:\n%s", other, text)
		}
	}
	if err := (&tracer{job: "cc", out: &out}).summary(); err == nil {
		t.Error("a job without log lines must yield an error")
	}
}

const crashLog = `{"time":"2026-01-01T10:00:01.000Z","entry":"e1","event":"job_submitted","job":"aa","recorded":"yes"}
{"time":"2026-01-01T10:00:02.000Z","entry":"e2","event":"run_started","job":"aa","task":"aa.0.0.0","worker":"w1"}
{"time":"2026-01-01T10:00:05.000Z","entry":"e2","event":"worker_ended","worker":"w2","reason":"drained"}
{"time":"2026-01-01T10:00:05.000Z","entry":"e2","event":"worker_ended","worker":"w1","reason":"crashed"}
{"time":"2026-01-01T10:00:05.000Z","entry":"e2","event":"run_in_crash","job":"aa","task":"aa.0.0.0","worker":"w1"}
{"time":"2026-01-01T10:00:05.000Z","entry":"e2","event":"run_lost","job":"aa","task":"aa.0.0.0","worker":"w1"}
{"time":"2026-01-01T10:00:05.000Z","entry":"e2","event":"task_suspected","job":"aa","task":"aa.0.0.0","worker":"w1","reason":"its worker crashed at its start, 3 times in a row"}
{"time":"2026-01-01T10:00:05.000Z","entry":"e2","event":"job_failed","job":"aa","reason":"task aa.0.0.0: 3 workers in a row crashed when it was started"}
`

// TestTraceShowsWorkerCrashes checks that the end of a worker is printed if the
// job ran on it, and not otherwise.
func TestTraceShowsWorkerCrashes(t *testing.T) {
	var out bytes.Buffer
	tr := tracer{job: "aa", out: &out}
	if err := readLog(strings.NewReader(crashLog), tr.processLine); err != nil {
		t.Fatal(err)
	}
	if err := tr.summary(); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"worker=w1 reason=crashed", "3 workers in a row crashed", "lost 1 (1 shortly after their start"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
	if strings.Contains(text, "w2") {
		t.Errorf("the end of a worker of another job is in:\n%s", text)
	}
}
