package router

import "time"

// queue holds waiting requests: classes in strict order, groups of a class in
// round-robin order, requests of a group first come first served.
type queue struct {
	classes [numClasses]classQueue
	size    int
}

type classQueue struct {
	groups     map[string]*groupQueue
	roundRobin []*groupQueue // groups with waiting requests, in round-robin order
	size       int
}

type groupQueue struct {
	name    string
	waiting []*trackedRequest
}

func (q *queue) len() int { return q.size }

// ahead counts the waiting requests that precede a new one of class c.
func (q *queue) ahead(c Class) int {
	n := 0
	for i := LatencyCritical; i <= c; i++ {
		n += q.classes[i].size
	}
	return n
}

func (q *queue) group(f *trackedRequest) *groupQueue {
	c := &q.classes[f.Class]
	if c.groups == nil {
		c.groups = map[string]*groupQueue{}
	}
	g := c.groups[f.Group]
	if g == nil {
		g = &groupQueue{name: f.Group}
		c.groups[f.Group] = g
		c.roundRobin = append(c.roundRobin, g)
	}
	return g
}

func (q *queue) push(f *trackedRequest) {
	g := q.group(f)
	g.waiting = append(g.waiting, f)
	q.markQueued(f)
}

// pushFront puts a request that is retried before the others of its group.
func (q *queue) pushFront(f *trackedRequest) {
	g := q.group(f)
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[1:], g.waiting)
	g.waiting[0] = f
	q.markQueued(f)
}

func (q *queue) markQueued(f *trackedRequest) {
	f.queued = true
	q.classes[f.Class].size++
	q.size++
}

// next returns the request to send next at now, without removing it.
func (q *queue) next(now time.Duration) *trackedRequest {
	for i := range q.classes {
		for _, g := range q.classes[i].roundRobin {
			for _, f := range g.waiting {
				if now >= f.notBefore {
					return f
				}
			}
		}
	}
	return nil
}

// remove removes a request. Its group moves to the end of the round-robin order.
func (q *queue) remove(f *trackedRequest) {
	if !f.queued {
		return
	}
	f.queued = false
	c := &q.classes[f.Class]
	g := c.groups[f.Group]
	for i, w := range g.waiting {
		if w == f {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			break
		}
	}
	c.size--
	q.size--
	c.rotate(g)
}

func (c *classQueue) rotate(g *groupQueue) {
	for i, o := range c.roundRobin {
		if o == g {
			c.roundRobin = append(c.roundRobin[:i], c.roundRobin[i+1:]...)
			break
		}
	}
	if len(g.waiting) == 0 {
		delete(c.groups, g.name)
		return
	}
	c.roundRobin = append(c.roundRobin, g)
}

// shed returns the request to drop in favour of a new one: the newest of the
// longest group of the lowest class below its own, or of its own class if another
// group has more requests waiting than the new one's group. It returns nil if
// there is none.
func (q *queue) shed(f *trackedRequest) *trackedRequest {
	for i := numClasses - 1; i > f.Class; i-- {
		if g := q.classes[i].longest(); g != nil {
			return g.newest()
		}
	}
	c := &q.classes[f.Class]
	own := 0
	if g := c.groups[f.Group]; g != nil {
		own = len(g.waiting)
	}
	if g := c.longest(); g != nil && len(g.waiting) > own+1 {
		return g.newest()
	}
	return nil
}

func (c *classQueue) longest() *groupQueue {
	var longest *groupQueue
	for _, g := range c.roundRobin {
		if longest == nil || len(g.waiting) > len(longest.waiting) {
			longest = g
		}
	}
	return longest
}

func (g *groupQueue) newest() *trackedRequest { return g.waiting[len(g.waiting)-1] }

// each calls fn for all waiting requests; fn may remove the request it is given.
func (q *queue) each(fn func(*trackedRequest)) {
	if q.size == 0 {
		return
	}
	var all []*trackedRequest
	for i := range q.classes {
		for _, g := range q.classes[i].roundRobin {
			all = append(all, g.waiting...)
		}
	}
	for _, f := range all {
		fn(f)
	}
}
