package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	peerv1 "leverstile.dev/api/gen/leverstile/peer/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/cell"
	"leverstile.dev/config"
	"leverstile.dev/fleet"
	"leverstile.dev/scheduler"
)

// shardTickInterval is the interval of the ticks of a shard's owner.
const shardTickInterval = 10 * time.Millisecond

// cellRunner runs the owner of one cell in this entry: it carries out the
// owner's commands and passes on the answers.
type cellRunner struct {
	entry  *Entry
	name   string
	loop   *loop
	owner  *cell.Owner
	status status
	ctx    context.Context

	// The fields below are only used by the loop.
	lastTicket   uint64
	pendingCalls map[uint64]chan cell.Reply
	rev          *revision

	mu        sync.Mutex
	lastUsage []*peerv1.GroupUsage
	sequence  uint64
}

func newCellRunner(e *Entry, name string) *cellRunner {
	params := cell.DefaultParams(name, e.settings.ID)
	params.TaskLease = config.Ms(e.settings.Timing.TaskLeaseMS)
	params.OutageGrace = config.Ms(e.settings.Timing.OutageGraceMS)
	params.HeartbeatEvery = min(params.HeartbeatEvery, params.TaskLease/4)
	model := scheduler.NewInterference(scheduler.DefaultInterferenceParams)
	planner := scheduler.NewPlanner(scheduler.DefaultLimits, model)
	c := &cellRunner{
		entry: e, name: name, pendingCalls: map[uint64]chan cell.Reply{}, ctx: context.Background(),
		owner: cell.NewOwner(params, e.shardParams(cellShard+name, config.Ms(e.settings.Timing.CommitEveryMS)), planner, model),
	}
	c.loop = newLoop(shardTickInterval, func() { c.owner.Tick(e.clock()) }, c.flush)
	return c
}

// update passes changes to the owner: the preferred owner, the declarations,
// the VMs and the usage of other cells.
func (c *cellRunner) update(ctx context.Context, wanted bool, rev *revision, vms []fleet.VM, elsewhere map[string]fleet.Resources) {
	c.loop.post(ctx, func() {
		now := c.entry.clock()
		c.ctx = ctx
		c.owner.Core().SetWanted(wanted)
		if c.rev != rev {
			c.rev = rev
			c.owner.SetGroups(groupSpecs(rev.decl))
		}
		if c.entry.view.vmsKnown() {
			c.owner.SetVMs(now, vms)
		}
		c.owner.SetElsewhere(elsewhere, c.entry.capacityElsewhere(vms))
		c.owner.Tick(now)
		c.summarize()
	})
}

func groupSpecs(d *config.Declarations) []scheduler.GroupSpec {
	out := make([]scheduler.GroupSpec, 0, len(d.Groups))
	for _, g := range d.Groups {
		out = append(out, scheduler.GroupSpec{Name: g.Name, Parent: g.Parent, Share: g.Share, Quota: g.Quota})
	}
	return out
}

func (v *view) vmsKnown() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.vmsAt != 0
}

// capacityElsewhere returns the capacity of all VMs with workers except those
// in here.
func (e *Entry) capacityElsewhere(here []fleet.VM) fleet.Resources {
	var sum fleet.Resources
	for _, vm := range e.view.listVMs() {
		if vm.Worker != "" {
			sum = sum.Add(vm.Capacity.Sub(vm.Reserved))
		}
	}
	for _, vm := range here {
		sum = sum.Sub(vm.Capacity.Sub(vm.Reserved))
	}
	return sum
}

// summarize refreshes the groups' usage that peers are sent.
func (c *cellRunner) summarize() {
	var out []*peerv1.GroupUsage
	c.sequence++
	// The term in the upper bits orders summaries of successive owners.
	seq := c.owner.Core().Term()<<32 | c.sequence&0xffffffff
	if c.status.ownedTerm() > 0 {
		for group, r := range c.owner.InUse() {
			out = append(out, &peerv1.GroupUsage{
				Cell: c.name, Group: group, Sequence: seq,
				InUse: &journalv1.Resources{CpuMilli: r.CPUMilli, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators},
			})
		}
	}
	c.mu.Lock()
	c.lastUsage = out
	c.mu.Unlock()
}

