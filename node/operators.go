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

// RunOperators follows what the operators write until ctx ends: the
// configuration, evacuations and waves of upkeep. A watch that hears nothing is
// ended by the store within 1.5 s and begun again.
func (n *Node) RunOperators(ctx context.Context) error {
	wait := backoff{least: operatorsRetryMin, most: operatorsRetryMax}
	for ctx.Err() == nil {
		err := n.followOperators(ctx, &wait)
		if ctx.Err() != nil {
			return nil
		}
		if !errors.Is(err, kv.ErrCompacted) {
			n.log.Warn().Str("event", "operators_watch_failed").Err(err).Msg("")
			sleep(ctx, wait.next())
		}
	}
	return nil
}

func (n *Node) followOperators(ctx context.Context, wait *backoff) error {
	pairs, rev, err := n.store.Range(ctx, n.opts.OperatorPrefix)
	if err != nil {
		return err
	}
	for _, p := range pairs {
		n.putOperators(p)
	}
	n.noteEvacuations(n.evacuationsListed(pairs, rev))
	return n.store.Watch(ctx, n.opts.OperatorPrefix, rev, func(_ int64, events []kv.Event) {
		wait.reset()
		for _, ev := range events {
			if !ev.Deleted {
				n.putOperators(ev.Pair)
			}
		}
		n.noteEvacuations(n.evacuationsOf(events))
	})
}

// putOperators takes in a configuration or a wave of upkeep.
func (n *Node) putOperators(p kv.Pair) {
	if p.Key == n.opts.ConfigKey {
		n.putConfig(p)
		return
	}
	n.putWave(p)
}
