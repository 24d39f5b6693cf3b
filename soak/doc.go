// Package soak holds a randomized soak test: it runs leverstile node as separate processes
// against stand-ins of the platform and injects faults from outside: signals to entries,
// suspensions of their VMs, proxies before the store and the workers, workers that fail
// calls, drain or answer out of order, and tasks that crash their workers. It checks the
// guarantees by what customers and workers observe, also which checkpoints interrupted tasks
// continue from. It consists of tests only.
package soak
