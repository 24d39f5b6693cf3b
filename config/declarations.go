package config

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/juju/errors"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"

	"leverstile.dev/api/result"
	"leverstile.dev/fleet"
)

// Class is a group's priority class.
type Class string

// Priority classes, highest priority first.
const (
	LatencyCritical Class = "latency-critical"
	Standard        Class = "standard"
	Batch           Class = "batch"
)

// Group owns a share of the VMs.
type Group struct {
	Name   string          `json:"name"`
	Parent string          `json:"parent,omitempty"`
	Share  float64         `json:"share"`
	Class  Class           `json:"class,omitempty"`
	Quota  fleet.Resources `json:"quota,omitzero"`
}

// RepeatableRule marks requests that may be sent more than once.
type RepeatableRule struct {
	Methods    []string `json:"methods"`
	PathPrefix string   `json:"path_prefix,omitempty"`
}

// Service is served by endpoints on the VMs that a selector matches.
type Service struct {
	Name        string `json:"name"`
	VMs         string `json:"vms,omitempty"`
	Group       string `json:"group,omitempty"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	TimeoutMS   int    `json:"timeout_ms,omitempty"`
	Attempts    int    `json:"attempts,omitempty"`
	// RetryRatio bounds retries as a fraction of requests.
	RetryRatio float64          `json:"retry_ratio,omitempty"`
	Repeatable []RepeatableRule `json:"repeatable,omitempty"`
}

// Selector binds labelled work to a group and, for tasks, to VMs. If several
// match, the one with the lowest Order applies.
type Selector struct {
	Name  string `json:"name"`
	Match string `json:"match"`
	Group string `json:"group"`
	VMs   string `json:"vms,omitempty"`
	Order int    `json:"order,omitempty"`
}

// Cell is a set of VMs whose batch work is scheduled together.
type Cell struct {
	Name string `json:"name"`
	VMs  string `json:"vms"`
}

// Declarations are everything that operators declare.
type Declarations struct {
	Groups    []Group    `json:"groups,omitempty"`
	Services  []Service  `json:"services,omitempty"`
	Selectors []Selector `json:"selectors,omitempty"`
	Cells     []Cell     `json:"cells,omitempty"`
}

// ParseDeclarations parses files as one set and checks them together. vms may be nil;
// otherwise selectors that match none of them cause warnings. The problems hold
// errors and warnings; the declarations are valid only without errors.
func ParseDeclarations(files []File, vms []fleet.VM) (*Declarations, Problems) {
	all := &Declarations{}
	c := &checker{all: all, vms: vms, locations: map[string]location{}}
	var problems Problems
	for _, f := range files {
		part := &Declarations{}
		d := parse(f, result.BadDeclarations, declarationsSchema, part)
		c.merge(d, part)
		c.docs = append(c.docs, d)
	}
	c.check()
	for _, d := range c.docs {
		problems = append(problems, d.problems...)
	}
	return all, problems
}

// location is where a name is declared.
type location struct {
	doc     *document
	pointer string
}

// checker checks the declarations of all files against each other.
type checker struct {
	all       *Declarations
	vms       []fleet.VM
	docs      []*document
	locations map[string]location // where "groups/name" and so on are declared
}

// merge adds the declarations of one document and reports names that are declared twice.
func (c *checker) merge(d *document, part *Declarations) {
	for i, g := range part.Groups {
		c.declare(d, "groups", i, g.Name)
	}
	for i, s := range part.Services {
		c.declare(d, "services", i, s.Name)
	}
	for i, s := range part.Selectors {
		c.declare(d, "selectors", i, s.Name)
	}
	for i, s := range part.Cells {
		c.declare(d, "cells", i, s.Name)
	}
	c.all.Groups = append(c.all.Groups, part.Groups...)
	c.all.Services = append(c.all.Services, part.Services...)
	c.all.Selectors = append(c.all.Selectors, part.Selectors...)
	c.all.Cells = append(c.all.Cells, part.Cells...)
}

// declare records where a name is declared, and reports a name that is declared already.
func (c *checker) declare(d *document, section string, i int, name string) {
	pointer := fmt.Sprintf("/%s/%d", section, i)
	key := section + "/" + name
	if other, ok := c.locations[key]; ok {
		d.add(pointer+"/name", "%q is declared already in %s at %s", name, other.doc.file.Name, other.pointer)
		return
	}
	c.locations[key] = location{d, pointer}
}

func (c *checker) add(key, field, format string, args ...any) {
	p := c.locations[key]
	p.doc.add(p.pointer+field, format, args...)
}

func (c *checker) warn(key, field, format string, args ...any) {
	p := c.locations[key]
	p.doc.warn(p.pointer+field, format, args...)
}

func (c *checker) check() {
	c.checkGroups()
	c.checkServices()
	c.checkSelectors()
	c.checkCells()
}

func (c *checker) checkGroups() {
	for _, g := range c.all.Groups {
		key := "groups/" + g.Name
		if g.Parent == "" {
			continue
		}
		if !c.declared("groups", g.Parent) {
			c.add(key, "/parent", "group %q is not declared", g.Parent)
		} else if c.cyclic(g) {
			c.add(key, "/parent", "group %q is its own ancestor", g.Name)
		}
	}
}

func (c *checker) declared(section, name string) bool {
	_, ok := c.locations[section+"/"+name]
	return ok
}

// cyclic reports whether the group is its own ancestor.
func (c *checker) cyclic(g Group) bool {
	parent := map[string]string{}
	for _, o := range c.all.Groups {
		parent[o.Name] = o.Parent
	}
	at := g.Parent
	for range len(parent) + 1 {
		if at == g.Name {
			return true
		}
		at = parent[at]
	}
	return false
}

func (c *checker) checkServices() {
	for _, s := range c.all.Services {
		key := "services/" + s.Name
		if s.Group != "" && !c.declared("groups", s.Group) {
			c.add(key, "/group", "group %q is not declared", s.Group)
		}
		if s.Connections < s.Slots {
			c.add(key, "/connections", "must be at least slots (%d)", s.Slots)
		}
		c.parseSelector(key, "/vms", s.VMs, true)
	}
}

func (c *checker) checkSelectors() {
	parsed := make([]labels.Selector, len(c.all.Selectors))
	for i, s := range c.all.Selectors {
		key := "selectors/" + s.Name
		if !c.declared("groups", s.Group) {
			c.add(key, "/group", "group %q is not declared", s.Group)
		}
		parsed[i] = c.parseSelector(key, "/match", s.Match, false)
		c.parseSelector(key, "/vms", s.VMs, true)
	}
	for i, a := range c.all.Selectors {
		for j, b := range c.all.Selectors[:i] {
			if parsed[i] == nil || parsed[j] == nil || a.Group == b.Group || a.Order != b.Order {
				continue
			}
			if !Disjoint(parsed[i], parsed[j]) {
				c.add("selectors/"+a.Name, "/match", "may claim the same work as selector %q for another group; give one of them a lower order", b.Name)
			}
		}
	}
}

func (c *checker) checkCells() {
	claimed := map[string]string{}
	for _, cell := range c.all.Cells {
		key := "cells/" + cell.Name
		sel := c.parseSelector(key, "/vms", cell.VMs, true)
		if sel == nil {
			continue
		}
		for _, vm := range c.vms {
			if !sel.Matches(VMLabels(vm)) {
				continue
			}
			if other, ok := claimed[vm.ID]; ok {
				c.add(key, "/vms", "VM %s belongs to cell %q already", vm.ID, other)
				break
			}
			claimed[vm.ID] = cell.Name
		}
	}
}

// parseSelector parses a label selector and reports its mistakes; it returns nil for a bad one.
func (c *checker) parseSelector(key, field, text string, ofVMs bool) labels.Selector {
	sel, err := labels.Parse(text)
	if err != nil {
		c.add(key, field, "%v", err)
		return nil
	}
	if ofVMs && text != "" && c.vms != nil && !matchesAny(sel, c.vms) {
		c.warn(key, field, "matches no VM of the platform's list at present")
	}
	return sel
}

func matchesAny(sel labels.Selector, vms []fleet.VM) bool {
	for _, vm := range vms {
		if sel.Matches(VMLabels(vm)) {
			return true
		}
	}
	return false
}

// VMLabels returns a VM's labels together with "vm", "place" and "rack".
func VMLabels(vm fleet.VM) labels.Set {
	set := labels.Set{"vm": vm.ID, "place": vm.Place, "rack": vm.Rack}
	for k, v := range vm.Labels {
		set[k] = v
	}
	return set
}

// Disjoint reports whether no set of labels can match both selectors. It compares
// one key at a time and so may miss some cases; false means "may overlap".
func Disjoint(a, b labels.Selector) bool {
	ra, _ := a.Requirements()
	rb, _ := b.Requirements()
	for _, x := range ra {
		for _, y := range rb {
			if x.Key() == y.Key() && excludes(x, y) {
				return true
			}
		}
	}
	return false
}

// excludes reports whether no label value meets both requirements, which have the same key.
func excludes(x, y labels.Requirement) bool {
	if requiresListedValue(x) && requiresListedValue(y) {
		return x.Values().Intersection(y.Values()).Len() == 0
	}
	return oneExcludes(x, y) || oneExcludes(y, x)
}

// requiresListedValue reports whether a requirement demands one of its listed values.
func requiresListedValue(r labels.Requirement) bool {
	switch r.Operator() {
	case selection.In, selection.Equals, selection.DoubleEquals:
		return true
	default:
		return false
	}
}

// oneExcludes reports whether x demands what y forbids.
func oneExcludes(x, y labels.Requirement) bool {
	switch y.Operator() {
	case selection.DoesNotExist:
		return requiresListedValue(x) || x.Operator() == selection.Exists
	case selection.NotIn, selection.NotEquals:
		return requiresListedValue(x) && y.Values().IsSuperset(x.Values())
	default:
		return false
	}
}

// Encode returns the declarations as canonical JSON.
func (d *Declarations) Encode() ([]byte, error) {
	sorted := *d
	sorted.Groups = append([]Group(nil), d.Groups...)
	sort.Slice(sorted.Groups, func(i, j int) bool { return sorted.Groups[i].Name < sorted.Groups[j].Name })
	sorted.Services = append([]Service(nil), d.Services...)
	sort.Slice(sorted.Services, func(i, j int) bool { return sorted.Services[i].Name < sorted.Services[j].Name })
	sorted.Selectors = append([]Selector(nil), d.Selectors...)
	sort.Slice(sorted.Selectors, func(i, j int) bool { return sorted.Selectors[i].Name < sorted.Selectors[j].Name })
	sorted.Cells = append([]Cell(nil), d.Cells...)
	sort.Slice(sorted.Cells, func(i, j int) bool { return sorted.Cells[i].Name < sorted.Cells[j].Name })
	b, err := json.MarshalIndent(&sorted, "", "  ")
	return b, errors.Trace(err)
}

// IsRepeatable reports whether a request may be sent more than once. Without
// rules, GET, HEAD and OPTIONS may (RFC 9110, section 9.2.2, without PUT
// and DELETE, which many services don't make idempotent).
func (s *Service) IsRepeatable(method, path string) bool {
	if len(s.Repeatable) == 0 {
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	}
	for _, r := range s.Repeatable {
		if !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		for _, m := range r.Methods {
			if m == method {
				return true
			}
		}
	}
	return false
}

// Binder finds the group and the class of labelled work.
type Binder struct {
	selectors []boundSelector
	classes   map[string]Class
}

type boundSelector struct {
	Selector
	match labels.Selector
}

// NewBinder returns a Binder for declarations that have been checked.
func NewBinder(d *Declarations) (*Binder, error) {
	b := &Binder{classes: map[string]Class{}}
	for _, g := range d.Groups {
		b.classes[g.Name] = g.Class
	}
	for _, s := range d.Selectors {
		match, err := labels.Parse(s.Match)
		if err != nil {
			return nil, errors.Annotatef(err, "selector %s", s.Name)
		}
		b.selectors = append(b.selectors, boundSelector{s, match})
	}
	sort.SliceStable(b.selectors, func(i, j int) bool { return b.selectors[i].Order < b.selectors[j].Order })
	return b, nil
}

// Bind returns the first selector in Order that matches these labels, or nil.
func (b *Binder) Bind(work map[string]string) *Selector {
	for i := range b.selectors {
		if b.selectors[i].match.Matches(labels.Set(work)) {
			return &b.selectors[i].Selector
		}
	}
	return nil
}

// Class returns a group's priority class, Standard if none is declared.
func (b *Binder) Class(group string) Class {
	if c := b.classes[group]; c != "" {
		return c
	}
	return Standard
}
