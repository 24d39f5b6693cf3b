package dispatch

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Wave is the operators' request that VMs have their upkeep.
type Wave struct {
	Number int64
	VMs    []string
	// Allowed is the time for all of it; AtOnce is the most VMs that may be
	// down for it at a time.
	Allowed time.Duration
	AtOnce  int
}

// UpkeepOrder asks the platform to take a VM down for its upkeep.
type UpkeepOrder struct {
	Wave int64
	VM   string
	Term uint64
}

// UpkeepOutcome is what is known of an UpkeepOrder.
type UpkeepOutcome uint8

// Outcomes. An order that was carried out before is answered with UpkeepBegun.
const (
	UpkeepBegun UpkeepOutcome = iota
	// UpkeepUnknown: no answer; it may have been carried out.
	UpkeepUnknown
	// UpkeepBusy: the VM is not up.
	UpkeepBusy
	// UpkeepFenced: a higher term has given an order for the VM.
	UpkeepFenced
	// UpkeepNotWanted: the VM does not exist or is not part of the wave.
	UpkeepNotWanted
)

// String returns the name of the outcome, as logged.
func (o UpkeepOutcome) String() string {
	return [...]string{"begun", "unknown", "busy", "fenced", "not_wanted"}[o]
}

// Figures of upkeep.
const (
	// UpkeepTimeout bounds a call for upkeep. An order is only given while the
	// lease surely lasts that long.
	UpkeepTimeout = 600 * time.Millisecond
	// upkeepRetry is the pause before an order is repeated.
	upkeepRetry = 500 * time.Millisecond
	// upkeepLongest after its upkeep has begun, a VM without a new worker counts
	// as up: the platform needs 2 s and workers list themselves within 2 s more.
	upkeepLongest = 10 * time.Second
	// absentLong after its last worker was listed, a VM is asked for all the
	// same: workers that live are listed again within 2 s.
	absentLong = 6 * time.Second
	// drainLeast and drainMost bound how long tasks that save nothing may go on
	// at a VM that waits for its upkeep; drainSlack is kept of the wave's time.
	drainLeast = 300 * time.Millisecond
	drainMost  = 4 * time.Second
	drainSlack = 1 * time.Second
)

// vmUpkeep is one VM of a wave.
type vmUpkeep struct {
	vm string
	// life is the worker that is drained for the upkeep, empty before.
	life WorkerID
	// drainUntil ends the patience with tasks that save nothing.
	drainUntil time.Duration
	// intended is set before the first order is given, and recorded: from then
	// on the VM may be down. begun is set once the platform has said so.
	intended, begun bool
	begunAt         time.Duration
	// back is set once the upkeep is over, void if there is none to be had.
	back, void bool
	calling    bool
	retryAt    time.Duration
	// absentSince is since when no worker of the VM is listed, 0 if one is.
	absentSince time.Duration
}

// waveState is a wave under way. version counts changes of what is recorded,
// persisted is the version that the store has.
type waveState struct {
	Wave
	vms []*vmUpkeep
	// seenMS is when the wave was first seen, milliseconds since 1970.
	seenMS             int64
	succeeded          bool
	version, persisted uint64
}

// waveRecord is the stored part of a wave, by VM.
type waveRecord struct {
	SeenMS    int64               `json:"seen_ms"`
	VMs       map[string]vmRecord `json:"vms,omitempty"`
	Succeeded bool                `json:"succeeded,omitempty"`
}

type vmRecord struct {
	Life  WorkerID `json:"life"`
	Begun bool     `json:"begun,omitempty"`
	Void  bool     `json:"void,omitempty"`
}

// SetWave takes in a wave; record is what the previous owner left of it, or nil.
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
		u := &vmUpkeep{vm: vm}
		if r, ok := known.VMs[vm]; ok {
			u.life, u.intended, u.begun, u.void = r.Life, true, r.Begun, r.Void
			u.begunAt = now.Steady
		}
		s.vms = append(s.vms, u)
	}
	c.waves[wave.Number] = s
	c.trace(Decision{Event: "wave_known", Reason: s.describe()})
	return nil
}

func (s *waveState) describe() string {
	return "wave " + strconv.FormatInt(s.Number, 10) + ", " + strconv.Itoa(len(s.VMs)) + " VMs, " + strconv.Itoa(s.AtOnce) + " at once"
}

// tickUpkeep moves each wave on by what its VMs allow.
func (c *Core) tickUpkeep(now Instant) {
	for _, number := range slices.Sorted(maps.Keys(c.waves)) {
		if s := c.waves[number]; !s.succeeded {
			c.noteReturned(s, now)
			c.drainNext(s, now)
			c.takeDown(s, now)
			c.finishWave(s)
		}
	}
}

