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
	// ApplicationNames are the application_name values of the connections that the cut
	// affects; empty means all.
	ApplicationNames []string
	// ExceptApplicationNames are those of connections that the cut does not affect.
	ExceptApplicationNames []string
	// Direction is the direction in which traffic is held.
	Direction Direction
	// AllowNew exempts connections that start after the cut.
	AllowNew bool
	// RefuseNew closes new connections immediately, instead of leaving them without
	// a response.
	RefuseNew bool
}

func (c Cut) appliesTo(applicationName string) bool {
	for _, name := range c.ExceptApplicationNames {
		if name == applicationName {
			return false
		}
	}
	for _, name := range c.ApplicationNames {
		if name == applicationName {
			return true
		}
	}
	return len(c.ApplicationNames) == 0
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

// registeredConnection is the registry's record of one connection.
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
	var conn *registeredConnection
	r.runOnRegistry(func() {
		if r.killed || r.draining {
			return
		}
		r.nextID++
		conn = &registeredConnection{
			ConnectionInfo: ConnectionInfo{ID: r.nextID}, secret: secret, closeSocket: closeSocket,
			holdUpdates: make(chan trafficHold, 1), cancel: make(chan struct{}, 1),
		}
		r.conns[conn.ID] = conn
	})
	return conn
}

// admitStartup accepts or rejects a connection whose startup message has arrived.
func (r *connectionRegistry) admitStartup(conn *registeredConnection, applicationName string) error {
	var err error
	r.runOnRegistry(func() {
		conn.ApplicationName = applicationName
		if r.refusesNew(applicationName) {
			err = errConnectionRefused
			return
		}
		if r.holdsNew(applicationName) {
			err = errConnectionHeld
			return
		}
		if !r.reserveConnection(conn) {
			err = &Error{SQLState: sqlStateTooManyConnections, Message: "sorry, too many clients already"}
			return
		}
		conn.Ready = true
		conn.exemptCuts = len(r.cuts)
	})
	return err
}

// holdsNew reports whether a cut leaves a new connection without a response.
func (r *connectionRegistry) holdsNew(applicationName string) bool {
	for _, c := range r.cuts {
		if !c.AllowNew && c.appliesTo(applicationName) {
			return true
		}
	}
	return false
}

func (r *connectionRegistry) refusesNew(applicationName string) bool {
	for _, c := range r.cuts {
		if c.RefuseNew && c.appliesTo(applicationName) {
			return true
		}
	}
	return false
}

func (r *connectionRegistry) reserveConnection(conn *registeredConnection) bool {
	if strings.HasPrefix(conn.ApplicationName, peerPrefix) {
		return true
	}
	used := 0
	for _, other := range r.conns {
		if other.countsTowardsLimit {
			used++
		}
	}
	conn.countsTowardsLimit = used < r.maxConnections
	return conn.countsTowardsLimit
}

// sendHold sends a connection its current hold. An older one that has not been received
// is replaced.
func (r *connectionRegistry) sendHold(conn *registeredConnection) {
	hold := trafficHold{inbound: conn.silenced, outbound: conn.silenced}
	for _, c := range r.cuts[min(conn.exemptCuts, len(r.cuts)):] {
		if !conn.Ready || !c.appliesTo(conn.ApplicationName) {
			continue
		}
		hold.inbound = hold.inbound || c.Direction != Outbound
		hold.outbound = hold.outbound || c.Direction != Inbound
	}
	select {
	case <-conn.holdUpdates:
	default:
	}
	conn.holdUpdates <- hold
}

func (r *connectionRegistry) unregister(conn *registeredConnection) {
	r.runOnRegistry(func() { delete(r.conns, conn.ID) })
}

// cancelStatement forwards a CancelRequest to the connection with this ID and secret.
func (r *connectionRegistry) cancelStatement(id, secret uint32) {
	r.runOnRegistry(func() {
		conn := r.conns[id]
		if conn == nil || conn.secret != secret {
			return
		}
		select {
		case conn.cancel <- struct{}{}:
		default:
		}
	})
}

// removeCuts removes all cuts and updates the connections' holds.
func (r *connectionRegistry) removeCuts() {
	r.runOnRegistry(func() {
		r.cuts = nil
		for _, conn := range r.conns {
			conn.exemptCuts = 0
			r.sendHold(conn)
		}
	})
}

func (r *connectionRegistry) addCut(c Cut) {
	r.runOnRegistry(func() {
		r.cuts = append(r.cuts, c)
		for _, conn := range r.conns {
			r.sendHold(conn)
		}
	})
}

// silence permanently holds a connection's traffic in both directions.
func (r *connectionRegistry) silence(id uint32) bool {
	found := false
	r.runOnRegistry(func() {
		conn := r.conns[id]
		if conn == nil {
			return
		}
		found = true
		conn.silenced = true
		r.sendHold(conn)
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
	for _, conn := range r.conns {
		conn.closeSocket()
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
		for _, conn := range r.conns {
			infos = append(infos, conn.ConnectionInfo)
		}
	})
	return infos
}

// peerPrefix is the prefix of the application_name of other endpoints' connections.
const peerPrefix = "endpoint/"

// PeerName returns the application_name with which an endpoint connects to its peers.
func PeerName(id types.Endpoint) string { return peerPrefix + string(id) }
