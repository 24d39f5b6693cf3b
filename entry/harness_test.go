package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
	"leverstile.dev/fleet"
	"leverstile.dev/standin"
)

// testTimeout bounds how long a test waits for a condition; reaching it is a
// failure, however slow the machine.
const testTimeout = 60 * time.Second

const testDeclarations = `{
  "groups": [
    {"name": "planners", "share": 1, "class": "latency-critical"},
    {"name": "nightly", "share": 3},
    {"name": "archive", "share": 1, "class": "batch"}
  ],
  "services": [{"name": "svc", "group": "planners", "slots": 4, "connections": 64, "timeout_ms": 20000}],
  "selectors": [
    {"name": "urgent", "match": "app=preview", "group": "planners"},
    {"name": "nightly", "match": "app=reconcile", "group": "nightly"},
    {"name": "archive", "match": "app=archive", "group": "archive"}
  ],
  "cells": [{"name": "a", "vms": "place=a"}, {"name": "b", "vms": "place=b"}]
}`

type proc struct {
	t           *testing.T
	entry       *Entry
	url         string
	stop, abort chan struct{}
	once        sync.Once
	done        chan error
}

// cluster is a fleet of stand-ins with some entries in this process, each with
// its own listeners.
type cluster struct {
	t     *testing.T
	fleet *standin.Fleet
	procs []*proc
	// adjust, if set, changes the settings of entries that are started later.
	adjust func(*config.Settings)
}

func newCluster(t *testing.T, vms, entries int) *cluster {
	t.Helper()
	fleet, err := standin.NewFleet(standin.FleetSpec{
		Places: []string{"a", "b"}, VMs: vms, RackSize: 2,
		Capacity: fleet.Resources{CPUMilli: 4000, MemoryMiB: 4096},
		Service:  "svc", Slots: 4, ServiceMS: 5, KVListen: "127.0.0.1:0", ListListen: "127.0.0.1:0",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	c := &cluster{t: t, fleet: fleet}
	for i := range entries {
		c.start(fmt.Sprint("e", i))
	}
	return c
}

func (c *cluster) start(id string) *proc {
	c.t.Helper()
	callers, peers, err := Listen(AnyPort, AnyPort)
	if err != nil {
		c.t.Fatal(err)
	}
	s := config.DefaultSettings()
	s.ID, s.Place = id, "a"
	s.Store.Addresses = []string{c.fleet.KVAddress}
	s.Store.LeaseMS, s.Store.TimeoutMS = 2000, 500
	s.Platform.VMList, s.Platform.PollMS = c.fleet.Address, 100
	s.Timing.ExchangeEveryMS, s.Timing.CommitEveryMS, s.Timing.ClaimCommitEveryMS = 50, 5, 5
	s.Timing.TaskLeaseMS, s.Timing.OutageGraceMS = 1500, 1000
	s.Timing.DrainDelayMS, s.Timing.DrainTimeoutMS = 1000, int(testTimeout.Milliseconds())
	for _, p := range c.procs {
		s.Peers = append(s.Peers, p.entry.peersLn.Addr().String())
	}
	if c.adjust != nil {
		c.adjust(s)
	}
	set := metrics.NewSet()
	quiet := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	p := &proc{
		t: c.t, entry: New(s, quiet, set, callers, peers), url: "http://" + callers.Addr().String(),
		stop: make(chan struct{}), abort: make(chan struct{}), done: make(chan error, 1),
	}
	go func() { p.done <- p.entry.Run(p.stop, p.abort) }()
	c.procs = append(c.procs, p)
	c.t.Cleanup(p.kill)
	return p
}

// kill ends an entry at once: it hands nothing over, and its lease expires.
func (p *proc) kill() {
	p.once.Do(func() {
		close(p.abort)
		<-p.done
	})
}

// drain carries out a planned stop of an entry.
func (p *proc) drain() {
	p.once.Do(func() {
		close(p.stop)
		if err := <-p.done; err != nil {
			p.t.Errorf("planned stop: %v", err)
		}
	})
}

// eventually waits until holds returns true, and fails the test otherwise.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

type callerAnswer struct {
	status int
	code   result.Code
	header http.Header
	body   []byte
	err    error
}

func (p *proc) call(method, path string, header map[string]string, body []byte) callerAnswer {
	req, err := http.NewRequest(method, p.url+path, bytes.NewReader(body))
	if err != nil {
		return callerAnswer{err: err}
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer resp.Body.Close()
	a := callerAnswer{status: resp.StatusCode, header: resp.Header}
	a.body, a.err = io.ReadAll(resp.Body)
	code, _ := strconv.Atoi(resp.Header.Get(HeaderCode))
	a.code = result.Code(code)
	return a
}

func (p *proc) apply(base int, doc string) callerAnswer {
	return p.call(http.MethodPut, "/v1/declarations", map[string]string{"If-Match": strconv.Itoa(base)}, []byte(doc))
}

// awaitReady applies the declarations and waits until all entries route and all
// shards have an owner.
func (c *cluster) awaitReady() {
	c.t.Helper()
	// If the store does not answer in time, as on a busy machine, the answer
	// is "not run"; then the same document must be accepted by a retry.
	eventually(c.t, "the declarations are accepted", func() bool {
		a := c.procs[0].apply(0, testDeclarations)
		if a.code != result.StoreUnavailable && (a.code != result.OK || a.status != http.StatusOK) {
			c.t.Fatalf("apply: %+v %s", a, a.body)
		}
		return a.code == result.OK
	})
	c.awaitOwners()
	eventually(c.t, "every entry routes", func() bool {
		for _, p := range c.procs {
			if a := p.call(http.MethodGet, "/v1/services/svc/", nil, nil); a.err != nil || a.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// awaitOwners waits until each shard has exactly one owner.
func (c *cluster) awaitOwners() {
	c.t.Helper()
	eventually(c.t, "each shard has an owner", func() bool {
		n := 0
		for _, p := range c.procs {
			shards, _ := p.entry.shards.summary()
			n += len(shards)
		}
		return n == 2+config.DefaultSettings().Limits.ClaimShards
	})
}

func (c *cluster) waitTask(p *proc, id string) TaskStatus {
	c.t.Helper()
	var st TaskStatus
	eventually(c.t, "task "+id+" ends", func() bool {
		a := p.call(http.MethodGet, "/v1/tasks/"+id, nil, nil)
		return a.err == nil && a.status == http.StatusOK && json.Unmarshal(a.body, &st) == nil && st.Phase == "done"
	})
	return st
}

func taskJSON(id, app string, workMS int) Task {
	payload, _ := json.Marshal(standin.Job{WorkMS: int64(workMS)})
	return Task{
		ID: id, Kind: app, Labels: map[string]string{"app": app},
		Request: fleet.Resources{CPUMilli: 1000, MemoryMiB: 512}, Payload: payload,
	}
}
