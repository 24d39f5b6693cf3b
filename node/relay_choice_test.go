package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestCarries(t *testing.T) {
	if n := carries(0, 0); n != 0 {
		t.Errorf("a VM of unknown size carries %v", n)
	}
	byProcessor, byLink := carries(0.8, 0), carries(0, 1.25e6)
	if got := carries(0.8, 1.25e6); got != min(byProcessor, byLink) || got == 0 {
		t.Errorf("carries %v of %v by its processor and %v by its link", got, byProcessor, byLink)
	}
	// 490 workers need relays on the smallest VMs and none on the strongest.
	if load := float64(490 * callsPerWorker); carries(0.8, 25e6) < load || carries(0.192, 1.25e6) > load {
		t.Errorf("strong %v, small %v, load %v", carries(0.8, 25e6), carries(0.192, 1.25e6), load)
	}
}

// TestCallLoad: what is measured counts, a peak for some seconds after it.
func TestCallLoad(t *testing.T) {
	l := &callLoad{}
	if got := l.take(100, 10, time.Second); got != 10*callsPerWorker {
		t.Errorf("load %v before anything was measured", got)
	}
	if got := l.take(1000, 10, 2*time.Second); got < 1000 || got > 1200 {
		t.Errorf("load %v, measured 1000", got)
	}
	if got := l.take(0, 10, 4*time.Second); got < 1000 {
		t.Errorf("load %v two seconds after a peak of 1000", got)
	}
	if got := l.take(0, 10, 10*time.Minute); got != 10*callsPerWorker {
		t.Errorf("load %v long after the peak", got)
	}
}

func TestAnOwnerThatCarriesItsLoadUsesNoRelays(t *testing.T) {
	offers := []relayOffer{{entry: "a", carries: 500}, {entry: "b", carries: 500}}
	if got := chooseRelays(900, 1000, offers); got != nil {
		t.Errorf("%v are used", got)
	}
	if got := chooseRelays(900, 0, offers); got != nil {
		t.Errorf("%v are used by an owner of unknown size", got)
	}
	offers[0].used = true
	if got := chooseRelays(900, 1000, offers); len(got) != 2 {
		t.Errorf("%v: given up though the owner would be nearly full", got)
	}
	if got := chooseRelays(600, 1000, offers); got != nil {
		t.Errorf("%v are kept for nothing", got)
	}
}

// TestChooseRelays: as few as carry the load, those in use first.
func TestChooseRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var offers []relayOffer
		for i := range rapid.IntRange(0, 12).Draw(t, "offers") {
			offers = append(offers, relayOffer{
				entry: fmt.Sprintf("e%02d", i), carries: float64(rapid.IntRange(1, 10).Draw(t, "carries")), used: rapid.Bool().Draw(t, "used"),
			})
		}
		load := float64(rapid.IntRange(2, 60).Draw(t, "load"))
		chosen := chooseRelays(load, 1, offers)
		sum := 0.0
		for _, o := range chosen {
			sum += o.carries
		}
		if len(chosen) < len(offers) && sum < load {
			t.Fatalf("%v carry %v of %v", chosen, sum, load)
		}
		if len(chosen) > 0 && sum-chosen[len(chosen)-1].carries >= load {
			t.Fatalf("%v are more than %v needs", chosen, load)
		}
		for _, o := range offers {
			if o.used && len(chosen) > 0 && !slices.Contains(chosen, o) && !chosen[len(chosen)-1].used {
				t.Fatalf("%v is in use and left for %v", o, chosen)
			}
		}
	})
}

// TestAssignRelays: each worker has one entry, by what entries carry; a worker
// keeps its own, and gets one near it where there is room.
func TestAssignRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var relays []relayOffer
		total := 0.0
		for i := range rapid.IntRange(1, 6).Draw(t, "relays") {
			r := relayOffer{entry: fmt.Sprintf("e%d", i), dataCentre: fmt.Sprintf("d%d", i%3), carries: float64(rapid.IntRange(1, 9).Draw(t, "carries"))}
			total += r.carries
			relays = append(relays, r)
		}
		var workers []relayedWorker
		for i := range rapid.IntRange(0, 80).Draw(t, "workers") {
			workers = append(workers, relayedWorker{id: fmt.Sprintf("w%d", i), dataCentre: fmt.Sprintf("d%d", i%3)})
		}
		assigned := assignRelays(workers, relays)
		count := map[string]int{}
		for i := range workers {
			workers[i].relay = assigned[workers[i].id]
			count[workers[i].relay]++
		}
		if count[""] > 0 {
			t.Fatalf("%d workers have no entry", count[""])
		}
		for _, r := range relays {
			if most := float64(len(workers))*r.carries/total + 1; float64(count[r.entry]) > most {
				t.Fatalf("%s has %d workers, at most %v", r.entry, count[r.entry], most)
			}
		}
		for id, entry := range assignRelays(workers, relays) {
			if assigned[id] != entry {
				t.Fatalf("%s goes from %s to %s for nothing", id, assigned[id], entry)
			}
		}
	})
}

func TestAssignRelaysNear(t *testing.T) {
	relays := []relayOffer{{entry: "e1", dataCentre: "a", carries: 5}, {entry: "e2", dataCentre: "b", carries: 5}}
	workers := []relayedWorker{{id: "w1", dataCentre: "b"}, {id: "w2", dataCentre: "a"}, {id: "w3", dataCentre: "b"}, {id: "w4", dataCentre: "a"}}
	got := assignRelays(workers, relays)
	for id, want := range map[string]string{"w1": "e2", "w2": "e1", "w3": "e2", "w4": "e1"} {
		if got[id] != want {
			t.Errorf("%s is called by %s, want %s", id, got[id], want)
		}
	}
}
