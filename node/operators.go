package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/kv"
)

// Bounds of the back-off of reads of what the operators write. A version of the
// configuration must be in force within 2 s of its acceptance.
const (
	operatorsRetryMin = 50 * time.Millisecond
	operatorsRetryMax = 400 * time.Millisecond
)

// operatorsFollower follows what the operators write.
type operatorsFollower struct {
	node *Node
	// read is set once everything was read; revision is the store's, up to which all
	// changes since are known.
	read     bool
	revision int64
	wait     backoff
}

// RunOperators follows what the operators write until ctx ends: the
// configuration, evacuations and waves of upkeep. A watch that hears nothing is
// ended by the store within 1.5 s and begun again.
func (n *Node) RunOperators(ctx context.Context) error {
	f := &operatorsFollower{node: n, wait: backoff{least: operatorsRetryMin, most: operatorsRetryMax}}
	for ctx.Err() == nil {
		err := f.follow(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, kv.ErrCompacted):
			f.read = false
		default:
			n.log.Warn().Str("event", "operators_watch_failed").Err(err).Msg("")
			sleep(ctx, f.wait.next())
		}
	}
	return nil
}

// follow watches what is written, and reads everything first where changes may have been
// missed. All entries' watches break at once when the store does: if each read everything
// again, the answers would fill the store's link and break the next watches.
func (f *operatorsFollower) follow(ctx context.Context) error {
	n := f.node
	if !f.read {
		if err := f.readAll(ctx); err != nil {
			return err
		}
	}
	return n.store.Watch(ctx, n.opts.OperatorPrefix, f.revision, func(at int64, events []kv.Event) {
		f.revision = at
		f.wait.reset()
		for _, ev := range events {
			if !ev.Deleted {
				n.putOperators(ev.Pair)
			}
		}
		n.noteEvacuations(n.evacuationsOf(events))
	})
}

func (f *operatorsFollower) readAll(ctx context.Context) error {
	n := f.node
	pairs, rev, err := n.store.Range(ctx, n.opts.OperatorPrefix)
	if err != nil {
		return err
	}
	for _, p := range pairs {
		n.putOperators(p)
	}
	n.noteEvacuations(n.evacuationsListed(pairs, rev))
	f.read, f.revision = true, rev
	return nil
}

// putOperators takes in a configuration or a wave of upkeep.
func (n *Node) putOperators(p kv.Pair) {
	if p.Key == n.opts.ConfigKey {
		n.putConfig(p)
		return
	}
	n.putWave(p)
}
