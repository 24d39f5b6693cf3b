package measure

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/juju/errors"
	"k8s.io/apimachinery/pkg/labels"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/cell"
	"leverstile.dev/fleet"
	"leverstile.dev/scheduler"
	"leverstile.dev/shard"
	"leverstile.dev/standin"
)

// runs is how often each figure is measured.
const runs = 3

// rig drives one cell's owner against the stand-ins by hand, in a time of its
// own.
type rig struct {
	now     time.Duration
	kv      *standin.KVStore
	owner   *cell.Owner
	workers map[string]*standin.Worker
	vms     []fleet.VM
	ticket  uint64
	lease   int64
}

var vmSize = fleet.Resources{CPUMilli: 64_000, MemoryMiB: 250 * 1024}

func newRig(workers, groups int) (*rig, error) {
	r := &rig{now: time.Hour, workers: map[string]*standin.Worker{}}
	base := time.Unix(0, 0)
	r.kv = standin.NewKVStore(func() time.Time { return base.Add(r.now) })
	for i := range workers {
		id := fmt.Sprintf("vm-%05d", i)
		r.workers[id] = standin.NewWorker(id, vmSize)
		r.vms = append(r.vms, fleet.VM{
			ID: id, Place: "place", Rack: fmt.Sprint("rack-", i/8), State: fleet.VMLive, Capacity: vmSize, Worker: id,
		})
	}
	return r, r.takeOver(groups)
}

// takeOver makes a new owner and waits until it owns the cell.
func (r *rig) takeOver(groups int) error {
	params := cell.DefaultParams("c", "entry")
	sp := shard.Params{
		Name: "cell-c", Self: "entry", CommitEvery: shard.DefaultCommitEvery, RetryEvery: shard.DefaultRetryEvery,
		MaxValueBytes: shard.DefaultMaxValueBytes, SnapshotBytes: shard.DefaultSnapshotBytes,
	}
	model := scheduler.NewInterference(scheduler.DefaultInterferenceParams)
	r.owner = cell.NewOwner(params, sp, scheduler.NewPlanner(scheduler.DefaultLimits, model), model)
	var specs []scheduler.GroupSpec
	for i := range groups {
		specs = append(specs, scheduler.GroupSpec{Name: fmt.Sprint("group-", i), Share: float64(1 + i%5)})
	}
	r.owner.SetGroups(specs)
	r.owner.SetVMs(r.now, r.vms)
	r.owner.Core().SetWanted(true)
	r.kv.ExpireLease(r.lease) // the former owner's
	var err error
	if r.lease, err = r.kv.Grant(context.Background(), time.Hour); err != nil {
		return errors.Trace(err)
	}
	r.owner.Core().SetLease(r.lease, r.now+time.Hour)
	for range 200 {
		if err := r.round(); err != nil {
			return err
		}
		if r.owner.Core().MayDecide(r.now) {
			return nil
		}
	}
	return errors.New("the cell was not taken over")
}

// round lets 10 ms pass and delivers all messages.
func (r *rig) round() error {
	r.now += 10 * time.Millisecond
	r.owner.Tick(r.now)
	for {
		cmds := r.owner.Take()
		if len(cmds.Store)+len(cmds.Syncs) == 0 {
			return nil
		}
		for _, op := range cmds.Store {
			r.owner.StoreAnswer(r.now, r.store(op))
		}
		for _, s := range cmds.Syncs {
			if s.Request.WaitMS > 0 {
				continue // held by the worker
			}
			reply := r.workers[s.Worker].Sync(r.now, s.Request)
			r.owner.WorkerAnswer(r.now, s.Worker, s.Request.Term, s.Request.Seq, reply, nil)
		}
		for _, err := range cmds.Errs {
			return err
		}
	}
}

func (r *rig) store(op shard.Op) shard.Answer {
	a := shard.Answer{ID: op.ID}
	if op.Txn != nil {
		a.Txn, a.Err = r.kv.Do(context.Background(), *op.Txn)
	} else {
		a.Pairs, _, a.Err = r.kv.Range(context.Background(), op.Prefix)
	}
	return a
}

