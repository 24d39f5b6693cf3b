package node

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/segmentio/encoding/json"
	"golang.org/x/sync/errgroup"

	"leverstile.dev/dispatch"
	"leverstile.dev/job"
	"leverstile.dev/kv"
)

const (
	// loadRetryMin and loadRetryMax bound the pause between tries to read the store at a
	// takeover, and to watch the intake.
	loadRetryMin = 50 * time.Millisecond
	loadRetryMax = 500 * time.Millisecond
)

// load builds the core from the store after a takeover. It returns the revision from which
// the intake is watched.
func (o *owner) load() (int64, error) {
	wait := backoff{minDelay: loadRetryMin, maxDelay: loadRetryMax}
	s := &storedState{}
	for {
		rev, err := o.loadOnce(s)
		if err == nil {
			return rev, nil
		}
		o.node.log.Warn().Str("event", "load_failed").Err(err).Msg("")
		if !sleep(o.ctx, wait.next()) {
			return 0, errNotOwner
		}
	}
}

// loadOnce reads what s lacks and builds the core from it.
func (o *owner) loadOnce(s *storedState) (int64, error) {
	n := o.node
	began := n.clock()
	config := n.config.Load()
	if config == nil {
		return 0, errors.New("no configuration yet")
	}
	if err := n.readState(o.ctx, s); err != nil {
		return 0, err
	}
	core := dispatch.New(o.recoveryParams(s.own.pairs), o.own.lead.Term, n.logDecision)
	now := n.instant()
	o.recoverSeals(core, s.own.pairs, now)
	o.rosterMarked = n.readRoster(core, s.own.pairs, now)
	n.recoverRecords(core, s.own.pairs)
	o.loadWaveRecords(s.own.pairs)
	core.SetConfig(config)
	n.evacuations.update(s.evacuations)
	core.SetEvacuated(n.evacuations.evacuated())
	n.recordUnusable(s.workers.Unusable)
	core.SetWorkers(s.workers.Workers, now)
	n.loadJobs(core, s.progress.pairs, s.intake.pairs, now)
	o.mu.Lock()
	o.core = core
	core.Renewed(o.own.lastRenewal)
	o.mu.Unlock()
	n.log.Info().Str("event", "owner_loaded").Int("intake", len(s.intake.pairs)).Int("workers", len(s.workers.Workers)).
		Int("unresolved", core.Recovering()).Dur("took", n.clock()-began).Msg("")
	return s.intake.revision, nil
}

// recoveryParams returns the parameters of the core. If the previous owner has ended, and had
// resolved all workers of the owners before it, only the leases that it gave last are awaited:
// long-running tasks of workers that left meanwhile stand still for 5.5 s instead of 10.1.
func (o *owner) recoveryParams(own []kv.Pair) dispatch.Params {
	p := o.node.opts.Params
	if o.own.predecessor != nil {
		o.settledBefore = isSettled(own, o.own.predecessor.Term)
	}
	if isSettled(own, o.own.endedTerm) {
		p.EndedOwnerWait = dispatch.EndedOwnerWaitFor(p)
	}
	return p
}

// storedState is what a new owner reads: the records of its predecessors, the
// progress of jobs, jobs and cancellations with the revision from which they are
// watched, evacuated data centres, and the workers.
type storedState struct {
	own, progress, intake rangeRead
	evacuations           []evacuation
	workers               dispatch.WorkerList
}

// rangeRead is a range of the store that is read successfully once.
type rangeRead struct {
	done     bool
	pairs    []kv.Pair
	revision int64
}

func (r *rangeRead) read(ctx context.Context, store kv.Store, prefix string) (err error) {
	if r.done {
		return nil
	}
	r.pairs, r.revision, err = store.Range(ctx, prefix)
	r.done = err == nil
	return err
}

