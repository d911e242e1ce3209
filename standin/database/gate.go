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

func (c Cut) concerns(application string) bool {
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

// directive tells a connection what the faults in force ask of it.
type directive struct {
	holdIn, holdOut bool
}

// ConnectionInfo describes one connection of an instance.
type ConnectionInfo struct {
	ID              uint32
	ApplicationName string
	// Ready is set once the startup is complete.
	Ready bool
}

// gate owns the list of connections and the faults that concern them.
type gate struct {
	inbox  chan func()
	limit  int
	conns  map[uint32]*gateEntry
	nextID uint32
	cuts   []Cut
	killed bool
	drain  bool
	empty  chan struct{}
}

type gateEntry struct {
	ConnectionInfo
	secret uint32
	// counted is set if the connection counts towards the limit.
	counted  bool
	silenced bool
	// passes is the number of cuts that were in force when the connection
	// started and let it pass.
	passes     int
	directives chan directive
	cancel     chan struct{}
	kill       context.CancelFunc
}

func newGate(c Config) *gate {
	return &gate{
		inbox: make(chan func()), limit: c.MaxConnections,
		conns: map[uint32]*gateEntry{}, empty: make(chan struct{}),
	}
}

// run serves messages until the gate has been drained.
func (g *gate) run() {
	for !g.drain || len(g.conns) > 0 {
		message := <-g.inbox
		message()
	}
	close(g.empty)
}

// tell runs f on the gate's goroutine and waits for it.
func (g *gate) tell(f func()) {
	done := make(chan struct{})
	select {
	case g.inbox <- func() { f(); close(done) }:
		<-done
	case <-g.empty:
	}
}

// open registers a new socket; it returns nil if the instance takes none.
func (g *gate) open(kill context.CancelFunc, secret uint32) *gateEntry {
	var e *gateEntry
	g.tell(func() {
		if g.killed || g.drain {
			return
		}
		g.nextID++
		e = &gateEntry{
			ConnectionInfo: ConnectionInfo{ID: g.nextID}, secret: secret, kill: kill,
			directives: make(chan directive, 1), cancel: make(chan struct{}, 1),
		}
		g.conns[e.ID] = e
	})
	return e
}

// start decides on a connection whose startup message has arrived.
func (g *gate) start(e *gateEntry, application string) error {
	var err error
	g.tell(func() {
		e.ApplicationName = application
		if g.refusesNew(application) {
			err = errRefused
			return
		}
		if g.heldAtStart(application) {
			err = errHeld
			return
		}
		if !g.admit(e) {
			err = &Error{State: stateTooMany, Message: "sorry, too many clients already"}
			return
		}
		e.Ready = true
		e.passes = len(g.cuts)
	})
	return err
}

// heldAtStart reports whether a new connection gets no answer.
func (g *gate) heldAtStart(application string) bool {
	for _, c := range g.cuts {
		if !c.AllowNew && c.concerns(application) {
			return true
		}
	}
	return false
}

func (g *gate) refusesNew(application string) bool {
	for _, c := range g.cuts {
		if c.RefuseNew && c.concerns(application) {
			return true
		}
	}
	return false
}

func (g *gate) admit(e *gateEntry) bool {
	if strings.HasPrefix(e.ApplicationName, peerPrefix) {
		return true
	}
	used := 0
	for _, other := range g.conns {
		if other.counted {
			used++
		}
	}
	e.counted = used < g.limit
	return e.counted
}

// direct sends a connection the directive in force, in place of an older one.
func (g *gate) direct(e *gateEntry) {
	d := directive{holdIn: e.silenced, holdOut: e.silenced}
	for _, c := range g.cuts[min(e.passes, len(g.cuts)):] {
		if !e.Ready || !c.concerns(e.ApplicationName) {
			continue
		}
		d.holdIn = d.holdIn || c.Direction != Outbound
		d.holdOut = d.holdOut || c.Direction != Inbound
	}
	select {
	case <-e.directives:
	default:
	}
	e.directives <- d
}

func (g *gate) closed(e *gateEntry) {
	g.tell(func() { delete(g.conns, e.ID) })
}

// cancelStatement passes on a CancelRequest.
func (g *gate) cancelStatement(id, secret uint32) {
	g.tell(func() {
		e := g.conns[id]
		if e == nil || e.secret != secret {
			return
		}
		select {
		case e.cancel <- struct{}{}:
		default:
		}
	})
}

// heal removes all cuts.
func (g *gate) heal() {
	g.tell(func() {
		g.cuts = nil
		for _, e := range g.conns {
			e.passes = 0
			g.direct(e)
		}
	})
}

func (g *gate) addCut(c Cut) {
	g.tell(func() {
		g.cuts = append(g.cuts, c)
		for _, e := range g.conns {
			g.direct(e)
		}
	})
}

// silence makes a connection silent for good.
func (g *gate) silence(id uint32) bool {
	found := false
	g.tell(func() {
		e := g.conns[id]
		if e == nil {
			return
		}
		found = true
		e.silenced = true
		g.direct(e)
	})
	return found
}

func (g *gate) setKilled(killed bool) {
	g.tell(func() {
		g.killed = killed
		if killed {
			g.killAll()
		}
	})
}

func (g *gate) killAll() {
	for _, e := range g.conns {
		e.kill()
	}
}

// close ends all connections; the gate stops once they are gone.
func (g *gate) close() {
	g.tell(func() {
		g.drain = true
		g.killAll()
	})
}

func (g *gate) list() []ConnectionInfo {
	var infos []ConnectionInfo
	g.tell(func() {
		for _, e := range g.conns {
			infos = append(infos, e.ConnectionInfo)
		}
	})
	return infos
}

// peerPrefix starts the application_name of another endpoint's connection.
const peerPrefix = "endpoint/"

// PeerName returns the application_name under which an endpoint connects to others.
func PeerName(id types.Endpoint) string { return peerPrefix + string(id) }
