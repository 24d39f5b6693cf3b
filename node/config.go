package node

import (
	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// applyConfig puts a version of the configuration into force unless the same or a newer
// one is. A configuration that can't be decoded changes nothing.
func (n *Node) applyConfig(p kv.Pair) {
	c, err := n.opts.DecodeConfig(p.Value)
	if err != nil {
		n.logUnreadable("config_unreadable", p.Key, p.ModRevision, err)
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
