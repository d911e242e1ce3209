package conf

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
	"baobabfield.example/node/events"
)

// Config holds the settings of a task.
type Config struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Seed starts the distributor's random numbers.
	Seed     uint64
	Platform Platform
	Sender   Sender
	// Changes receives every change of the configuration. The host may serve once
	// the snapshot is complete.
	Changes  chan<- config.Changed
	Recorder *events.Recorder
	Metrics  *metrics.Set
}

// Payload is a payload that another host sent.
type Payload struct {
	From types.Host
	Data []byte
}

// Task owns the distributor and the watch of the platform.
type Task struct {
	peers    chan config.Peers
	payloads chan Payload
	written  chan config.Written
}

// New returns a task; Run starts it.
func New(_ Config) *Task { return &Task{} }

// Run serves the task until the context ends.
func (t *Task) Run(_ context.Context) {}

// Peers returns the channel for the live hosts.
func (t *Task) Peers() chan<- config.Peers { return t.peers }

// Payloads returns the channel for payloads from other hosts.
func (t *Task) Payloads() chan<- Payload { return t.payloads }

// Written returns the channel for objects that this host wrote to the platform.
func (t *Task) Written() chan<- config.Written { return t.written }

// Confirm carries out the plan with the given id and returns its end. The caller
// passes the written objects on to the task.
func Confirm(_ context.Context, _ Platform, _ string) config.Confirmed {
	return config.Confirmed{}
}
