package entry

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"leverstile.dev/config"
	"leverstile.dev/fleet"
	"leverstile.dev/router"
)

// Defaults of a declared service's settings.
const (
	defaultTimeout    = 30 * time.Second
	defaultAttempts   = 3
	defaultRetryRatio = 0.1
)

// services holds the routing tables of all declared services.
type services struct {
	entry  *Entry
	mu     sync.RWMutex
	byName map[string]*service
	nextID atomic.Uint64
}

// service is one service's routing table, with the requests that wait for its
// actions.
type service struct {
	entry     *Entry
	name      string
	transport *transport

	mu             sync.Mutex
	spec           *config.Service
	vms            labels.Selector
	table          *router.Table
	actionChannels map[uint64]chan router.Action
}

func newServices(e *Entry) *services {
	s := &services{entry: e, byName: map[string]*service{}}
	e.set.NewGauge("leverstile_requests_in_flight", func() float64 { return float64(s.inFlight()) })
	return s
}

// get returns a declared service, or nil.
func (s *services) get(name string) *service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byName[name]
}

func (s *services) all() []*service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*service, 0, len(s.byName))
	for _, svc := range s.byName {
		out = append(out, svc)
	}
	return out
}

// setDeclared applies the services of a revision.
func (s *services) setDeclared(rev *revision) {
	s.mu.Lock()
	next := make(map[string]*service, len(rev.services))
	for name, spec := range rev.services {
		svc := s.byName[name]
		if svc == nil {
			svc = newService(s.entry, name)
		}
		svc.setSpec(spec)
		next[name] = svc
	}
	s.byName = next
	s.mu.Unlock()
	s.refresh()
}

func newService(e *Entry, name string) *service {
	h := fnv.New64a()
	_, _ = h.Write([]byte(e.settings.ID + name))
	return &service{
		entry: e, name: name, transport: newTransport(),
		table:          router.New(router.Params{Slots: 1, Place: e.settings.Place}, h.Sum64()),
		actionChannels: map[uint64]chan router.Action{},
	}
}

func (svc *service) setSpec(spec *config.Service) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.spec = spec
	svc.vms, _ = labels.Parse(spec.VMs) // validated when the declarations were accepted
	p := router.Params{
		Slots: spec.Slots, Place: svc.entry.settings.Place, Queue: svc.entry.settings.Limits.Queue,
		Attempts: spec.Attempts, RetryRatio: spec.RetryRatio,
	}
	if p.Attempts == 0 {
		p.Attempts = defaultAttempts
	}
	if p.RetryRatio == 0 {
		p.RetryRatio = defaultRetryRatio
	}
	svc.table.SetParams(p)
}

func (svc *service) timeout() time.Duration {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.spec.TimeoutMS > 0 {
		return config.Ms(svc.spec.TimeoutMS)
	}
	return defaultTimeout
}

// refresh updates all tables with the VM list, the leaving VMs and the number
// of entries.
func (s *services) refresh() {
	now := s.entry.clock()
	vms := s.entry.view.listVMs()
	leaving := s.entry.view.leavingVMs(now)
	entries := len(s.entry.view.entries(now, true))
	for _, svc := range s.all() {
		svc.refresh(now, vms, leaving, max(entries, 1))
	}
}

func (svc *service) refresh(now time.Duration, vms []fleet.VM, leaving map[string]bool, entries int) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	var list []router.Endpoint
	for _, vm := range vms {
		if !svc.vms.Matches(config.VMLabels(vm)) {
			continue
		}
		for _, ep := range vm.Endpoints {
			if ep.Service == svc.name {
				list = append(list, router.Endpoint{ID: ep.Address, VM: vm.ID, Place: vm.Place})
			}
		}
	}
	svc.transport.setLimit(max(svc.spec.Connections/entries, 1))
	svc.table.SetEntries(entries)
	svc.table.SetLeaving(leaving)
	svc.deliver(svc.table.SetEndpoints(now, list))
}

func (s *services) inFlight() int {
	n := 0
	for _, svc := range s.all() {
		svc.mu.Lock()
		n += svc.table.InFlight() + svc.table.Queued()
		svc.mu.Unlock()
	}
	return n
}

// serviceTickInterval is how often tables with queued requests get the time.
const serviceTickInterval = 5 * time.Millisecond

// run passes the time to all tables that have queued requests.
func (s *services) run(ctx context.Context) {
	ticker := time.NewTicker(serviceTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := s.entry.clock()
		for _, svc := range s.all() {
			svc.mu.Lock()
			if svc.table.Queued() > 0 {
				svc.deliver(svc.table.Tick(now))
			}
			svc.mu.Unlock()
		}
	}
}

func (s *services) close() {
	for _, svc := range s.all() {
		svc.transport.close()
	}
}

// deliver sends actions to the requests that they are for. svc.mu is held; no
// send blocks, as a request has one action at a time and its channel buffers one.
func (svc *service) deliver(actions []router.Action) {
	for _, a := range actions {
		if ch := svc.actionChannels[a.Request]; ch != nil {
			ch <- a
		}
	}
}

// addRequest adds a request to the table and returns the channel of its actions.
func (svc *service) addRequest(r router.Request) <-chan router.Action {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	ch := make(chan router.Action, 1)
	svc.actionChannels[r.ID] = ch
	svc.deliver(svc.table.Arrive(svc.entry.clock(), r))
	return ch
}

// finish reports to the table how an attempt ended.
func (svc *service) finish(id uint64, o router.Outcome) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.deliver(svc.table.Finish(svc.entry.clock(), id, o))
}

// removeRequest removes a request. If it was assigned to an endpoint meanwhile, the
// endpoint's slot is freed.
func (svc *service) removeRequest(id uint64) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	delete(svc.actionChannels, id)
	svc.table.Cancel(id)
	svc.deliver(svc.table.Finish(svc.entry.clock(), id, router.Outcome{Kind: router.Abandoned}))
}
