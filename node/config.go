package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// Bounds of the back-off of configuration reads. A version must be in force
// within 2 s of its acceptance.
const (
	configRetryMin = 50 * time.Millisecond
	configRetryMax = 400 * time.Millisecond
)

// RunConfig keeps the newest configuration in force until ctx ends. A watch
// that hears nothing is ended by the store within 1.5 s and begun again.
func (n *Node) RunConfig(ctx context.Context) error {
	wait := backoff{least: configRetryMin, most: configRetryMax}
	for ctx.Err() == nil {
		err := n.followConfig(ctx, &wait)
		if ctx.Err() != nil {
			return nil
		}
		if !errors.Is(err, kv.ErrCompacted) {
			n.log.Warn().Str("event", "config_watch_failed").Err(err).Msg("")
			sleep(ctx, wait.next())
		}
	}
	return nil
}

func (n *Node) followConfig(ctx context.Context, wait *backoff) error {
	pairs, rev, err := n.store.Range(ctx, n.opts.OperatorPrefix)
	if err != nil {
		return err
	}
	for _, p := range pairs {
		n.putOperators(p)
	}
	return n.store.Watch(ctx, n.opts.OperatorPrefix, rev, func(_ int64, events []kv.Event) {
		wait.reset()
		for _, ev := range events {
			if !ev.Deleted {
				n.putOperators(ev.Pair)
			}
		}
	})
}

// putOperators takes in what the operators wrote.
func (n *Node) putOperators(p kv.Pair) {
	if p.Key == n.opts.ConfigKey {
		n.putConfig(p)
		return
	}
	n.putWave(p)
}

// putConfig puts a version into force unless a newer one is.
func (n *Node) putConfig(p kv.Pair) {
	c, err := n.opts.DecodeConfig(p.Value)
	if err != nil {
		n.log.Error().Str("event", "config_unreadable").Int64("revision", p.ModRevision).Err(err).Msg("")
		return
	}
	before := n.config.Load()
	if before != nil && before.Version >= c.Version {
		return
	}
	n.config.Store(c)
	n.log.Info().Str("event", "config_in_force").Int64("version", c.Version).Int("queues", len(c.Queues)).Msg("")
	if o := n.current.Load(); o != nil {
		o.locked(func(core *dispatch.Core, _ dispatch.Instant) { core.SetConfig(c) })
		signal(o.wake)
	}
}
