// Package soak holds a randomized soak: it runs leverstile node as separate
// processes against stand-ins of the platform, injects faults from outside
// (signals, and a proxy before the store), and checks the promises from what
// customers and workers see. It consists of tests only.
package soak
