//go:build !linux

package clock

import "time"

// bootTime is not read on other systems: there a suspension is not counted.
func bootTime() (time.Duration, bool) { return 0, false }
