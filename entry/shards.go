package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "leverstile.dev/api/gen/leverstile/peer/v1"
	"leverstile.dev/config"
	"leverstile.dev/fleet"
	"leverstile.dev/membership"
	"leverstile.dev/shard"
)

// Prefixes of the names of shards.
const (
	cellShard  = "cell-"
	claimShard = "claim-"
)

// shards runs the cells and claim shards of this entry, owned or not.
type shards struct {
	entry *Entry

	mu         sync.RWMutex
	cells      map[string]*cellRunner
	claims     []*claimRunner
	ctx        context.Context
	wg         sync.WaitGroup
	releaseAll atomic.Bool // set to give up all shards
}

func newShards(e *Entry) *shards {
	s := &shards{entry: e, cells: map[string]*cellRunner{}}
	for i := range e.settings.Limits.ClaimShards {
		s.claims = append(s.claims, newClaimRunner(e, claimName(i)))
	}
	return s
}

func claimName(i int) string { return fmt.Sprintf("%s%d", claimShard, i) }

// shardParams returns the parameters of a shard's core.
func (e *Entry) shardParams(name string, commitEvery time.Duration) shard.Params {
	return shard.Params{
		Name: name, Self: e.settings.ID,
		CommitEvery:   commitEvery,
		RetryEvery:    shard.DefaultRetryEvery,
		MaxValueBytes: shard.DefaultMaxValueBytes,
		SnapshotBytes: shard.DefaultSnapshotBytes,
	}
}

// assignInterval is how often the assignment is checked without a change.
const assignInterval = time.Second

// run drives all shards until ctx ends.
func (s *shards) run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	for _, c := range s.claims {
		s.wg.Go(func() { c.loop.run(ctx) })
	}
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.assign(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-s.entry.replanCh:
		}
	}
	s.wg.Wait()
}

// assign starts runners for newly declared cells and updates each runner:
// whether this entry is the preferred owner, and the declarations, VMs and
// usage of other cells.
func (s *shards) assign(ctx context.Context) {
	e := s.entry
	rev := e.declared.active()
	now := e.clock()
	names := make([]string, 0, len(rev.cells)+len(s.claims))
	for _, c := range rev.cells {
		s.ensureCell(ctx, c.name)
		names = append(names, cellShard+c.name)
	}
	for i := range s.claims {
		names = append(names, claimName(i))
	}
	members := e.view.entries(now, !e.lease.isHeld())
	owners := membership.Assign(names, members)
	wanted := func(name string) bool {
		return owners[name] == e.settings.ID && !s.releaseAll.Load() && !e.draining.Load()
	}
	byCell := splitVMs(rev, e.view.listVMs())
	for name, c := range s.allCells() {
		c.update(ctx, wanted(cellShard+name), rev, byCell[name], s.usageElsewhere(name, now))
	}
	for i, c := range s.claims {
		c.update(ctx, wanted(claimName(i)))
	}
}

func (s *shards) ensureCell(ctx context.Context, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cells[name] != nil {
		return
	}
	c := newCellRunner(s.entry, name)
	s.cells[name] = c
	s.wg.Go(func() { c.loop.run(ctx) })
}

func (s *shards) allCells() map[string]*cellRunner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[string]*cellRunner, len(s.cells))
	for name, c := range s.cells {
		out[name] = c
	}
	return out
}

func (s *shards) cell(name string) *cellRunner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.cells[name]
}

// splitVMs assigns the VMs that have workers to cells. A VM belongs to the
// first cell whose selector matches it.
func splitVMs(rev *revision, vms []fleet.VM) map[string][]fleet.VM {
	out := map[string][]fleet.VM{}
	for _, vm := range vms {
		if vm.Worker == "" {
			continue
		}
		set := config.VMLabels(vm)
		for _, c := range rev.cells {
			if c.vms.Matches(set) {
				out[c.name] = append(out[c.name], vm)
				break
			}
		}
	}
	return out
}

// usageElsewhere returns what each group uses in other cells, by the newest
// summary of each cell.
func (s *shards) usageElsewhere(cell string, now time.Duration) map[string]fleet.Resources {
	newest := map[string]*peerv1.GroupUsage{}
	for _, v := range s.entry.view.peerViews(now) {
		for _, u := range v.GetUsage() {
			key := u.GetCell() + "/" + u.GetGroup()
			if old := newest[key]; u.GetCell() != cell && (old == nil || u.GetSequence() > old.GetSequence()) {
				newest[key] = u
			}
		}
	}
	sum := map[string]fleet.Resources{}
	for _, u := range newest {
		r := u.GetInUse()
		sum[u.GetGroup()] = sum[u.GetGroup()].Add(fleet.Resources{
			CPUMilli: r.GetCpuMilli(), MemoryMiB: r.GetMemoryMib(), Accelerators: r.GetAccelerators(),
		})
	}
	for name, c := range s.allCells() {
		if name == cell {
			continue
		}
		for _, u := range c.usage() {
			r := u.GetInUse()
			sum[u.GetGroup()] = sum[u.GetGroup()].Add(fleet.Resources{
				CPUMilli: r.GetCpuMilli(), MemoryMiB: r.GetMemoryMib(), Accelerators: r.GetAccelerators(),
			})
		}
	}
	return sum
}

// summary returns the shards owned here and their groups' usage, for peers.
func (s *shards) summary() ([]*peerv1.OwnedShard, []*peerv1.GroupUsage) {
	var owned []*peerv1.OwnedShard
	var usage []*peerv1.GroupUsage
	for name, c := range s.allCells() {
		if term := c.status.ownedTerm(); term > 0 {
			owned = append(owned, &peerv1.OwnedShard{Name: cellShard + name, Term: term})
			usage = append(usage, c.usage()...)
		}
	}
	for _, c := range s.claims {
		if term := c.status.ownedTerm(); term > 0 {
			owned = append(owned, &peerv1.OwnedShard{Name: c.name, Term: term})
		}
	}
	return owned, usage
}

// handOver gives up all shards and waits until that is done or ctx ends.
func (s *shards) handOver(ctx context.Context) {
	s.releaseAll.Store(true)
	s.entry.replan()
	for ctx.Err() == nil {
		owned, _ := s.summary()
		if len(owned) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			s.entry.log.Warn().Int("shards", len(owned)).Msg("shards were not handed over in time")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// status is the part of a runner that other goroutines may read: the term in
// which it owns its shard, or zero.
type status struct{ term atomic.Uint64 }

func (s *status) ownedTerm() uint64 { return s.term.Load() }

func (s *status) set(c *shard.Core) {
	if p := c.Phase(); p == shard.Owning || p == shard.Releasing {
		s.term.Store(c.Term())
		return
	}
	s.term.Store(0)
}

// storeOp carries out a store operation of a shard.
func (e *Entry) storeOp(ctx context.Context, op shard.Op) shard.Answer {
	a := shard.Answer{ID: op.ID}
	if op.Txn != nil {
		a.Txn, a.Err = e.store.Do(ctx, *op.Txn)
	} else {
		a.Pairs, _, a.Err = e.store.Range(ctx, op.Prefix)
	}
	return a
}
