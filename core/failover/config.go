package failover

import (
	"fmt"
	"time"

	"baobabfield.example/core/types"
)

// Defaults of Config.
const (
	// DefaultAuthorityWindow is the age up to which an endpoint's answer supports write authority.
	DefaultAuthorityWindow = 500 * time.Millisecond
	// DefaultMaxClockDrift bounds the error of two hosts' clocks over W.
	DefaultMaxClockDrift = 10 * time.Millisecond
	// queriesPerWindow is the number of questions to an endpoint within W.
	queriesPerWindow = 4
)

// Config holds the settings of a Machine. Zero durations take the defaults.
type Config struct {
	// Host is the host that the machine runs at.
	Host types.Host
	// Database describes the database and its endpoint set.
	Database types.DatabaseSpec
	// Owners names the owner of each endpoint of the current and previous set.
	Owners map[types.Endpoint]types.Host
	// AuthorityWindow is the age up to which an endpoint's answer supports write authority,
	// counted from the sending of the question. It must be equal on all hosts.
	AuthorityWindow time.Duration
	// MaxClockDrift bounds the difference between two hosts' measurements of W.
	MaxClockDrift time.Duration
	// QueryInterval is the time between two questions to an endpoint.
	QueryInterval time.Duration
	// ResponseTimeout is the time without an answer after which a connection is
	// replaced by a new one, and a campaign's command is repeated.
	ResponseTimeout time.Duration
	// SuspectAfter is the time without an answer from the primary, on the old
	// and on a new connection, after which the primary is suspected. Half of it
	// is enough where the connections fail.
	SuspectAfter time.Duration
	// DrainTimeout bounds each phase of a planned change before the fence.
	DrainTimeout time.Duration
	// Seed starts the random numbers of the campaign jitter.
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

// Check reports the first setting that a Machine cannot work with.
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
		return fmt.Errorf("database %q: W %v and drift %v must not be negative", c.Database.ID, c.AuthorityWindow, c.MaxClockDrift)
	case c.QueryInterval <= 0 || c.QueryInterval > c.AuthorityWindow/2:
		return fmt.Errorf("database %q: question interval %v is not between 0 and W/2 = %v", c.Database.ID, c.QueryInterval, c.AuthorityWindow/2)
	case c.ResponseTimeout <= 0 || c.SuspectAfter <= 0 || c.DrainTimeout <= 0:
		return fmt.Errorf("database %q: timeouts must be positive", c.Database.ID)
	}
	return nil
}
