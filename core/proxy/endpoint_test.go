package proxy_test

import (
	"sort"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// entry is one commit in a log.
type entry struct {
	term types.Term
	id   string
}

// endpointSim is one instance of a replicated database.
type endpointSim struct {
	w       *world
	id      types.Endpoint
	dc      types.DataCentre
	alive   bool
	primary bool
	term    types.Term
	held    types.Term
	paused  bool
	log     []entry
	running int
	waiting []func()
	lag     time.Duration
	// loseAnswers is the share, in percent, of answers that are lost.
	loseAnswers int
	draining    bool
	slow        int
	born        int64
	conns       map[*connSim]bool
	token       uint64
}

const testSlots = 3

func (w *world) addEndpoint(id types.Endpoint, dc types.DataCentre, primary bool) *endpointSim {
	e := &endpointSim{
		w: w, id: id, dc: dc, alive: true, primary: primary, term: 1, lag: 20 * time.Millisecond, born: int64(w.now), conns: map[*connSim]bool{},
	}
	w.endpoints[id] = e
	e.register()
	return e
}

func (e *endpointSim) register() {
	e.w.store.put(proxy.KindEndpoints, string(e.id), proxy.Change{Endpoint: &catalog.Endpoint{
		ID: e.id, Service: testService, Address: string(e.id), DataCentre: e.dc, Slots: testSlots,
		Draining: e.draining, ClaimsPrimary: e.primary, StartedUnixMs: e.born,
	}})
}

func (e *endpointSim) position() types.LogPoint {
	if len(e.log) == 0 {
		return types.LogPoint{}
	}
	return types.LogPoint{Term: e.log[len(e.log)-1].term, Position: types.Position(len(e.log))}
}

func (e *endpointSim) holds(p types.LogPoint) bool {
	n := int(p.Position)
	return n == 0 || (n <= len(e.log) && e.log[n-1].term == p.Term)
}

func (w *world) sortedEndpoints() []*endpointSim {
	out := make([]*endpointSim, 0, len(w.endpoints))
	for _, e := range w.endpoints {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

func (h *hostSim) sortedConns() []*connSim {
	out := make([]*connSim, 0, len(h.conns))
	for _, c := range h.conns {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// crash ends the process; its address refuses connections, or is silent.
func (e *endpointSim) crash() {
	e.alive = false
	e.running, e.waiting = 0, nil
	for _, h := range e.w.sortedHosts() {
		for _, c := range h.sortedConns() {
			if c.e == e {
				e.w.breakConn(c)
			}
		}
	}
}

// connSim is a connection between a host and an endpoint.
type connSim struct {
	w      *world
	host   *hostSim
	id     uint64
	e      *endpointSim
	open   bool
	values statement.SessionVariables
	shapes map[string]statement.Template
	inTx   bool
	read   bool
	failed bool
	writes []string
	// snapshotAt is the time of the transaction's first statement.
	caller string
}

func (w *world) dial(h *hostSim, d proxy.EndpointDial) {
	e := w.endpoints[d.Endpoint]
	if e == nil {
		return
	}
	if w.isCut(h.id, h.dc, string(d.Endpoint), e.dc) {
		if w.refusing {
			w.after(localDelay, func() { w.give(h, proxy.EndpointRefused{Conn: d.Conn, Gone: true}) })
		}
		return
	}
	incarnation := h.incarnation
	w.after(2*delayBetween(h.dc, e.dc), func() {
		switch {
		case h.incarnation != incarnation, w.isCut(h.id, h.dc, string(e.id), e.dc):
		case !e.alive:
			w.give(h, proxy.EndpointRefused{Conn: d.Conn, Gone: true})
		default:
			c := &connSim{w: w, host: h, id: uint64(d.Conn), e: e, open: true, shapes: map[string]statement.Template{}}
			h.conns[c.id] = c
			e.conns[c] = true
			w.give(h, proxy.EndpointConnected{Conn: d.Conn})
		}
	})
}

// close ends a connection from the host's side.
func (c *connSim) close() {
	c.open = false
	delete(c.e.conns, c)
}

// breakConn ends a connection from the endpoint's side.
func (w *world) breakConn(c *connSim) {
	if !c.open {
		return
	}
	c.close()
	delete(c.host.conns, c.id)
	if !w.isCut(c.host.id, c.host.dc, string(c.e.id), c.e.dc) {
		w.give(c.host, proxy.EndpointBroken{Conn: pool.ConnID(c.id)})
	}
}

func (w *world) command(h *hostSim, s proxy.EndpointSend) {
	c := h.conns[uint64(s.Conn)]
	if c == nil || w.isCut(h.id, h.dc, string(c.e.id), c.e.dc) {
		return
	}
	w.after(delayBetween(h.dc, c.e.dc), func() {
		if c.open && c.e.alive && !w.isCut(h.id, h.dc, string(c.e.id), c.e.dc) {
			c.e.take(c, s.Command)
		}
	})
}

// take runs a command, in a slot where it needs one.
func (e *endpointSim) take(c *connSim, cmd pool.Command) {
	if cmd.Reset || !cmd.Stmt.NeedsSlot() {
		c.answer(e.runPlain(c, cmd))
		return
	}
	start := func() {
		e.running++
		service := time.Duration(3+e.w.rng.Below(20)) * time.Millisecond * time.Duration(1+e.slow)
		e.w.after(service, func() {
			if !e.alive {
				return
			}
			reply := e.run(c, cmd)
			e.running--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			if e.w.rng.Below(100) >= e.loseAnswers {
				c.answer(reply)
			}
		})
	}
	if e.running < testSlots {
		start()
		return
	}
	e.waiting = append(e.waiting, start)
}

// answer sends a reply back.
func (c *connSim) answer(r statement.Reply) {
	w := c.w
	w.after(delayBetween(c.host.dc, c.e.dc), func() {
		if c.open && c.e.alive && !w.isCut(c.host.id, c.host.dc, string(c.e.id), c.e.dc) {
			w.give(c.host, proxy.EndpointReplied{Conn: pool.ConnID(c.id), Reply: r})
		}
	})
}

func (c *connSim) state() statement.TransactionState {
	switch {
	case c.failed:
		return statement.StateFailed
	case c.inTx:
		return statement.StateInTransaction
	}
	return statement.StateIdle
}

// runPlain runs a command that needs no slot.
func (e *endpointSim) runPlain(c *connSim, cmd pool.Command) statement.Reply {
	r := statement.Reply{Position: e.position()}
	switch {
	case cmd.Reset:
		c.values, c.shapes = nil, map[string]statement.Template{}
	case cmd.Stmt.Kind == statement.KindSet:
		c.values = c.values.With(cmd.Stmt.Name, cmd.Stmt.Value)
	case cmd.Stmt.Kind == statement.KindPrepare:
		c.shapes[cmd.Stmt.Name] = cmd.Stmt.Template
	case cmd.Stmt.Kind == statement.KindBegin && !e.primary:
		r.Code = statement.CodeReadOnly
	case cmd.Stmt.Kind == statement.KindBegin, cmd.Stmt.Kind == statement.KindBeginRead:
		if !e.holds(cmd.After) {
			r.Code = statement.CodeLagging
			break
		}
		if c.inTx {
			e.w.fault("transaction of %s begins inside another on endpoint %s", cmd.ID, e.id)
		}
		c.inTx, c.read, c.caller, c.writes = true, cmd.Stmt.Kind == statement.KindBeginRead, callerOf(cmd.ID), nil
	case cmd.Stmt.Kind == statement.KindRollback:
		c.endTx()
	}
	r.State = c.state()
	return r
}

func (c *connSim) endTx() { c.inTx, c.failed, c.caller, c.writes = false, false, "", nil }

// run runs a read, a write or a commit, and checks the promises.
func (e *endpointSim) run(c *connSim, cmd pool.Command) statement.Reply {
	e.w.callers.ran(c, cmd)
	r := statement.Reply{Signature: string(e.id) + "/" + cmd.ID}
	stmt := cmd.Stmt
	writes := stmt.Writes()
	switch {
	case stmt.Kind == statement.KindExecute && c.shapes[stmt.Name] != stmt.Template:
		r.Code = statement.CodeUnknownName
	case !e.holds(cmd.After):
		r.Code = statement.CodeLagging
	case (writes || (c.inTx && !c.read)) && !e.primary:
		r.Code = statement.CodeReadOnly
		c.failed = c.inTx
	case stmt.Kind == statement.KindCommit:
		e.commit(c.writes)
		c.endTx()
	case writes && c.inTx:
		c.writes = append(c.writes, cmd.ID)
	case writes:
		e.commit([]string{cmd.ID})
	}
	if r.Code != statement.CodeOK {
		r.Signature = ""
	}
	r.Position = e.position()
	r.State = c.state()
	return r
}

// commit appends to the log, from which the replicas follow.
func (e *endpointSim) commit(ids []string) {
	if len(ids) == 0 {
		return
	}
	e.log = append(e.log, entry{term: e.term, id: ids[0]})
	e.w.callers.committed(e, ids)
	log := append([]entry(nil), e.log...)
	term := e.term
	for _, other := range e.w.sortedEndpoints() {
		if other == e {
			continue
		}
		e.w.after(remoteDelay+other.lag, func() { other.receive(e, term, log) })
	}
}

// receive takes the primary's log.
func (e *endpointSim) receive(from *endpointSim, term types.Term, log []entry) {
	cut := e.w.cuts[[2]string{string(e.dc), string(from.dc)}]
	if !e.alive || e.paused || e.primary || cut || term < e.term || len(log) <= len(e.log) && term == e.term {
		return
	}
	e.term = term
	e.log = append([]entry(nil), log...)
}

func (w *world) order(h *hostSim, o proxy.EndpointOrder) {
	if second := w.now - w.now%types.Time(time.Second); second != h.ordersAt {
		h.ordersAt, h.orders = second, 0
	}
	if h.orders++; h.orders == maxOrders+1 {
		w.fault("host %s sends more than %d orders in a second", h.id, maxOrders)
	}
	c := h.conns[uint64(o.Conn)]
	if c == nil || w.isCut(h.id, h.dc, string(c.e.id), c.e.dc) {
		return
	}
	w.after(delayBetween(h.dc, c.e.dc), func() {
		if !c.open || !c.e.alive || w.isCut(h.id, h.dc, string(c.e.id), c.e.dc) {
			return
		}
		st := c.e.obey(o.Op, o.Term)
		w.after(delayBetween(h.dc, c.e.dc), func() {
			if c.open && !w.isCut(h.id, h.dc, string(c.e.id), c.e.dc) {
				w.give(h, proxy.EndpointStatus{Conn: o.Conn, Known: true, Status: st})
			}
		})
	})
}

// obey carries out an order and returns the status row.
func (e *endpointSim) obey(op lead.Op, term types.Term) statement.ReplicationStatus {
	switch op {
	case lead.Pause:
		if term > e.term && !e.primary {
			e.paused, e.held = true, max(e.held, term)
		}
	case lead.Resume:
		e.paused, e.held = false, 0
	case lead.StepDown:
		if e.primary && term > e.term {
			e.primary, e.held = false, term
			e.register()
		}
	}
	return statement.ReplicationStatus{Primary: e.primary, Term: e.term, Received: e.position(), FencedTerm: e.held}
}

// promote makes an endpoint lead the next term; the old primary follows once it
// reaches the new one.
func (w *world) promote(h *hostSim, p proxy.Promote) {
	incarnation := h.incarnation
	w.after(storeDelay, func() {
		e := w.endpoints[p.Endpoint]
		answer := proxy.PromoteAnswered{Service: p.Service, Accepted: e != nil && e.alive, NotRunning: e == nil || !e.alive}
		for _, other := range w.sortedEndpoints() {
			if other.token > p.Token {
				w.fault("promotion with token %d after %d", p.Token, other.token)
			}
		}
		if answer.Accepted {
			e.token = p.Token
			if !e.primary {
				w.after(w.promoteTime, func() { e.lead() })
			}
		}
		w.after(storeDelay, func() {
			if h.incarnation == incarnation {
				w.give(h, answer)
			}
		})
	})
}

func (e *endpointSim) lead() {
	if !e.alive || e.primary {
		return
	}
	for _, other := range e.w.sortedEndpoints() {
		e.term = max(e.term, other.term)
	}
	e.term++
	e.primary, e.paused = true, false
	e.w.callers.promoted(e)
	e.register()
	e.w.after(time.Second, func() { e.rejoin() })
}

// rejoin makes the endpoints that it reaches follow.
func (e *endpointSim) rejoin() {
	if !e.primary || !e.alive {
		return
	}
	again := false
	for _, other := range e.w.sortedEndpoints() {
		if other == e || !other.alive {
			continue
		}
		if e.w.cuts[[2]string{string(e.dc), string(other.dc)}] {
			again = true
			continue
		}
		if other.term < e.term {
			if other.primary {
				other.primary = false
				other.register()
			}
			other.term = e.term
			other.log = append([]entry(nil), e.log...)
		}
	}
	if again {
		e.w.after(200*time.Millisecond, func() { e.rejoin() })
	}
}
