package main

import (
	"bytes"
	"strings"
	"testing"
)

const lossesLog = `{"time":"2026-01-01T10:00:00.000Z","entry":"e1","event":"job_submitted","job":"aa","queue":"q","recorded":"yes"}
{"time":"2026-01-01T10:00:00.500Z","entry":"e2","event":"job_submitted","job":"aa","queue":"q","recorded":"yes"}
{"time":"2026-01-01T10:00:01.000Z","entry":"e2","event":"step_waits","job":"aa","reason":"no worker has the memory"}
{"time":"2026-01-01T10:00:02.000Z","entry":"e2","event":"step_waits","job":"aa","reason":"no worker has the memory"}
{"time":"2026-01-01T10:00:02.500Z","entry":"e3","event":"owner_begin","term":2}
{"time":"2026-01-01T10:00:03.000Z","entry":"e3","event":"job_succeeded","job":"aa"}
{"time":"2026-01-01T10:00:01.000Z","entry":"e1","event":"job_submitted","job":"bb","queue":"q","recorded":"yes"}
{"time":"2026-01-01T10:00:01.200Z","entry":"e2","event":"run_failed","job":"bb"}
{"time":"2026-01-01T10:00:02.000Z","entry":"e2","event":"job_succeeded","job":"bb"}
{"time":"2026-01-01T10:00:04.000Z","entry":"e1","event":"store_lost"}
{"time":"2026-01-01T10:00:05.000Z","entry":"e1","event":"job_submitted","job":"cc","queue":"q","recorded":"no"}
{"time":"2026-01-01T10:00:05.000Z","entry":"e2","event":"job_submitted","job":"dd","queue":"r","recorded":"unknown"}
{"time":"2026-01-01T10:00:06.000Z","entry":"e2","event":"job_submitted","job":"dd","queue":"r","recorded":"yes"}
{"time":"2026-01-01T10:00:06.500Z","entry":"e1","event":"store_regained"}
{"time":"2026-01-01T10:00:07.000Z","entry":"e2","event":"job_succeeded","job":"dd"}
`

// TestLossesReportsReasonsOfSlowestJobs guards against reasons that are missing for slow jobs
// or printed for jobs outside the slowest share.
func TestLossesReportsReasonsOfSlowestJobs(t *testing.T) {
	l := newLosses()
	if err := readLog(strings.NewReader(lossesLog), l.recordLine); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := l.print(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"queue q: 3 jobs; succeeded 2, failed 0, cancelled 0, not ended 0, not accepted 1",
		"longest 3.00 s; the slowest 1, from 3.00 s",
		"1 of 1 jobs, 2 times: waited: no worker has the memory",
		"1 of 1 jobs, 1 times: a takeover",
		"queue r: 1 jobs; succeeded 1",
		"1 of 1 jobs, 1 times: an entry without the store",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "run failed") {
		t.Error("the reasons of a job that was not slow are printed")
	}
	if newLosses().print(&out) == nil {
		t.Error("logs without a job must yield an error")
	}
}
