package failover

import (
	"fmt"
	"time"

	"baobabfield.example/core/types"
)

// Defaults of Config.
const (
	// DefaultAuthorityWindow is the default of Config.AuthorityWindow.
	DefaultAuthorityWindow = 500 * time.Millisecond
	// DefaultMaxClockDrift is the default of Config.MaxClockDrift.
	DefaultMaxClockDrift = 10 * time.Millisecond
	// queriesPerWindow is the number of status queries to an endpoint within
	// the authority window.
	queriesPerWindow = 4
)

// Config holds the settings of a Machine. A duration of zero takes its default.
type Config struct {
	// Host is the host that the machine runs on.
	Host types.Host
	// Database describes the database and its endpoint set.
	Database types.DatabaseSpec
	// Owners maps each endpoint of the current and previous set to its owner.
	Owners map[types.Endpoint]types.Host
	// AuthorityWindow is the duration of the lease: the time for which an endpoint's
	// response supports authority, counted from when the query was sent. It must be
	// equal on all hosts.
	AuthorityWindow time.Duration
	// MaxClockDrift is the largest difference between the lengths of an authority
	// window on the clocks of two hosts.
	MaxClockDrift time.Duration
	// QueryInterval is the time between two status queries to an endpoint. It is at
	// most half of AuthorityWindow; its default is a quarter.
	QueryInterval time.Duration
	// ResponseTimeout is the time without a response after which a connection is
	// replaced by a new one, and after which Follow is sent again. A campaign is
	// abandoned if no majority has granted its term within this time, or if its
	// promotion has no response within twice this time. Its default is half of
	// AuthorityWindow.
	ResponseTimeout time.Duration
	// SuspectAfter is the time without a response from the primary, on the old
	// and on a new connection, after which the primary is suspected. Half of it
	// is enough if the connections fail instead of timing out. Its default is
	// AuthorityWindow.
	SuspectAfter time.Duration
	// DrainTimeout limits the initial catch-up of a planned change, and then the time
	// for which writes are held until fencing starts. The initial catch-up of a change
	// of the endpoint set has no limit. Its default is twice AuthorityWindow.
	DrainTimeout time.Duration
	// Seed is the seed of the random delays before campaigns.
	Seed uint64
}

// withDefaults returns c with its zero durations replaced.
func (c Config) withDefaults() Config {
	setDefault(&c.AuthorityWindow, DefaultAuthorityWindow)
	setDefault(&c.MaxClockDrift, DefaultMaxClockDrift)
	setDefault(&c.QueryInterval, c.AuthorityWindow/queriesPerWindow)
	setDefault(&c.ResponseTimeout, c.AuthorityWindow/2)
	setDefault(&c.SuspectAfter, c.AuthorityWindow)
	setDefault(&c.DrainTimeout, 2*c.AuthorityWindow)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Check returns an error for the first invalid setting.
func (c Config) Check() error {
	c = c.withDefaults()
	switch {
	case c.Host == "":
		return fmt.Errorf("database %q: host is empty", c.Database.ID)
	case c.Database.ID == "":
		return fmt.Errorf("database ID is empty")
	case len(c.Database.Endpoints) == 0:
		return fmt.Errorf("database %q has no endpoints", c.Database.ID)
	case c.AuthorityWindow < 0 || c.MaxClockDrift < 0:
		return fmt.Errorf("database %q: authority window %v and maximum clock drift %v must not be negative", c.Database.ID, c.AuthorityWindow, c.MaxClockDrift)
	case c.QueryInterval <= 0 || c.QueryInterval > c.AuthorityWindow/2:
		return fmt.Errorf("database %q: query interval %v must be positive and at most half of the authority window, %v", c.Database.ID, c.QueryInterval, c.AuthorityWindow/2)
	case c.ResponseTimeout <= 0 || c.SuspectAfter <= 0 || c.DrainTimeout <= 0:
		return fmt.Errorf("database %q: response timeout %v, suspicion timeout %v and drain timeout %v must be positive",
			c.Database.ID, c.ResponseTimeout, c.SuspectAfter, c.DrainTimeout)
	}
	return nil
}
