package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"leverstile.dev/fleet"
)

// Poll applies req and returns its reply. It waits until the worker has an update
// to report, a newer request arrives, or the wait time of req has passed.
func (w *Worker) Poll(ctx context.Context, clock func() time.Duration, req *fleet.SyncRequest) *fleet.SyncReply {
	reply := w.Sync(clock(), req)
	if req.WaitMS == 0 || reply.Refused != "" {
		return reply
	}
	timeout := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	tick := time.NewTicker(reportPollInterval)
	defer tick.Stop()
	for len(reply.Ended) == 0 && len(reply.Usage) == 0 && len(reply.Slowdowns) == 0 && reply.Refused == "" {
		select {
		case <-ctx.Done():
			return reply
		case <-timeout.C:
			return w.Report(clock(), req)
		case <-tick.C:
			reply = w.Report(clock(), req)
		}
	}
	return reply
}

// reportPollInterval is how often a waiting call checks for updates.
const reportPollInterval = 20 * time.Millisecond

// Report returns the state of the worker for a request that was applied before.
// It refuses if a newer request has been applied since.
func (w *Worker) Report(now time.Duration, req *fleet.SyncRequest) *fleet.SyncReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	reply := &fleet.SyncReply{Boot: w.boot, ClockMS: w.clock(now).Milliseconds()}
	s := w.cells[req.Cell]
	if s == nil || s.term != req.Term || s.seq != req.Seq {
		reply.Refused = fleet.RefusedStale
		return reply
	}
	w.report(now, s, req, reply)
	return reply
}

// EndpointFaults are the faults that an Endpoint injects.
type EndpointFaults struct {
	// Leaving refuses every request before it starts.
	Leaving bool `json:"leaving"`
	// DelayMS is added to the service time.
	DelayMS int `json:"delay_ms"`
	// Fail answers every request with status 500.
	Fail bool `json:"fail"`
	// Cut ends each answer in the middle.
	Cut bool `json:"cut"`
	// Drop closes the connection after the request ran, without an answer.
	Drop bool `json:"drop"`
}

// Endpoint runs a service's requests in a limited number of slots. It answers
// with the request's id and body, and records what it ran.
type Endpoint struct {
	Slots     int
	ServiceMS int

	mu          sync.Mutex
	inUse       int
	peak        int
	refusedFull int
	runs        map[string]int // by Idempotency-Key
	total       int
	faults      EndpointFaults
}

