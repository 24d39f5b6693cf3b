package node_test

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// TestNextOwnerServesRemovedQueues guards against accepted jobs that no longer start once their
// queue is removed and the owner is replaced. The next owner has the settings from the job's record
// if that of the previous owner is damaged, and from the latter for a job that an earlier version
// accepted.
func TestNextOwnerServesRemovedQueues(t *testing.T) {
	for _, variant := range []string{"owner's record damaged", "job of an earlier version"} {
		t.Run(variant, func(t *testing.T) {
			c := newCell(t, 1, 0)
			c.workers = append(c.workers, wiretest.NewWorker(c.store, "i-0", "svc", time.Second))
			c.submit(0, id(1), `{"spec":"s","steps":[{"count":2,"cpu":500},{"count":2,"cpu":500,"after_revision":[0]}]}`)
			c.await("its start", func() bool { return startsAt(c.workers) >= 2 })
			c.store.Put("op/config", []byte(`{"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/b/","service":"svc"}],"services":[{"name":"svc","admission_check":true}]}`))
			c.await("the configuration", func() bool { return c.nodes[0].node.Config().Version == 7 })
			c.nodes[0].close()
			c.nodes = nil
			if variant == "owner's record damaged" {
				c.store.Put("ls/own/queues", []byte(`[{"name":`))
			} else {
				c.store.Put("ls/in/job/"+id(1), fmt.Appendf(nil, `{"id":%q,"queue":"q","payload":"s","accepted_ms":1,"steps":[{"count":2,"cpu_milli":500},{"count":2,"cpu_milli":500,"after":[0]}]}`, id(1)))
			}
			c.nodes = append(c.nodes, c.startNode("entry-next"))
			c.await("the starts of the second step", func() bool { return startsAt(c.workers) >= 4 })
		})
	}
}
