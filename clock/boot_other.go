//go:build !linux

package clock

import "time"

// bootTime reports that no clock counts suspensions on systems other than Linux.
func bootTime() (time.Duration, bool) { return 0, false }
