package logging

import (
	"bytes"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// An entry that was being stopped ended with a panic, "send on closed channel": a call that
// outlasted the drain logged its end while the last lines were written out. Customers saw
// the connections that were still open break off. The race detector, in entries under
// hundreds of calls a second, reported that send beside the close.
func TestLinesWhileTheLogIsClosed(t *testing.T) {
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