// taskSize fits 32 to a VM.
var taskSize = &journalv1.Resources{CpuMilli: 2000, MemoryMib: 4096}

func (r *rig) submit(first, n, groups int) {
	var specs []*journalv1.TaskSpec
	for i := first; i < first+n; i++ {
		specs = append(specs, &journalv1.TaskSpec{
			Id: fmt.Sprintf("reconcile-2026-12-02-%06d", i), Kind: "reconcile", Group: fmt.Sprint("group-", i%groups),
			Labels: map[string]string{"app": "reconcile"}, Request: taskSize, Payload: []byte(`{"work_ms":86400000}`),
		})
	}
	r.ticket++
	r.owner.Submit(r.now, r.ticket, specs)
}

// fill submits n tasks and runs until all have been started. It returns the
// processor time by start.
func (r *rig) fill(n, groups int) (float64, error) {
	const batch = 256
	began := cpuTime()
	for first := 0; first < n; first += batch {
		r.submit(first, min(batch, n-first), groups)
		for i := 0; int(r.owner.Counters().Started) < min(first+batch, n); i++ {
			if err := r.round(); err != nil {
				return 0, err
			}
			if i > 1000 {
				return 0, errors.Errorf("%d of %d tasks started", r.owner.Counters().Started, n)
			}
		}
	}
	return float64((cpuTime() - began).Microseconds()) / float64(n), nil
}

// cells measures the cell owner by workers, tasks and groups.
func cells(r *Report) error {
	for _, size := range []struct{ workers, tasks, groups int }{{64, 1200, 100}, {128, 2400, 100}, {470, 9000, 100}, {470, 9000, 1000}} {
		if err := measureCell(r, size.workers, size.tasks, size.groups); err != nil {
			return err
		}
	}
	return nil
}

func measureCell(r *Report, workers, tasks, groups int) error {
	var start, perWorker, perTask, journal, writes, recovery, cancel, cancelOne, failover []float64
	for range runs {
		before := heap()
		g, err := newRig(workers, groups)
		if err != nil {
			return err
		}
		empty := heap()
		calls := g.kv.Calls()
		us, err := g.fill(tasks, groups)
		if err != nil {
			return err
		}
		full := heap()
		after := g.kv.Calls()
		start = append(start, us)
		perWorker = append(perWorker, (empty-before)/float64(workers))
		perTask = append(perTask, (full-empty)/float64(tasks))
		journal = append(journal, float64(after.Bytes-calls.Bytes)/float64(tasks))
		writes = append(writes, 1000*float64(after.Writes()-calls.Writes())/float64(tasks))

		began := time.Now()
		reads := g.kv.Calls().Total()
		if err := g.takeOver(groups); err != nil {
			return err
		}
		recovery = append(recovery, float64(time.Since(began).Microseconds())/1000)
		failover = append(failover, float64(g.kv.Calls().Total()-reads))

		began = time.Now()
		g.ticket++
		sel := labels.SelectorFromSet(labels.Set{"app": "reconcile"})
		g.owner.Cancel(g.now, g.ticket, "", sel)
		took := float64(time.Since(began).Microseconds())
		cancel = append(cancel, took/1000)
		cancelOne = append(cancelOne, took/float64(tasks))
		runtime.KeepAlive(g)
	}
	label := fmt.Sprintf("cell of %d workers, %d tasks, %d groups: ", workers, tasks, groups)
	r.add(label+"processor time by task submitted, placed, committed and sent", "us", tasks, start...)
	r.add(label+"heap by worker, stand-in included", "B", workers, perWorker...)
	r.add(label+"heap by running task, stand-ins included", "B", tasks, perTask...)
	r.add(label+"journal by task submitted and started", "B", tasks, journal...)
	r.add(label+"store writes by 1,000 starts at full speed", "calls", 1000, writes...)
	r.add(label+"takeover, from nothing to deciding", "ms", tasks, recovery...)
	r.add(label+"store calls of a takeover", "calls", 1, failover...)
	r.add(label+"cancellation of all tasks, decided", "ms", tasks, cancel...)
	r.add(label+"cancellation by task", "us", tasks, cancelOne...)
	return nil
}