// noteReturned finds the VMs that have a new worker after their upkeep.
func (c *Core) noteReturned(s *waveState, now Instant) {
	for _, u := range s.vms {
		if !u.begun || u.back {
			continue
		}
		w := c.workerOfVM(u.vm)
		if w != nil && w.info.ID != u.life || now.Steady-u.begunAt > upkeepLongest {
			u.back = true
			c.trace(Decision{Event: "vm_back", Reason: u.vm, Age: now.Steady - u.begunAt})
		}
	}
}

// down returns how many VMs of the wave may be down for it.
func (s *waveState) down() int {
	n := 0
	for _, u := range s.vms {
		if u.intended && !u.back && !u.void {
			n++
		}
	}
	return n
}

// drainNext cordons as many VMs as the next step of the wave can take down, and
// moves tasks off those that are cordoned. VMs with the fewest tasks go first.
func (c *Core) drainNext(s *waveState, now Instant) {
	var waiting []*vmUpkeep
	draining := 0
	for _, u := range s.vms {
		if u.begun || u.void || c.downElsewhere(s, u.vm) {
			continue
		}
		w := c.workerOfVM(u.vm)
		u.noteListed(w != nil, now)
		switch {
		case w == nil:
		case w.info.ID == u.life && w.cordoned:
			draining++
			c.drainForUpkeep(w, now.Steady >= u.drainUntil, now)
		case u.intended:
			draining++
			c.cordon(s, u, w, now)
		default:
			waiting = append(waiting, u)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *vmUpkeep) int {
		return cmp.Compare(len(c.workerOfVM(a.vm).attempts), len(c.workerOfVM(b.vm).attempts))
	})
	for _, u := range waiting[:min(max(s.AtOnce-draining, 0), len(waiting))] {
		c.cordon(s, u, c.workerOfVM(u.vm), now)
	}
}

// downElsewhere reports whether a VM may be down for another wave.
func (c *Core) downElsewhere(s *waveState, vm string) bool {
	for _, other := range c.waves {
		if other == s || other.succeeded {
			continue
		}
		for _, u := range other.vms {
			if u.vm == vm && u.intended && !u.back && !u.void {
				return true
			}
		}
	}
	return false
}

// noteListed follows for how long a VM has had no listed worker.
func (u *vmUpkeep) noteListed(listed bool, now Instant) {
	switch {
	case listed:
		u.absentSince = 0
	case u.absentSince == 0:
		u.absentSince = now.Steady
	}
}

// vacant reports whether nothing runs on a VM and nothing can start there: its
// worker is cordoned and empty, or has not been listed for long.
func (c *Core) vacant(u *vmUpkeep, now Instant) bool {
	if u.absentSince > 0 {
		return now.Steady-u.absentSince > absentLong && !c.hasTasksOn(u.vm)
	}
	w := c.workers[u.life]
	return w != nil && w.cordoned && w.empty()
}

func (c *Core) hasTasksOn(vm string) bool {
	return slices.ContainsFunc(c.lives[vm], func(w *worker) bool { return len(w.attempts) > 0 })
}

// cordon keeps new tasks off a worker that waits for its VM's upkeep.
func (c *Core) cordon(s *waveState, u *vmUpkeep, w *worker, now Instant) {
	u.life = w.info.ID
	u.drainUntil = now.Steady + c.patience(s, now)
	w.cordoned = true
	c.trace(Decision{Event: "vm_cordoned", Worker: w.info.ID, Reason: u.vm, Age: u.drainUntil - now.Steady})
}

// patience returns how long tasks that save nothing may go on at a VM that is
// cordoned now: its part of what is left of the wave's time.
func (c *Core) patience(s *waveState, now Instant) time.Duration {
	open := 0
	for _, u := range s.vms {
		if !u.begun && !u.void {
			open++
		}
	}
	steps := max((open+s.AtOnce-1)/s.AtOnce, 1)
	left := s.Allowed - time.Duration(now.UnixMS-s.seenMS)*time.Millisecond
	return min(max(left/time.Duration(steps)-c.params.Maintenance-drainSlack, drainLeast), drainMost)
}

// drainForUpkeep moves tasks off a cordoned worker. Those that save their work
// go at once, others only when the patience with them has ended; lasting ones
// only while enough of their step are at work.
func (c *Core) drainForUpkeep(w *worker, impatient bool, now Instant) {
	for _, a := range slices.Clone(w.attempts) {
		if a.stopping || a.task.phase != phaseRunning {
			continue
		}
		s := a.task.step.spec
		switch {
		case s.Lasting:
			if a.task.mayLeave() && (impatient || c.hasRoomElsewhere(a.task, now)) {
				c.move(a, "its VM has upkeep", now)
			}
		case s.Checkpoints && now.Steady-a.started > moveAge, impatient:
			c.move(a, "its VM has upkeep", now)
		}
	}
}

// mayLeave reports whether a lasting task may be stopped: fewer than MaxAway of
// the others of its step may be away.
func (t *task) mayLeave() bool {
	if t.step.spec.MaxAway == 0 {
		return true
	}
	away := 0
	for _, other := range t.step.tasks {
		if other != t && !other.atWork() {
			away++
		}
	}
	return away < t.step.spec.MaxAway
}

