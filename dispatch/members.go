package dispatch

import (
	"cmp"
	"slices"

	"leverstile.dev/job"
)

// SetWorkers applies the platform's list of workers. The list proves nothing
// about incarnations: entries of ended ones expire late, and a write of an ended
// one may be carried out after those of the next. Only a worker's own answer is proof.
func (c *Core) SetWorkers(list []WorkerInfo, now Instant) {
	c.listedAt = now.Steady
	c.reach.invalidate()
	listed := make(map[WorkerID]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		if c.ended[info.ID] {
			continue // its entry has not expired yet, or was written late
		}
		w := c.workers[info.ID]
		if w == nil {
			w = c.addWorker(info, now)
			c.trace(Decision{Event: "worker_listed", Worker: info.ID, Reason: info.Address})
		}
		if info.Draining {
			c.recordLeaveTime(w, info.Leaving, now)
		}
		if info.Draining && !w.info.Draining {
			c.trace(Decision{Event: "worker_draining", Worker: info.ID, Reason: info.Leaving.String()})
		}
		c.setInfo(w, info)
		w.coldUntil = now.Steady + info.Cold
		w.listed = true
		if c.services[info.Service] {
			c.roster.ensure(info)
		}
	}
	for id := range c.ended {
		if !listed[id] {
			delete(c.ended, id)
		}
	}
	for id, w := range c.workers {
		if w.listed && !listed[id] {
			w.listed = false
			c.trace(Decision{Event: "worker_unlisted", Worker: id})
		}
		if _, wait := c.unresolved[id]; !w.listed && !wait && w.empty() && len(w.ends) == 0 {
			// No run of this owner is there or can start there. If it is
			// listed again, its lists are read again.
			c.forgetWorker(w, "not listed and without tasks")
		}
	}
}

// addWorker adds an incarnation of a worker that was not known before.
func (c *Core) addWorker(info WorkerInfo, now Instant) *worker {
	w := &worker{info: info, knownAt: now.Steady, paceScale: 1, unexpected: map[job.TaskID]unexpectedRun{}}
	c.workers[info.ID] = w
	if info.VM != "" {
		c.workersByVM[info.VM] = append(c.workersByVM[info.VM], w)
	}
	c.addIncarnation(w)
	c.addToIndexes(w)
	return w
}

// addToIndexes inserts a worker into the lists of all workers, of its service's and of
// its rack's workers, each ordered by id.
func (c *Core) addToIndexes(w *worker) {
	c.sortedWorkers = insertWorker(c.sortedWorkers, w)
	c.workersByService[w.info.Service] = insertWorker(c.workersByService[w.info.Service], w)
	c.workersByRack[w.info.Rack] = insertWorker(c.workersByRack[w.info.Rack], w)
}

// removeFromIndexes is the opposite of addToIndexes.
func (c *Core) removeFromIndexes(w *worker) {
	c.sortedWorkers = removeWorker(c.sortedWorkers, w)
	c.workersByService[w.info.Service] = removeWorker(c.workersByService[w.info.Service], w)
	if c.workersByRack[w.info.Rack] = removeWorker(c.workersByRack[w.info.Rack], w); len(c.workersByRack[w.info.Rack]) == 0 {
		delete(c.workersByRack, w.info.Rack)
	}
}

// searchWorker returns the position of a worker in a list sorted by id, and whether it is there.
func searchWorker(list []*worker, w *worker) (int, bool) {
	return slices.BinarySearchFunc(list, w.info.ID, func(x *worker, id WorkerID) int { return cmp.Compare(x.info.ID, id) })
}

func insertWorker(list []*worker, w *worker) []*worker {
	at, _ := searchWorker(list, w)
	return slices.Insert(list, at, w)
}

func removeWorker(list []*worker, w *worker) []*worker {
	at, found := searchWorker(list, w)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

// setInfo applies what the platform lists about a worker.
func (c *Core) setInfo(w *worker, info WorkerInfo) {
	before := w.info
	if before.Service != info.Service || before.Rack != info.Rack {
		c.removeFromIndexes(w)
		w.info = info
		c.addToIndexes(w)
	}
	w.info = info
	grown := info.CPUMilli > before.CPUMilli || info.MemoryMiB > before.MemoryMiB || info.Accelerators > before.Accelerators
	if grown || !slices.Equal(before.Labels, info.Labels) {
		c.refusals.recordChange(w, false)
	}
}
