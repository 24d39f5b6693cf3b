//go:build suspendable

package clock

import (
	"encoding/binary"
	"os"
	"time"
)

// SuspendedFile is the environment variable that names a file with the number of
// nanoseconds, in eight bytes, by which the monotonic clock of this process has been held
// back. A program built with the tag suspendable takes them for a suspension of its VM,
// which tests can't cause.
const SuspendedFile = "LEVERSTILE_TEST_SUSPENDED"

// systemSources returns the clocks of the operating system; the monotonic one omits the
// time in the file.
func systemSources() Sources {
	start := time.Now()
	name := os.Getenv(SuspendedFile)
	held := func() time.Duration {
		b, err := os.ReadFile(name)
		if err != nil || len(b) < 8 {
			return 0
		}
		return time.Duration(binary.LittleEndian.Uint64(b))
	}
	first := held()
	return Sources{
		Monotonic: func() time.Duration { return time.Since(start) - (held() - first) },
		Boot:      bootTime,
		Wall:      func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	}
}
