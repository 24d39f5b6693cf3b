package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// cloud is a stand-in for the platform's VM API: on an order the worker of a VM goes, and
// another one appears a little later.
type cloud struct {
	*httptest.Server
	c *cell

	mu     sync.Mutex
	orders map[string]int // by VM
	down   int
	most   int
	terms  map[string]bool
}

func newCloud(c *cell) *cloud {
	s := &cloud{c: c, orders: map[string]int{}, terms: map[string]bool{}}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	c.cloud = strings.TrimPrefix(s.URL, "http://")
	return s
}

func (s *cloud) serve(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	err := json.NewDecoder(r.Body).Decode(&order)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.terms[r.Header.Get("X-Duty-Holder")+" "+r.Header.Get("X-Fencing-Token")] = true
	switch {
	case err != nil || r.URL.Path != "/machine-upkeep":
		w.WriteHeader(http.StatusBadRequest)
	case order.Machine == "m-gone":
		w.WriteHeader(http.StatusBadRequest)
	case order.Machine == "m-i-1" && s.orders[order.Machine] == 0:
		s.orders[order.Machine]++
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"reason":"busy"}`))
	default:
		s.begin(order.Machine)
		if s.orders[order.Machine] == 1 {
			panic(http.ErrAbortHandler) // the first answer is lost
		}
	}
}

// begin carries out an order, once for each VM.
func (s *cloud) begin(vm string) {
	s.orders[vm]++
	if s.orders[vm] > 1 && vm != "m-i-1" || s.orders[vm] > 2 {
		return
	}
	s.down++
	s.most = max(s.most, s.down)
	id := strings.TrimPrefix(vm, "m-")
	s.c.store.Delete("servers/" + id)
	time.AfterFunc(200*time.Millisecond, func() {
		s.mu.Lock()
		s.down--
		s.mu.Unlock()
		wiretest.NewWorkerOnVM(s.c.store, vm, id+"-next", "svc", 30*time.Millisecond)
	})
}

// A maintenance wave takes down one VM at a time, despite lost answers, a VM that is refused
// at first and one that does not exist; the operators' status shows its end.
func TestMaintenanceWave(t *testing.T) {
	c := newCell(t, 0, 3)
	s := newCloud(c)
	defer s.Close()
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	c.submit(0, id(1), `{"spec":"s","steps":[{"count":2,"cpu":500,"long_running":true}]}`)
	c.awaitState(0, id(1), "running")
	c.store.Put("op/wave/7", []byte(`{"wave":7,"machines":["m-i-0","m-i-1","m-i-2","m-gone"],"duration_s":9,"maximum":1}`))
	c.await("the end of the wave", func() bool {
		value, ok := c.store.Value("status/wave/7")
		return ok && string(value) == `{"state":"succeeded"}`
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most != 1 {
		t.Errorf("%d VMs were down at once", s.most)
	}
	for i := range 3 {
		if s.orders[fmt.Sprintf("m-i-%d", i)] < 2 {
			t.Errorf("VM %d had %d orders", i, s.orders[fmt.Sprintf("m-i-%d", i)])
		}
	}
	if len(s.terms) != 1 || !s.terms["entry-0 1"] {
		t.Errorf("orders came under %v", s.terms)
	}
}
