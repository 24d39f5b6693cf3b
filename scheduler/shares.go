package scheduler

import (
	"math"
	"slices"
	"sort"
	"time"

	"leverstile.dev/fleet"
)

// GroupSpec is a group as declared. A group's share is relative to its siblings'
// shares; groups at the top have an empty Parent.
type GroupSpec struct {
	Name   string
	Parent string
	Share  float64
	// Quota bounds the resources that the group's tasks hold at a time; a zero
	// field is no bound.
	Quota fleet.Resources
}

// Shares records each group's use of the fleet and orders groups by nested
// weighted dominant resource share (Ghodsi et al., NSDI 2011), with past use
// that decays (docs/design/fair-share.md).
type Shares struct {
	groups map[string]*groupShare
	root   *groupShare
	total  fleet.Resources
	// halfLife is the time after which past use counts by half.
	halfLife time.Duration
	updated  time.Duration
}

type groupShare struct {
	spec     GroupSpec
	parent   *groupShare
	children []*groupShare
	// inUse is held by this group's own tasks in this cell, elsewhere by those in
	// other cells. Both exclude children.
	inUse     fleet.Resources
	elsewhere fleet.Resources
	// pastUse is the decayed mean of the dominant share, children included.
	pastUse float64
	// subtree is the current use, children included, updated on each change.
	subtree fleet.Resources
}

// DefaultHalfLife is the half-life of past use.
const DefaultHalfLife = 10 * time.Minute

// NewShares returns the shares of declared groups. total is the fleet's
// capacity.
func NewShares(specs []GroupSpec, total fleet.Resources, halfLife time.Duration) *Shares {
	s := &Shares{groups: map[string]*groupShare{}, root: &groupShare{}, total: total, halfLife: halfLife}
	s.SetGroups(specs)
	return s
}

// SetGroups replaces the declared groups. Use is carried over by name.
func (s *Shares) SetGroups(specs []GroupSpec) {
	old := s.groups
	s.groups = make(map[string]*groupShare, len(specs))
	s.root = &groupShare{}
	for _, spec := range specs {
		g := &groupShare{spec: spec}
		if o := old[spec.Name]; o != nil {
			g.inUse, g.elsewhere, g.pastUse = o.inUse, o.elsewhere, o.pastUse
		}
		s.groups[spec.Name] = g
	}
	for name, o := range old {
		if s.groups[name] == nil && !o.inUse.IsZero() {
			// A group that is no longer declared keeps its entry while it has
			// resources in use.
			s.groups[name] = &groupShare{spec: GroupSpec{Name: name, Share: o.spec.Share}, inUse: o.inUse}
		}
	}
	for _, g := range s.groups {
		s.link(g)
	}
	for _, g := range s.groups {
		g.addSubtree(g.inUse.Add(g.elsewhere))
	}
}

func (s *Shares) link(g *groupShare) {
	g.parent = s.root
	if p := s.groups[g.spec.Parent]; p != nil && g.spec.Parent != "" {
		g.parent = p
	}
	g.parent.children = append(g.parent.children, g)
}

func (g *groupShare) addSubtree(r fleet.Resources) {
	for p := g; p != nil; p = p.parent {
		p.subtree = p.subtree.Add(r)
	}
}

// SetTotal sets the fleet's capacity.
func (s *Shares) SetTotal(total fleet.Resources) { s.total = total }

// AddUse adds r, which may be negative, to the resources that a group holds in
// this cell.
func (s *Shares) AddUse(group string, r fleet.Resources) {
	g := s.groups[group]
	if g == nil {
		g = &groupShare{spec: GroupSpec{Name: group, Share: 1}}
		s.groups[group] = g
		s.link(g)
	}
	g.inUse = g.inUse.Add(r)
	g.addSubtree(r)
}

// SetElsewhere sets the resources that a group holds in all other cells.
func (s *Shares) SetElsewhere(group string, r fleet.Resources) {
	if g := s.groups[group]; g != nil {
		g.addSubtree(r.Sub(g.elsewhere))
		g.elsewhere = r
	}
}

// InUse returns the resources that each group holds in this cell.
func (s *Shares) InUse() map[string]fleet.Resources {
	out := make(map[string]fleet.Resources, len(s.groups))
	for name, g := range s.groups {
		if !g.inUse.IsZero() {
			out[name] = g.inUse
		}
	}
	return out
}

// Advance decays past use up to now.
func (s *Shares) Advance(now time.Duration) {
	passed := now - s.updated
	if passed <= 0 {
		return
	}
	s.updated = now
	keep := math.Exp2(-float64(passed) / float64(s.halfLife))
	for _, g := range s.groups {
		g.pastUse = keep*g.pastUse + (1-keep)*s.dominant(g.subtree)
	}
}

