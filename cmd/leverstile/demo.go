package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
	"leverstile.dev/entry"
	"leverstile.dev/fleet"
	"leverstile.dev/logging"
	"leverstile.dev/standin"
)

// demoCommand runs three entries against embedded stand-ins and checks the
// guarantees of the scheduler.
type demoCommand struct {
	Keep    bool   `long:"keep" description:"stay up and print commands to try"`
	LogFile string `long:"log" value-name:"FILE" description:"write the entries' decision logs to a file"`
}

const demoDeclarations = `{
  "groups": [
    {"name": "planners", "share": 1, "class": "latency-critical"},
    {"name": "reconciliation", "share": 3},
    {"name": "archive", "share": 1, "class": "batch"},
  ],
  "services": [{"name": "vendline", "group": "planners", "slots": 8, "connections": 64, "timeout_ms": 5000}],
  "selectors": [
    {"name": "urgent", "match": "app=preview", "group": "planners"},
    {"name": "nightly", "match": "app=reconcile", "group": "reconciliation"},
    {"name": "archive", "match": "app=archive", "group": "archive"},
  ],
  "cells": [{"name": "north", "vms": "place=north"}, {"name": "south", "vms": "place=south"}],
}`

const (
	demoVMs       = 6
	demoCores     = 4
	demoArchive   = 24 // tasks of one core, as many as the VMs have capacity for
	demoReconcile = 12
	demoUrgent    = 4
	demoPatience  = 18 * time.Second
	demoCallers   = 12
)

// demo is the state of a run of the demo.
type demo struct {
	ctx     context.Context
	fleet   *standin.Fleet
	out     io.Writer
	logs    io.Writer
	mu      sync.Mutex
	entries []*demoEntry
	next    atomic.Uint32
	load    demoLoad
	broken  []string
}

type demoEntry struct {
	id, addr    string
	stop, abort chan struct{}
	done        chan error
}

// demoLoad counts the answers that callers of the service received.
type demoLoad struct {
	mu       sync.Mutex
	asked    int
	answered int
	refused  map[result.Code]int
	cut      int
	latency  *hdrhistogram.Histogram
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoPatience)
	defer cancel()
	logs := io.Writer(io.Discard)
	if c.LogFile != "" {
		f, err := os.Create(c.LogFile)
		if err != nil {
			return errors.Trace(err)
		}
		defer f.Close()
		logs = f
	}
	d := &demo{ctx: ctx, out: os.Stdout, logs: logs}
	d.load.refused = map[result.Code]int{}
	d.load.latency = hdrhistogram.New(1, 60_000_000, 3)
	err := d.run()
	defer d.close()
	if err != nil {
		return err
	}
	d.table()
	if len(d.broken) > 0 {
		return result.New(result.PromiseBroken, "%v", d.broken)
	}
	fmt.Fprintln(d.out, "every promise looked at was kept")
	if c.Keep {
		d.keep()
	}
	return nil
}

