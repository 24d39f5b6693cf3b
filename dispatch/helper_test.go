package dispatch

import (
	"time"

	"leverstile.dev/job"
)

// leasedCore returns a core whose lease holds for an hour, with one queue "q" of
// service "svc". It overwrites the lease times of params.
func leasedCore(params Params, term uint64, now Instant) *Core {
	params.MaxTaskLease, params.OwnerTTL, params.OwnerHorizon = 6*time.Second, time.Hour, 2*time.Hour
	core := New(params, term, nil)
	core.Renewed(now.Steady)
	core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc", Stretch: 2, TargetLatency: time.Second}}})
	return core
}
