package main

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/fleet"
	"leverstile.dev/standin"
)

// standinCommand runs stand-ins of the platform until a signal.
type standinCommand struct {
	KV        string `long:"kv" default:"127.0.0.1:0" description:"address of the key-value service"`
	List      string `long:"list" default:"127.0.0.1:0" description:"address of the VM list and of the control of faults"`
	VMs       int    `long:"vms" default:"8" description:"number of VMs, each with a worker and an endpoint"`
	Places    string `long:"places" default:"place-a,place-b" description:"data centres, separated by commas"`
	RackSize  int    `long:"rack-size" default:"8" description:"VMs of a rack"`
	Cores     int64  `long:"cores" default:"16" description:"cores of a VM"`
	MemoryGiB int64  `long:"memory-gib" default:"60" description:"memory of a VM"`
	Service   string `long:"service" default:"vendline" description:"name of the service that the endpoints serve"`
	Slots     int    `long:"slots" default:"8" description:"slots of an endpoint"`
	ServiceMS int    `long:"service-ms" default:"10" description:"time that an endpoint takes for a request"`
	LagMS     int    `long:"list-lag-ms" default:"2000" description:"lag of the VM list"`
}

// Addresses is printed when the stand-ins are ready.
type Addresses struct {
	KV   string `json:"kv"`
	List string `json:"list"`
}

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	capacity := fleet.Resources{CPUMilli: c.Cores * 1000, MemoryMiB: c.MemoryGiB * 1024}
	sim, err := standin.NewFleet(standin.FleetSpec{
		Places: strings.Split(c.Places, ","), VMs: c.VMs, RackSize: c.RackSize, Capacity: capacity,
		Service: c.Service, Slots: c.Slots, ServiceMS: c.ServiceMS,
		ListLag: time.Duration(c.LagMS) * time.Millisecond, KVListen: c.KV, ListListen: c.List,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer sim.Close()
	if err := json.NewEncoder(os.Stdout).Encode(Addresses{KV: sim.KVAddress, List: sim.Address}); err != nil {
		return errors.Trace(err)
	}
	stop, _ := stopSignals()
	<-stop
	return nil
}
