package admission

import (
	"time"

	"baobabfield.example/core/types"
)

// standbyPercent is the part of an endpoint's connections, in percent, that its
// owner leaves free for a host that takes over.
const standbyPercent = 20

// TakeoverDelay is the time after which a new owner counts on its predecessor
// having closed its connections.
const TakeoverDelay = 30 * time.Second

// SplitConnections divides an endpoint's connections between its owner and the
// host that stands by. The stand-by has at least one where there are two.
func SplitConnections(total int) (owner, standby int) {
	if total < 2 {
		return max(total, 0), 0
	}
	standby = max(1, total*standbyPercent/hundredPercent)
	return total - standby, standby
}

// ConnectionLimit returns the connections that a host may open to an endpoint
// that accepts total, where the host became the endpoint's owner at since.
func ConnectionLimit(now types.Time, total int, ownerSince types.Time) int {
	owner, standby := SplitConnections(total)
	if now.Sub(ownerSince) < TakeoverDelay {
		return standby
	}
	return owner
}
