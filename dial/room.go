package dial

import (
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

// makeRoom closes some idle connections once Limits.Crowded are open: with more hosts than
// half of that, idle ones would else take the descriptors that calls need. Connections in
// use stay, and hosts take turns, so that most of those used of late are kept.
func (c *Client) makeRoom() {
	before, hosts := c.crowded(time.Now())
	for i, h := range hosts {
		h.CloseIdleConnections()
		if c.openConns() <= before-c.limits.Crowded/roomPart {
			c.closedUpTo(i + 1)
			return
		}
	}
}

// crowded returns how many connections are open, and the hosts in the order of their turns,
// if room must be made.
func (c *Client) crowded(now time.Time) (open int, hosts []*fasthttp.HostClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open = len(c.conns)
	if c.limits.Crowded <= 0 || open < c.limits.Crowded || now.Sub(c.madeRoom) < roomPause {
		return open, nil
	}
	c.madeRoom = now
	hosts = make([]*fasthttp.HostClient, len(c.hosts))
	for i := range c.hosts {
		hosts[i] = c.hosts[(c.nextClosed+i)%len(c.hosts)].HostClient
	}
	return open, hosts
}

// closedUpTo notes that so many hosts have had their turn.
func (c *Client) closedUpTo(turns int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextClosed = (c.nextClosed + turns) % len(c.hosts)
}

func (c *Client) openConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
