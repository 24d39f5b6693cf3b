// Package logging writes structured log lines without ever blocking.
package logging

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// New returns a logger that writes JSON lines to out without ever blocking,
// and a function that flushes the queued lines and closes the log.
func New(out io.Writer, level, entry string, set *metrics.Set) (*log.Logger, func()) {
	q := newQueue(out, set.NewCounter(droppedTotal))
	l := &log.Logger{
		Level:  log.ParseLevel(level),
		Writer: log.IOWriter{Writer: q},
	}
	l.Context = log.NewContext(nil).Str("entry", entry).Value()
	return l, q.close
}
