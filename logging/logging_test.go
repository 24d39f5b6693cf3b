package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// TestLinesDuringClose guards against a panic, "send on closed channel", in a stopping entry:
// a call that outlasts the drain logs its end while the log is closed. The panic breaks the
// customers' open connections. The race detector reports that send beside the close in entries
// under hundreds of calls a second.
func TestLinesDuringClose(t *testing.T) {
	const rounds, writers, lines = 20, 8, 200
	for range rounds {
		set := metrics.NewSet()
		var out bytes.Buffer
		l, closeLog := New(&out, "info", "e", set)
		var running sync.WaitGroup
		for range writers {
			running.Go(func() {
				for range lines {
					l.Info().Str("event", "x").Msg("")
				}
			})
		}
		closeLog()
		running.Wait()
		written := bytes.Count(out.Bytes(), []byte("\n"))
		dropped := int(set.GetOrCreateCounter(droppedTotal).Get())
		if written+dropped != writers*lines {
			t.Fatalf("%d lines were written and %d counted as dropped, of %d", written, dropped, writers*lines)
		}
	}
}

// TestLineAfterClose: a goroutine that the process does not wait for may log after the log is
// closed; that must not end the process.
func TestLineAfterClose(t *testing.T) {
	l, closeLog := New(io.Discard, "info", "entry-0", metrics.NewSet())
	closeLog()
	defer func() {
		if r := recover(); r != nil {
			t.Errorf("a line after the close causes a panic: %v", r)
		}
	}()
	l.Info().Msg("late")
}

// TestLinesStayWhole: lines of many goroutines are each written whole and once, or are counted
// as dropped.
func TestLinesStayWhole(t *testing.T) {
	const writers, lines = 8, 5000
	set := metrics.NewSet()
	var out bytes.Buffer
	l, closeLog := New(&out, "info", "e", set)
	var running sync.WaitGroup
	for w := range writers {
		running.Go(func() {
			for n := range lines {
				l.Info().Int("writer", w).Int("n", n).Str("again", fmt.Sprint(w, "/", n)).Msg("")
			}
		})
	}
	running.Wait()
	closeLog()
	seen := map[string]bool{}
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var line struct {
			Writer, N int
			Again     string
		}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if line.Again != fmt.Sprint(line.Writer, "/", line.N) || seen[line.Again] {
			t.Fatalf("%q mixes two lines, or was written twice", text)
		}
		seen[line.Again] = true
	}
	dropped := int(set.GetOrCreateCounter(droppedTotal).Get())
	if len(seen)+dropped != writers*lines {
		t.Errorf("%d lines were written and %d counted as dropped, of %d", len(seen), dropped, writers*lines)
	}
}

// TestLogNeverBlocks: a blocked writer delays no caller, as lines beyond the queue are dropped.
func TestLogNeverBlocks(t *testing.T) {
	set := metrics.NewSet()
	stuck := &blockedWriter{release: make(chan struct{})}
	l, closeLog := New(stuck, "info", "e", set)
	const lines = 3 * queueLength
	for range lines {
		l.Info().Msg("")
	}
	if n := set.GetOrCreateCounter(droppedTotal).Get(); n < lines-2*queueLength {
		t.Errorf("%d of %d lines were dropped", n, lines)
	}
	close(stuck.release)
	closeLog()
}

// blockedWriter blocks each write until it is released.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// BenchmarkLine logs a line of a decision to a writer that discards it.
func BenchmarkLine(b *testing.B) {
	l, closeLog := New(io.Discard, "info", "edge-a-1", metrics.NewSet())
	defer closeLog()
	b.ReportAllocs()
	for b.Loop() {
		l.Info().Str("event", "run_placed").Str("task", "4fea0d83dc528de4.0.0.21").Str("job", "4fea0d83dc528de4").
			Uint64("run", 268438684).Str("worker", "i-ebfa4ba623").Str("reason", "043cd1").Msg("")
	}
}
