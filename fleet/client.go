package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
)

// Paths of the platform's HTTP interface.
const (
	PathSync = "/v1/sync"
	PathVMs  = "/v1/vms"
)

// maxReplyBytes bounds an answer.
const maxReplyBytes = 16 << 20

// Client calls workers and the VM list over HTTP with JSON.
type Client struct {
	http    *http.Client
	listURL string
	timeout time.Duration
	calls   *metrics.Counter

	// The last VM list and its ETag, with which an unchanged list is not transferred again.
	mu   sync.Mutex
	etag string
	vms  []VM
}

// NewClient returns a client; listURL is the base of the VM list, such as
// "http://127.0.0.1:7000". timeout bounds each call.
func NewClient(listURL string, timeout time.Duration, set *metrics.Set) *Client {
	dialer := &net.Dialer{Timeout: timeout}
	sent := set.NewCounter("leverstile_platform_sent_bytes_total")
	read := set.NewCounter("leverstile_platform_read_bytes_total")
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     2 * time.Minute,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			return CountConn(conn, sent, read), err
		},
	}
	return &Client{
		http:    &http.Client{Transport: transport},
		listURL: listURL,
		timeout: timeout,
		calls:   set.NewCounter("leverstile_worker_calls_total"),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Sync implements Workers. After an error the request may or may not have been
// carried out; the reply to the next one shows which.
func (c *Client) Sync(ctx context.Context, address string, req *SyncRequest) (*SyncReply, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	wait := time.Duration(req.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	c.calls.Inc()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathSync, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	hr.Header.Set("Content-Type", "application/json")
	reply := &SyncReply{}
	_, err = c.do(hr, reply)
	return reply, err
}

// VMs implements VMList. An unchanged list is not transferred again.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, c.listURL+PathVMs, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	etag, cached := c.lastList()
	if etag != "" {
		hr.Header.Set("If-None-Match", etag)
	}
	var vms []VM
	header, err := c.do(hr, &vms)
	if errors.Is(err, errNotModified) {
		return cached, nil
	}
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.vms = header.Get("ETag"), vms
	return vms, nil
}

func (c *Client) lastList() (string, []VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.vms
}

// errNotModified means that the server reported an unchanged ETag.
const errNotModified = errors.ConstError("not modified")

func (c *Client) do(req *http.Request, out any) (http.Header, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	switch {
	case err != nil:
		return nil, errors.Annotate(err, req.URL.Path)
	case resp.StatusCode == http.StatusNotModified:
		return nil, errNotModified
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Errorf("%s: status %d: %.200s", req.URL.Path, resp.StatusCode, raw)
	}
	return resp.Header, errors.Annotate(json.Unmarshal(raw, out), req.URL.Path)
}
