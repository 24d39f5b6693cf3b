package node

import (
	"strings"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// Limits of reads of the list of workers.
const (
	// minListPause is the shortest pause between reads of the list of workers.
	minListPause = 700 * time.Millisecond
	// listEntryBytes is the largest size of a worker's entry in an answer of the store
	// (typically 437 bytes); listLinkShare is the part of the link that reads of the list
	// may use: 214 KB each 0.7 s, for 490 workers, are a fourth of a link of 10 Mbit/s.
	listEntryBytes = 600
	listLinkShare  = 0.15
	// listDrainShare bounds the pause, as a part of the time within which a draining worker
	// must get no new work: a read and the orders under way take the rest.
	listDrainShare = 0.45
)

// listPauseFor returns the pause between reads of a list of that many workers.
func (n *Node) listPauseFor(workers int) time.Duration {
	pause := minListPause
	if n.opts.LinkBytes > 0 {
		seconds := float64(workers*listEntryBytes) / (listLinkShare * n.opts.LinkBytes)
		pause = max(pause, time.Duration(seconds*float64(time.Second)))
	}
	if n.opts.DrainNotice > 0 {
		pause = min(pause, time.Duration(listDrainShare*float64(n.opts.DrainNotice)))
	}
	return pause
}

// intakeLoop watches the intake and processes jobs and cancellations as entries record them.
func (o *owner) intakeLoop(rev int64) {
	wait := backoff{minDelay: loadRetryMin, maxDelay: loadRetryMax}
	for o.ctx.Err() == nil {
		err := o.node.store.Watch(o.ctx, intakePrefix, rev, func(at int64, events []kv.Event) {
			rev = at
			wait.reset()
			o.processIntake(events)
			o.recordIntakeRevision(rev)
		})
		if o.ctx.Err() != nil {
			return
		}
		if !errors.Is(err, kv.ErrCompacted) {
			o.node.log.Warn().Str("event", "intake_watch_failed").Err(err).Msg("")
			sleep(o.ctx, wait.next())
			continue
		}
		o.node.log.Warn().Str("event", "intake_history_lost").Int64("revision", rev).Msg("")
		pairs, at, err := o.node.store.Range(o.ctx, intakePrefix)
		if err != nil {
			sleep(o.ctx, wait.next())
			continue
		}
		events := make([]kv.Event, len(pairs))
		for i := range pairs {
			events[i].Pair = pairs[i]
		}
		rev = at
		o.processIntake(events)
		o.recordIntakeRevision(rev)
	}
}

// recordIntakeRevision reports to the core up to which revision it has received all jobs.
func (o *owner) recordIntakeRevision(rev int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.IntakeProcessed(rev)
}

// processIntake adds recorded jobs to the core, then applies cancellations.
func (o *owner) processIntake(events []kv.Event) {
	if len(events) == 0 {
		return
	}
	o.locked(func(c *dispatch.Core, now dispatch.Instant) {
		for _, ev := range events {
			if ev.Deleted {
				continue
			}
			if strings.HasPrefix(ev.Pair.Key, jobPrefix) {
				spec, err := decodeSpec(ev.Pair)
				if err != nil {
					o.node.logUnreadable("job_unreadable", ev.Pair.Key, ev.Pair.ModRevision, err)
					continue
				}
				c.AddRecordedJob(spec, ev.Pair.ModRevision, now)
			}
		}
		for _, ev := range events {
			if id, ok := strings.CutPrefix(ev.Pair.Key, cancelPrefix); ok && !ev.Deleted {
				c.Cancel(id, now)
			}
		}
	})
	signal(o.wake)
}

// listLoop reads the list of workers, and keeps one poller for each worker.
func (o *owner) listLoop() {
	o.syncPollers()
	known := 0
	for sleep(o.ctx, o.node.listPauseFor(known)) {
		list, err := o.node.lister.ListWorkers(o.ctx)
		o.node.store.record(err)
		if err != nil {
			if o.ctx.Err() == nil {
				o.node.log.Warn().Str("event", "list_failed").Err(err).Msg("")
			}
			continue
		}
		known = len(list.Workers)
		o.node.recordUnusable(list.Unusable)
		config := o.node.config.Load()
		o.locked(func(c *dispatch.Core, now dispatch.Instant) {
			c.SetConfig(config)
			c.SetWorkers(list.Workers, now)
		})
		o.syncPollers()
	}
}
