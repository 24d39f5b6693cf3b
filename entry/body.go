package entry

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"leverstile.dev/api/result"
	"leverstile.dev/config"
)

// readBody reads the request's body. It keeps a small one in memory, so that
// the request can be sent again.
func (x *proxyRequest) readBody() *result.Error {
	limits := x.svc.entry.settings.Limits
	x.size = x.r.ContentLength
	if x.size > limits.BodyBytes {
		return result.New(result.BodyTooLarge, "at most %d bytes", limits.BodyBytes)
	}
	idle := config.Ms(x.svc.entry.settings.Timing.CallerIdleMS)
	body := &idleTimeoutReader{body: x.r.Body, c: http.NewResponseController(x.w), idle: idle}
	limited := http.MaxBytesReader(x.w, body, limits.BodyBytes)
	kept, err := io.ReadAll(io.LimitReader(limited, int64(limits.ReplayBytes)+1))
	if err != nil {
		return bodyError(err)
	}
	x.body = kept
	if len(kept) > limits.ReplayBytes {
		x.bodyRemainder = limited
	} else {
		x.size = int64(len(kept))
	}
	return nil
}

// idleTimeoutReader reads a caller's body. Reads fail with a timeout if the
// caller sends nothing for the time idle.
type idleTimeoutReader struct {
	body io.ReadCloser
	c    *http.ResponseController
	idle time.Duration
}

// Read implements io.Reader.
func (p *idleTimeoutReader) Read(b []byte) (int, error) {
	_ = p.c.SetReadDeadline(time.Now().Add(p.idle))
	n, err := p.body.Read(b)
	if errors.Is(err, io.EOF) {
		// The connection's next request has a deadline of its own. After a
		// timeout the deadline stays: before it answers, net/http reads the rest
		// of a body and would wait for it.
		_ = p.c.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close implements io.Closer.
func (p *idleTimeoutReader) Close() error { return p.body.Close() }

func bodyError(err error) *result.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.New(result.BodyTooLarge, "at most %d bytes", tooLarge.Limit)
	}
	return result.New(result.BadRequest, "body: %v", err)
}

// bodyCapture keeps what is written to it, or nothing if that exceeds limit.
type bodyCapture struct {
	limit   int
	buf     bytes.Buffer
	dropped bool
}

// Write implements io.Writer.
func (k *bodyCapture) Write(b []byte) (int, error) {
	if k.dropped || k.buf.Len()+len(b) > k.limit {
		k.dropped = true
		k.buf.Reset()
		return len(b), nil
	}
	return k.buf.Write(b)
}

// flushWriter writes an endpoint's answer to the caller, and flushes each write
// if the endpoint streams. For a claimed request a caller that has gone away
// doesn't end the reading of the answer, as its outcome has to be recorded.
type flushWriter struct {
	w         http.ResponseWriter
	c         *http.ResponseController
	streaming bool
	claimed   bool
	idle      time.Duration
	err       error
}

// Write implements io.Writer.
func (f *flushWriter) Write(b []byte) (int, error) {
	if f.err != nil {
		return len(b), nil
	}
	_ = f.c.SetWriteDeadline(time.Now().Add(f.idle))
	n, err := f.w.Write(b)
	if err == nil && f.streaming {
		err = f.c.Flush()
	}
	if err != nil {
		f.err = err
		if f.claimed {
			return len(b), nil
		}
	}
	return n, err
}
