package job

import (
	"math"
	"math/big"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"
)

func TestTaskIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := TaskID{
			Job: rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "job"), Occurrence: rapid.IntRange(0, 1000).Draw(t, "occurrence"),
			Step: rapid.IntRange(0, 255).Draw(t, "step"), Index: rapid.IntRange(0, 20000).Draw(t, "index"),
		}
		got, err := ParseTaskID(id.String())
		if err != nil || got != id {
			t.Fatalf("%v became %v, %v", id, got, err)
		}
	})
	for _, bad := range []string{"", "a", "a.1.2", "a.1.x.2", "a.1.-2.3"} {
		if _, err := ParseTaskID(bad); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}

func TestProgressRecordsEachTaskAndFailureOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Progress
		const count = 19
		done, failed := map[int]bool{}, map[uint64]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			id := TaskID{Step: 1, Index: rapid.IntRange(0, count-1).Draw(t, "index")}
			if rapid.Bool().Draw(t, "ends well") {
				if p.MarkDone(id, count) == done[id.Index] {
					t.Fatal("a finished task is not recorded exactly once")
				}
				done[id.Index] = true
				continue
			}
			run := rapid.Uint64Range(1, 5).Draw(t, "run")
			id.Index = 0
			if p.RecordFailure(id, run) == failed[run] {
				t.Fatal("a failure is not recorded exactly once")
			}
			failed[run] = true
		}
		for i := range count {
			if p.IsDone(TaskID{Step: 1, Index: i}) != done[i] {
				t.Fatalf("task %d: done %v", i, done[i])
			}
		}
		if n := p.FailureCount(TaskID{Step: 1}); n != len(failed) {
			t.Fatalf("%d failures, want %d", n, len(failed))
		}
	})
}

func TestValidate(t *testing.T) {
	good := func() *Spec {
		return &Spec{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}}
	}
	if err := good().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(s *Spec){
		"id": func(s *Spec) { s.ID = "x" }, "no steps": func(s *Spec) { s.Steps = nil }, "no tasks": func(s *Spec) { s.Steps[0].Count = 0 },
		"cycle": func(s *Spec) { s.Steps[1].After = []int{1} }, "negative": func(s *Spec) { s.Steps[0].MemoryMiB = -1 },
		"too many by repeats": func(s *Spec) { s.Occurrences = MaxTasks },
		"too many by one":     func(s *Spec) { s.Occurrences = MaxTasks/3 + 1 },
		"first due":           func(s *Spec) { s.FirstDueMS = math.MaxInt64 },
		"first due long ago":  func(s *Spec) { s.FirstDueMS = math.MinInt64 },
		"interval":            func(s *Spec) { s.IntervalMS = MaxTimeMS + 1 },
		"processors":          func(s *Spec) { s.Steps[1].CPUMilli = MaxAmount + 1 },
		"memory":              func(s *Spec) { s.Steps[1].MemoryMiB = math.MaxInt64 },
		"accelerators":        func(s *Spec) { s.Steps[1].Accelerators = math.MaxInt64 },
	} {
		s := good()
		spoil(s)
		if err := s.Validate(); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestCountsOfTasksDoNotOverflow guards against a number of tasks that is within the limit only
// since it has overflowed.
func TestCountsOfTasksDoNotOverflow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Spec{ID: "5c0e7a21d94b36f8", Queue: "q"}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			s.Steps = append(s.Steps, Step{Count: rapid.OneOf(rapid.IntRange(1, 8), rapid.IntRange(1, math.MaxInt64)).Draw(t, "count")})
		}
		s.Occurrences = rapid.OneOf(rapid.IntRange(0, 9000), rapid.Int()).Draw(t, "occurrences")
		all := new(big.Int)
		for _, step := range s.Steps {
			all.Add(all, big.NewInt(int64(step.Count)))
		}
		all.Mul(all, big.NewInt(int64(s.OccurrenceCount())))
		want := s.Occurrences >= 0 && all.Cmp(big.NewInt(MaxTasks)) <= 0
		if got := s.Validate() == nil; got != want {
			t.Fatalf("valid %v with %s tasks", got, all)
		}
	})
}

// TestDueTimesDoNotOverflow guards against an occurrence in the far future that counts as due.
func TestDueTimesDoNotOverflow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Spec{Occurrences: math.MaxInt64, FirstDueMS: rapid.Int64().Draw(t, "first"), IntervalMS: rapid.Int64Range(0, math.MaxInt64).Draw(t, "interval")}
		s.Clamp()
		occurrence := rapid.IntRange(0, math.MaxInt64-1).Draw(t, "occurrence")
		exact := new(big.Int).Mul(big.NewInt(int64(occurrence)), big.NewInt(s.IntervalMS))
		exact.Add(exact, big.NewInt(s.FirstDueMS))
		want := int64(math.MaxInt64)
		if exact.IsInt64() {
			want = exact.Int64()
		}
		if got := s.DueMS(occurrence); got != want && got != math.MaxInt64 || got == math.MaxInt64 && exact.Cmp(big.NewInt(math.MaxInt64/2)) < 0 {
			t.Fatalf("due at %d, want %s", got, exact)
		}
	})
}

func TestQueueForChoosesLongestPrefix(t *testing.T) {
	c := &Config{Queues: []Queue{{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "h", PathPrefix: "/a/b/"}, {Name: "other", Host: "g", PathPrefix: "/"}}}
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long"} {
		if q := c.QueueFor("h", path); q == nil || q.Name != want {
			t.Errorf("%s: %v, want %s", path, q, want)
		}
	}
	if q := c.QueueFor("h", "/c"); q != nil {
		t.Errorf("/c: %v", q)
	}
}
