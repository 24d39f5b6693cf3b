package main

import (
	"errors"
	"time"
)

// entryStartLimit bounds the wait for an entry's readiness; settleTime is what the owner gets
// to read the lists of all workers before the traffic starts.
const (
	entryStartLimit = 10 * time.Second
	settleTime      = 2 * time.Second
)

// queue is a queue as the operator configures it.
type queue struct {
	name, host, prefix, service string
	priority, attempts          int
	stretch                     float64
	targetMS                    int
	advice                      map[string]any
}

func (q queue) route() map[string]any {
	r := map[string]any{
		"name": q.name, "host": q.host, "path_prefix": q.prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": q.targetMS,
		"priority": q.priority, "service": q.service, "max_attempts": q.attempts, "stretch": q.stretch,
	}
	if q.advice != nil {
		r["advice"] = q.advice
	}
	return r
}

// configure writes a configuration as the operator does.
func configure(s *store, version int, service string, queues ...queue) {
	var routes []any
	for _, q := range queues {
		routes = append(routes, q.route())
	}
	s.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "admission_check": true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startEntries starts n entries and waits until all are ready.
func startEntries(env *environment, n int, storeAddress, adviceAddress string) ([]*entry, error) {
	var entries []*entry
	for i := range n {
		e, err := startEntry(env.dir, env.program, i+1, storeAddress, adviceAddress)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		if !e.awaitReady(entryStartLimit) {
			return nil, errors.New(e.name + " is not ready")
		}
	}
	time.Sleep(settleTime)
	return entries, nil
}