func (c *cellRunner) usage() []*peerv1.GroupUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsage
}

// flush carries out the owner's commands.
func (c *cellRunner) flush() {
	core := c.owner.Core()
	core.SetLease(c.entry.lease.forShards())
	cmds := c.owner.Take()
	c.status.set(core)
	ctx := c.ctx
	for _, op := range cmds.Store {
		go func() {
			a := c.entry.storeOp(ctx, op)
			c.loop.post(ctx, func() { c.owner.StoreAnswer(c.entry.clock(), a) })
		}()
	}
	for _, s := range cmds.Syncs {
		go c.sync(ctx, s)
	}
	for _, r := range cmds.Replies {
		if ch := c.pendingCalls[r.Ticket]; ch != nil {
			delete(c.pendingCalls, r.Ticket)
			ch <- r // buffered for one
		}
	}
	for _, d := range cmds.Decisions {
		c.logDecision(d)
	}
	for _, err := range cmds.Errs {
		c.entry.log.Error().Err(err).Str("cell", c.name).Msg("cell")
	}
}

func (c *cellRunner) sync(ctx context.Context, s cell.Sync) {
	reply, err := c.entry.fleet.Sync(ctx, s.Address, s.Request)
	c.loop.post(ctx, func() {
		c.owner.WorkerAnswer(c.entry.clock(), s.Worker, s.Request.Term, s.Request.Seq, reply, err)
	})
}

func (c *cellRunner) logDecision(d cell.Decision) {
	rev := uint64(0)
	if c.rev != nil {
		rev = c.rev.number
	}
	c.entry.log.Info().Str("decision", d.What).Str("cell", c.name).Str("task", d.Task).
		Uint32("attempt", d.Attempt).Str("vm", d.Worker).Str("reason", d.Reason).
		Float64("score", d.Score).Int("fitting", d.Fitting).
		Uint64("term", d.Term).Uint64("revision", rev).Msg("placement")
	c.entry.set.GetOrCreateCounter(`leverstile_placement_decisions_total{decision="` + d.What + `"}`).Inc()
}

// call runs fn in the loop with a new ticket and waits for the reply to it.
func (c *cellRunner) call(ctx context.Context, fn func(now time.Duration, ticket uint64)) cell.Reply {
	ch := make(chan cell.Reply, 1)
	c.loop.post(ctx, func() {
		c.lastTicket++
		c.pendingCalls[c.lastTicket] = ch
		fn(c.entry.clock(), c.lastTicket)
	})
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
		return cell.Reply{Err: result.New(result.CommitUnknown, "no commit within the time allowed; repeat with the same id")}
	}
}

// The following methods are calls on a cell, made by this entry or by a peer,
// and answered if this entry is its owner.

func (c *cellRunner) submit(ctx context.Context, tasks []*journalv1.TaskSpec) cell.Reply {
	return c.call(ctx, func(now time.Duration, ticket uint64) { c.owner.Submit(now, ticket, tasks) })
}

func (c *cellRunner) cancel(ctx context.Context, id string, sel labels.Selector) cell.Reply {
	return c.call(ctx, func(now time.Duration, ticket uint64) { c.owner.Cancel(now, ticket, id, sel) })
}

func (c *cellRunner) get(ctx context.Context, id string, sel labels.Selector) cell.Reply {
	return c.call(ctx, func(now time.Duration, ticket uint64) { c.owner.Get(now, ticket, id, sel) })
}

func (c *cellRunner) explain(ctx context.Context, id string) string {
	ch := make(chan string, 1)
	c.loop.post(ctx, func() { ch <- c.owner.Explain(c.entry.clock(), id) })
	select {
	case s := <-ch:
		return s
	case <-ctx.Done():
		return ""
	}
}
