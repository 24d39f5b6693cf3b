package entry

import (
	"sort"
	"sync"
	"time"

	peerv1 "leverstile.dev/api/gen/leverstile/peer/v1"
	"leverstile.dev/fleet"
	"leverstile.dev/membership"
)

// peerStaleAge is the age from which on a peer's last exchange is disregarded.
const peerStaleAge = 5 * time.Second

// leavingRetention is how long a VM counts as leaving after the last report of it.
const leavingRetention = 10 * time.Minute

// view is this entry's knowledge of the fleet. Its lock is never held while
// anything is called.
type view struct {
	mu sync.RWMutex
	// registered are the entries with a key in the store.
	registered map[string]membership.Entry
	// peers are entries that have exchanged views with this one.
	peers map[string]peerState
	// owners are the owner keys of shards, as received through the store's watch.
	owners map[string]string
	// drained VMs are those that operators drain.
	drained map[string]bool
	vms     []fleet.VM
	vmsAt   time.Duration
	// leaving holds the VMs that are leaving, with the time of the last report.
	leaving map[string]time.Duration
}

type peerState struct {
	view *peerv1.View
	at   time.Duration
}

func newView() *view {
	return &view{
		registered: map[string]membership.Entry{},
		peers:      map[string]peerState{},
		owners:     map[string]string{},
		drained:    map[string]bool{},
		leaving:    map[string]time.Duration{},
	}
}

// entries returns the entries that are considered alive: the registered ones
// and, while the store is unavailable, peers with a recent exchange.
func (v *view) entries(now time.Duration, storeOut bool) []membership.Entry {
	v.mu.RLock()
	defer v.mu.RUnlock()
	byID := map[string]membership.Entry{}
	for id, e := range v.registered {
		byID[id] = e
	}
	for id, p := range v.peers {
		if now-p.at > peerStaleAge {
			continue
		}
		e, known := byID[id]
		if !known && !storeOut {
			continue // its store lease has ended
		}
		if !known {
			e = membership.Entry{ID: id, Address: p.view.GetAddress(), Place: p.view.GetPlace()}
		}
		e.Draining = e.Draining || p.view.GetDraining()
		byID[id] = e
	}
	out := make([]membership.Entry, 0, len(byID))
	for _, e := range byID {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// address returns the address at which an entry takes calls of peers.
func (v *view) address(id string) string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if e, ok := v.registered[id]; ok {
		return e.Address
	}
	if p, ok := v.peers[id]; ok {
		return p.view.GetAddress()
	}
	return ""
}

// owner returns the entry that owns a shard as far as is known: the one that
// the store's owner key names, else the peer that reports the highest term.
func (v *view) owner(shard string, now time.Duration) string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if id := v.owners[shard]; id != "" {
		return id
	}
	best, term := "", uint64(0)
	for id, p := range v.peers {
		if now-p.at > peerStaleAge {
			continue
		}
		for _, s := range p.view.GetShards() {
			if s.GetName() == shard && s.GetTerm() > term {
				best, term = id, s.GetTerm()
			}
		}
	}
	return best
}

// recordPeerView stores a peer's view. It returns whether the view reports a
// leaving VM that had no record here.
func (v *view) recordPeerView(now time.Duration, pv *peerv1.View) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers[pv.GetEntry()] = peerState{pv, now}
	updated := false
	for _, l := range pv.GetLeaving() {
		at := now - time.Duration(l.GetAgeMs())*time.Millisecond
		old, known := v.leaving[l.GetVm()]
		if !known || at > old {
			v.leaving[l.GetVm()] = at
		}
		updated = updated || !known
	}
	return updated
}

// hasNoPeers reports whether no peer has exchanged views recently.
func (v *view) hasNoPeers(now time.Duration) bool { return len(v.peerViews(now)) == 0 }

func (v *view) removeOldPeers(now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, p := range v.peers {
		if now-p.at > 10*peerStaleAge {
			delete(v.peers, id)
		}
	}
}

// markLeaving records a report that a VM is leaving. It returns whether the VM
// had no such record yet.
func (v *view) markLeaving(now time.Duration, vm string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, known := v.leaving[vm]
	v.leaving[vm] = now
	return !known
}

// leavingVMs returns the VMs whose endpoints get no new requests: VMs that
// leave according to the platform's list, that operators drain, or whose
// endpoint refused a request here or at a peer because it leaves.
func (v *view) leavingVMs(now time.Duration) map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]bool{}
	for vm, at := range v.leaving {
		if now-at > leavingRetention {
			delete(v.leaving, vm)
			continue
		}
		out[vm] = true
	}
	for vm := range v.drained {
		out[vm] = true
	}
	for _, vm := range v.vms {
		if vm.State == fleet.VMLeaving {
			out[vm.ID] = true
		}
	}
	return out
}

// leavingReports returns the leaving VMs that are reported to peers, with the
// age of the last report, so that passing a report on doesn't renew it.
func (v *view) leavingReports(now time.Duration) []*peerv1.LeavingVM {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var out []*peerv1.LeavingVM
	for vm, at := range v.leaving {
		if now-at < leavingRetention {
			out = append(out, &peerv1.LeavingVM{Vm: vm, AgeMs: uint32((now - at).Milliseconds())})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetVm() < out[j].GetVm() })
	return out
}

func (v *view) setVMs(now time.Duration, vms []fleet.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms, v.vmsAt = vms, now
}

func (v *view) listVMs() []fleet.VM {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.vms
}

// peerViews returns the views of peers that are not stale.
func (v *view) peerViews(now time.Duration) []*peerv1.View {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var out []*peerv1.View
	for _, p := range v.peers {
		if now-p.at <= peerStaleAge {
			out = append(out, p.view)
		}
	}
	return out
}
