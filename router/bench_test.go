package router

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoice measures one choice of an endpoint with half of the slots in use.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{65, 250, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := New(Params{Slots: 8, Place: "p0", Queue: 64, Attempts: 3}, 1)
			var list []Endpoint
			for i := range n {
				list = append(list, Endpoint{ID: fmt.Sprint("e", i), VM: fmt.Sprint("v", i), Place: fmt.Sprint("p", i%3)})
			}
			t.SetEndpoints(0, list)
			for _, e := range t.endpoints {
				e.own = t.rng.IntN(8)
			}
			b.ReportAllocs()
			for b.Loop() {
				if e, _ := t.params.Policy.Pick(t, time.Hour, nil); e == nil {
					b.Fatal("no choice")
				}
			}
		})
	}
}
