// Package clock reads the process's monotonic clock as core time.
package clock

import (
	"time"

	"baobabfield.example/core/types"
)

// start is the origin of the process's core time.
var start = time.Now()

// Now returns the time since the process started.
func Now() types.Time { return types.Time(time.Since(start)) }

// Until returns the duration from now to t, at least zero.
func Until(t types.Time) time.Duration { return max(0, t.Sub(Now())) }
