package dispatch

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Wave is the operators' request for maintenance of VMs, a few of them at a time.
type Wave struct {
	Number int64
	VMs    []string
	// Allowed is the time for the whole wave; AtOnce is the most VMs that may be
	// down for it at a time.
	Allowed time.Duration
	AtOnce  int
}

// MaintenanceOrder asks the platform to take a VM down for its maintenance.
type MaintenanceOrder struct {
	Wave int64
	VM   string
	Term uint64
}

// MaintenanceOutcome is the result of a MaintenanceOrder.
type MaintenanceOutcome uint8

// Outcomes. An order that was carried out before is answered with MaintenanceStarted.
const (
	MaintenanceStarted MaintenanceOutcome = iota
	// MaintenanceUnknown: no answer; the order may have been carried out.
	MaintenanceUnknown
	// MaintenanceBusy: the VM is not up.
	MaintenanceBusy
	// MaintenanceFenced: an owner with a higher term has given an order for the VM.
	MaintenanceFenced
	// MaintenanceNotWanted: the VM does not exist or is not part of the wave.
	MaintenanceNotWanted
)

// String returns the name of the outcome, as logged.
func (o MaintenanceOutcome) String() string {
	return [...]string{"begun", "unknown", "busy", "fenced", "not_wanted"}[o]
}

// Timeouts of maintenance.
const (
	// MaintenanceTimeout bounds a call to the platform. An order is only given while the
	// lease is held for certain for that long.
	MaintenanceTimeout = 600 * time.Millisecond
	// maintenanceRetry is the pause before an order is repeated.
	maintenanceRetry = 500 * time.Millisecond
	// maxMaintenance is the time after the start of its maintenance at which a VM without a
	// new worker counts as up: the platform needs 2 s and workers list themselves within 2 s more.
	maxMaintenance = 10 * time.Second
)

// vmMaintenance is the maintenance of one VM of a wave.
type vmMaintenance struct {
	vm string
	// incarnation is the worker that is drained for the maintenance, empty before.
	incarnation WorkerID
	// drainUntil is until when tasks without checkpoints may continue.
	drainUntil time.Duration
	// intended is set before the first order is given, and recorded: from then
	// on the VM may be down. started is set once the platform has confirmed the order.
	intended, started bool
	startedAt         time.Duration
	// returned is set once the maintenance has ended, notWanted if the platform refuses it.
	returned, notWanted bool
	orderPending        bool // an order is unanswered
	retryAt             time.Duration
	// absentSince is since when no worker of the VM is listed, 0 if one is.
	absentSince time.Duration
}

// waveState is a wave in progress. version counts changes of what is recorded,
// persisted is the version that the store has.
type waveState struct {
	Wave
	vms []*vmMaintenance
	// seenMS is when the wave was first seen, milliseconds since 1970.
	seenMS             int64
	succeeded          bool
	version, persisted uint64
}

// SetWave adds a wave; record is the state that the previous owner stored, or nil.
func (c *Core) SetWave(wave Wave, record []byte, now Instant) error {
	if c.waves[wave.Number] != nil {
		return nil
	}
	var known waveRecord
	if len(record) > 0 {
		if err := json.Unmarshal(record, &known); err != nil {
			return err
		}
	}
	wave.AtOnce = max(wave.AtOnce, 1)
	s := &waveState{Wave: wave, seenMS: known.SeenMS, succeeded: known.Succeeded, version: 1}
	if s.seenMS == 0 {
		s.seenMS = now.UnixMS
	}
	for _, vm := range wave.VMs {
		u := &vmMaintenance{vm: vm}
		if r, ok := known.VMs[vm]; ok {
			u.incarnation, u.intended, u.started, u.notWanted = IncarnationID(r.Incarnation, r.Born), true, r.Started, r.NotWanted
			u.startedAt = now.Steady
		}
		s.vms = append(s.vms, u)
	}
	c.waves[wave.Number] = s
	c.trace(Decision{Event: "wave_known", Reason: s.describe()})
	return nil
}

// describe returns the wave's number and size, for the log.
func (s *waveState) describe() string {
	return "wave " + strconv.FormatInt(s.Number, 10) + ", " + strconv.Itoa(len(s.VMs)) + " VMs, " + strconv.Itoa(s.AtOnce) + " at once"
}

