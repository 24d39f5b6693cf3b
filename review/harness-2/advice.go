package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of the placement policy, which the configuration and its answers name.
const (
	decisionTime = 40 * time.Millisecond
	periodTime   = 2 * time.Millisecond
	validity     = 3 * time.Second
)

// advisor is a stand-in of the placement policy. It decides on one call at a time.
type advisor struct {
	address string
	record  *recorder
	turn    chan struct{}
	waiting chan struct{}

	mu      sync.Mutex
	tickets map[string]time.Time // by step, worker and ticket: until when it is valid
	calls   int
	busy    time.Duration
}

func startAdvisor(rec *recorder) (*advisor, error) {
	a := &advisor{record: rec, turn: make(chan struct{}, 1), waiting: make(chan struct{}, 32), tickets: map[string]time.Time{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	go func() { _ = http.Serve(l, mux) }()
	return a, nil
}

func (a *advisor) advise(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case a.waiting <- struct{}{}:
	default:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn <- struct{}{}
	<-a.waiting
	took := decisionTime + time.Duration(len(c.Workers))*periodTime
	time.Sleep(took)
	good := [][]string{}
	a.mu.Lock()
	a.calls++
	a.busy += took
	for _, id := range c.Workers {
		ticket := fmt.Sprintf("t-%d-%s", a.calls, id)
		a.tickets[c.Step+" "+id+" "+ticket] = time.Now().Add(validity)
		good = append(good, []string{id, ticket})
	}
	a.mu.Unlock()
	<-a.turn
	a.record.add("the policy grants %d tickets for %s", len(good), c.Step)
	reply(w, http.StatusOK, map[string]any{"good": good, "validity_ms": validity.Milliseconds()})
}

// valid reports whether a ticket was given for a step at a worker and holds.
func (a *advisor) valid(step, worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[step+" "+worker+" "+ticket])
}
