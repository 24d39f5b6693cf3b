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
	demoTimeout   = 18 * time.Second
	demoCallers   = 12
)

// demo is the state of a run of the demo.
type demo struct {
	ctx        context.Context
	fleet      *standin.Fleet
	out        io.Writer
	logs       io.Writer
	mu         sync.Mutex
	entries    []*demoEntry
	next       atomic.Uint32
	load       demoLoad
	violations []string
}

type demoEntry struct {
	id, addr    string
	stop, abort chan struct{}
	done        chan error
}

// demoLoad counts the answers that callers of the service received.
type demoLoad struct {
	mu          sync.Mutex
	sent        int
	answered    int
	refused     map[result.Code]int
	interrupted int
	latency     *hdrhistogram.Histogram
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
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
	d.printTable()
	if len(d.violations) > 0 {
		return result.New(result.PromiseBroken, "%v", d.violations)
	}
	fmt.Fprintln(d.out, "every promise looked at was kept")
	if c.Keep {
		d.printCommands()
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
		if err := d.startEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	if err := d.applyDeclarations(); err != nil {
		return err
	}
	loading, stopLoad := context.WithCancel(d.ctx)
	var callers sync.WaitGroup
	for i := range demoCallers {
		callers.Go(func() { d.runCaller(loading, i) })
	}
	err = d.runScenario()
	stopLoad()
	callers.Wait()
	d.checkRecords()
	return err
}

// runScenario submits tasks, takes an endpoint out of service and replaces an
// entry while the service is under load.
func (d *demo) runScenario() error {
	d.printStep("batch wave: %d archive and %d reconciliation tasks", demoArchive, demoReconcile)
	d.submit("archive", demoArchive, 2500)
	d.submit("reconcile", demoReconcile, 400)
	if !d.waitUntil("the VMs are full", func() bool { return d.countRunning() >= demoArchive-4 }) {
		return nil
	}
	d.printStep("urgent previews arrive while the VMs are full")
	submitted := time.Now()
	d.submit("preview", demoUrgent, 100)
	d.waitUntil("urgent tasks end", func() bool { return d.countDone("preview") == demoUrgent })
	d.printStep("urgent tasks were done after %d ms", time.Since(submitted).Milliseconds())
	d.printStep("an endpoint leaves; an entry is replaced")
	leaving := d.fleet.VMs()[0].ID
	d.fleet.Endpoints[leaving].SetFaults(standin.EndpointFaults{Leaving: true})
	if err := d.replaceEntry(0); err != nil {
		return err
	}
	d.waitUntil("all tasks end", func() bool {
		return d.countDone("archive") == demoArchive && d.countDone("reconcile") == demoReconcile
	})
	return nil
}

func (d *demo) printStep(format string, args ...any) { fmt.Fprintf(d.out, "- "+format+"\n", args...) }

func (d *demo) recordViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// waitUntil waits until holds returns true. If the demo's time ends first, it
// records a violation and returns false.
func (d *demo) waitUntil(what string, holds func() bool) bool {
	for d.ctx.Err() == nil {
		if holds() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.recordViolation("never came: %s", what)
	return false
}

// startEntry runs an entry on free ports.
func (d *demo) startEntry(id string) error {
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
func (d *demo) pickEntry() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[int(d.next.Add(1))%len(d.entries)].addr
}

func (d *demo) applyDeclarations() error {
	r := &remote{Entry: d.pickEntry()}
	_, _, err := r.call(http.MethodPut, "/v1/declarations", http.Header{"If-Match": {`"0"`}}, []byte(demoDeclarations))
	if err != nil {
		return err
	}
	d.waitUntil("every entry routes", func() bool {
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
func (d *demo) replaceEntry(i int) error {
	old := d.entries[i]
	if err := d.startEntry("entry-new"); err != nil {
		return err
	}
	d.mu.Lock()
	fresh := d.entries[len(d.entries)-1]
	d.entries = d.entries[:len(d.entries)-1]
	d.mu.Unlock()
	d.waitUntil("the new entry routes", func() bool {
		resp, err := http.Get("http://" + fresh.addr + "/v1/services/vendline/")
		return err == nil && resp.StatusCode == http.StatusOK
	})
	// The load balancer removes the old entry once it reports that it is not ready.
	close(old.stop)
	d.waitUntil("readiness is off", func() bool {
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
		d.recordViolation("the drained entry did not stop")
		return nil
	}
}

// runCaller sends requests to the service, one after the other.
func (d *demo) runCaller(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		body := fmt.Sprintf("caller %d request %d", n, i)
		started := time.Now()
		resp, err := http.Post("http://"+d.pickEntry()+"/v1/services/vendline/price", "text/plain", bytes.NewBufferString(body))
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
	l.sent++
	switch {
	case err != nil:
		l.interrupted++
	case resp.StatusCode == http.StatusOK && bytes.HasSuffix(answer, []byte(body+"\n")):
		l.answered++
		_ = l.latency.RecordValue(took.Microseconds())
	case resp.StatusCode == http.StatusOK:
		l.interrupted++
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
	r := &remote{Entry: d.pickEntry()}
	raw, _, err := r.call(http.MethodPost, "/v1/tasks", nil, body)
	var answers []entry.TaskAnswer
	if err != nil || json.Unmarshal(raw, &answers) != nil {
		d.recordViolation("submitting %s tasks: %v", app, err)
	}
	for _, a := range answers {
		if a.Code != result.OK {
			d.recordViolation("task %s: %v", a.ID, a.Code)
		}
	}
}

func (d *demo) tasks(app string) []entry.TaskStatus {
	r := &remote{Entry: d.pickEntry()}
	raw, _, err := r.call(http.MethodGet, "/v1/tasks?selector=app%3D"+app, nil, nil)
	var list []entry.TaskStatus
	if err != nil || json.Unmarshal(raw, &list) != nil {
		return nil
	}
	return list
}

func (d *demo) countDone(app string) int {
	n := 0
	for _, t := range d.tasks(app) {
		if t.Phase == "done" && t.Code == result.OK {
			n++
		}
	}
	return n
}

func (d *demo) countRunning() int {
	n := 0
	for _, runs := range d.fleet.Records().Runs {
		for _, r := range runs {
			if r.State == fleet.AttemptRunning {
				n++
			}
		}
	}
	return n
}

// checkRecords compares the stand-ins' records with the guarantees.
func (d *demo) checkRecords() {
	for _, id := range d.fleet.Records().Overlaps() {
		d.recordViolation("task %s ran in two places", id)
	}
	if d.load.interrupted > 0 {
		d.recordViolation("%d requests were cut off or got another's answer", d.load.interrupted)
	}
	for code := range d.load.refused {
		if code.Family() != result.FamilyNotRun {
			d.recordViolation("requests ended with %v", code)
		}
	}
}

// printTable prints the numbers of requests, tasks, evictions and store calls,
// and records a violation if the evictions and resumptions of an app's tasks differ.
func (d *demo) printTable() {
	tw := tabwriter.NewWriter(d.out, 0, 4, 2, ' ', 0)
	defer tw.Flush()
	l := &d.load
	fmt.Fprintf(tw, "\nrequests\tasked %d\tanswered %d\tcut off %d\n", l.sent, l.answered, l.interrupted)
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
			d.recordViolation("%s: %d evictions, %d resumed", app, evictions, resumes)
		}
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\n", app, len(list), d.countDone(app), evictions, resumes)
	}
	calls := d.fleet.KV.Calls()
	fmt.Fprintf(tw, "\nstore\t%d calls\tof these %d writes\n\n", calls.Total(), calls.Writes())
}

// printCommands prints commands to try and waits for a signal.
func (d *demo) printCommands() {
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
