package dispatch

import "fmt"

// A data centre is evacuated from when the operators request that until
// they revoke it. Meanwhile its workers get no new tasks: no first start, no restart,
// no member of a gang, no occurrence of a repeated job. Tasks that run there continue and
// keep their leases: an evacuation only asks that nothing more is sent, and moving
// long-running tasks would cost each of them a second or more of work. A task that
// ends there on its own, and must run again, starts elsewhere. If all data centres
// are evacuated, tasks wait.

// SetEvacuated sets the data centres that are evacuated, whether they have
// workers or not. The caller makes sure that the list is never older than one that an
// owner has acted on before.
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

// describeDataCentre returns how many workers and tasks a data centre has, for the log.
func (c *Core) describeDataCentre(name string) string {
	workers, running := 0, 0
	for _, w := range c.sortedWorkers {
		if w.info.DataCentre == name {
			workers++
			running += len(w.attempts)
		}
	}
	return fmt.Sprintf("%s: %d workers, %d tasks run there", name, workers, running)
}
