package database

import (
	"crypto/tls"
	"time"

	"github.com/pkg/errors"

	"baobabfield.example/core/types"
)

// Default values of a Config's fields.
const (
	DefaultAddress                = "127.0.0.1:0"
	DefaultSlots                  = 3
	DefaultMaxConnections         = 50
	DefaultConnectDelay           = 10 * time.Millisecond
	DefaultIdleTransactionTimeout = 10 * time.Second
)

// Config describes an Instance. A zero field means its default.
type Config struct {
	ID       types.Endpoint
	Database types.Database
	// Address is the listening address. By default the system chooses a loopback port.
	Address string
	// Peers are the other endpoints of the database.
	Peers []types.Endpoint
	// Slots is the number of statements that run concurrently.
	Slots int
	// MaxConnections limits the connections of clients. Those of peers do not count.
	MaxConnections int
	// ConnectDelay is the time that each startup takes; a negative value means none.
	ConnectDelay time.Duration
	// ReplicationLag is the time between a replica's receipt of entries and their
	// application.
	ReplicationLag time.Duration
	// ServiceTime is added to the duration of each statement.
	ServiceTime time.Duration
	// IdleTransactionTimeout is how long an open transaction may wait for its client's
	// next message before the connection ends; a negative value means no limit.
	IdleTransactionTimeout time.Duration
	// TLS, if set, is used for clients that request encryption.
	TLS *tls.Config
}

func (c Config) withDefaults() (Config, error) {
	if c.ID == "" {
		return c, errors.New("the endpoint's ID is empty")
	}
	if c.Database == "" {
		return c, errors.Errorf("endpoint %q has no database name", c.ID)
	}
	if c.Address == "" {
		c.Address = DefaultAddress
	}
	if c.Slots <= 0 {
		c.Slots = DefaultSlots
	}
	if c.MaxConnections <= 0 {
		c.MaxConnections = DefaultMaxConnections
	}
	if c.ConnectDelay == 0 {
		c.ConnectDelay = DefaultConnectDelay
	}
	if c.IdleTransactionTimeout == 0 {
		c.IdleTransactionTimeout = DefaultIdleTransactionTimeout
	}
	return c, nil
}
