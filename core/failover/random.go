package failover

import "time"

// randomSource is a splitmix64 random number generator.
type randomSource struct{ state uint64 }

func (r *randomSource) nextUint64() uint64 {
	r.state += 0x9e3779b97f4a7c15
	x := r.state
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// durationBelow returns a duration in [0, limit).
func (r *randomSource) durationBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.nextUint64() % uint64(limit))
}
