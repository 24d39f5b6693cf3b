package node

import (
	"slices"
	"strconv"
	"strings"
	"sync"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// wavePrefix is where the owner stores the progress of maintenance waves under their
// numbers. A wave is the operators' request for the maintenance of a list of VMs, of which
// only some may be down at once.
const wavePrefix = ownPrefix + "wave/"

func waveKey(number int64) string { return wavePrefix + strconv.FormatInt(number, 10) }

// waveList holds the operators' waves that were read. Its lock guards waves.
type waveList struct {
	mu    sync.Mutex
	waves []dispatch.Wave
}

func (l *waveList) all() []dispatch.Wave {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.waves)
}

// add adds a wave and reports whether it is new.
func (l *waveList) add(w dispatch.Wave) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.ContainsFunc(l.waves, func(o dispatch.Wave) bool { return o.Number == w.Number }) {
		return false
	}
	l.waves = append(l.waves, w)
	return true
}

// addWave adds a maintenance wave, if the key is that of one.
func (n *Node) addWave(p kv.Pair) {
	if n.opts.DecodeWave == nil {
		return
	}
	wave, ok, err := n.opts.DecodeWave(p.Key, p.Value)
	if !ok {
		return
	}
	if err != nil {
		n.logUnreadable("wave_unreadable", p.Key, p.ModRevision, err)
		return
	}
	if !n.waves.add(wave) {
		return
	}
	n.log.Info().Str("event", "wave_seen").Int64("wave", wave.Number).Int("vms", len(wave.VMs)).Int("at_once", wave.AtOnce).Dur("allowed", wave.Allowed).Msg("")
	if o := n.current.Load(); o != nil {
		o.locked(o.applyWaves)
	}
}

// applyWaves passes the waves that were read so far to the core, with their records in
// the store at the takeover. Waves that the core has already are not changed.
func (o *owner) applyWaves(core *dispatch.Core, now dispatch.Instant) {
	for _, wave := range o.node.waves.all() {
		if err := core.SetWave(wave, o.waveRecords[waveKey(wave.Number)], now); err != nil {
			o.node.log.Error().Str("event", "wave_record_unreadable").Int64("wave", wave.Number).Err(err).Msg("")
		}
	}
}

// loadWaveRecords keeps the stored records of waves for applyWaves.
func (o *owner) loadWaveRecords(own []kv.Pair) {
	o.waveRecords = map[string][]byte{}
	for _, p := range own {
		if strings.HasPrefix(p.Key, wavePrefix) {
			o.waveRecords[p.Key] = p.Value
		}
	}
}

// startMaintenance makes one call that starts the maintenance of a VM and records the outcome.
func (o *owner) startMaintenance(order dispatch.MaintenanceOrder) {
	outcome := dispatch.MaintenanceUnknown
	if o.node.vms != nil && o.mayAct(o.ctx) {
		outcome = o.node.vms.StartMaintenance(o.ctx, order)
	}
	if o.ctx.Err() != nil {
		return
	}
	o.locked(func(c *dispatch.Core, now dispatch.Instant) { c.MaintenanceDone(order, outcome, now) })
}

// waveOps returns the writes of a wave's record and of the status that operators read.
func (n *Node) waveOps(r *dispatch.WaveRecord) []kv.Op {
	if r == nil {
		return nil
	}
	key, value := n.opts.WaveStatus(r.Number, r.Succeeded)
	return []kv.Op{kv.Put(waveKey(r.Number), r.Value, 0), kv.Put(key, value, 0)}
}
