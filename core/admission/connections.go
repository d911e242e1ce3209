package admission

import (
	"time"

	"baobabfield.example/core/types"
)

// standbyConnectionPercent is the percentage of an endpoint's connections that its owner
// leaves free. The standby uses them when it takes over.
const standbyConnectionPercent = 20

// TakeoverDelay is the time after which a new owner assumes that the previous owner has
// closed its connections.
const TakeoverDelay = 30 * time.Second

// SplitConnections divides an endpoint's connections between its owner and the standby
// host. The standby gets at least one connection if there are two or more.
func SplitConnections(total int) (owner, standby int) {
	if total < 2 {
		return max(total, 0), 0
	}
	standby = max(1, total*standbyConnectionPercent/hundredPercent)
	return total - standby, standby
}

// ConnectionLimit returns the number of connections that a host may open to an endpoint
// that accepts total connections. The host became the endpoint's owner at ownerSince.
func ConnectionLimit(now types.Time, total int, ownerSince types.Time) int {
	owner, standby := SplitConnections(total)
	if now.Sub(ownerSince) < TakeoverDelay {
		return standby
	}
	return owner
}