// dominant returns the largest fraction of the fleet over the kinds of resource.
func (s *Shares) dominant(r fleet.Resources) float64 {
	d := fraction(r.CPUMilli, s.total.CPUMilli)
	d = max(d, fraction(r.MemoryMiB, s.total.MemoryMiB))
	return max(d, fraction(r.Accelerators, s.total.Accelerators))
}

// DominantShare returns a group's current dominant share, children included.
func (s *Shares) DominantShare(group string) float64 {
	if g := s.groups[group]; g != nil {
		return s.dominant(g.subtree)
	}
	return 0
}

// sortKey is the sum of current and past use divided by the share. Among siblings,
// the group with the smallest key comes first.
func (s *Shares) sortKey(g *groupShare) float64 {
	weight := g.spec.Share
	if weight <= 0 {
		weight = 1
	}
	return (s.dominant(g.subtree) + g.pastUse) / weight
}

// Above reports whether group a holds clearly more in proportion to its share
// than b. It compares the two ancestors that are siblings.
func (s *Shares) Above(a, b string) bool {
	pathA, pathB := s.path(a), s.path(b)
	for i := range min(len(pathA), len(pathB)) {
		if pathA[i] != pathB[i] {
			return s.weightedUse(pathA[i]) > aboveFactor*s.weightedUse(pathB[i])
		}
	}
	return false
}

// aboveFactor prevents groups with about equal use from blocking each other.
const aboveFactor = 1.1

// weightedUse is a group's current use divided by its share.
func (s *Shares) weightedUse(g *groupShare) float64 {
	return s.dominant(g.subtree) / max(g.spec.Share, minShare)
}

// minShare replaces a share of zero, which would cause a division by zero.
const minShare = 1e-9

// path returns a group and its ancestors, the topmost first.
func (s *Shares) path(group string) []*groupShare {
	var up []*groupShare
	for g := s.groups[group]; g != nil && g != s.root; g = g.parent {
		up = append(up, g)
	}
	slices.Reverse(up)
	return up
}

// WithinQuota reports whether a group and all its parents may hold r in addition.
func (s *Shares) WithinQuota(group string, r fleet.Resources) bool {
	for g := s.groups[group]; g != nil && g != s.root; g = g.parent {
		if !withinQuota(g.subtree.Add(r), g.spec.Quota) {
			return false
		}
	}
	return true
}

// ExceedsQuota reports whether r alone is more than the quota of the group or of
// one of its parents.
func (s *Shares) ExceedsQuota(group string, r fleet.Resources) bool {
	for g := s.groups[group]; g != nil && g != s.root; g = g.parent {
		if !withinQuota(r, g.spec.Quota) {
			return true
		}
	}
	return false
}

func withinQuota(r, quota fleet.Resources) bool {
	if quota.CPUMilli > 0 && r.CPUMilli > quota.CPUMilli {
		return false
	}
	if quota.MemoryMiB > 0 && r.MemoryMiB > quota.MemoryMiB {
		return false
	}
	return quota.Accelerators == 0 || r.Accelerators <= quota.Accelerators
}

// picker chooses the next group among those with waiting tasks.
type picker struct {
	shares *Shares
	active map[*groupShare]int // number of groups with waiting tasks in the subtree
}

func newPicker(s *Shares, queues []*Queue) *picker {
	p := &picker{shares: s, active: map[*groupShare]int{}}
	for _, q := range queues {
		if len(q.Tasks) > 0 {
			p.mark(q.Group, 1)
		}
	}
	return p
}

func (p *picker) mark(group string, n int) {
	for g := p.shares.groups[group]; g != nil; g = g.parent {
		p.active[g] += n
	}
}

// next returns the group whose turn it is: from the root down, the child with the
// smallest sort key. A group's own tasks compete with its children by the use of
// the group's own tasks. own reports which groups have waiting tasks.
func (p *picker) next(own map[string]bool) (string, bool) {
	g := p.shares.root
	for {
		best := p.bestChild(g)
		if best == nil {
			return g.spec.Name, g != p.shares.root
		}
		if g != p.shares.root && own[g.spec.Name] && p.ownFirst(g, best) {
			return g.spec.Name, true
		}
		g = best
	}
}

func (p *picker) ownFirst(g, child *groupShare) bool {
	return p.shares.dominant(g.inUse.Add(g.elsewhere)) <= p.shares.sortKey(child)
}

func (p *picker) bestChild(g *groupShare) *groupShare {
	var best *groupShare
	for _, c := range g.children {
		if p.active[c] > 0 && (best == nil || p.less(c, best)) {
			best = c
		}
	}
	return best
}

func (p *picker) less(a, b *groupShare) bool {
	oa, ob := p.shares.sortKey(a), p.shares.sortKey(b)
	if oa != ob {
		return oa < ob
	}
	return a.spec.Name < b.spec.Name
}

// Names returns the names of the groups in order.
func (s *Shares) Names() []string {
	names := make([]string, 0, len(s.groups))
	for n := range s.groups {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
