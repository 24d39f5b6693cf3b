package dial

import (
	"cmp"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// Figures of makeRoom.
const (
	// roomPart of the connections that may be open, one in so many, is made free at a time.
	roomPart = 32
	// roomPause is the least pause between two looks for idle connections.
	roomPause = 50 * time.Millisecond
)

// makeRoom closes idle connections, those of hosts that were called longest ago first, once
// as many are open as may be. With more hosts than connections may be open, idle ones would
// else take the descriptors that calls need. Connections in use stay.
func (c *Client) makeRoom() {
	for _, h := range c.leastUsed(time.Now()) {
		h.CloseIdleConnections()
		if c.openConns() <= c.mostOpen-c.mostOpen/roomPart {
			return
		}
	}
}

// leastUsed returns the hosts, those called longest ago first, if room must be made.
func (c *Client) leastUsed(now time.Time) []*fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mostOpen <= 0 || len(c.conns) < c.mostOpen || now.Sub(c.madeRoom) < roomPause {
		return nil
	}
	c.madeRoom = now
	hosts := make([]*fasthttp.HostClient, 0, len(c.hosts))
	for _, h := range c.hosts {
		if h.ConnsCount() > 0 {
			hosts = append(hosts, h.HostClient)
		}
	}
	slices.SortStableFunc(hosts, func(a, b *fasthttp.HostClient) int {
		return cmp.Compare(a.LastUseTime().Unix(), b.LastUseTime().Unix())
	})
	return hosts
}

func (c *Client) openConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
