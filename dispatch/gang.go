package dispatch

// placeGang starts all tasks of a gang at once, or none. A suspect gang is one with
// members that may have crashed their workers; it is started apart from other suspects.
func (c *Core) placeGang(s *stepRun, p *pool, now Instant) {
	if s.ready < s.remaining || s.gangRun != 0 {
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
	amount := s.amount()
	chosen := make([]*worker, 0, len(s.tasks))
	skipSlow := s.avoidsSlow(now)
	skipReserved := c.avoidsReserved(s, now)
	for _, w := range pool {
		if now.Steady < w.slowUntil && skipSlow || w.isReserved && skipReserved || now.Steady < w.fullUntil || !s.allowed(w) {
			continue
		}
		taken := resources{}
		for here := 0; len(chosen) < len(s.tasks); here++ {
			if s.spec.MaxPerWorker > 0 && s.perWork[w]+here >= s.spec.MaxPerWorker {
				break
			}
			taken = taken.add(amount, 1)
			if !w.fits(taken) {
				break
			}
			chosen = append(chosen, w)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}