// NewEndpoint returns an idle endpoint.
func NewEndpoint(slots, serviceMS int) *Endpoint {
	return &Endpoint{Slots: slots, ServiceMS: serviceMS, runs: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// EndpointRecord counts the requests of an endpoint: all that ran, the peak of
// concurrent ones, those refused as full, and the runs by Idempotency-Key.
type EndpointRecord struct {
	Total int            `json:"total"`
	Peak  int            `json:"peak"`
	Full  int            `json:"full"`
	Runs  map[string]int `json:"runs"`
}

// Record returns a copy of the endpoint's counts.
func (e *Endpoint) Record() EndpointRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := EndpointRecord{Total: e.total, Peak: e.peak, Full: e.refusedFull, Runs: map[string]int{}}
	for k, n := range e.runs {
		b.Runs[k] = n
	}
	return b
}

// acquireSlot takes a slot. It returns why that is refused, or "", and the faults.
func (e *Endpoint) acquireSlot(key string) (string, EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Leaving {
		return "leaving", e.faults
	}
	if e.inUse >= e.Slots {
		e.refusedFull++
		return "full", e.faults
	}
	e.inUse++
	e.peak = max(e.peak, e.inUse)
	e.total++
	if key != "" {
		e.runs[key]++
	}
	return "", e.faults
}

func (e *Endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inUse--
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reason, faults := e.acquireSlot(r.Header.Get("Idempotency-Key"))
	if reason != "" {
		w.Header().Set("Leverstile-Not-Run", reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(e.ServiceMS+faults.DelayMS) * time.Millisecond)
	answer := fmt.Appendf(nil, "%s %s\n", r.Header.Get("Leverstile-Request-Id"), body)
	switch {
	case faults.Drop:
		panic(http.ErrAbortHandler)
	case faults.Fail:
		http.Error(w, "fault on demand", http.StatusInternalServerError)
	case faults.Cut:
		w.Header().Set("Content-Length", fmt.Sprint(2*len(answer)))
		_, _ = w.Write(answer)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write(answer)
	}
}

// Fleet is a set of VMs, each with a worker and optionally an endpoint, served
// on loopback addresses.
type Fleet struct {
	KV        *KVStore
	KVAddress string
	Address   string // of the VM list and the control of faults
	Workers   map[string]*Worker
	Endpoints map[string]*Endpoint

	mu           sync.Mutex
	vms          []fleet.VM
	listVersions []listVersion
	listLag      time.Duration
	start        time.Time
	servers      map[string]*http.Server
}

// listVersion is the VM list since a time; VMs returns it after the lag.
type listVersion struct {
	publishedAt time.Time
	vms         []fleet.VM
}

// FleetSpec describes a Fleet. All VMs have the same size.
type FleetSpec struct {
	Places      []string
	VMs         int // total, spread over the places
	RackSize    int
	Capacity    fleet.Resources
	Reserved    fleet.Resources
	Service     string
	Slots       int
	ServiceMS   int
	ListLag     time.Duration
	KVListen    string // "127.0.0.1:0" for any port
	ListListen  string
	LabelOfOdd  map[string]string
	SampleEvery time.Duration
}

// NewFleet starts a fleet on loopback addresses.
func NewFleet(spec FleetSpec) (*Fleet, error) {
	f := &Fleet{
		KV: NewKVStore(time.Now), Workers: map[string]*Worker{}, Endpoints: map[string]*Endpoint{},
		listLag: spec.ListLag, start: time.Now(), servers: map[string]*http.Server{},
	}
	var err error
	if f.KVAddress, err = f.serve("kv", spec.KVListen, KVHandler(f.KV)); err != nil {
		return nil, err
	}
	for i := range spec.VMs {
		if err := f.addVM(spec, i); err != nil {
			return nil, err
		}
	}
	f.publishList()
	f.Address, err = f.serve("list", spec.ListListen, f.handler())
	return f, err
}

func (f *Fleet) clock() time.Duration { return time.Since(f.start) }

func (f *Fleet) serve(name, listen string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.mu.Lock()
	f.servers[name] = srv
	f.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (f *Fleet) addVM(spec FleetSpec, i int) error {
	place := spec.Places[i%len(spec.Places)]
	id := fmt.Sprintf("%s-%03d", place, i)
	vm := fleet.VM{
		ID: id, Place: place, Rack: fmt.Sprintf("%s-r%02d", place, i/len(spec.Places)/max(spec.RackSize, 1)),
		State: fleet.VMLive, Capacity: spec.Capacity, Reserved: spec.Reserved,
		Labels: map[string]string{"parity": [2]string{"even", "odd"}[i%2]},
	}
	w := NewWorker(id, spec.Capacity.Sub(spec.Reserved))
	addr, err := f.serve("worker "+id, "127.0.0.1:0", f.workerHandler(w))
	if err != nil {
		return err
	}
	vm.Worker = addr
	f.Workers[id] = w
	if spec.Service != "" {
		ep := NewEndpoint(spec.Slots, spec.ServiceMS)
		addr, err := f.serve("endpoint "+id, "127.0.0.1:0", ep)
		if err != nil {
			return err
		}
		vm.Endpoints = []fleet.EndpointAddr{{Service: spec.Service, Address: addr}}
		f.Endpoints[id] = ep
	}
	f.vms = append(f.vms, vm)
	return nil
}

func (f *Fleet) workerHandler(w *Worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.Faults().Unreachable {
			panic(http.ErrAbortHandler)
		}
		var req fleet.SyncRequest
		if !readJSON(rw, r, &req) {
			return
		}
		writeJSON(rw, w.Poll(r.Context(), f.clock, &req))
	})
}

// publishList makes the current list visible after the lag.
func (f *Fleet) publishList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listVersions = append(f.listVersions, listVersion{time.Now(), append([]fleet.VM(nil), f.vms...)})
}

