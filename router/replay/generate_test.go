package replay

import (
	"bufio"
	"encoding/json"
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"leverstile.dev/router"
)

var write = flag.Bool("write", false, "generate the traces in testdata again")

// The traces are generated from fixed seeds: Poisson arrivals, log-normal
// service times with a mean of 60 ms.
const (
	traceEntries   = 8
	traceEndpoints = 50
	traceSlots     = 8
	meanServiceUS  = 60_000
	sigma          = 0.6
	lineMS         = 50
	traceMS        = 3000
)

type traceBuilder struct {
	rng   *rand.Rand
	lines []Line
}

// arrivals adds the arrivals of a group; load is a fraction of all slots.
func (r *traceBuilder) arrivals(fromMS, toMS, group int, load func(ms int) float64) {
	capacity := float64(traceEndpoints*traceSlots) / (meanServiceUS / 1e6)
	for at := float64(fromMS) * 1000; ; {
		perUS := capacity * load(int(at/1000)) / 1e6
		at += r.rng.ExpFloat64() / perUS
		if at >= float64(toMS)*1000 {
			return
		}
		service := meanServiceUS * math.Exp(sigma*r.rng.NormFloat64()-sigma*sigma/2)
		line := &r.lines[int(at)/1000/lineMS]
		line.Arrivals = append(line.Arrivals, [3]int{int(at) - line.AtMS*1000, int(service), group})
	}
}

func (r *traceBuilder) fault(atMS int, f Fault) {
	line := &r.lines[atMS/lineMS]
	line.Faults = append(line.Faults, f)
}

func steady(load float64) func(int) float64 { return func(int) float64 { return load } }

var scenarios = map[string]func(*traceBuilder){
	"steady-60": func(r *traceBuilder) { r.arrivals(0, traceMS, 0, steady(0.6)) },
	"steady-85": func(r *traceBuilder) { r.arrivals(0, traceMS, 0, steady(0.85)) },
	"evening-peak": func(r *traceBuilder) {
		r.arrivals(0, traceMS, 0, func(ms int) float64 { return 0.5 + 0.45*math.Sin(math.Pi*float64(ms)/traceMS) })
	},
	"slow-endpoint": func(r *traceBuilder) {
		r.arrivals(0, traceMS, 0, steady(0.7))
		r.fault(500, Fault{Endpoint: 7, Slow: 10})
	},
	"third-leaving": func(r *traceBuilder) {
		r.arrivals(0, traceMS, 0, steady(0.55))
		for i := 0; i < traceEndpoints; i += 3 {
			r.fault(1000, Fault{Endpoint: i, Leaving: true})
		}
	},
	"blackout": func(r *traceBuilder) {
		r.arrivals(0, 2*traceMS, 0, steady(0.6))
		for i := range traceEndpoints {
			r.fault(1000, Fault{Endpoint: i, Down: true})
			r.fault(3000, Fault{Endpoint: i})
		}
	},
	"noisy-neighbours": func(r *traceBuilder) {
		r.arrivals(0, traceMS, 0, steady(0.7))
		for _, e := range []int{3, 11, 19, 27, 35} {
			r.fault(400, Fault{Endpoint: e, Slow: 3})
		}
	},
	"flooding-group": func(r *traceBuilder) {
		r.arrivals(0, traceMS, 0, steady(0.4))
		r.arrivals(500, traceMS, 1, steady(0.9))
	},
}

// TestRecord generates the traces; it checks nothing.
func TestRecord(t *testing.T) {
	if !*write {
		t.Skip("-write generates the traces again")
	}
	seed := uint64(1)
	for name, build := range scenarios {
		r := &traceBuilder{rng: rand.New(rand.NewPCG(seed, uint64(len(name))))}
		for ms := 0; ms < 2*traceMS; ms += lineMS {
			r.lines = append(r.lines, Line{AtMS: ms})
		}
		build(r)
		writeTrace(t, name, r.lines)
	}
}

func writeTrace(t *testing.T, name string, lines []Line) {
	f, err := os.Create(filepath.Join("testdata", name+".jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	head := Header{
		Name: name, Entries: traceEntries, Endpoints: traceEndpoints, Places: 3, Slots: traceSlots, Deadline: 1500,
		Groups: []Group{{Name: "planners", Class: router.LatencyCritical}, {Name: "reports", Class: router.LatencyCritical}},
	}
	if err := enc.Encode(head); err != nil {
		t.Fatal(err)
	}
	for _, l := range lines {
		if len(l.Arrivals)+len(l.Faults) == 0 {
			continue
		}
		if err := enc.Encode(l); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}
