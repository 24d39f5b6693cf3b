// Package replay runs recorded traces of batch work and faults through a cell's
// owner and stand-in workers, in simulated time, and measures the effect on
// services, groups and tasks.
package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/juju/errors"
	"k8s.io/apimachinery/pkg/labels"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/cell"
	"leverstile.dev/fleet"
	"leverstile.dev/scheduler"
	"leverstile.dev/shard"
	"leverstile.dev/standin"
)

// Header is the first line of a trace.
type Header struct {
	Name     string          `json:"name"`
	Workers  int             `json:"workers"`
	Rack     int             `json:"rack"`
	Capacity fleet.Resources `json:"capacity"`
	Reserved fleet.Resources `json:"reserved"`
	Service  string          `json:"service"`
	// Load is the service's load at evenly spaced times over Seconds.
	Load    []float64 `json:"load"`
	Seconds int       `json:"seconds"`
	// LagS is how late the workers' samples arrive.
	LagS   int                `json:"lag_s"`
	Groups map[string]float64 `json:"groups"` // shares
	Kinds  []Kind             `json:"kinds"`
}

// Kind is a kind of task. Slowdown is what one task of it adds to the slow-down
// of the service on its VM at full load; the scheduler doesn't know it.
type Kind struct {
	Name     string          `json:"name"`
	Group    string          `json:"group"`
	Declared fleet.Resources `json:"declared"`
	Used     fleet.Resources `json:"used"`
	WorkS    float64         `json:"work_s"`
	Urgent   bool            `json:"urgent,omitempty"`
	Slowdown float64         `json:"slowdown,omitempty"`
}

// Line is an event of a trace at AtS seconds after its start.
type Line struct {
	AtS      int            `json:"at_s"`
	Submit   map[string]int `json:"submit,omitempty"` // number of tasks by kind
	Cancel   string         `json:"cancel,omitempty"` // kind
	BadWork  []int          `json:"bad_workers,omitempty"`
	LoseRack []int          `json:"lose_racks,omitempty"`
}

// Trace is a recorded trace.
type Trace struct {
	Header
	Lines []Line
}

// Policy is one of the scheduling policies that are compared.
type Policy struct {
	Name string
	New  func(model *scheduler.Interference) scheduler.Scheduler
	// Ladder enables throttling and eviction by slow-down samples.
	Ladder bool
}

// Policies are the compared policies.
var Policies = []Policy{
	{"chosen", func(m *scheduler.Interference) scheduler.Scheduler {
		return scheduler.NewPlanner(scheduler.DefaultLimits, m)
	}, true},
	{"fair-blind", func(*scheduler.Interference) scheduler.Scheduler {
		return scheduler.NewPlanner(scheduler.DefaultLimits, nil)
	}, false},
	{"first-fit", func(*scheduler.Interference) scheduler.Scheduler { return scheduler.NewFirstFit() }, false},
}

// Outcome contains the measurements of a replay.
type Outcome struct {
	Policy string
	// SlowP50, SlowP95 and SlowP99 are over the service's samples on all VMs.
	SlowP50, SlowP95, SlowP99 float64
	// CoreHours counts finished work by the processor time that it uses on an
	// otherwise empty VM.
	CoreHours float64
	Done      int
	Failed    int
	Cancelled int
	Open      int
	Evictions int
	// UrgentP99 is the time from submission to start of urgent tasks.
	UrgentP99 time.Duration
	// ShareError is the mean difference between a group's part of the used
	// resources and its share, while more than one group has waiting work.
	ShareError float64
	// LastDone is when the last task ended.
	LastDone time.Duration
	// Overlaps counts runs that overlap an earlier run of their task.
	Overlaps int
}

const (
	tick        = 500 * time.Millisecond
	sampleEvery = 10 * time.Second
)

type player struct {
	trace           *Trace
	now             time.Duration
	kv              *standin.KVStore
	owner           *cell.Owner
	workers         []*standin.Worker
	stoppedVMs      map[int]bool
	heldCalls       map[string]cell.Sync
	kinds           map[string]Kind
	ticket          uint64
	submitted       map[string]int
	submittedAt     map[string]time.Duration
	slowdownFactors []float64
	shareSamples    int
	out             Outcome
	err             error
}

