package database

import (
	"context"
	"strings"

	"baobabfield.example/core/types"
)

// Direction is the direction of traffic that a cut holds, as seen from the endpoint.
type Direction uint8

// Directions of a cut.
const (
	BothWays Direction = iota
	Inbound
	Outbound
)

// Cut describes a network partition. Bytes that it holds arrive after the cut is healed,
// as TCP would retransmit them.
type Cut struct {
	// Peers are the application_name values that the cut affects; empty means all.
	Peers []string
	// Except are application_name values that the cut does not affect.
	Except []string
	// Direction is the direction in which traffic is held.
	Direction Direction
	// AllowNew exempts connections that start after the cut.
	AllowNew bool
	// RefuseNew closes new connections immediately, instead of leaving them without
	// a response.
	RefuseNew bool
}

func (c Cut) appliesTo(application string) bool {
	for _, name := range c.Except {
		if name == application {
			return false
		}
	}
	for _, name := range c.Peers {
		if name == application {
			return true
		}
	}
	return len(c.Peers) == 0
}

// trafficHold is the directions in which a connection must hold its traffic.
type trafficHold struct {
	inbound, outbound bool
}

// ConnectionInfo describes one connection of an instance.
type ConnectionInfo struct {
	ID              uint32
	ApplicationName string
	// Ready is set after the startup message is accepted.
	Ready bool
}

// connectionRegistry owns the list of connections and the faults that affect them.
type connectionRegistry struct {
	inbox          chan func()
	maxConnections int
	conns          map[uint32]*registeredConnection
	nextID         uint32
	cuts           []Cut
	killed         bool
	draining       bool
	drained        chan struct{}
}

type registeredConnection struct {
	ConnectionInfo
	secret uint32
	// countsTowardsLimit is set for a client's connection, which uses up one of
	// maxConnections.
	countsTowardsLimit bool
	silenced           bool
	// exemptCuts is the number of cuts, from the first, that were active when the
	// connection started and do not affect it.
	exemptCuts  int
	holdUpdates chan trafficHold
	cancel      chan struct{}
	closeSocket context.CancelFunc
}

func newConnectionRegistry(c Config) *connectionRegistry {
	return &connectionRegistry{
		inbox: make(chan func()), maxConnections: c.MaxConnections,
		conns: map[uint32]*registeredConnection{}, drained: make(chan struct{}),
	}
}

// run handles messages until the registry has been drained.
func (r *connectionRegistry) run() {
	for !r.draining || len(r.conns) > 0 {
		message := <-r.inbox
		message()
	}
	close(r.drained)
}

// runOnRegistry runs f on the registry's goroutine and waits for it.
func (r *connectionRegistry) runOnRegistry(f func()) {
	done := make(chan struct{})
	select {
	case r.inbox <- func() { f(); close(done) }:
		<-done
	case <-r.drained:
	}
}

// register adds a new socket. It returns nil if the instance accepts none.
func (r *connectionRegistry) register(closeSocket context.CancelFunc, secret uint32) *registeredConnection {
	var e *registeredConnection
	r.runOnRegistry(func() {
		if r.killed || r.draining {
			return
		}
		r.nextID++
		e = &registeredConnection{
			ConnectionInfo: ConnectionInfo{ID: r.nextID}, secret: secret, closeSocket: closeSocket,
			holdUpdates: make(chan trafficHold, 1), cancel: make(chan struct{}, 1),
		}
		r.conns[e.ID] = e
	})
	return e
}

// admitStartup accepts or rejects a connection whose startup message has arrived.
func (r *connectionRegistry) admitStartup(e *registeredConnection, application string) error {
	var err error
	r.runOnRegistry(func() {
		e.ApplicationName = application
		if r.refusesNew(application) {
			err = errRefused
			return
		}
		if r.holdsNew(application) {
			err = errNoAnswer
			return
		}
		if !r.reserveConnection(e) {
			err = &Error{State: stateTooMany, Message: "sorry, too many clients already"}
			return
		}
		e.Ready = true
		e.exemptCuts = len(r.cuts)
	})
	return err
}

