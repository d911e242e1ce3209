package failover

import (
	"fmt"
	"time"

	"baobabfield.example/core/types"
)

// Defaults of Config.
const (
	// DefaultW is the age up to which an endpoint's answer supports write authority.
	DefaultW = 500 * time.Millisecond
	// DefaultDrift bounds the error of two hosts' clocks over W.
	DefaultDrift = 10 * time.Millisecond
	// questionsPerW is the number of questions to an endpoint within W.
	questionsPerW = 4
)

// Config holds the settings of a Machine. Zero durations take the defaults.
type Config struct {
	// Host is the host that the machine runs at.
	Host types.Host
	// Database describes the database and its endpoint set.
	Database types.DatabaseSpec
	// Owners names the owner of each endpoint of the current and previous set.
	Owners map[types.Endpoint]types.Host
	// W is the age up to which an endpoint's answer supports write authority,
	// counted from the sending of the question. It must be equal on all hosts.
	W time.Duration
	// Drift bounds the difference between two hosts' measurements of W.
	Drift time.Duration
	// QuestionInterval is the time between two questions to an endpoint.
	QuestionInterval time.Duration
	// AnswerTimeout is the time without an answer after which a connection is
	// replaced by a new one, and a campaign's command is repeated.
	AnswerTimeout time.Duration
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
	setDefault(&c.W, DefaultW)
	setDefault(&c.Drift, DefaultDrift)
	setDefault(&c.QuestionInterval, c.W/questionsPerW)
	setDefault(&c.AnswerTimeout, c.W/2)
	setDefault(&c.SuspectAfter, c.W)
	setDefault(&c.DrainTimeout, 2*c.W)
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
	case c.W < 0 || c.Drift < 0:
		return fmt.Errorf("database %q: W %v and drift %v must not be negative", c.Database.ID, c.W, c.Drift)
	case c.QuestionInterval <= 0 || c.QuestionInterval > c.W/2:
		return fmt.Errorf("database %q: question interval %v is not between 0 and W/2 = %v", c.Database.ID, c.QuestionInterval, c.W/2)
	case c.AnswerTimeout <= 0 || c.SuspectAfter <= 0 || c.DrainTimeout <= 0:
		return fmt.Errorf("database %q: timeouts must be positive", c.Database.ID)
	}
	return nil
}
