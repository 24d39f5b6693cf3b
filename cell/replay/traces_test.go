package replay

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"leverstile.dev/trace"
)

// Want contains the bounds for the outcome of a trace, stored beside it in testdata.
type Want struct {
	SlowP99Max    float64 `json:"slow_p99_max,omitempty"`
	CoreHoursMin  float64 `json:"core_hours_min,omitempty"`
	DoneMin       int     `json:"done_min,omitempty"`
	FailedMax     int     `json:"failed_max"`
	OpenMax       int     `json:"open_max,omitempty"`
	EvictionsMax  int     `json:"evictions_max"`
	UrgentP99MaxS float64 `json:"urgent_p99_max_s,omitempty"`
	ShareErrorMax float64 `json:"share_error_max,omitempty"`
	LastDoneMaxS  float64 `json:"last_done_max_s,omitempty"`
	// SlowBelow: the chosen policy's slow-down p99 is below that of these policies.
	SlowBelow []string `json:"slow_below,omitempty"`
	// ThroughputAtLeast are lower bounds of its finished work relative to other policies'.
	ThroughputAtLeast map[string]float64 `json:"throughput_at_least,omitempty"`
	Why               string             `json:"why"`
}

// TestTraces replays each trace with each policy and checks the bounds beside it.
// With -v it prints the table of docs/MEASUREMENTS.md.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".jsonl")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replayOne(t, file, name)
		})
	}
}

func replayOne(t *testing.T, file, name string) {
	trace, want := load(t, file)
	rows := []string{
		"| policy | slow-down p50 | p95 | p99 | core hours | done | failed | cancelled | open | evictions | urgent start p99 | share error | last done |",
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|",
	}
	outcomes := map[string]Outcome{}
	for _, p := range Policies {
		if testing.Short() && p.Name != "chosen" {
			continue
		}
		o, err := Play(trace, p)
		if err != nil {
			t.Fatal(err)
		}
		outcomes[p.Name] = o
		rows = append(rows, row(o))
	}
	t.Logf("%s\n%s", name, strings.Join(rows, "\n"))
	check(t, want, outcomes)
}

func row(o Outcome) string {
	return fmt.Sprintf("| %s | %.2f | %.2f | %.2f | %.1f | %d | %d | %d | %d | %d | %.1f s | %.3f | %.0f s |",
		o.Policy, o.SlowP50, o.SlowP95, o.SlowP99, o.CoreHours, o.Done, o.Failed, o.Cancelled, o.Open, o.Evictions,
		o.UrgentP99.Seconds(), o.ShareError, o.LastDone.Seconds())
}

func check(t *testing.T, w Want, outcomes map[string]Outcome) {
	o := outcomes["chosen"]
	atMost := func(what string, got, limit float64) {
		if limit > 0 && got > limit {
			t.Errorf("%s is %.3f, want at most %.3f", what, got, limit)
		}
	}
	atMost("slow-down p99", o.SlowP99, w.SlowP99Max)
	atMost("urgent start p99 in s", o.UrgentP99.Seconds(), w.UrgentP99MaxS)
	atMost("share error", o.ShareError, w.ShareErrorMax)
	atMost("last done in s", o.LastDone.Seconds(), w.LastDoneMaxS)
	if o.CoreHours < w.CoreHoursMin || o.Done < w.DoneMin {
		t.Errorf("%.1f core hours and %d tasks done, want at least %.1f and %d", o.CoreHours, o.Done, w.CoreHoursMin, w.DoneMin)
	}
	if o.Failed > w.FailedMax || o.Open > w.OpenMax || o.Evictions > w.EvictionsMax {
		t.Errorf("%d failed, %d open, %d evictions; want at most %d, %d, %d", o.Failed, o.Open, o.Evictions, w.FailedMax, w.OpenMax, w.EvictionsMax)
	}
	if o.Overlaps > 0 {
		t.Errorf("%d runs overlap an earlier run of their task", o.Overlaps)
	}
	for _, name := range w.SlowBelow {
		if other, ok := outcomes[name]; ok && o.SlowP99 >= other.SlowP99 {
			t.Errorf("slow-down p99 %.2f, %s has %.2f, want less", o.SlowP99, name, other.SlowP99)
		}
	}
	for name, part := range w.ThroughputAtLeast {
		if other, ok := outcomes[name]; ok && o.CoreHours < part*other.CoreHours {
			t.Errorf("%.1f core hours, %s has %.1f", o.CoreHours, name, other.CoreHours)
		}
	}
}

// load reads a trace and the bounds for its outcome.
func load(t *testing.T, file string) (*Trace, Want) {
	t.Helper()
	head, lines, err := trace.ReadFile[Header, Line](file)
	if err != nil {
		t.Fatal(err)
	}
	want, err := trace.ReadWant[Want](file)
	if err != nil {
		t.Fatal(err)
	}
	return &Trace{Header: head, Lines: lines}, want
}