// holdsNew reports whether a cut leaves a new connection without a response.
func (r *connectionRegistry) holdsNew(application string) bool {
	for _, c := range r.cuts {
		if !c.AllowNew && c.appliesTo(application) {
			return true
		}
	}
	return false
}

func (r *connectionRegistry) refusesNew(application string) bool {
	for _, c := range r.cuts {
		if c.RefuseNew && c.appliesTo(application) {
			return true
		}
	}
	return false
}

func (r *connectionRegistry) reserveConnection(e *registeredConnection) bool {
	if strings.HasPrefix(e.ApplicationName, peerPrefix) {
		return true
	}
	used := 0
	for _, other := range r.conns {
		if other.countsTowardsLimit {
			used++
		}
	}
	e.countsTowardsLimit = used < r.maxConnections
	return e.countsTowardsLimit
}

// sendHold sends a connection its current hold. An older one that has not been received
// is replaced.
func (r *connectionRegistry) sendHold(e *registeredConnection) {
	hold := trafficHold{inbound: e.silenced, outbound: e.silenced}
	for _, c := range r.cuts[min(e.exemptCuts, len(r.cuts)):] {
		if !e.Ready || !c.appliesTo(e.ApplicationName) {
			continue
		}
		hold.inbound = hold.inbound || c.Direction != Outbound
		hold.outbound = hold.outbound || c.Direction != Inbound
	}
	select {
	case <-e.holdUpdates:
	default:
	}
	e.holdUpdates <- hold
}

func (r *connectionRegistry) unregister(e *registeredConnection) {
	r.runOnRegistry(func() { delete(r.conns, e.ID) })
}

// cancelStatement forwards a CancelRequest to the connection with this ID and secret.
func (r *connectionRegistry) cancelStatement(id, secret uint32) {
	r.runOnRegistry(func() {
		e := r.conns[id]
		if e == nil || e.secret != secret {
			return
		}
		select {
		case e.cancel <- struct{}{}:
		default:
		}
	})
}

// removeCuts removes all cuts and updates the connections' holds.
func (r *connectionRegistry) removeCuts() {
	r.runOnRegistry(func() {
		r.cuts = nil
		for _, e := range r.conns {
			e.exemptCuts = 0
			r.sendHold(e)
		}
	})
}

func (r *connectionRegistry) addCut(c Cut) {
	r.runOnRegistry(func() {
		r.cuts = append(r.cuts, c)
		for _, e := range r.conns {
			r.sendHold(e)
		}
	})
}

// silence permanently holds a connection's traffic in both directions.
func (r *connectionRegistry) silence(id uint32) bool {
	found := false
	r.runOnRegistry(func() {
		e := r.conns[id]
		if e == nil {
			return
		}
		found = true
		e.silenced = true
		r.sendHold(e)
	})
	return found
}

func (r *connectionRegistry) setKilled(killed bool) {
	r.runOnRegistry(func() {
		r.killed = killed
		if killed {
			r.closeConnections()
		}
	})
}

func (r *connectionRegistry) closeConnections() {
	for _, e := range r.conns {
		e.closeSocket()
	}
}

// drain closes all connections. The registry stops when all are unregistered.
func (r *connectionRegistry) drain() {
	r.runOnRegistry(func() {
		r.draining = true
		r.closeConnections()
	})
}

func (r *connectionRegistry) list() []ConnectionInfo {
	var infos []ConnectionInfo
	r.runOnRegistry(func() {
		for _, e := range r.conns {
			infos = append(infos, e.ConnectionInfo)
		}
	})
	return infos
}

// peerPrefix is the prefix of the application_name of other endpoints' connections.
const peerPrefix = "endpoint/"

// PeerName returns the application_name with which an endpoint connects to its peers.
func PeerName(id types.Endpoint) string { return peerPrefix + string(id) }
