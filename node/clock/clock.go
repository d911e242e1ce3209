// Package clock reads a clock that also counts while the process or the machine
// is suspended, as core time.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"baobabfield.example/core/types"
)

// origin is the origin of the process's core time. It lies a second before the
// process's origin, so that no reading is the zero value.
var origin = readBootTime() - time.Second

// readBootTime returns the time since the machine started, suspension included: a lease
// that has run out while the process slept must not look valid when it wakes.
func readBootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns the time since the process started.
func Now() types.Time { return types.Time(readBootTime() - origin) }

// Until returns the duration from now to t, at least zero.
func Until(t types.Time) time.Duration { return max(0, t.Sub(Now())) }