// Play replays a trace with a policy.
func Play(t *Trace, policy Policy) (Outcome, error) {
	p := &player{
		trace: t, now: time.Hour, stoppedVMs: map[int]bool{}, heldCalls: map[string]cell.Sync{}, kinds: map[string]Kind{},
		submitted: map[string]int{}, submittedAt: map[string]time.Duration{}, out: Outcome{Policy: policy.Name},
	}
	if err := p.build(policy); err != nil {
		return p.out, err
	}
	lines := t.Lines
	end := p.now + time.Duration(t.Seconds)*time.Second
	start := p.now
	for nextSample := p.now; p.now < end; p.now += tick {
		for len(lines) > 0 && p.now-start >= time.Duration(lines[0].AtS)*time.Second {
			p.applyLine(lines[0])
			lines = lines[1:]
		}
		if p.now >= nextSample {
			nextSample += sampleEvery
			p.sample()
		}
		if err := p.exchangeMessages(); err != nil {
			return p.out, err
		}
	}
	p.summarize()
	return p.out, p.err
}

func (p *player) build(policy Policy) error {
	base := time.Unix(0, 0)
	p.kv = standin.NewKVStore(func() time.Time { return base.Add(p.now) })
	for _, k := range p.trace.Kinds {
		p.kinds[k.Name] = k
	}
	begin := p.now
	for i := range p.trace.Workers {
		w := standin.NewWorker(fmt.Sprintf("vm-%03d", i), p.trace.Capacity.Sub(p.trace.Reserved))
		w.EnforceLimits, w.SampleLag = true, time.Duration(p.trace.LagS)*time.Second
		w.SlowdownOf = func(kinds map[string]int, now time.Duration) []fleet.Slowdown {
			return p.slowdown(kinds, now-begin)
		}
		p.workers = append(p.workers, w)
	}
	params := cell.DefaultParams("c", "entry")
	params.RetryEvery, params.HeartbeatEvery, params.Retain = tick, 8*time.Second, 100*time.Hour
	sp := shard.Params{
		Name: "cell-c", Self: "entry", CommitEvery: tick, RetryEvery: tick,
		MaxValueBytes: shard.DefaultMaxValueBytes, SnapshotBytes: shard.DefaultSnapshotBytes,
	}
	model := scheduler.NewInterference(scheduler.DefaultInterferenceParams)
	s := policy.New(model)
	if !policy.Ladder {
		model = nil
	}
	p.owner = cell.NewOwner(params, sp, s, model)
	var groups []scheduler.GroupSpec
	for name, share := range p.trace.Groups {
		groups = append(groups, scheduler.GroupSpec{Name: name, Share: share})
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	p.owner.SetGroups(groups)
	p.owner.SetVMs(p.now, p.vms())
	p.owner.Core().SetWanted(true)
	id, err := p.kv.Grant(context.Background(), 100*time.Hour)
	if err != nil {
		return errors.Trace(err)
	}
	p.owner.Core().SetLease(id, p.now+100*time.Hour)
	return nil
}

func (p *player) vms() []fleet.VM {
	var out []fleet.VM
	for i, w := range p.workers {
		if !p.stoppedVMs[i] {
			out = append(out, fleet.VM{
				ID: w.ID, State: fleet.VMLive, Capacity: p.trace.Capacity, Reserved: p.trace.Reserved, Worker: w.ID,
				Endpoints: []fleet.EndpointAddr{{Service: p.trace.Service, Address: w.ID}},
			})
		}
	}
	return out
}

func (p *player) load(at time.Duration) float64 {
	if len(p.trace.Load) == 0 {
		return 0
	}
	x := at.Seconds() / float64(p.trace.Seconds) * float64(len(p.trace.Load)-1)
	i := min(int(x), len(p.trace.Load)-1)
	j := min(i+1, len(p.trace.Load)-1)
	return p.trace.Load[i] + (x-float64(i))*(p.trace.Load[j]-p.trace.Load[i])
}

// slowdown returns the actual slow-down, which the scheduler has to learn.
func (p *player) slowdown(kinds map[string]int, at time.Duration) []fleet.Slowdown {
	load := p.load(at)
	factor := 1.0
	for name, n := range kinds {
		factor += float64(n) * p.kinds[name].Slowdown * load
	}
	p.slowdownFactors = append(p.slowdownFactors, factor)
	return []fleet.Slowdown{{Service: p.trace.Service, Factor: factor, Load: load}}
}

// sample makes all workers measure, and records the groups' resource use.
func (p *player) sample() {
	for i, w := range p.workers {
		if !p.stoppedVMs[i] {
			w.Measure(p.now)
		}
	}
	p.sampleShares()
}

// sampleShares compares the groups' resource use with their shares while several
// groups have waiting tasks.
func (p *player) sampleShares() {
	waiting := p.owner.Waiting()
	use := p.owner.InUse()
	shares, held := 0.0, 0.0
	for name, n := range waiting {
		if n > 0 {
			shares += p.trace.Groups[name]
			held += float64(use[name].CPUMilli)
		}
	}
	if len(waiting) < 2 || held == 0 {
		return
	}
	for name, n := range waiting {
		if n > 0 {
			p.shareSamples++
			p.out.ShareError += math.Abs(float64(use[name].CPUMilli)/held - p.trace.Groups[name]/shares)
		}
	}
}

func (p *player) applyLine(l Line) {
	names := make([]string, 0, len(l.Submit))
	for name := range l.Submit {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		p.submit(p.kinds[name], l.Submit[name])
	}
	if l.Cancel != "" {
		p.ticket++
		p.owner.Cancel(p.now, p.ticket, "", labels.SelectorFromSet(labels.Set{"kind": l.Cancel}))
	}
	for _, i := range l.BadWork {
		p.workers[i].SetFaults(standin.WorkerFaults{FailEverything: true})
	}
	for _, rack := range l.LoseRack {
		for i := rack * p.trace.Rack; i < min((rack+1)*p.trace.Rack, len(p.workers)); i++ {
			p.workers[i].Reboot(p.now)
			p.stoppedVMs[i] = true
		}
	}
	if len(l.LoseRack) > 0 {
		p.owner.SetVMs(p.now, p.vms())
	}
}

// submit submits n tasks of a kind; their run times lie between half and one and
// a half of the kind's.
func (p *player) submit(k Kind, n int) {
	var specs []*journalv1.TaskSpec
	for range n {
		i := p.submitted[k.Name]
		p.submitted[k.Name]++
		work := k.WorkS * (0.5 + float64(i*7919%1000)/1000)
		job, err := json.Marshal(standin.Job{WorkMS: int64(1000 * work), Used: k.Used})
		p.err = errors.Trace(err)
		id := fmt.Sprintf("%s-%05d", k.Name, i)
		p.submittedAt[id] = p.now
		specs = append(specs, &journalv1.TaskSpec{
			Id: id, Kind: k.Name, Group: k.Group, Urgent: k.Urgent, Payload: job, Labels: map[string]string{"kind": k.Name},
			Request: &journalv1.Resources{CpuMilli: k.Declared.CPUMilli, MemoryMib: k.Declared.MemoryMiB, Accelerators: k.Declared.Accelerators},
		})
	}
	p.ticket++
	p.owner.Submit(p.now, p.ticket, specs)
}

// exchangeMessages delivers all messages of one tick.
func (p *player) exchangeMessages() error {
	p.owner.Tick(p.now)
	p.answerHeldCalls()
	for range maxRounds {
		cmds := p.owner.Take()
		for _, err := range cmds.Errs {
			return err
		}
		for _, r := range cmds.Replies {
			for _, t := range r.Tasks {
				p.countTask(t)
			}
		}
		for _, d := range cmds.Decisions {
			if d.What == "evict" {
				p.out.Evictions++
			}
		}
		if len(cmds.Store)+len(cmds.Syncs) == 0 {
			return nil
		}
		for _, op := range cmds.Store {
			a := shard.Answer{ID: op.ID}
			if op.Txn != nil {
				a.Txn, a.Err = p.kv.Do(context.Background(), *op.Txn)
			} else {
				a.Pairs, _, a.Err = p.kv.Range(context.Background(), op.Prefix)
			}
			p.owner.StoreAnswer(p.now, a)
		}
		for _, s := range cmds.Syncs {
			p.sync(s)
		}
	}
	return errors.New("owner and workers still exchange calls after the limit of rounds for one tick")
}

// maxRounds bounds the rounds of calls and answers within one tick.
const maxRounds = 200

func (p *player) workerIndex(id string) int {
	var i int
	_, err := fmt.Sscanf(id, "vm-%d", &i)
	p.err = errors.Trace(err)
	return i
}

func (p *player) sync(s cell.Sync) {
	i := p.workerIndex(s.Worker)
	if p.stoppedVMs[i] {
		p.owner.WorkerAnswer(p.now, s.Worker, s.Request.Term, s.Request.Seq, nil, errors.New("gone"))
		return
	}
	reply := p.workers[i].Sync(p.now, s.Request)
	if s.Request.WaitMS > 0 && hasNoUpdates(reply) {
		p.heldCalls[s.Worker] = s
		return
	}
	delete(p.heldCalls, s.Worker)
	p.owner.WorkerAnswer(p.now, s.Worker, s.Request.Term, s.Request.Seq, reply, nil)
}

func hasNoUpdates(r *fleet.SyncReply) bool {
	return len(r.Ended)+len(r.Usage)+len(r.Slowdowns) == 0 && r.Refused == ""
}

// answerHeldCalls answers the calls that workers hold once there are updates.
func (p *player) answerHeldCalls() {
	for i, w := range p.workers {
		s, ok := p.heldCalls[w.ID]
		if !ok {
			continue
		}
		reply := w.Report(p.now, s.Request)
		if p.stoppedVMs[i] || !hasNoUpdates(reply) {
			delete(p.heldCalls, w.ID)
			p.owner.WorkerAnswer(p.now, w.ID, s.Request.Term, s.Request.Seq, reply, nil)
		}
	}
}

func (p *player) summarize() {
	sort.Float64s(p.slowdownFactors)
	if n := len(p.slowdownFactors); n > 0 {
		p.out.SlowP50, p.out.SlowP95, p.out.SlowP99 = p.slowdownFactors[n/2], p.slowdownFactors[n*95/100], p.slowdownFactors[n*99/100]
	}
	if p.shareSamples > 0 {
		p.out.ShareError /= float64(p.shareSamples)
	}
	p.measureRuns()
	p.ticket++
	p.owner.Get(p.now, p.ticket, "", labels.Everything())
	// The reply waits for the commit of what it reports.
	for range 4 {
		p.now += tick
		p.err = p.exchangeMessages()
	}
}

func (p *player) countTask(t *journalv1.TaskState) {
	switch {
	case cell.Phase(t.GetPhase()) != cell.Done:
		p.out.Open++
	case result.Code(t.GetCode()) == result.OK:
		p.out.Done++
	case result.Code(t.GetCode()) == result.TaskCancelled:
		p.out.Cancelled++
	default:
		p.out.Failed++
	}
}

// measureRuns computes finished work, overlaps and start times from the workers'
// run records.
func (p *player) measureRuns() {
	byTask := map[string][]standin.Run{}
	for _, w := range p.workers {
		w.Running(p.now)
		for _, r := range w.Runs() {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	var urgent []time.Duration
	for id, runs := range byTask {
		k := p.kinds[id[:len(id)-6]]
		sort.Slice(runs, func(i, j int) bool { return runs[i].Began < runs[j].Began })
		for i, r := range runs {
			if i > 0 && (runs[i-1].Ended == 0 || r.Began < runs[i-1].Ended) {
				p.out.Overlaps++
			}
			if r.State == fleet.AttemptFinished {
				var n int
				_, err := fmt.Sscanf(id[len(id)-5:], "%d", &n)
				p.err = errors.Trace(err)
				work := k.WorkS * (0.5 + float64(n*7919%1000)/1000)
				p.out.CoreHours += work * float64(k.Used.CPUMilli) / 1000 / 3600
				p.out.LastDone = max(p.out.LastDone, r.Ended-time.Hour)
			}
		}
		if k.Urgent {
			urgent = append(urgent, runs[0].Began-p.submittedAt[id])
		}
	}
	sort.Slice(urgent, func(i, j int) bool { return urgent[i] < urgent[j] })
	if n := len(urgent); n > 0 {
		p.out.UrgentP99 = urgent[n*99/100]
	}
}
