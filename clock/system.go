//go:build !suspendable

package clock

import "time"

// systemSources returns the clocks of the operating system.
func systemSources() Sources {
	start := time.Now()
	return Sources{
		Monotonic: func() time.Duration { return time.Since(start) },
		Boot:      bootTime,
		Wall:      func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	}
}
