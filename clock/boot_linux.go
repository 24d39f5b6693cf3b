package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime reads the clock that counts the time of suspensions.
func bootTime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
