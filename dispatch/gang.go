package dispatch

// placeGang starts all tasks of a gang at once, or none. A suspect gang is one with
// members that may have crashed their workers; it is started apart from other suspects.
func (c *Core) placeGang(s *stepRun, p *pool, now Instant) {
	if !s.gangReady() {
		return
	}
	for _, t := range s.tasks {
		if t.phase == phaseReady && (now.Steady < t.notBefore || t.endUnknown && !c.holdsLease(now)) {
			return
		}
	}
	if c.suspectWaitReason(s.tasks[0], now) != "" {
		return
	}
	chosen, apart := c.chooseGangApart(s, p, now)
	if chosen == nil {
		c.logWaiting(s, p.workers, now)
		return
	}
	for _, w := range chosen {
		apart = apart && !w.startedRecently(now)
	}
	s.gangRun = c.newRun()
	for i, t := range s.tasks {
		if t.phase == phaseReady {
			c.place(t, chosen[i], s.gangRun, now)
		}
	}
	if s.suspects == 0 {
		return
	}
	for _, t := range s.tasks {
		if t.attempt != nil {
			c.recordSuspectStart(t, apart, now)
			p.suspectFree(now).remove(t.attempt.worker)
		}
	}
}

// gangReady reports whether all members of a gang can be started, and none is active.
func (s *stepRun) gangReady() bool { return s.ready >= s.remaining && s.gangRun == 0 }

// chooseGangApart chooses workers as chooseGang does; members of a suspect gang go to
// workers where no other suspect was just started, unless the gang has waited for that
// longer than starvedAfter.
func (c *Core) chooseGangApart(s *stepRun, p *pool, now Instant) (chosen []*worker, apart bool) {
	if s.suspects == 0 {
		return c.chooseGang(s, p.workers, now), false
	}
	free := p.suspectFree(now).workers
	if chosen = c.chooseGang(s, free, now); chosen != nil || now.Steady-s.tasks[0].readySince < starvedAfter {
		return chosen, true
	}
	return c.chooseGang(s, p.workers, now), false
}

// chooseGang returns a worker for each task of a gang: all in one rack if the step
// requests that and a rack has the capacity, else anywhere.
func (c *Core) chooseGang(s *stepRun, pool []*worker, now Instant) []*worker {
	if s.spec.SameRack {
		racks := map[string][]*worker{}
		var names []string
		for _, w := range pool {
			if racks[w.info.Rack] == nil {
				names = append(names, w.info.Rack)
			}
			racks[w.info.Rack] = append(racks[w.info.Rack], w)
		}
		for _, name := range names {
			if chosen := c.fitGang(s, racks[name], now); chosen != nil {
				return chosen
			}
		}
	}
	return c.fitGang(s, pool, now)
}

// fitGang returns workers with capacity for all tasks, or nil; it changes no worker.
func (c *Core) fitGang(s *stepRun, pool []*worker, now Instant) []*worker {
	chosen := make([]*worker, 0, len(s.tasks))
	v := c.plainView(s, now)
	for _, w := range pool {
		for range c.gangSlots(s, w, v, len(s.tasks)-len(chosen), now) {
			chosen = append(chosen, w)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}

// gangSlots returns how many members of a gang a worker takes, at most so many.
func (c *Core) gangSlots(s *stepRun, w *worker, v view, most int, now Instant) int {
	if now.Steady < w.slowUntil && v.avoidsSlow || w.isReserved && v.avoidsReserved || now.Steady < w.fullUntil || !s.allowed(w) {
		return 0
	}
	return s.slotsByCapacity(w, most)
}

// slotsByCapacity returns how many more tasks of a step fit a worker and the step's spread, at
// most so many.
func (s *stepRun) slotsByCapacity(w *worker, most int) int {
	if s.spec.MaxPerWorker > 0 {
		most = min(most, s.spec.MaxPerWorker-s.perWork[w])
	}
	amount, taken := s.amount(), resources{}
	for slots := range max(most, 0) {
		if taken = taken.add(amount, 1); !w.fits(taken) {
			return slots
		}
	}
	return max(most, 0)
}
