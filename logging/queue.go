package logging

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/bytebufferpool"
)

const (
	// queueLength is how many log lines may wait for the writer. Further lines are dropped
	// and counted: logging must not delay a request.
	queueLength = 8192
	// maxBatchBytes is the size from which waiting lines are no longer added to a
	// write.
	maxBatchBytes = 32 << 10
	// droppedTotal is the metric that counts dropped lines.
	droppedTotal = "leverstile_log_dropped_total"
)

// queue is an io.Writer of lines that never blocks: one goroutine writes copies of them out.
// The log library's own asynchronous writer is not used, because it keeps using a line's
// buffer after it has passed it on, and panics when a line arrives while it is closed.
type queue struct {
	out     io.Writer
	dropped *metrics.Counter
	lines   chan *bytebufferpool.ByteBuffer
	done    chan struct{} // closed once all lines are written out

	// mu is held for reading while a line is queued, which never blocks. It guards closed.
	mu     sync.RWMutex
	closed bool
}

func newQueue(out io.Writer, dropped *metrics.Counter) *queue {
	q := &queue{
		out: out, dropped: dropped,
		lines: make(chan *bytebufferpool.ByteBuffer, queueLength),
		done:  make(chan struct{}),
	}
	go q.writeOut()
	return q
}

// Write implements io.Writer. A line that arrives when the queue is full or closed is
// dropped and counted.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
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

// close waits until all queued lines are written out.
func (q *queue) close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.done
}

// writeOut writes the queued lines, combining waiting ones into one write.
func (q *queue) writeOut() {
	defer close(q.done)
	var batch []byte
	for line := range q.lines {
		batch = append(batch[:0], line.B...)
		bytebufferpool.Put(line)
		batch = q.gather(batch)
		// The log has no other output to report a failure to.
		_, _ = q.out.Write(batch)
	}
}

// gather appends the waiting lines, until the batch reaches maxBatchBytes.
func (q *queue) gather(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
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
