// Package logging writes structured log lines without ever blocking.
package logging

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// logQueue is how many log lines may wait for the writer. More are dropped and
// counted: logging must not hold up a request.
const logQueue = 8192

// droppedTotal counts the lines that were dropped.
const droppedTotal = "leverstile_log_dropped_total"

// droppingWriter writes lines in the background.
type droppingWriter struct {
	async   *log.AsyncWriter
	dropped *metrics.Counter
}

// WriteEntry implements log.Writer.
func (w *droppingWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.async.WriteEntry(e)
	if err != nil {
		w.dropped.Inc()
	}
	return n, nil
}

// New returns a logger that writes JSON lines to out without ever
// blocking, and a function that writes out what still waits.
func New(out io.Writer, level, entry string, set *metrics.Set) (*log.Logger, func()) {
	async := &log.AsyncWriter{
		ChannelSize:   logQueue,
		DiscardOnFull: true,
		Writer:        log.IOWriter{Writer: out},
	}
	l := &log.Logger{
		Level:  log.ParseLevel(level),
		Writer: &droppingWriter{async, set.NewCounter(droppedTotal)},
	}
	l.Context = log.NewContext(nil).Str("entry", entry).Value()
	return l, func() { _ = async.Close() }
}
