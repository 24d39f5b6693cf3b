package logging

import (
	"io"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// TestLineAfterClose: a goroutine that the process does not wait for at its end may log
// after the log is closed; that ends nothing.
func TestLineAfterClose(t *testing.T) {
	l, closeLog := New(io.Discard, "info", "entry-0", metrics.NewSet())
	closeLog()
	defer func() {
		if r := recover(); r != nil {
			t.Errorf("a line after the close panics: %v", r)
		}
	}()
	l.Info().Msg("late")
}
