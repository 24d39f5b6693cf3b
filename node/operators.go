package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/kv"
)

// Bounds of the back-off of reads of the operators' keys. A version of the
// configuration must be in force within 2 s of its acceptance.
const (
	operatorsRetryMin = 50 * time.Millisecond
	operatorsRetryMax = 400 * time.Millisecond
)

// operatorsFollower watches the keys that the operators write: the configuration, evacuations
// and maintenance waves.
type operatorsFollower struct {
	node *Node
	// read is set once all keys have been read; revision is the store's revision up to
	// which all changes have been applied.
	read     bool
	revision int64
	wait     backoff
}

// RunOperators applies changes of the operators' keys until ctx ends. The store ends a watch
// without events within 1.5 s, and it is restarted.
func (n *Node) RunOperators(ctx context.Context) error {
	f := &operatorsFollower{node: n, wait: backoff{minDelay: operatorsRetryMin, maxDelay: operatorsRetryMax}}
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

// follow watches the operators' keys, and first reads them all if changes may have been
// missed. When the store fails, the watches of all entries break at once: if each entry read
// all keys again, the answers would fill the store's link and break the next watches.
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
				n.applyOperatorKey(ev.Pair)
			}
		}
		n.updateEvacuations(n.evacuationsOf(events))
	})
}

func (f *operatorsFollower) readAll(ctx context.Context) error {
	n := f.node
	pairs, rev, err := n.store.Range(ctx, n.opts.OperatorPrefix)
	if err != nil {
		return err
	}
	for _, p := range pairs {
		n.applyOperatorKey(p)
	}
	n.updateEvacuations(n.evacuationsListed(pairs, rev))
	f.read, f.revision = true, rev
	return nil
}

// applyOperatorKey applies a configuration or a maintenance wave.
func (n *Node) applyOperatorKey(p kv.Pair) {
	if p.Key == n.opts.ConfigKey {
		n.applyConfig(p)
		return
	}
	n.addWave(p)
}
