package dispatch

import "fmt"

// Evacuated data centres. From when the operators evacuate a data centre until
// they take that back, its workers get no new tasks: no first start, no restart,
// no member of a gang, no time of a repeated job. What runs there goes on and
// keeps its leases: an evacuation asks that nothing more is sent, and to move
// lasting tasks would cost each of them a second or more of work. A task that
// ends there by itself, and must run again, goes elsewhere. If all data centres
// are evacuated, tasks wait.

// SetEvacuated takes in the data centres that are evacuated, whether they have
// workers or not. The caller makes sure that it is never older than what an
// owner acted on before.
func (c *Core) SetEvacuated(dataCentres []string) {
	set := make(map[string]bool, len(dataCentres))
	for _, dc := range dataCentres {
		set[dc] = true
	}
	before := c.evacuated
	c.evacuated = set
	for _, dc := range dataCentres {
		if !before[dc] {
			c.trace(Decision{Event: "data_centre_evacuated", Reason: c.describeDataCentre(dc)})
		}
	}
	for dc := range before {
		if !set[dc] {
			c.trace(Decision{Event: "data_centre_returned", Reason: c.describeDataCentre(dc)})
		}
	}
}

// describeDataCentre tells how much of the cell a data centre is, for the log.
func (c *Core) describeDataCentre(name string) string {
	workers, running := 0, 0
	for _, w := range c.order {
		if w.info.DataCentre == name {
			workers++
			running += len(w.attempts)
		}
	}
	return fmt.Sprintf("%s: %d workers, %d tasks run there", name, workers, running)
}
