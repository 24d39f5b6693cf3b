package inbound

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// connKey is the context key of a request's connection.
type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// handler counts the bodies of requests, and gives their memory back at their end.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(r.ContentLength != 0) {
			return // the connection is closed
		}
		if r.ContentLength != 0 {
			r.Body = &body{r.Body, c}
		}
		defer c.endRequest()
		next.ServeHTTP(w, r)
	})
}

// beginRequest begins the body of a request whose head was read, or its execution if it has none.
// It reports false if the connection was closed.
func (c *conn) beginRequest(hasBody bool) bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.closed {
		return false
	}
	c.progress.enter(phaseServing, time.Now())
	if hasBody {
		c.progress.phase = phaseBody
	}
	return true
}

// endRequest gives back the memory of a request that has an answer. If its body was read as a
// whole, the answer is written next. Otherwise net/http may first read the rest.
func (c *conn) endRequest() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.release(c)
}

// body counts the bytes of a request's body.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader. The first read that returns io.EOF begins the execution of the
// request, from which on its connection is not closed for others.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	g := b.conn.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.conn.closed {
		return 0, ErrOverloaded
	}
	now := time.Now()
	if err := g.reserve(b.conn, g.budget.BodyByteCost*int64(n), now); err != nil {
		return 0, err
	}
	if err == io.EOF {
		b.conn.progress.enter(phaseServing, now)
	}
	return n, err
}

// Reserve takes memory for what a request is decoded to. It fails with ErrOverloaded if there is
// too little left; the request must then not be carried out.
func Reserve(ctx context.Context, n int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.reserve(c, n, time.Now())
}

// chunk is a part of a body. The chunks of a body that does not come to its end are used again, so
// that a crowd of such bodies makes no work for the garbage collector.
type chunk [chunkBytes]byte

var chunks = sync.Pool{New: func() any { return new(chunk) }}

// ReadBody reads the whole body of a request. It fails with http.MaxBytesError if the body is
// larger than limit, before it reads one whose size is known, and with ErrOverloaded.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	src := http.MaxBytesReader(w, r.Body, limit)
	var read []*chunk
	defer func() {
		for _, c := range read {
			chunks.Put(c)
		}
	}()
	size := 0
	for {
		if err := Reserve(r.Context(), chunkBytes); err != nil {
			return nil, err
		}
		c := chunks.Get().(*chunk)
		read = append(read, c)
		n, err := fill(src, c)
		size += n
		if err == io.EOF {
			return join(read, size), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads until the chunk is full or an error occurs.
func fill(src io.Reader, c *chunk) (n int, err error) {
	for n < len(c) && err == nil {
		var m int
		m, err = src.Read(c[n:])
		n += m
	}
	return n, err
}

// join returns the first size bytes of the chunks.
func join(read []*chunk, size int) []byte {
	body := make([]byte, 0, size)
	for _, c := range read {
		body = append(body, c[:min(size-len(body), len(c))]...)
	}
	return body
}
