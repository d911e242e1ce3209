// Package clock provides the current types.Time. Its clock also advances while the process
// or the machine is suspended, so that leases expire then. Times of different processes
// cannot be compared.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"baobabfield.example/core/types"
)

// origin is the boot time at which types.Time is zero. It lies one second before the
// start of the process, so that no reading is the zero value.
var origin = readBootTime() - time.Second

// readBootTime returns the time since the machine booted, including time in
// suspension. A clock that stops in suspension would make an expired lease look
// valid after a resume.
func readBootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns the current time: the time since the process started, plus one second.
func Now() types.Time { return types.Time(readBootTime() - origin) }

// Until returns the duration from now to t, or 0 if t has passed.
func Until(t types.Time) time.Duration { return max(0, t.Sub(Now())) }
