package logging

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/bytebufferpool"
)

const (
	// queueLength is how many log lines may wait for the writer. More are dropped and
	// counted: logging must not hold up a request.
	queueLength = 8192
	// writeBytes is the size from which lines that wait are no longer gathered into one
	// write.
	writeBytes = 32 << 10
	// droppedTotal counts the lines that were dropped.
	droppedTotal = "leverstile_log_dropped_total"
)

// queue is an io.Writer of lines that never waits: one goroutine writes copies of them out.
// The log library's own asynchronous writer is not used, because it keeps using a line's
// buffer after it has handed it over, and panics when a line comes while it is closed.
type queue struct {
	out     io.Writer
	dropped *metrics.Counter
	lines   chan *bytebufferpool.ByteBuffer
	written chan struct{} // closed once all lines are written out

	// open is held for reading while a line is queued, which never waits. It guards closed.
	open   sync.RWMutex
	closed bool
}

func newQueue(out io.Writer, dropped *metrics.Counter) *queue {
	q := &queue{
		out: out, dropped: dropped,
		lines:   make(chan *bytebufferpool.ByteBuffer, queueLength),
		written: make(chan struct{}),
	}
	go q.writeOut()
	return q
}

// Write implements io.Writer. A line that finds no room, or comes after close, is dropped
// and counted.
func (q *queue) Write(line []byte) (int, error) {
	q.open.RLock()
	defer q.open.RUnlock()
	if q.closed {
		q.dropped.Inc()
		return len(line), nil
	}
	b := bytebufferpool.Get()
	b.Set(line)
	select {
	case q.lines <- b:
	default:
		bytebufferpool.Put(b)
		q.dropped.Inc()
	}
	return len(line), nil
}

// close waits until what was queued is written out.
func (q *queue) close() {
	q.open.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.open.Unlock()
	<-q.written
}

// writeOut writes lines, those that wait together in one call.
func (q *queue) writeOut() {
	defer close(q.written)
	var batch []byte
	for line := range q.lines {
		batch = append(batch[:0], line.B...)
		bytebufferpool.Put(line)
		batch = q.gather(batch)
		// There is no other place to tell of a failure.
		_, _ = q.out.Write(batch)
	}
}

// gather appends the lines that wait, up to writeBytes.
func (q *queue) gather(batch []byte) []byte {
	for len(batch) < writeBytes {
		select {
		case line, ok := <-q.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line.B...)
			bytebufferpool.Put(line)
		default:
			return batch
		}
	}
	return batch
}
