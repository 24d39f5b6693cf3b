package config

import (
	"fmt"
	"net/netip"
	"time"

	"leverstile.dev/api/result"
)

// Settings are the settings of one entry process. Times are in milliseconds.
type Settings struct {
	ID     string `json:"id"`
	Place  string `json:"place"`
	Listen struct {
		Callers string `json:"callers"`
		Peers   string `json:"peers"`
	} `json:"listen"`
	Store struct {
		Addresses []string `json:"addresses"`
		TimeoutMS int      `json:"timeout_ms"`
		LeaseMS   int      `json:"lease_ms"`
	} `json:"store"`
	Platform struct {
		VMList string `json:"vm_list"`
		PollMS int    `json:"poll_ms"`
	} `json:"platform"`
	Peers  []string `json:"peers"`
	Limits struct {
		BodyBytes   int64 `json:"body_bytes"`
		HeaderBytes int   `json:"header_bytes"`
		// ReplayBytes is how much of a body is kept so that the request can be
		// sent again; a request with a larger body gets one attempt.
		ReplayBytes int `json:"replay_bytes"`
		Queue       int `json:"queue"`
		ClaimShards int `json:"claim_shards"`
	} `json:"limits"`
	Timing struct {
		CommitEveryMS int `json:"commit_every_ms"`
		// ClaimCommitEveryMS applies to claim shards, because requests wait for their commits.
		ClaimCommitEveryMS int `json:"claim_commit_every_ms"`
		ExchangeEveryMS    int `json:"exchange_every_ms"`
		TaskLeaseMS        int `json:"task_lease_ms"`
		OutageGraceMS      int `json:"outage_grace_ms"`
		DrainDelayMS       int `json:"drain_delay_ms"`
		DrainTimeoutMS     int `json:"drain_timeout_ms"`
		CallerIdleMS       int `json:"caller_idle_ms"`
		ClaimRetainMS      int `json:"claim_retain_ms"`
	} `json:"timing"`
	Log struct {
		Level string `json:"level"`
	} `json:"log"`
}

// Ms converts milliseconds to a duration.
func Ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// DefaultSettings returns the settings that apply where a file has none.
func DefaultSettings() *Settings {
	s := &Settings{}
	s.Store.TimeoutMS = 2000
	s.Store.LeaseMS = 10_000
	s.Platform.PollMS = 1000
	s.Limits.BodyBytes = 64 << 20
	s.Limits.HeaderBytes = 64 << 10
	s.Limits.ReplayBytes = 64 << 10
	s.Limits.Queue = 512
	s.Limits.ClaimShards = 8
	s.Timing.CommitEveryMS = 250
	s.Timing.ClaimCommitEveryMS = 100
	s.Timing.ExchangeEveryMS = 1000
	s.Timing.TaskLeaseMS = 30_000
	s.Timing.OutageGraceMS = 3_600_000
	s.Timing.DrainDelayMS = 3000
	s.Timing.DrainTimeoutMS = 60_000
	s.Timing.CallerIdleMS = 60_000
	s.Timing.ClaimRetainMS = 24 * 3_600_000
	s.Log.Level = "info"
	return s
}

// ParseSettings parses and checks settings. The error is a Problems with every
// mistake found.
func ParseSettings(f File) (*Settings, error) {
	s := DefaultSettings()
	d := parse(f, result.BadSettings, settingsSchema, s)
	if len(d.problems) == 0 {
		d.checkSettings(s)
	}
	if errs := d.problems.Errors(); len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

// checkSettings reports mistakes that the schema can't express.
func (d *document) checkSettings(s *Settings) {
	used := map[string]string{}
	d.checkAddress("/listen/callers", s.Listen.Callers, used)
	d.checkAddress("/listen/peers", s.Listen.Peers, used)
	d.checkAddress("/platform/vm_list", s.Platform.VMList, used)
	for i, a := range s.Store.Addresses {
		d.checkAddress(fmt.Sprintf("/store/addresses/%d", i), a, used)
	}
	for i, a := range s.Peers {
		d.checkAddress(fmt.Sprintf("/peers/%d", i), a, used)
	}
	if s.Store.LeaseMS < 3*s.Store.TimeoutMS/2 {
		d.add("/store", "lease_ms (%d) must be at least 1.5 times timeout_ms (%d), or a slow answer costs the lease", s.Store.LeaseMS, s.Store.TimeoutMS)
	}
	if s.Timing.CommitEveryMS >= s.Store.LeaseMS {
		d.add("/timing/commit_every_ms", "must be below store.lease_ms (%d)", s.Store.LeaseMS)
	}
}

// checkAddress reports an address that is malformed or used twice.
func (d *document) checkAddress(pointer, addr string, used map[string]string) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 {
		d.add(pointer, "%q is no IP number with a port from 1 to 65535", addr)
		return
	}
	if other, ok := used[ap.String()]; ok {
		d.add(pointer, "%s is used by %s already", addr, other)
		return
	}
	used[ap.String()] = pointer
}
