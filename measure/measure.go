// Package measure finds the slopes that docs/CAPACITY.md is worked out from:
// bytes, calls and processor time by worker, task, group, endpoint, claim and
// entry, against the stand-ins.
package measure

import (
	"runtime"
	"sort"
	"syscall"
	"time"
)

// Figure is one measured number with its spread over the runs.
type Figure struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Size   int     `json:"size"` // of what the name says
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Runs   int     `json:"runs"`
}

// Report is a whole run.
type Report struct {
	Command string   `json:"command"`
	Go      string   `json:"go"`
	CPUs    int      `json:"cpus"`
	Figures []Figure `json:"figures"`
}

// All measures everything. It takes one to two minutes.
func All(progress func(string)) (*Report, error) {
	r := &Report{Command: "go run ./cmd/leverstile measure", Go: runtime.Version(), CPUs: runtime.NumCPU()}
	for _, part := range []struct {
		name string
		fn   func(*Report) error
	}{
		{"cell", cells}, {"router", routers}, {"claims", claims}, {"entries", entries},
	} {
		progress(part.name)
		if err := part.fn(r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// add records the median, least and greatest of samples.
func (r *Report) add(name, unit string, size int, samples ...float64) {
	sort.Float64s(samples)
	r.Figures = append(r.Figures, Figure{
		Name: name, Unit: unit, Size: size, Runs: len(samples),
		Median: samples[len(samples)/2], Min: samples[0], Max: samples[len(samples)-1],
	})
}

// repeat collects n samples.
func repeat(n int, fn func() float64) []float64 {
	out := make([]float64, 0, n)
	for range n {
		out = append(out, fn())
	}
	return out
}

// heap is the live heap in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
