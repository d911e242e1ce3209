package types

import "time"

// Time is a reading of a host's monotonic clock: the time since an arbitrary
// start that does not change while the process runs. Readings of different
// hosts are not comparable.
type Time time.Duration

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }
