package database

import (
	"crypto/tls"
	"time"

	"github.com/pkg/errors"

	"baobabfield.example/core/types"
)

// Defaults of a Config.
const (
	DefaultAddress         = "127.0.0.1:0"
	DefaultSlots           = 3
	DefaultMaxConnections  = 50
	DefaultConnectDelay    = 10 * time.Millisecond
	DefaultIdleTransaction = 10 * time.Second
)

// Config describes an Instance. Zero values mean the defaults.
type Config struct {
	ID       types.Endpoint
	Database types.Database
	// Address is the address to listen on; the default lets the system choose a port.
	Address string
	// Peers are the other endpoints of the database.
	Peers []types.Endpoint
	// Slots is the number of statements that run at a time.
	Slots int
	// MaxConnections limits the clients' connections.
	MaxConnections int
	// ConnectDelay is the time that accepting a connection takes; negative for none.
	ConnectDelay time.Duration
	// ReplicationLag is how long a replica waits before it applies what it received.
	ReplicationLag time.Duration
	// ServiceTime is added to the running time of each statement.
	ServiceTime time.Duration
	// IdleTransaction is how long a transaction may wait for its client.
	IdleTransaction time.Duration
	// TLS, if set, answers a client's request for encryption.
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
	if c.IdleTransaction == 0 {
		c.IdleTransaction = DefaultIdleTransaction
	}
	return c, nil
}
