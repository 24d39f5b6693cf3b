package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages give them.
const (
	maxTxnEntries = 32
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	maxWatchWait  = 30 * time.Second
)

// store is a stand-in of the platform's key-value store. Its lock guards all fields below it.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]item
	leases   map[int64]*lease
	history  []item
	revision int64
	nextID   int64
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// newStore starts a store on a free loopback port.
func newStore() (*store, error) {
	s := &store{items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	go s.expireLoop()
	return s, nil
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notify()
}

// delete removes a key as the operator or a worker does.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// get returns the value of a key.
func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.Value, ok
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) expireLoop() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for k, it := range s.items {
		if it.Lease == id {
			s.remove(k)
		}
	}
	s.notify()
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, it)
	case r.URL.Path == "/kv-range":
		s.list(w, q.Get("path_prefix"), q.Get("after_revision"))
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/kv-txn":
		s.txn(w, r)
	default:
		s.leaseCall(w, r)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		if len(items) == maxPageItems || size > maxPageBytes {
			more = true
			break
		}
		items = append(items, s.items[k])
		size += len(s.items[k].Value)
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "timestamp": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after_revision"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, q.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "timestamp": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_revision"`
	Write []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"write"`
	Remove []string `json:"remove"`
}

// status returns why a transaction can't be carried out, 0 if it can.
func (t *txn) status() int {
	if len(t.Expected)+len(t.Write)+len(t.Remove) > maxTxnEntries {
		return http.StatusBadRequest
	}
	for _, x := range t.Write {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			return http.StatusForbidden
		}
		if len(x.Key) > maxKeyBytes || len(x.Value) > maxValueBytes {
			return http.StatusBadRequest
		}
	}
	return 0
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := t.status(); status != 0 {
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		failed = failed || it.Revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range t.Write {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, x := range t.Write {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) leaseCall(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	var m struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if r.URL.Path == "/kv-lease" {
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.TTLMS <= 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case r.URL.Path == "/kv-lease":
		s.nextID++
		ttl := time.Duration(m.TTLMS) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_ms": m.TTLMS})
	case l == nil:
		w.WriteHeader(http.StatusNotFound)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		l.end = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	default:
		s.endLease(id)
		reply(w, http.StatusOK, map[string]any{})
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has closed the connection
}
