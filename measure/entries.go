package measure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/phuslu/log"

	"leverstile.dev/config"
	"leverstile.dev/entry"
	"leverstile.dev/fleet"
	"leverstile.dev/standin"
)

// idleTime is a multiple of the heartbeats.
const idleTime = 16 * time.Second

// group is a number of entries in this process, on sockets of their own.
type group struct {
	fleet   *standin.Fleet
	entries []member
}

type member struct {
	url   string
	set   *metrics.Set
	abort chan struct{}
	done  chan error
}

func newGroup(entries, vms int) (*group, error) {
	fleet, err := standin.NewFleet(standin.FleetSpec{
		Places: []string{"a", "b"}, VMs: vms, RackSize: 8, Capacity: vmSize, Service: "svc", Slots: 8, ServiceMS: 1,
		KVListen: "127.0.0.1:0", ListListen: "127.0.0.1:0",
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	g := &group{fleet: fleet}
	for i := range entries {
		if err := g.start(i); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func (g *group) start(i int) error {
	callers, peers, err := entry.Listen(entry.AnyPort, entry.AnyPort)
	if err != nil {
		return err
	}
	s := config.DefaultSettings()
	s.ID, s.Place = fmt.Sprintf("entry-%03d", i), [2]string{"a", "b"}[i%2]
	s.Store.Addresses, s.Platform.VMList = []string{g.fleet.KVAddress}, g.fleet.Address
	m := member{url: "http://" + callers.Addr().String(), set: metrics.NewSet(), abort: make(chan struct{}), done: make(chan error, 1)}
	quiet := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	e := entry.New(s, quiet, m.set, callers, peers)
	go func() { m.done <- e.Run(nil, m.abort) }()
	g.entries = append(g.entries, m)
	return nil
}

func (g *group) close() {
	for _, m := range g.entries {
		close(m.abort)
	}
	for _, m := range g.entries {
		<-m.done
	}
	g.fleet.Close()
}

// counter sums a counter over all entries.
func (g *group) counter(name string) float64 {
	sum := 0.0
	for _, m := range g.entries {
		var b strings.Builder
		m.set.WritePrometheus(&b)
		for line := range strings.Lines(b.String()) {
			var v float64
			if strings.HasPrefix(line, name+" ") {
				if _, err := fmt.Sscan(line[len(name):], &v); err == nil {
					sum += v
				}
			}
		}
	}
	return sum
}

// apply changes the declarations and returns the time until they are in force
// on all entries.
func (g *group) apply(base int) (time.Duration, error) {
	doc := fmt.Sprintf(`{"groups":[{"name":"g","share":%d}],"services":[{"name":"svc","group":"g","slots":8,"connections":64}],
		"selectors":[{"name":"s","match":"app=x","group":"g"}],"cells":[{"name":"a","vms":"place=a"},{"name":"b","vms":"place=b"}]}`, base+1)
	req, err := http.NewRequest(http.MethodPut, g.entries[0].url+"/v1/declarations", strings.NewReader(doc))
	if err != nil {
		return 0, errors.Trace(err)
	}
	req.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(base)))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	_ = resp.Body.Close()
	accepted := time.Now()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("apply: status %d", resp.StatusCode)
	}
	want := float64((base + 1) * len(g.entries))
	for g.counter("leverstile_declarations_revision") < want {
		if time.Since(accepted) > 10*time.Second {
			return 0, errors.New("not in force everywhere after 10 s")
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(accepted), nil
}

// entries measures idle control traffic and the spread of declarations.
func entries(r *Report) error {
	for _, n := range []int{2, 8, 32} {
		if err := measureEntries(r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureEntries(r *Report, n int) error {
	const vms = 32
	g, err := newGroup(n, vms)
	if err != nil {
		return err
	}
	defer g.close()
	time.Sleep(time.Second)
	if _, err := g.apply(0); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	calls := g.fleet.KV.Calls().Total()
	var force []float64
	for base := 1; base <= 5; base++ {
		took, err := g.apply(base)
		if err != nil {
			return err
		}
		force = append(force, float64(took.Microseconds())/1000)
	}
	perChange := float64(g.fleet.KV.Calls().Total()-calls) / 5
	r.add("entries: time from acceptance to in force on all", "ms", n, force...)
	r.add("entries: store calls by change of declarations", "calls", n, perChange)
	g.idle(r, n, vms)
	return g.tasks(r)
}

// tasks measures what one task costs in traffic, from submission to its end.
func (g *group) tasks(r *Report) error {
	const count = 1000
	var tasks []entry.Task
	for i := range count {
		tasks = append(tasks, entry.Task{
			ID: fmt.Sprintf("task-%05d", i), Kind: "measured", Labels: map[string]string{"app": "x"},
			Request: fleet.Resources{CPUMilli: 1000, MemoryMiB: 1024}, Payload: json.RawMessage(`{"work_ms":500}`),
		})
	}
	body, err := json.Marshal(tasks)
	if err != nil {
		return errors.Trace(err)
	}
	before, store := g.traffic(), g.fleet.KV.Calls()
	resp, err := http.Post(g.entries[0].url+"/v1/tasks", "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	_ = resp.Body.Close()
	for began := time.Now(); g.finished() < count; time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > time.Minute {
			return errors.Errorf("%d of %d tasks finished", g.finished(), count)
		}
	}
	r.add("entries: platform traffic by task, from submission to its end", "B", len(g.entries), (g.traffic()-before)/count)
	r.add("entries: store writes by 1,000 tasks, 2 cells", "calls", len(g.entries), float64(g.fleet.KV.Calls().Writes()-store.Writes()))
	return nil
}

func (g *group) traffic() float64 {
	return g.counter("leverstile_platform_sent_bytes_total") + g.counter("leverstile_platform_read_bytes_total")
}

// finished counts the runs that ended well by the workers' books.
func (g *group) finished() int {
	n := 0
	for _, runs := range g.fleet.Books().Runs {
		for _, run := range runs {
			if run.State == fleet.AttemptFinished {
				n++
			}
		}
	}
	return n
}

// idle measures what entries spend on control with nothing to do.
func (g *group) idle(r *Report, n, vms int) {
	time.Sleep(time.Second)
	names := []string{
		"leverstile_peer_sent_bytes_total", "leverstile_peer_read_bytes_total",
		"leverstile_platform_sent_bytes_total", "leverstile_platform_read_bytes_total", "leverstile_worker_calls_total",
	}
	before := map[string]float64{}
	for _, name := range names {
		before[name] = g.counter(name)
	}
	store, cpu, began := g.fleet.KV.Calls(), cpuTime(), time.Now()
	time.Sleep(idleTime)
	seconds := time.Since(began).Seconds()
	used := (cpuTime() - cpu).Seconds()
	rate := func(name string) float64 { return (g.counter(name) - before[name]) / seconds }
	entries := float64(n)
	r.add("entries: peer traffic by entry, sent and read, headers included", "B/s", n, (rate(names[0])+rate(names[1]))/entries)
	r.add("entries: platform traffic by entry, workers and VM list, sent and read, headers included", "B/s", n, (rate(names[2])+rate(names[3]))/entries)
	r.add("entries: worker calls by worker", "calls/s", vms, rate(names[4])/float64(vms))
	r.add("entries: store calls by entry, idle", "calls/s", n, float64(g.fleet.KV.Calls().Total()-store.Total())/seconds/entries)
	r.add("entries: processor time by entry, idle, stand-ins included", "% of a core", n, 100*used/seconds/entries)
	r.add("entries: heap by entry, stand-ins included", "MB", n, heap()/entries/1e6)
}
