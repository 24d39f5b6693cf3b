package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
)

// maxAnswerBytes bounds an answer: the largest holds a cell's whole journal and snapshot.
const maxAnswerBytes = 64 << 20

// Client is a Store over the JSON gateway at one of several addresses. After
// a failure the next call goes to the next address.
type Client struct {
	urls     []string
	timeout  time.Duration
	http     *http.Client
	next     atomic.Uint32
	calls    *metrics.Counter
	failures *metrics.Counter
	sent     *metrics.Counter
}

// NewClient returns a client of the gateway at urls, such as
// "http://127.0.0.1:2379". Each call except Watch ends after timeout.
func NewClient(urls []string, timeout time.Duration, set *metrics.Set) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{
		urls:     urls,
		timeout:  timeout,
		http:     &http.Client{Transport: transport},
		calls:    set.NewCounter("leverstile_store_calls_total"),
		failures: set.NewCounter("leverstile_store_call_failures_total"),
		sent:     set.NewCounter("leverstile_store_sent_bytes_total"),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) open(ctx context.Context, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.calls.Inc()
	c.sent.Add(len(body))
	base := c.urls[int(c.next.Load())%len(c.urls)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.recordFailure(path, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, c.statusError(path, resp)
}

func (c *Client) recordFailure(path string, cause error) error {
	c.failures.Inc()
	c.next.Add(1)
	return errors.WithType(errors.Annotate(cause, path), ErrUnavailable)
}

func (c *Client) statusError(path string, resp *http.Response) error {
	var w WireError
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	_ = json.Unmarshal(raw, &w)
	switch w.Code {
	case codeNotFound:
		return errors.Annotate(ErrLeaseNotFound, path)
	case codeOutOfRange:
		return errors.Annotate(ErrCompacted, path)
	}
	return c.recordFailure(path, errors.Errorf("status %d: %s", resp.StatusCode, w.Error))
}

func (c *Client) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.open(ctx, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out); err != nil {
		return c.recordFailure(path, err)
	}
	return nil
}

// Range implements Store.
func (c *Client) Range(ctx context.Context, prefix string) ([]Pair, int64, error) {
	var out WireRangeResponse
	err := c.call(ctx, PathRange, WireRange{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}, &out)
	return decodePairs(out.Pairs), int64(out.Header.Revision), err
}

// Do implements Store.
func (c *Client) Do(ctx context.Context, txn Txn) (TxnResult, error) {
	var out WireTxnResponse
	if err := c.call(ctx, PathTxn, encodeTxn(txn), &out); err != nil {
		return TxnResult{}, err
	}
	res := TxnResult{Succeeded: out.Succeeded, Revision: int64(out.Header.Revision)}
	for _, r := range out.Responses {
		if r.Range != nil {
			res.Reads = append(res.Reads, decodePairs(r.Range.Pairs))
		}
	}
	return res, nil
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var out WireLease
	seconds := Int64((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, PathGrant, WireLease{TTL: seconds}, &out)
	return int64(out.ID), err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	var out WireKeepAlive
	if err := c.call(ctx, PathKeepAlive, WireLease{ID: Int64(lease)}, &out); err != nil {
		return err
	}
	if out.Result.TTL <= 0 {
		return errors.Trace(ErrLeaseNotFound)
	}
	return nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	var out struct{}
	return c.call(ctx, PathRevoke, WireLease{ID: Int64(lease)}, &out)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, handle func(int64, []Event)) error {
	create := WireWatchCreate{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: Int64(after + 1)}
	resp, err := c.open(ctx, PathWatch, WireWatch{Create: create})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	for {
		var msg WireWatchResponse
		if err := dec.Decode(&msg); err != nil {
			return c.recordFailure(PathWatch, err)
		}
		if msg.Result.CompactRevision > 0 {
			return errors.Trace(ErrCompacted)
		}
		if msg.Result.Canceled {
			return c.recordFailure(PathWatch, errors.New("cancelled by the service"))
		}
		if len(msg.Result.Events) > 0 {
			handle(int64(msg.Result.Header.Revision), decodeEvents(msg.Result.Events))
		}
	}
}

func decodePairs(in []WirePair) []Pair {
	out := make([]Pair, 0, len(in))
	for _, p := range in {
		out = append(out, Pair{
			Key: string(p.Key), Value: p.Value, Lease: int64(p.Lease),
			CreateRevision: int64(p.CreateRevision), ModRevision: int64(p.ModRevision),
		})
	}
	return out
}

func decodeEvents(in []WireEvent) []Event {
	out := make([]Event, 0, len(in))
	for _, e := range in {
		out = append(out, Event{Pair: decodePairs([]WirePair{e.Pair})[0], Deleted: e.Type == EventDelete})
	}
	return out
}

func encodeTxn(txn Txn) WireTxn {
	w := WireTxn{Success: encodeOps(txn.Then), Failure: encodeOps(txn.Else)}
	for _, c := range txn.If {
		w.Compare = append(w.Compare, encodeCompare(c))
	}
	return w
}

func encodeCompare(c Compare) WireCompare {
	w := WireCompare{Result: ResultEqual, Key: []byte(c.Key)}
	if c.Missing {
		zero := Int64(0)
		w.Target, w.CreateRevision = TargetCreate, &zero
		return w
	}
	mod := Int64(c.ModRevision)
	w.Target, w.ModRevision = TargetMod, &mod
	return w
}

func encodeOps(ops []Op) []WireOp {
	var out []WireOp
	for _, op := range ops {
		out = append(out, encodeOp(op))
	}
	return out
}

func encodeOp(op Op) WireOp {
	r := WireRange{Key: []byte(op.Key)}
	if op.Prefix {
		r.RangeEnd = PrefixEnd(op.Key)
	}
	switch op.Kind {
	case OpPut:
		return WireOp{Put: &WirePut{Key: []byte(op.Key), Value: op.Value, Lease: Int64(op.Lease)}}
	case OpDelete:
		return WireOp{Delete: &r}
	default:
		return WireOp{Range: &r}
	}
}
