package node

import (
	"github.com/VictoriaMetrics/metrics"

	"leverstile.dev/dispatch"
	"leverstile.dev/node/acceptance"
)

// nodeMetrics are the counters and gauges of an entry; docs/METRICS.md explains each.
type nodeMetrics struct {
	set           *metrics.Set
	flush         *metrics.Histogram
	submit        *metrics.Histogram
	notAdmitted   *metrics.Counter
	unreadable    *metrics.Counter
	decisions     *metrics.Counter
	unlogged      *metrics.Counter
	ownerTerm     *metrics.Gauge
	storeUp       *metrics.Gauge
	configVersion *metrics.Gauge
	// resolved counts by way the requests that the first call did not settle.
	resolved   map[acceptance.Way]*metrics.Counter
	unknown    *metrics.Counter
	extraCalls *metrics.Counter
}

// registerMetrics registers the counters, and the gauges that are read on demand.
func (n *Node) registerMetrics(set *metrics.Set) {
	n.metrics = nodeMetrics{
		set:         set,
		flush:       set.NewHistogram("leverstile_record_write_seconds"),
		submit:      set.NewHistogram("leverstile_submit_seconds"),
		notAdmitted: set.NewCounter("leverstile_jobs_not_admitted_total"),
		unreadable:  set.NewCounter("leverstile_unreadable_keys_total"),
		decisions:   set.NewCounter("leverstile_decisions_total"),
		unlogged:    set.NewCounter("leverstile_decisions_unlogged_total"),
		storeUp:     set.NewGauge("leverstile_store_up", func() float64 { return boolGauge(n.store.outage() == 0) }),
		ownerTerm: set.NewGauge("leverstile_owned_term", func() float64 {
			if o := n.current.Load(); o != nil {
				return float64(o.own.lead.Term)
			}
			return 0
		}),
		configVersion: set.NewGauge("leverstile_config_version", func() float64 {
			if c := n.config.Load(); c != nil {
				return float64(c.Version)
			}
			return 0
		}),
	}
	set.NewGauge("leverstile_unusable_entries", func() float64 { return float64(n.unusable.Load()) })
	set.NewGauge("leverstile_evacuated_data_centres", func() float64 { return float64(len(n.evacuations.evacuated())) })
	n.registerAcceptanceMetrics()
	n.registerRunMetrics()
	n.registerLoadMetrics()
}