// VMs returns the list as the platform reports it, delayed by the lag.
func (f *Fleet) VMs() []fleet.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.listVersions[0].vms
	for _, l := range f.listVersions {
		if time.Since(l.publishedAt) >= f.listLag {
			list = l.vms
		}
	}
	return list
}

// SetState changes a VM's state in the list.
func (f *Fleet) SetState(id string, state fleet.VMState) {
	f.mu.Lock()
	for i := range f.vms {
		if f.vms[i].ID == id {
			f.vms[i].State = state
		}
	}
	f.mu.Unlock()
	f.publishList()
}

// StopVM ends a VM at once: it closes the worker and the endpoint and removes
// the VM from the list.
func (f *Fleet) StopVM(id string) {
	f.mu.Lock()
	rest := make([]fleet.VM, 0, len(f.vms))
	for _, vm := range f.vms {
		if vm.ID != id {
			rest = append(rest, vm)
		}
	}
	f.vms = rest
	servers := []*http.Server{f.servers["worker "+id], f.servers["endpoint "+id]}
	f.mu.Unlock()
	f.publishList()
	for _, s := range servers {
		if s != nil {
			_ = s.Close()
		}
	}
	if w := f.Workers[id]; w != nil {
		w.Reboot(f.clock())
	}
}

// Close closes all servers.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// Records is what all stand-ins have recorded, for checks of guarantees.
type Records struct {
	Endpoints map[string]EndpointRecord `json:"endpoints"`
	Runs      map[string][]Run          `json:"runs"`
	KV        KVCalls                   `json:"kv"`
}

// Overlaps returns the tasks that have two runs which overlap in time: they ran
// in two places at once.
func (b Records) Overlaps() []string {
	byTask := map[string][]Run{}
	for _, runs := range b.Runs {
		for _, r := range runs {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	var out []string
	for id, runs := range byTask {
		sort.Slice(runs, func(i, j int) bool { return runs[i].Began < runs[j].Began })
		for i, r := range runs[1:] {
			if runs[i].Ended == 0 || r.Began < runs[i].Ended {
				out = append(out, id)
				break
			}
		}
	}
	sort.Strings(out)
	return out
}

// Records returns the records of all stand-ins.
func (f *Fleet) Records() Records {
	records := Records{Endpoints: map[string]EndpointRecord{}, Runs: map[string][]Run{}, KV: f.KV.Calls()}
	for id, e := range f.Endpoints {
		records.Endpoints[id] = e.Record()
	}
	for id, w := range f.Workers {
		w.Running(f.clock())
		records.Runs[id] = w.Runs()
	}
	return records
}

// serveVMs answers with the list, or with status 304 if the caller has it already.
func (f *Fleet) serveVMs(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(f.VMs())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// handler serves the VM list and the control of faults.
func (f *Fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+fleet.PathVMs, f.serveVMs)
	mux.HandleFunc("GET /control/books", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Records()) })
	mux.HandleFunc("PUT /control/kv", func(w http.ResponseWriter, r *http.Request) {
		var in KVFaults
		if readJSON(w, r, &in) {
			f.KV.SetFaults(in)
		}
	})
	mux.HandleFunc("PUT /control/workers/{vm}", func(w http.ResponseWriter, r *http.Request) {
		var in WorkerFaults
		if wk := f.Workers[r.PathValue("vm")]; wk != nil && readJSON(w, r, &in) {
			wk.SetFaults(in)
		}
	})
	mux.HandleFunc("POST /control/workers/{vm}/reboot", func(_ http.ResponseWriter, r *http.Request) {
		if wk := f.Workers[r.PathValue("vm")]; wk != nil {
			wk.Reboot(f.clock())
		}
	})
	mux.HandleFunc("PUT /control/endpoints/{vm}", func(w http.ResponseWriter, r *http.Request) {
		var in EndpointFaults
		if ep := f.Endpoints[r.PathValue("vm")]; ep != nil && readJSON(w, r, &in) {
			ep.SetFaults(in)
		}
	})
	mux.HandleFunc("PUT /control/vms/{vm}", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			State fleet.VMState `json:"state"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetState(r.PathValue("vm"), in.State)
	})
	mux.HandleFunc("DELETE /control/vms/{vm}", func(_ http.ResponseWriter, r *http.Request) { f.StopVM(r.PathValue("vm")) })
	return mux
}
