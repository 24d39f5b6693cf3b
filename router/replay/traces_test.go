package replay

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"leverstile.dev/router"
	"leverstile.dev/trace"
)

// Want is the expected outcome of a trace, stored beside it in testdata.
type Want struct {
	// GoodputMin and P99MaxMS bound the outcome of the chosen policy.
	GoodputMin float64 `json:"goodput_min"`
	P99MaxMS   float64 `json:"p99_max_ms"`
	// OracleRatioMax bounds its p99 relative to that of one central queue; zero
	// means no bound.
	OracleRatioMax float64 `json:"oracle_ratio_max,omitempty"`
	// Beats lists policies whose p99 must not be below that of the chosen one.
	Beats []string `json:"beats,omitempty"`
	// GroupGoodputMin bounds the goodput of single groups.
	GroupGoodputMin map[string]float64 `json:"group_goodput_min,omitempty"`
	// GroupP99MaxMS bounds the p99 of single groups.
	GroupP99MaxMS map[string]float64 `json:"group_p99_max_ms,omitempty"`
	Why           string             `json:"why"`
}

type policyCase struct {
	name  string
	make  func() router.Policy
	share bool
}

var policyCases = []policyCase{
	{"chosen", router.DefaultPolicy, false},
	{"random", func() router.Policy { return router.Random{} }, true},
	{"round-robin", func() router.Policy { return &router.RoundRobin{} }, true},
	{"two-choices-own", func() router.Policy { return router.TwoChoices{OwnOnly: true} }, false},
	{"two-choices-peers", func() router.Policy { return router.TwoChoices{} }, true},
	{"least-loaded-own-blind", func() router.Policy { return &router.LeastLoaded{OwnOnly: true, IgnoreLatency: true} }, false},
	{"least-loaded-peers", func() router.Policy { return &router.LeastLoaded{} }, true},
}

// TestTraces guards against a routing change that lowers goodput or raises p99:
// it replays each trace with each policy and compares the expected outcome.
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
			checkTrace(t, file, name)
		})
	}
}

func checkTrace(t *testing.T, file, name string) {
	trace, want := load(t, file)
	outcomes := map[string]Outcome{}
	rows := []string{"| policy | p50 ms | p99 ms | p99.9 ms | goodput | refused | unknown | retries/request | overshoot |", "|---|---|---|---|---|---|---|---|---|"}
	for _, c := range policyCases {
		if testing.Short() && c.name != "chosen" {
			continue
		}
		out := Play(trace, c.make, c.share)
		outcomes[c.name] = out
		rows = append(rows, row(c.name, out))
	}
	for _, g := range trace.Groups {
		c, r := outcomes["chosen"].ByGroup[g.Name], outcomes["random"].ByGroup[g.Name]
		rows = append(rows, fmt.Sprintf("group %s: chosen %d of %d, p99 %.1f ms; random %d, p99 %.1f ms",
			g.Name, c.Answered, c.Asked, ms(c.P99), r.Answered, ms(r.P99)))
	}
	oracle := Central(trace)
	rows = append(rows, row("all-seeing", oracle))
	t.Logf("%s\n%s", name, strings.Join(rows, "\n"))
	checkWant(t, want, outcomes, oracle)
}

func ms(d interface{ Seconds() float64 }) float64 { return d.Seconds() * 1000 }

func row(name string, o Outcome) string {
	var refused []string
	for code, n := range o.Refused {
		refused = append(refused, fmt.Sprintf("%d x %d", n, code))
	}
	return fmt.Sprintf("| %s | %.1f | %.1f | %.1f | %.4f | %s | %d | %.4f | %d |",
		name, ms(o.P50), ms(o.P99), ms(o.P999), o.Goodput(), strings.Join(refused, ", "), o.Failed, o.Retries, o.Overshoot)
}

func checkWant(t *testing.T, want Want, outcomes map[string]Outcome, oracle Outcome) {
	chosen := outcomes["chosen"]
	if chosen.Goodput() < want.GoodputMin {
		t.Errorf("goodput %.4f, expected at least %.4f", chosen.Goodput(), want.GoodputMin)
	}
	if ms(chosen.P99) > want.P99MaxMS {
		t.Errorf("p99 %.1f ms, expected at most %.1f", ms(chosen.P99), want.P99MaxMS)
	}
	if r := ms(chosen.P99) / ms(oracle.P99); want.OracleRatioMax > 0 && r > want.OracleRatioMax {
		t.Errorf("p99 is %.2f of the central queue's, expected at most %.2f", r, want.OracleRatioMax)
	}
	for _, name := range want.Beats {
		if other, ok := outcomes[name]; ok && chosen.P99 > other.P99 {
			t.Errorf("p99 %.1f ms, %s has %.1f", ms(chosen.P99), name, ms(other.P99))
		}
	}
	for group, minGoodput := range want.GroupGoodputMin {
		g := chosen.ByGroup[group]
		if got := float64(g.Answered) / float64(max(g.Asked, 1)); got < minGoodput {
			t.Errorf("group %s: goodput %.4f, expected at least %.4f", group, got, minGoodput)
		}
	}
	for group, maxP99 := range want.GroupP99MaxMS {
		if got := ms(chosen.ByGroup[group].P99); got > maxP99 {
			t.Errorf("group %s: p99 %.1f ms, expected at most %.1f", group, got, maxP99)
		}
	}
	if chosen.AfterLeave > 0 {
		t.Errorf("%d requests went to leaving endpoints after %v", chosen.AfterLeave, leaveLimit)
	}
}

// load reads a trace and its expected outcome.
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