// registerAcceptanceMetrics registers the counters of the recovery of acceptance.
func (n *Node) registerAcceptanceMetrics() {
	n.metrics.unknown = n.metrics.set.NewCounter("leverstile_submissions_unknown_total")
	n.metrics.extraCalls = n.metrics.set.NewCounter("leverstile_submission_extra_calls_total")
	n.metrics.resolved = map[acceptance.Way]*metrics.Counter{}
	for _, way := range acceptance.Ways() {
		n.metrics.resolved[way] = n.metrics.set.NewCounter("leverstile_submissions_resolved_total{way=\"" + way.String() + "\"}")
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// registerRunMetrics exposes the core's counters of runs while this entry is the owner.
func (n *Node) registerRunMetrics() {
	for name, field := range map[string]func(dispatch.Stats) uint64{
		"starts": func(s dispatch.Stats) uint64 { return s.Starts }, "done": func(s dispatch.Stats) uint64 { return s.Done },
		"failed": func(s dispatch.Stats) uint64 { return s.Failed }, "stopped": func(s dispatch.Stats) uint64 { return s.Stopped },
		"lapsed": func(s dispatch.Stats) uint64 { return s.Lapsed }, "lost": func(s dispatch.Stats) uint64 { return s.Lost },
		"refused": func(s dispatch.Stats) uint64 { return s.Refused }, "unanswered": func(s dispatch.Stats) uint64 { return s.Unanswered },
		"moved": func(s dispatch.Stats) uint64 { return s.Moved }, "paced": func(s dispatch.Stats) uint64 { return s.Paced },
		"given_up": func(s dispatch.Stats) uint64 { return s.GivenUp },
	} {
		n.ownerGauge("leverstile_runs{event=\""+name+"\"}", func(c *dispatch.Core) float64 { return float64(field(c.Stats())) })
	}
}

// registerLoadMetrics exposes the owner's load, its reserved capacity, and the workers
// that are excluded from new tasks.
func (n *Node) registerLoadMetrics() {
	n.ownerGauge("leverstile_worker_crashes", func(c *dispatch.Core) float64 { return float64(c.Stats().Crashes) })
	n.ownerGauge("leverstile_worker_restarts", func(c *dispatch.Core) float64 { return float64(c.Stats().Restarts) })
	n.ownerGauge("leverstile_copies_started_total", func(c *dispatch.Core) float64 { return float64(c.Stats().CopiesStarted) })
	n.ownerGauge("leverstile_copies_won_total", func(c *dispatch.Core) float64 { return float64(c.Stats().CopiesWon) })
	n.ownerGauge("leverstile_copies_wasted_core_seconds_total", func(c *dispatch.Core) float64 { return c.Stats().CopiesWastedCoreSeconds })
	n.ownerGauge("leverstile_tasks_suspected", func(c *dispatch.Core) float64 { return float64(c.Suspects()) })
	n.ownerGauge("leverstile_crashers_given_up", func(c *dispatch.Core) float64 { return float64(c.Stats().CrashersGivenUp) })
	n.ownerGauge("leverstile_recovery_unresolved_workers", func(c *dispatch.Core) float64 { return float64(c.Recovering()) })
	n.ownerGauge("leverstile_recovery_wait_seconds", func(c *dispatch.Core) float64 { return c.RecoveryLeft(n.instant()).Seconds() })
	n.registerPolicyMetrics()
	n.ownerGauge("leverstile_overload_step", func(c *dispatch.Core) float64 {
		load, _ := c.Load()
		return float64(load)
	})
	n.ownerGauge("leverstile_owner_lateness_seconds", func(c *dispatch.Core) float64 {
		_, late := c.Load()
		return late.Seconds()
	})
	n.ownerGauge(`leverstile_job_memory_bytes{part="records"}`, func(c *dispatch.Core) float64 {
		records, _, _ := c.JobMemory()
		return float64(records)
	})
	n.ownerGauge(`leverstile_job_memory_bytes{part="open"}`, func(c *dispatch.Core) float64 {
		_, open, _ := c.JobMemory()
		return float64(open)
	})
	n.ownerGauge(`leverstile_job_memory_bytes{part="waiting"}`, func(c *dispatch.Core) float64 {
		_, _, waiting := c.JobMemory()
		return float64(waiting)
	})
	n.ownerGauge("leverstile_kept_cores", func(c *dispatch.Core) float64 {
		reserved, _ := c.ReservedCPU()
		return float64(reserved) / milliPerCore
	})
	n.ownerGauge("leverstile_short_demand_cores", func(c *dispatch.Core) float64 {
		_, demand := c.ReservedCPU()
		return float64(demand) / milliPerCore
	})
	for _, reason := range dispatch.ExclusionNames() {
		n.ownerGauge("leverstile_workers_barred{reason=\""+reason+"\"}", func(c *dispatch.Core) float64 {
			return float64(c.WorkersExcluded(reason, n.instant()))
		})
	}
}

// registerPolicyMetrics exposes the load of the placement policy while this entry is the owner.
func (n *Node) registerPolicyMetrics() {
	for name, read := range map[string]func(l dispatch.PolicyLoad) float64{
		"leverstile_policy_waiting_steps":             func(l dispatch.PolicyLoad) float64 { return float64(l.Waiting) },
		"leverstile_policy_wait_seconds":              func(l dispatch.PolicyLoad) float64 { return l.Wait.Seconds() },
		`leverstile_policy_calls{outcome="answered"}`: func(l dispatch.PolicyLoad) float64 { return float64(l.Decided) },
		`leverstile_policy_calls{outcome="failed"}`:   func(l dispatch.PolicyLoad) float64 { return float64(l.Failed) },
	} {
		n.ownerGauge(name, func(c *dispatch.Core) float64 { return read(c.PolicyLoad(n.instant())) })
	}
}

// milliPerCore is the number of millicores in a core.
const milliPerCore = 1000

// ownerGauge registers a gauge that is read from the core while this entry is the
// owner, and is 0 otherwise.
func (n *Node) ownerGauge(name string, read func(c *dispatch.Core) float64) {
	n.metrics.set.NewGauge(name, func() (value float64) {
		n.readCore(func(c *dispatch.Core) { value = read(c) })
		return value
	})
}

// readCore calls read with the core while this entry is the owner.
func (n *Node) readCore(read func(c *dispatch.Core)) {
	o := n.current.Load()
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	read(o.core)
}
