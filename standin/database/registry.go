package database

import (
	"context"
	"strings"

	"baobabfield.example/core/types"
)

// Direction says which way a cut drops traffic, seen from the endpoint.
type Direction uint8

// The directions of a cut.
const (
	BothWays Direction = iota
	Inbound
	Outbound
)

// Cut describes traffic that does not pass. Held bytes arrive once the cut is
// healed, as the retransmission of TCP does it.
type Cut struct {
	// Peers are the values of application_name that the cut concerns; empty for all.
	Peers []string
	// Except are values of application_name that pass all the same.
	Except []string
	// Direction says which way nothing passes.
	Direction Direction
	// AllowNew lets connections pass that are made after the cut.
	AllowNew bool
	// RefuseNew closes new connections at once in place of silence.
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

// trafficHold tells a connection what the faults in force ask of it.
type trafficHold struct {
	inbound, outbound bool
}

// ConnectionInfo describes one connection of an instance.
type ConnectionInfo struct {
	ID              uint32
	ApplicationName string
	// Ready is set once the startup is complete.
	Ready bool
}

// connectionRegistry owns the list of connections and the faults that concern them.
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
	// countsTowardsLimit is set if the connection counts towards the limit.
	countsTowardsLimit bool
	silenced           bool
	// exemptCuts is the number of cuts that were in force when the connection
	// started and let it pass.
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

// run serves messages until the gate has been drained.
func (r *connectionRegistry) run() {
	for !r.draining || len(r.conns) > 0 {
		message := <-r.inbox
		message()
	}
	close(r.drained)
}

// runOnRegistry runs f on the gate's goroutine and waits for it.
func (r *connectionRegistry) runOnRegistry(f func()) {
	done := make(chan struct{})
	select {
	case r.inbox <- func() { f(); close(done) }:
		<-done
	case <-r.drained:
	}
}

// register registers a new socket; it returns nil if the instance takes none.
func (r *connectionRegistry) register(kill context.CancelFunc, secret uint32) *registeredConnection {
	var e *registeredConnection
	r.runOnRegistry(func() {
		if r.killed || r.draining {
			return
		}
		r.nextID++
		e = &registeredConnection{
			ConnectionInfo: ConnectionInfo{ID: r.nextID}, secret: secret, closeSocket: kill,
			holdUpdates: make(chan trafficHold, 1), cancel: make(chan struct{}, 1),
		}
		r.conns[e.ID] = e
	})
	return e
}

// admitStartup decides on a connection whose startup message has arrived.
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

// holdsNew reports whether a new connection gets no answer.
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

// sendHold sends a connection the directive in force, in place of an older one.
func (r *connectionRegistry) sendHold(e *registeredConnection) {
	d := trafficHold{inbound: e.silenced, outbound: e.silenced}
	for _, c := range r.cuts[min(e.exemptCuts, len(r.cuts)):] {
		if !e.Ready || !c.appliesTo(e.ApplicationName) {
			continue
		}
		d.inbound = d.inbound || c.Direction != Outbound
		d.outbound = d.outbound || c.Direction != Inbound
	}
	select {
	case <-e.holdUpdates:
	default:
	}
	e.holdUpdates <- d
}

func (r *connectionRegistry) unregister(e *registeredConnection) {
	r.runOnRegistry(func() { delete(r.conns, e.ID) })
}

// cancelStatement passes on a CancelRequest.
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

// removeCuts removes all cuts.
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

// silence makes a connection silent for good.
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

// drain ends all connections; the gate stops once they are gone.
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

// peerPrefix starts the application_name of another endpoint's connection.
const peerPrefix = "endpoint/"

// PeerName returns the application_name under which an endpoint connects to others.
func PeerName(id types.Endpoint) string { return peerPrefix + string(id) }