// tickMaintenance advances each wave as far as the state of its VMs allows.
func (c *Core) tickMaintenance(now Instant) {
	for _, number := range slices.Sorted(maps.Keys(c.waves)) {
		if s := c.waves[number]; !s.succeeded {
			c.recordReturned(s, now)
			c.drainNext(s, now)
			c.takeDown(s, now)
			c.finishWave(s)
		}
	}
}

// recordReturned finds the VMs that have a new worker after their maintenance.
func (c *Core) recordReturned(s *waveState, now Instant) {
	for _, u := range s.vms {
		if !u.started || u.returned {
			continue
		}
		w := c.workerOfVM(u.vm)
		if w != nil && !w.info.ID.mayMatch(u.incarnation) || now.Steady-u.startedAt > maxMaintenance {
			u.returned = true
			c.trace(Decision{Event: "vm_back", Reason: u.vm, Age: now.Steady - u.startedAt})
		}
	}
}

// down returns how many VMs of the wave may be down for its maintenance.
func (s *waveState) down() int {
	n := 0
	for _, u := range s.vms {
		if u.intended && !u.returned && !u.notWanted {
			n++
		}
	}
	return n
}

// downElsewhere reports whether a VM may be down for another wave.
func (c *Core) downElsewhere(s *waveState, vm string) bool {
	for _, other := range c.waves {
		if other == s || other.succeeded {
			continue
		}
		for _, u := range other.vms {
			if u.vm == vm && u.intended && !u.returned && !u.notWanted {
				return true
			}
		}
	}
	return false
}

// takeDown records the intent to take empty VMs down, as many as may be down at
// once, and gives the orders whose intent is recorded.
func (c *Core) takeDown(s *waveState, now Instant) {
	holdsLease := now.Steady+MaintenanceTimeout < c.leaseHeldUntil
	if !holdsLease || now.Steady < c.leaseHeldSince+c.params.HolderGap {
		return // another owner may give orders, or may have done so just before
	}
	free := s.AtOnce - s.down()
	for _, u := range s.vms {
		if u.started || u.notWanted || u.orderPending || now.Steady < u.retryAt || c.downElsewhere(s, u.vm) || !c.vacant(u, now) {
			continue
		}
		switch {
		case !u.intended && free > 0:
			free--
			u.intended = true
			s.version++
		case u.intended && s.persisted == s.version:
			u.orderPending = true
			c.maintenanceOrders = append(c.maintenanceOrders, MaintenanceOrder{s.Number, u.vm, c.term})
			c.trace(Decision{Event: "upkeep_ordered", Worker: u.incarnation, Reason: u.vm})
		}
	}
}

// empty reports whether nothing runs or may start at a worker.
func (w *worker) empty() bool {
	return w.synced && len(w.attempts) == 0 && len(w.unexpected) == 0
}

// finishWave ends a wave once the maintenance of all its VMs has ended.
func (c *Core) finishWave(s *waveState) {
	for _, u := range s.vms {
		if !u.returned && !u.notWanted {
			return
		}
	}
	s.succeeded = true
	s.version++
	c.trace(Decision{Event: "wave_succeeded", Reason: s.describe()})
}

// TakeMaintenanceOrders returns the orders decided since the last call.
func (c *Core) TakeMaintenanceOrders() []MaintenanceOrder {
	list := c.maintenanceOrders
	c.maintenanceOrders = nil
	return list
}

// MaintenanceDone processes the answer to a MaintenanceOrder.
func (c *Core) MaintenanceDone(o MaintenanceOrder, outcome MaintenanceOutcome, now Instant) {
	s := c.waves[o.Wave]
	if s == nil {
		return
	}
	for _, u := range s.vms {
		if u.vm == o.VM {
			u.orderPending = false
			c.trace(Decision{Event: "upkeep_answered", Worker: u.incarnation, Reason: u.vm + ": " + outcome.String()})
			c.applyMaintenanceOutcome(s, u, outcome, now)
		}
	}
}

func (c *Core) applyMaintenanceOutcome(s *waveState, u *vmMaintenance, outcome MaintenanceOutcome, now Instant) {
	u.retryAt = now.Steady + maintenanceRetry
	switch outcome {
	case MaintenanceStarted:
		u.started, u.startedAt = true, now.Steady
		s.version++
		if w := c.workers[u.incarnation]; w != nil {
			w.endedByMaintenance = true
		}
	case MaintenanceNotWanted:
		u.notWanted = true
		s.version++
		if w := c.workers[u.incarnation]; w != nil {
			w.cordoned = false
		}
	case MaintenanceFenced:
		if w := c.workers[u.incarnation]; w != nil {
			c.depose(w)
		}
	}
}
