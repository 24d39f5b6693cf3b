// Package soak holds a randomized soak: it runs leverstile node as separate
// processes against stand-ins of the platform, injects faults from outside
// (signals to entries and suspensions of their VMs, proxies before the store and the
// workers, workers that are unwell, drain, or answer out of order, and tasks that crash
// their workers), and checks the promises from what customers and workers see, also what
// interrupted tasks go on from. It consists of tests only.
package soak