// atWork reports whether a lasting task was past its start in the newest list.
func (t *task) atWork() bool {
	return t.attempt != nil && t.phase == phaseRunning && !t.attempt.stopping && t.attempt.atWork
}

// takeDown records the intent to take empty VMs down, as many as may be down at
// once, and gives the orders whose intent is recorded.
func (c *Core) takeDown(s *waveState, now Instant) {
	sure := now.Steady+UpkeepTimeout < c.certainUntil
	if !sure || now.Steady < c.firstRenewed+c.params.HolderGap {
		return // another owner may order, or may have until a moment ago
	}
	free := s.AtOnce - s.down()
	for _, u := range s.vms {
		if u.begun || u.void || u.calling || now.Steady < u.retryAt || c.downElsewhere(s, u.vm) || !c.vacant(u, now) {
			continue
		}
		switch {
		case !u.intended && free > 0:
			free--
			u.intended = true
			s.version++
		case u.intended && s.persisted == s.version:
			u.calling = true
			c.upkeeps = append(c.upkeeps, UpkeepOrder{s.Number, u.vm, c.term})
			c.trace(Decision{Event: "upkeep_ordered", Worker: u.life, Reason: u.vm})
		}
	}
}

// empty reports whether nothing runs or may start at a worker.
func (w *worker) empty() bool {
	return w.synced && len(w.attempts) == 0 && len(w.foreign) == 0
}

// finishWave notes that all VMs of a wave have had their upkeep.
func (c *Core) finishWave(s *waveState) {
	for _, u := range s.vms {
		if !u.back && !u.void {
			return
		}
	}
	s.succeeded = true
	s.version++
	c.trace(Decision{Event: "wave_succeeded", Reason: s.describe()})
}

// TakeUpkeeps returns the orders decided since the last call.
func (c *Core) TakeUpkeeps() []UpkeepOrder {
	list := c.upkeeps
	c.upkeeps = nil
	return list
}

// UpkeepDone takes in the answer to an UpkeepOrder.
func (c *Core) UpkeepDone(o UpkeepOrder, outcome UpkeepOutcome, now Instant) {
	s := c.waves[o.Wave]
	if s == nil {
		return
	}
	for _, u := range s.vms {
		if u.vm == o.VM {
			u.calling = false
			c.trace(Decision{Event: "upkeep_answered", Worker: u.life, Reason: u.vm + ": " + outcome.String()})
			c.noteUpkeep(s, u, outcome, now)
		}
	}
}

func (c *Core) noteUpkeep(s *waveState, u *vmUpkeep, outcome UpkeepOutcome, now Instant) {
	u.retryAt = now.Steady + upkeepRetry
	switch outcome {
	case UpkeepBegun:
		u.begun, u.begunAt = true, now.Steady
		s.version++
		if w := c.workers[u.life]; w != nil {
			w.takenDown = true
		}
	case UpkeepNotWanted:
		u.void = true
		s.version++
		if w := c.workers[u.life]; w != nil {
			w.cordoned = false
		}
	case UpkeepFenced:
		if w := c.workers[u.life]; w != nil {
			c.depose(w)
		}
	}
}

// workerOfVM returns the listed worker of a VM, nil if there is none. The last
// life of a VM may still be listed beside the next one, which is the one meant.
func (c *Core) workerOfVM(vm string) *worker {
	var found *worker
	for _, w := range c.lives[vm] {
		if !w.listed || w.takenDown {
			continue
		}
		if found == nil || found.cordoned && !w.cordoned || found.cordoned == w.cordoned && w.info.ID > found.info.ID {
			found = w
		}
	}
	return found
}

// WaveRecord is a wave's state to be written.
type WaveRecord struct {
	Number    int64
	Value     []byte
	Succeeded bool
	version   uint64
}

// DirtyWave returns the state of a wave that the store lacks, nil if there is none.
func (c *Core) DirtyWave() (*WaveRecord, error) {
	for _, number := range slices.Sorted(maps.Keys(c.waves)) {
		s := c.waves[number]
		if s.persisted == s.version {
			continue
		}
		value, err := json.Marshal(s.record())
		return &WaveRecord{number, value, s.succeeded, s.version}, err
	}
	return nil, nil
}

func (s *waveState) record() waveRecord {
	r := waveRecord{SeenMS: s.seenMS, VMs: map[string]vmRecord{}, Succeeded: s.succeeded}
	for _, u := range s.vms {
		if u.intended || u.void {
			r.VMs[u.vm] = vmRecord{u.life, u.begun, u.void}
		}
	}
	return r
}

// WavePersisted tells that the store holds the record.
func (c *Core) WavePersisted(r *WaveRecord) {
	if s := c.waves[r.Number]; s != nil {
		s.persisted = max(s.persisted, r.version)
	}
}