func (d *demo) run() error {
	var err error
	d.fleet, err = standin.NewFleet(standin.FleetSpec{
		Places: []string{"north", "south"}, VMs: demoVMs, RackSize: 2,
		Capacity: fleet.Resources{CPUMilli: demoCores * 1000, MemoryMiB: demoCores * 1024},
		Service:  "vendline", Slots: 8, ServiceMS: 5, ListLag: 500 * time.Millisecond,
		KVListen: "127.0.0.1:0", ListListen: "127.0.0.1:0",
	})
	if err != nil {
		return errors.Trace(err)
	}
	for i := range 3 {
		if err := d.start(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	if err := d.apply(); err != nil {
		return err
	}
	loading, stopLoad := context.WithCancel(d.ctx)
	var callers sync.WaitGroup
	for i := range demoCallers {
		callers.Go(func() { d.caller(loading, i) })
	}
	err = d.scenes()
	stopLoad()
	callers.Wait()
	d.check()
	return err
}

// runScenario submits tasks, takes an endpoint out of service and replaces an
// entry while the service is under load.
func (d *demo) scenes() error {
	d.say("batch wave: %d archive and %d reconciliation tasks", demoArchive, demoReconcile)
	d.submit("archive", demoArchive, 2500)
	d.submit("reconcile", demoReconcile, 400)
	if !d.until("the VMs are full", func() bool { return d.running() >= demoArchive-4 }) {
		return nil
	}
	d.say("urgent previews arrive while the VMs are full")
	submitted := time.Now()
	d.submit("preview", demoUrgent, 100)
	d.until("urgent tasks end", func() bool { return d.doneOf("preview") == demoUrgent })
	d.say("urgent tasks were done after %d ms", time.Since(submitted).Milliseconds())
	d.say("an endpoint leaves; an entry is replaced")
	leaving := d.fleet.VMs()[0].ID
	d.fleet.Endpoints[leaving].SetFaults(standin.EndpointFaults{Leaving: true})
	if err := d.replace(0); err != nil {
		return err
	}
	d.until("all tasks end", func() bool {
		return d.doneOf("archive") == demoArchive && d.doneOf("reconcile") == demoReconcile
	})
	return nil
}

func (d *demo) say(format string, args ...any) { fmt.Fprintf(d.out, "- "+format+"\n", args...) }

func (d *demo) breaks(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}

// waitUntil waits until holds returns true. If the demo's time ends first, it
// records a violation and returns false.
func (d *demo) until(what string, holds func() bool) bool {
	for d.ctx.Err() == nil {
		if holds() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.breaks("never came: %s", what)
	return false
}

// startEntry runs an entry on free ports.
func (d *demo) start(id string) error {
	callers, peers, err := entry.Listen(entry.AnyPort, entry.AnyPort)
	if err != nil {
		return err
	}
	s := config.DefaultSettings()
	s.ID, s.Place = id, "north"
	s.Store.Addresses, s.Store.LeaseMS = []string{d.fleet.KVAddress}, 3000
	s.Platform.VMList, s.Platform.PollMS = d.fleet.Address, 200
	s.Timing.ExchangeEveryMS, s.Timing.CommitEveryMS, s.Timing.ClaimCommitEveryMS = 100, 20, 20
	s.Timing.DrainDelayMS = 500
	set := metrics.NewSet()
	logger, _ := logging.New(d.logs, "info", id, set)
	e := &demoEntry{
		id: id, addr: callers.Addr().String(), stop: make(chan struct{}), abort: make(chan struct{}),
		done: make(chan error, 1),
	}
	proc := entry.New(s, logger, set, callers, peers)
	go func() { e.done <- proc.Run(e.stop, e.abort) }()
	d.mu.Lock()
	d.entries = append(d.entries, e)
	d.mu.Unlock()
	return nil
}

// pickEntry returns the address of the next entry, as a load balancer would.
func (d *demo) pick() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[int(d.next.Add(1))%len(d.entries)].addr
}

func (d *demo) apply() error {
	r := &remote{Entry: d.pick()}
	_, _, err := r.call(http.MethodPut, "/v1/declarations", http.Header{"If-Match": {`"0"`}}, []byte(demoDeclarations))
	if err != nil {
		return err
	}
	d.until("every entry routes", func() bool {
		for _, e := range d.entries {
			if resp, err := http.Get("http://" + e.addr + "/v1/services/vendline/"); err != nil || resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	return nil
}

// replaceEntry starts a new entry and stops an old one as an operator would.
func (d *demo) replace(i int) error {
	old := d.entries[i]
	if err := d.start("entry-new"); err != nil {
		return err
	}
	d.mu.Lock()
	fresh := d.entries[len(d.entries)-1]
	d.entries = d.entries[:len(d.entries)-1]
	d.mu.Unlock()
	d.until("the new entry routes", func() bool {
		resp, err := http.Get("http://" + fresh.addr + "/v1/services/vendline/")
		return err == nil && resp.StatusCode == http.StatusOK
	})
	// The load balancer removes the old entry once it reports that it is not ready.
	close(old.stop)
	d.until("readiness is off", func() bool {
		resp, err := http.Get("http://" + old.addr + "/readyz")
		return err == nil && resp.StatusCode != http.StatusOK
	})
	d.mu.Lock()
	d.entries[i] = fresh
	d.mu.Unlock()
	select {
	case err := <-old.done:
		return err
	case <-d.ctx.Done():
		d.breaks("the drained entry did not stop")
		return nil
	}
}

// runCaller sends requests to the service, one after the other.
func (d *demo) caller(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		body := fmt.Sprintf("caller %d request %d", n, i)
		started := time.Now()
		resp, err := http.Post("http://"+d.pick()+"/v1/services/vendline/price", "text/plain", bytes.NewBufferString(body))
		var answer []byte
		if err == nil {
			answer, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		d.load.count(resp, answer, err, body, time.Since(started))
		time.Sleep(2 * time.Millisecond)
	}
}

func (l *demoLoad) count(resp *http.Response, answer []byte, err error, body string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	switch {
	case err != nil:
		l.cut++
	case resp.StatusCode == http.StatusOK && bytes.HasSuffix(answer, []byte(body+"\n")):
		l.answered++
		_ = l.latency.RecordValue(took.Microseconds())
	case resp.StatusCode == http.StatusOK:
		l.cut++
	default:
		var ref entry.Refusal
		_ = json.Unmarshal(answer, &ref)
		l.refused[ref.Code]++
	}
}

func (d *demo) submit(app string, n, workMS int) {
	var tasks []entry.Task
	payload, _ := json.Marshal(standin.Job{WorkMS: int64(workMS)})
	for i := range n {
		tasks = append(tasks, entry.Task{
			ID: fmt.Sprintf("%s-%02d", app, i), Kind: app, Labels: map[string]string{"app": app}, Payload: payload,
			Request: fleet.Resources{CPUMilli: 1000, MemoryMiB: 512},
		})
	}
	body, _ := json.Marshal(tasks)
	r := &remote{Entry: d.pick()}
	raw, _, err := r.call(http.MethodPost, "/v1/tasks", nil, body)
	var answers []entry.TaskAnswer
	if err != nil || json.Unmarshal(raw, &answers) != nil {
		d.breaks("submitting %s tasks: %v", app, err)
	}
	for _, a := range answers {
		if a.Code != result.OK {
			d.breaks("task %s: %v", a.ID, a.Code)
		}
	}
}

func (d *demo) tasks(app string) []entry.TaskStatus {
	r := &remote{Entry: d.pick()}
	raw, _, err := r.call(http.MethodGet, "/v1/tasks?selector=app%3D"+app, nil, nil)
	var list []entry.TaskStatus
	if err != nil || json.Unmarshal(raw, &list) != nil {
		return nil
	}
	return list
}

func (d *demo) doneOf(app string) int {
	n := 0
	for _, t := range d.tasks(app) {
		if t.Phase == "done" && t.Code == result.OK {
			n++
		}
	}
	return n
}

func (d *demo) running() int {
	n := 0
	for _, runs := range d.fleet.Books().Runs {
		for _, r := range runs {
			if r.State == fleet.AttemptRunning {
				n++
			}
		}
	}
	return n
}

// checkRecords compares the stand-ins' records with the guarantees.
func (d *demo) check() {
	for _, id := range d.fleet.Books().Overlaps() {
		d.breaks("task %s ran in two places", id)
	}
	if d.load.cut > 0 {
		d.breaks("%d requests were cut off or got another's answer", d.load.cut)
	}
	for code := range d.load.refused {
		if code.Family() != result.FamilyNotRun {
			d.breaks("requests ended with %v", code)
		}
	}
}

// printTable prints the numbers of requests, tasks, evictions and store calls,
// and records a violation if a task's evictions and resumptions differ.
func (d *demo) table() {
	tw := tabwriter.NewWriter(d.out, 0, 4, 2, ' ', 0)
	defer tw.Flush()
	l := &d.load
	fmt.Fprintf(tw, "\nrequests\tasked %d\tanswered %d\tcut off %d\n", l.asked, l.answered, l.cut)
	for code, n := range l.refused {
		fmt.Fprintf(tw, "\trefused %d\t%s\n", n, code)
	}
	q := func(p float64) float64 { return float64(l.latency.ValueAtQuantile(p)) / 1000 }
	fmt.Fprintf(tw, "latency ms\tp50 %.1f\tp99 %.1f\tp99.9 %.1f\n", q(50), q(99), q(99.9))
	fmt.Fprintf(tw, "\ntasks\tsubmitted\tdone\tevictions\tresumed\n")
	for _, app := range []string{"archive", "reconcile", "preview"} {
		var evictions, resumes uint32
		list := d.tasks(app)
		for _, t := range list {
			evictions += t.Evictions
			resumes += t.Resumes
		}
		if evictions != resumes {
			d.breaks("%s: %d evictions, %d resumed", app, evictions, resumes)
		}
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\n", app, len(list), d.doneOf(app), evictions, resumes)
	}
	calls := d.fleet.KV.Calls()
	fmt.Fprintf(tw, "\nstore\t%d calls\tof these %d writes\n\n", calls.Total(), calls.Writes())
}

// printCommands prints commands to try and waits for a signal.
func (d *demo) keep() {
	fmt.Fprintf(d.out, "\nTry:\n")
	for _, cmd := range []string{"members", "get", "status --selector app=archive", "status archive-00"} {
		fmt.Fprintf(d.out, "  leverstile %s --entry %s\n", cmd, d.entries[0].addr)
	}
	fmt.Fprintf(d.out, "  curl -i http://%s/v1/services/vendline/hello\nCtrl-C ends it.\n", d.entries[1].addr)
	stop, _ := stopSignals()
	<-stop
}

func (d *demo) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		close(e.abort)
	}
	if d.fleet != nil {
		d.fleet.Close()
	}
}
