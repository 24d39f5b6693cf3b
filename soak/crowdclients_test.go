package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// crowdKind is what the clients of a crowd do.
type crowdKind struct {
	name   string
	size   int // 0 means crowdSize
	client func(c *crowdCell) crowdClient
}

// widestStep is a job with as many tasks as one may have.
const widestStep = `{"spec":"x","steps":[{"count":20000,"cpu":10,"mem_mb":1,"estimated_ms":10}]}`

// Bodies that the clients of a crowd share.
var (
	largest     = largeJob(maxBody)
	mostSteps   = manySteps(maxBody)
	longestList = longList(maxBody)
	smallChunks = strings.Repeat("1\r\n \r\n", maxBody-1)
	endlessHead = manyLines(1_000_000)
	// invalidText has a string whose bytes are no UTF-8: decoding makes it three times as long.
	invalidText = `{"spec":"x","steps":[{"count":1,"cpu":10,"image":"` + strings.Repeat("\xff", maxBody-100) + `"}]}`
)

var crowdKinds = []crowdKind{
	{name: "idle", client: same(hold)},
	{name: "empty_lines", client: same(repeat("", "\r\n\r\n\r\n\r\n", 10*time.Millisecond))},
	{name: "trailers", client: withJob(func(id string) crowdClient {
		return repeat(chunkedHead(id)+"1\r\n{\r\n0\r\n", strings.Repeat("a: b\r\n", 100), 20*time.Millisecond)
	})},
	{name: "expect_continue", client: withJob(func(id string) crowdClient {
		return send(submitHead(id, "Expect: 100-continue\r\n", maxBody))
	})},
	{name: "short_lines", client: withJob(func(id string) crowdClient { return send(shortLineHead(id, 2) + "{") })},
	{name: "one_name", client: withJob(func(id string) crowdClient { return send(oneNameHead(id, 2) + "{") })},
	{name: "large_heads", client: same(sendLargeHead)},
	{name: "endless_heads", client: withJob(func(id string) crowdClient {
		return repeat("POST /a/"+id+" HTTP/1.1\r\nHost: h.example\r\n", strings.Repeat("a:\r\n", 1000), 10*time.Millisecond)
	})},
	{name: "held_bodies", client: withJob(func(id string) crowdClient {
		return send(submitHead(id, "", maxBody), largest[:maxBody-1])
	})},
	{name: "one_byte_chunks", client: withJob(func(id string) crowdClient {
		return send(chunkedHead(id), smallChunks)
	})},
	{name: "slow_bodies", client: withJob(func(id string) crowdClient {
		return repeat(submitHead(id, "", maxBody), strings.Repeat(" ", 1024), 20*time.Millisecond)
	})},
	{name: "many_steps", client: withJob(func(id string) crowdClient { return exchange(id, mostSteps) })},
	{name: "long_list", client: withJob(func(id string) crowdClient { return exchange(id, longestList) })},
	{name: "pipeline", client: withJob(func(id string) crowdClient {
		return repeat("", strings.Repeat("GET /a/"+id+" HTTP/1.1\r\nHost: h.example\r\n\r\n", 50), 0)
	})},
	{name: "connections", size: 3 * crowdDescriptors, client: same(hold)},
	{name: "wide_jobs", client: withJob(func(id string) crowdClient { return exchange(id, widestStep) })},
	{name: "invalid_text", client: withJob(func(id string) crowdClient { return exchange(id, invalidText) })},
	{name: "small_jobs", client: withJob(func(id string) crowdClient { return exchange(id, ordinaryJob) })},
	{name: "cancellations", client: withJob(func(id string) crowdClient {
		return send("DELETE /a/" + id + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")
	})},
	{name: "states", client: func(c *crowdCell) crowdClient {
		id := c.jobID()
		if status, err := submitOnce(c.nodes[0].front, id, invalidText); err != nil || status != http.StatusOK {
			c.t.Errorf("the job whose state is asked for: status %d, %v", status, err)
		}
		return repeat("", "GET /a/"+id+" HTTP/1.1\r\nHost: h.example\r\n\r\n", time.Millisecond)
	}},
	{name: "large_jobs", client: withJob(func(id string) crowdClient { return exchange(id, largest) })},
}

func kindNamed(name string) crowdKind {
	for _, k := range crowdKinds {
		if k.name == name {
			return k
		}
	}
	panic("no kind " + name)
}

func same(cl crowdClient) func(*crowdCell) crowdClient {
	return func(*crowdCell) crowdClient { return cl }
}

// withJob gives each connection a job of its own.
func withJob(of func(id string) crowdClient) func(*crowdCell) crowdClient {
	return func(c *crowdCell) crowdClient {
		return func(ctx context.Context, conn net.Conn) { of(c.jobID())(ctx, conn) }
	}
}

// hold reads until the connection ends.
func hold(_ context.Context, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// send sends texts and holds the connection.
func send(texts ...string) crowdClient {
	return func(ctx context.Context, conn net.Conn) {
		for _, text := range texts {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
		hold(ctx, conn)
	}
}

// repeat sends a text, then another one again and again, and reads nothing.
func repeat(first, again string, pause time.Duration) crowdClient {
	return func(ctx context.Context, conn net.Conn) {
		text := first
		for ctx.Err() == nil {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			text = again
			time.Sleep(pause)
		}
	}
}

// exchange submits a whole job and reads the answer.
func exchange(id, body string) crowdClient {
	return func(_ context.Context, conn net.Conn) {
		for _, text := range []string{submitHead(id, "", len(body)), body} {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
}

// sendLargeHead sends a head far over every limit and does not end it.
func sendLargeHead(ctx context.Context, conn net.Conn) {
	send("GET /a/ HTTP/1.1\r\nHost: h.example\r\n", endlessHead)(ctx, conn)
}

// manyLines returns that many bytes, or a few more, of short lines of a head.
func manyLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// sendPeerBody sends entries' calls with large bodies, one byte short.
func sendPeerBody(ctx context.Context, conn net.Conn) {
	head := fmt.Sprintf("POST /leverstile.jobs.v1.Owner/SubmitJob HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", 4*maxBody)
	send(head, strings.Repeat(" ", 4*maxBody-1))(ctx, conn)
}

func submitHead(id, lines string, length int) string {
	return fmt.Sprintf("POST /a/%s HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n", id, lines, length)
}

func chunkedHead(id string) string {
	return fmt.Sprintf("POST /a/%s HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n", id)
}

// paddedHead returns a head of exactly maxHead bytes that contains lines made by line, for a
// body of the given length.
func paddedHead(id string, length int, line func(i int) string) string {
	head := strings.TrimSuffix(submitHead(id, "", length), "\r\n")
	var lines strings.Builder
	for i := 0; ; i++ {
		next := line(i)
		if len(head)+lines.Len()+len(next)+len("p:\r\n")+len("\r\n") > maxHead {
			break
		}
		lines.WriteString(next)
	}
	rest := maxHead - len(head) - lines.Len() - len("p:\r\n") - len("\r\n")
	return head + lines.String() + "p:" + strings.Repeat("x", rest) + "\r\n\r\n"
}

func shortLineHead(id string, length int) string {
	return paddedHead(id, length, func(i int) string { return fmt.Sprintf("%x:\r\n", i) })
}

func oneNameHead(id string, length int) string {
	return paddedHead(id, length, func(int) string { return "a:\r\n" })
}

// longLineHead returns a head of maxHead bytes with one long line.
func longLineHead(id string, length int) string {
	return paddedHead(id, length, func(int) string { return strings.Repeat("x", maxHead) })
}

// largeJob returns a job inside all limits whose body has the given size: 256 steps, a payload of
// 4,000 bytes, and space.
func largeJob(size int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"spec":%q,"steps":[`, strings.Repeat("s", 4000))
	for i := range 256 {
		if i > 0 {
			b.WriteString(`,{"count":1,"cpu":10,"mem_mb":1,"estimated_ms":1,"after_revision":[` + fmt.Sprint(i-1) + `]}`)
			continue
		}
		b.WriteString(`{"count":1,"cpu":10,"mem_mb":1,"estimated_ms":1}`)
	}
	b.WriteString("]")
	b.WriteString(strings.Repeat(" ", size-b.Len()-1) + "}")
	return b.String()
}

// manySteps returns a body of the given size whose array of steps is as long as fits.
func manySteps(size int) string {
	const head, tail = `{"spec":"x","steps":[{}`, `]}`
	n := (size - len(head) - len(tail)) / len(",{}")
	body := head + strings.Repeat(",{}", n) + tail
	return body + strings.Repeat(" ", size-len(body))
}

// longList returns a body of the given size with a step whose list of earlier steps is as long
// as fits.
func longList(size int) string {
	const head, tail = `{"spec":"x","steps":[{"count":1},{"count":1,"after_revision":[0`, `]}]}`
	n := (size - len(head) - len(tail)) / len(",0")
	body := head + strings.Repeat(",0", n) + tail
	return body + strings.Repeat(" ", size-len(body))
}

// legalRequests are requests inside all limits. Each returns the status of its answer.
var legalRequests = map[string]func(address, id string) (int, error){
	"one long line of head": func(address, id string) (int, error) {
		return sendWhole(address, longLineHead(id, len(ordinaryJob))+ordinaryJob)
	},
	"many short lines of head": func(address, id string) (int, error) {
		return sendWhole(address, shortLineHead(id, len(ordinaryJob))+ordinaryJob)
	},
	"one name of head": func(address, id string) (int, error) {
		return sendWhole(address, oneNameHead(id, len(ordinaryJob))+ordinaryJob)
	},
	"largest job": func(address, id string) (int, error) {
		return sendWhole(address, shortLineHead(id, maxBody)+largeJob(maxBody))
	},
	"largest job in chunks of one byte": func(address, id string) (int, error) {
		var chunks strings.Builder
		for _, b := range []byte(largeJob(maxBody)) {
			fmt.Fprintf(&chunks, "1\r\n%c\r\n", b)
		}
		return sendWhole(address, chunkedHead(id)+chunks.String()+"0\r\n\r\n")
	},
	"most earlier steps": func(address, id string) (int, error) {
		return submitOnce(address, id, widestJob())
	},
	"slow but steady": func(address, id string) (int, error) {
		body := largeJob(30_000)
		pieces := []string{submitHead(id, "", len(body))}
		for ; len(body) > 0; body = body[min(len(body), 1000):] {
			pieces = append(pieces, body[:min(len(body), 1000)])
		}
		return sendPieces(address, pieces, 250*time.Millisecond)
	},
}

// widestJob returns a job of 256 steps, as many of which as fit wait for all earlier ones.
func widestJob() string {
	var b strings.Builder
	b.WriteString(`{"spec":"x","steps":[{"count":1}`)
	var earlier []string
	for i := 1; i < 256; i++ {
		earlier = append(earlier, fmt.Sprint(i-1))
		list := strings.Join(earlier, ",")
		if b.Len()+len(list) > maxBody-100*(256-i) {
			list = fmt.Sprint(i - 1)
		}
		b.WriteString(`,{"count":1,"after_revision":[` + list + `]}`)
	}
	b.WriteString("]}")
	return b.String()
}

func sendWhole(address, text string) (int, error) { return sendPieces(address, []string{text}, 0) }

// sendPieces sends a request in pieces and returns the status of its answer.
func sendPieces(address string, pieces []string, pause time.Duration) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	for _, p := range pieces {
		if _, err := io.WriteString(conn, p); err != nil {
			return 0, err
		}
		time.Sleep(pause)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