// readState reads all parts concurrently; a further call reads those that failed before.
// Their order does not matter: only owners write own and progress, and the previous ones no
// longer can; changes of intake are watched. Evacuations and workers are read anew
// each time.
func (n *Node) readState(ctx context.Context, s *storedState) error {
	var group errgroup.Group // without a context: a part that fails does not stop the others
	group.Go(func() error { return s.own.read(ctx, n.store, ownPrefix) })
	group.Go(func() error { return s.progress.read(ctx, n.store, progressPrefix) })
	group.Go(func() error { return s.intake.read(ctx, n.store, intakePrefix) })
	group.Go(func() error {
		if n.opts.EvacuationPrefix == "" {
			return nil
		}
		pairs, revision, err := n.store.Range(ctx, n.opts.EvacuationPrefix)
		if err != nil {
			return err
		}
		s.evacuations = n.evacuationsListed(pairs, revision)
		return nil
	})
	group.Go(func() (err error) {
		s.workers, err = n.lister.ListWorkers(ctx)
		return err
	})
	return group.Wait()
}

// recoverRecords reads the previous owner's records of tasks, workers and queues other than the roster.
func (n *Node) recoverRecords(core *dispatch.Core, own []kv.Pair) {
	for _, p := range own {
		switch p.Key {
		case unreadKey:
			if err := core.RecoverUnread(p.Value); err != nil {
				n.logUnreadable("unheard_unreadable", p.Key, p.ModRevision, err)
			}
		case queuesKey:
			if err := core.RecoverQueues(p.Value); err != nil {
				n.logUnreadable("queues_unreadable", p.Key, p.ModRevision, err)
			}
		case learntKey:
			if err := core.LoadModels(p.Value); err != nil {
				// The record only saves time: the new owner builds the models again.
				n.logUnreadable("learnt_unreadable", p.Key, p.ModRevision, err)
			}
		}
	}
}

// loadJobs adds the stored jobs to the core. One whose record or progress is damaged is
// held and logged: it is unknown which of its tasks are done, and starting one again
// may do its work twice. It blocks no other job and stays in the store; once its record
// is repaired, the next owner adds it.
func (n *Node) loadJobs(core *dispatch.Core, progress, intake []kv.Pair, now dispatch.Instant) {
	stored := make(map[string]kv.Pair, len(progress))
	for _, p := range progress {
		stored[strings.TrimPrefix(p.Key, progressPrefix)] = p
	}
	for _, p := range intake {
		id, ok := strings.CutPrefix(p.Key, jobPrefix)
		if !ok {
			continue
		}
		spec, err := decodeSpec(p)
		if err != nil {
			n.logUnreadable("job_unreadable", p.Key, p.ModRevision, err)
			core.HoldJob(id)
			continue
		}
		var done *job.Progress
		if record, ok := stored[id]; ok {
			if done, err = decodeProgress(record, spec); err != nil {
				n.logUnreadable("progress_unreadable", record.Key, record.ModRevision, err)
				core.HoldJob(id)
				continue
			}
		}
		core.AddJob(spec, done, true, now)
	}
	for _, p := range intake {
		if id, ok := strings.CutPrefix(p.Key, cancelPrefix); ok {
			core.Cancel(id, now)
		}
	}
}

// decodeProgress reads a job's progress and checks it against its specification.
func decodeProgress(p kv.Pair, spec *job.Spec) (*job.Progress, error) {
	progress, err := dispatch.DecodeProgress(p.Value)
	if err != nil {
		return nil, errors.Annotate(err, p.Key)
	}
	return progress, errors.Annotate(progress.Check(spec), p.Key)
}

// decodeSpec reads and checks a job's record.
func decodeSpec(p kv.Pair) (*job.Spec, error) {
	spec := &job.Spec{}
	if err := json.Unmarshal(p.Value, spec); err != nil {
		return nil, errors.Annotate(err, p.Key)
	}
	if id := strings.TrimPrefix(p.Key, jobPrefix); spec.ID != id {
		return nil, errors.Errorf("%s is of job %q", p.Key, spec.ID)
	}
	spec.Clamp()
	return spec, errors.Annotate(spec.Check(), p.Key)
}
