package timeline

import "time"

// maxLeadNanos bounds how far an observed stamp may be ahead of the local wall clock.
const maxLeadNanos = int64(time.Minute)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// Wall is the time in nanoseconds since the Unix epoch.
	Wall int64
	// Logical orders the stamps that share a Wall.
	Logical uint32
}

// Less reports whether s precedes t.
func (s Stamp) Less(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// Clock is a hybrid logical clock. Its stamps increase on each reading, follow the
// wall clock, and exceed every stamp observed from other hosts. The zero value is
// ready for use.
type Clock struct {
	last       Stamp
	latestWall int64
}

// Now returns the next stamp, given the wall clock in nanoseconds since the
// Unix epoch.
func (c *Clock) Now(wall int64) Stamp {
	c.latestWall = max(c.latestWall, wall)
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last = nextStamp(c.last)
	return c.last
}

// Observe records a stamp received from another host, so that later stamps exceed it.
// It ignores a stamp that is more than maxLeadNanos ahead of the local wall clock and
// returns false, so that one wrong clock does not affect the clocks of other hosts.
func (c *Clock) Observe(s Stamp) bool {
	if c.latestWall != 0 && s.Wall-c.latestWall > maxLeadNanos {
		return false
	}
	if c.last.Less(s) {
		c.last = s
	}
	return true
}

// nextStamp returns the smallest stamp greater than s.
func nextStamp(s Stamp) Stamp {
	if s.Logical == ^uint32(0) {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Logical: s.Logical + 1}
}
