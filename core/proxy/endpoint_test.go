package proxy_test

import (
	"slices"
	"sort"
	"strings"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// logEntry is one commit in a log.
type logEntry struct {
	term types.Term
	id   string
}

// endpointSim is one instance of a replicated database.
type endpointSim struct {
	sim        *simulation
	id         types.Endpoint
	service    types.Service
	dc         types.DataCentre
	alive      bool
	primary    bool
	term       types.Term
	fencedTerm types.Term
	paused     bool
	// pausedAt is when the endpoint was last paused, and shortestPause the shortest time after
	// which a pause was ended by a command; 0 for none.
	pausedAt      types.Time
	shortestPause time.Duration
	log           []logEntry
	running       int
	waiting       []func()
	lag           time.Duration
	// applyLag is the time after which the endpoint, as a replica, applies what it has received.
	// Its replies state what it has applied, of which appliedLen is the length. receipts holds
	// the lengths of what it has received and not yet applied.
	applyLag   time.Duration
	appliedLen int
	receipts   []receipt
	// deaf makes the endpoint, as a replica, receive nothing. silentCommands makes it answer no
	// control command.
	deaf, silentCommands bool
	// confirmedLen is the length of the primary's log that one replica has received, in the term of
	// the log. unconfirmed holds the replies that wait for it, with the lengths that they need.
	confirmedLen int
	unconfirmed  []unconfirmedReply
	// replyLossPercent is the percentage of replies that are lost.
	replyLossPercent int
	// statusDelay is the time that a control command waits for a slot.
	statusDelay time.Duration
	// rowBytes is the size of the row that a read returns; 0 for no row.
	rowBytes int
	leaving  bool
	// leavingAt is when the store learned that the endpoint leaves.
	leavingAt types.Time
	slowdown  int
	startedAt int64
	conns     map[*connSim]bool
	// connectionLimit is the number of connections above which dials are refused; 0 for none.
	// refusedDials counts these, mostConns is the largest number of connections.
	connectionLimit, refusedDials, mostConns int
	token                                    uint64
	// tokenHolder is the host that has requested the promotion with token, and tokenProcess its
	// incarnation.
	tokenHolder  types.Host
	tokenProcess int
}

const testSlots = 3

// unconfirmedReply is the reply to a commit that no replica has received yet.
type unconfirmedReply struct {
	length int
	send   func()
}

// confirm sends the replies to the commits that a replica has received.
func (e *endpointSim) confirm(length int) {
	e.confirmedLen = max(e.confirmedLen, length)
	waiting := e.unconfirmed
	e.unconfirmed = nil
	for _, r := range waiting {
		if r.length > e.confirmedLen {
			e.unconfirmed = append(e.unconfirmed, r)
			continue
		}
		r.send()
	}
}

// expire removes the record of the endpoint from the store, as after its silence.
func (e *endpointSim) expire() { e.sim.store.remove(proxy.KindEndpoints, string(e.id)) }

func (sim *simulation) addEndpoint(id types.Endpoint, dc types.DataCentre, primary bool) *endpointSim {
	return sim.addEndpointOf(testService, id, dc, primary)
}

func (sim *simulation) addEndpointOf(service types.Service, id types.Endpoint, dc types.DataCentre, primary bool) *endpointSim {
	e := &endpointSim{
		sim: sim, id: id, service: service, dc: dc, alive: true, primary: primary, term: 1, lag: 20 * time.Millisecond, startedAt: int64(sim.now), conns: map[*connSim]bool{},
	}
	sim.endpoints[id] = e
	e.register()
	return e
}

func (e *endpointSim) register() {
	if e.leaving && e.leavingAt == 0 {
		e.leavingAt = e.sim.now
	}
	e.sim.store.put(proxy.KindEndpoints, string(e.id), proxy.Change{Endpoint: &catalog.Endpoint{
		ID: e.id, Service: e.service, Address: string(e.id), DataCentre: e.dc, Slots: testSlots,
		Leaving: e.leaving, ClaimsPrimary: e.primary, StartedUnixMs: e.startedAt,
	}})
}

// endOf returns the position of the last entry of a log.
func endOf(log []logEntry) types.LogPoint {
	if len(log) == 0 {
		return types.LogPoint{}
	}
	return types.LogPoint{Term: log[len(log)-1].term, Position: types.Position(len(log))}
}

// receipt is the length of a replica's log at a time.
type receipt struct {
	at     types.Time
	length int
}

// setApplyLag changes the lag of a replica. What it has applied stays so.
func (e *endpointSim) setApplyLag(lag time.Duration) {
	e.appliedLen = len(e.applied())
	e.applyLag = lag
}

// applied returns the part of the log that reads see.
func (e *endpointSim) applied() []logEntry {
	if e.primary || e.applyLag == 0 {
		return e.log
	}
	for len(e.receipts) > 0 && e.sim.now.Sub(e.receipts[0].at) >= e.applyLag {
		e.appliedLen = max(e.appliedLen, e.receipts[0].length)
		e.receipts = e.receipts[1:]
	}
	return e.log[:min(e.appliedLen, len(e.log))]
}

func (e *endpointSim) holds(p types.LogPoint) bool {
	n := int(p.Position)
	log := e.applied()
	return n == 0 || (n <= len(log) && log[n-1].term == p.Term)
}

func (sim *simulation) sortedEndpoints() []*endpointSim {
	out := make([]*endpointSim, 0, len(sim.endpoints))
	for _, e := range sim.endpoints {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// others returns the other endpoints of an endpoint's service.
func (e *endpointSim) others() []*endpointSim {
	return slices.DeleteFunc(e.sim.sortedEndpoints(), func(other *endpointSim) bool { return other == e || other.service != e.service })
}

func (h *hostSim) sortedConns() []*connSim {
	out := make([]*connSim, 0, len(h.conns))
	for _, c := range h.conns {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// crash ends the process. Afterwards its address refuses connections.
func (e *endpointSim) crash() {
	e.alive = false
	e.running, e.waiting, e.unconfirmed, e.confirmedLen = 0, nil, nil, 0
	for _, h := range e.sim.sortedHosts() {
		for _, c := range h.sortedConns() {
			if c.endpoint == e {
				e.sim.breakConn(c)
			}
		}
	}
}

// connSim is a connection between a host and an endpoint.
type connSim struct {
	sim       *simulation
	host      *hostSim
	id        uint64
	endpoint  *endpointSim
	workspace types.Workspace
	open      bool
	variables statement.SessionVariables
	templates map[string]statement.Template
	inTx      bool
	readOnly  bool
	failed    bool
	writes    []string
	// caller is the session whose transaction is open; empty for none.
	caller string
}

func (sim *simulation) dial(h *hostSim, d proxy.EndpointDial) {
	e := sim.endpoints[d.Endpoint]
	if e == nil {
		return
	}
	if sim.isCut(h.id, h.dc, string(d.Endpoint), e.dc) {
		if sim.cutsRefuse {
			sim.schedule(localDelay, func() { sim.deliver(h, proxy.EndpointDialFailed{Conn: d.Conn, Absent: true}) })
		}
		return
	}
	incarnation := h.incarnation
	sim.schedule(2*delayBetween(h.dc, e.dc), func() {
		switch {
		case h.incarnation != incarnation, sim.isCut(h.id, h.dc, string(e.id), e.dc):
		case !e.alive:
			sim.deliver(h, proxy.EndpointDialFailed{Conn: d.Conn, Absent: true})
		case e.connectionLimit > 0 && len(e.conns) >= e.connectionLimit:
			e.refusedDials++
			sim.deliver(h, proxy.EndpointDialFailed{Conn: d.Conn, AtLimit: true})
		default:
			c := &connSim{sim: sim, host: h, id: uint64(d.Conn), endpoint: e, workspace: d.Workspace, open: true, templates: map[string]statement.Template{}}
			h.conns[c.id] = c
			e.conns[c] = true
			e.mostConns = max(e.mostConns, len(e.conns))
			sim.deliver(h, proxy.EndpointConnected{Conn: d.Conn})
		}
	})
}

// close ends a connection from the host's side.
func (c *connSim) close() {
	c.open = false
	delete(c.endpoint.conns, c)
}

// breakConn ends a connection from the endpoint's side.
func (sim *simulation) breakConn(c *connSim) {
	if !c.open {
		return
	}
	c.close()
	delete(c.host.conns, c.id)
	if !sim.isCut(c.host.id, c.host.dc, string(c.endpoint.id), c.endpoint.dc) {
		sim.deliver(c.host, proxy.EndpointDisconnected{Conn: pool.ConnID(c.id)})
	}
}

// breakConnsTo ends all connections of a host to an endpoint from the endpoint's side.
func (sim *simulation) breakConnsTo(h types.Host, e types.Endpoint) {
	for _, c := range sim.hosts[h].sortedConns() {
		if c.endpoint == sim.endpoints[e] {
			sim.breakConn(c)
		}
	}
}

func (sim *simulation) sendCommand(h *hostSim, s proxy.EndpointSend) {
	c := h.conns[uint64(s.Conn)]
	if c == nil || sim.isCut(h.id, h.dc, string(c.endpoint.id), c.endpoint.dc) {
		return
	}
	sim.schedule(delayBetween(h.dc, c.endpoint.dc), func() {
		if c.open && c.endpoint.alive && !sim.isCut(h.id, h.dc, string(c.endpoint.id), c.endpoint.dc) {
			c.endpoint.accept(c, s.Command)
		}
	})
}

// accept runs a command, in a slot if it needs one.
func (e *endpointSim) accept(c *connSim, cmd pool.Command) {
	if cmd.Reset || !cmd.Stmt.NeedsSlot() {
		c.sendReply(e.runPlain(c, cmd))
		return
	}
	start := func() {
		e.running++
		serviceTime := time.Duration(3+e.sim.rng.IntN(20)) * time.Millisecond * time.Duration(1+e.slowdown)
		e.sim.schedule(serviceTime, func() {
			if !e.alive {
				return
			}
			before := len(e.log)
			reply := e.run(c, cmd)
			e.running--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			if e.sim.rng.IntN(100) < e.replyLossPercent {
				return
			}
			if len(e.log) > before && e.sim.syncReplicas > 0 {
				e.unconfirmed = append(e.unconfirmed, unconfirmedReply{length: len(e.log), send: func() { c.sendReply(reply) }})
				e.confirm(0)
				return
			}
			c.sendReply(reply)
		})
	}
	if e.running < testSlots {
		start()
		return
	}
	e.waiting = append(e.waiting, start)
}

// sendReply sends a reply to the host.
func (c *connSim) sendReply(r statement.Reply) {
	sim := c.sim
	sim.schedule(delayBetween(c.host.dc, c.endpoint.dc), func() {
		if c.open && c.endpoint.alive && !sim.isCut(c.host.id, c.host.dc, string(c.endpoint.id), c.endpoint.dc) {
			sim.deliver(c.host, proxy.EndpointReplied{Conn: pool.ConnID(c.id), Reply: r})
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
	r := statement.Reply{Position: endOf(e.applied())}
	switch {
	case cmd.Reset:
		c.variables, c.templates = nil, map[string]statement.Template{}
	case cmd.Stmt.Kind == statement.KindSet:
		c.variables = c.variables.With(cmd.Stmt.Name, cmd.Stmt.Value)
	case cmd.Stmt.Kind == statement.KindPrepare:
		c.templates[cmd.Stmt.Name] = cmd.Stmt.Template
	case cmd.Stmt.Kind == statement.KindBegin && !e.primary:
		r.Code = statement.CodeReadOnly
	case cmd.Stmt.Kind == statement.KindBegin, cmd.Stmt.Kind == statement.KindBeginReadOnly:
		if !e.holds(cmd.MinPosition) {
			r.Code = statement.CodeLagging
			break
		}
		if c.inTx {
			e.sim.recordViolation("transaction of %s begins inside another on endpoint %s", cmd.ID, e.id)
		}
		c.inTx, c.readOnly, c.caller, c.writes = true, cmd.Stmt.Kind == statement.KindBeginReadOnly, callerOf(cmd.ID), nil
	case cmd.Stmt.Kind == statement.KindRollback:
		c.endTx()
	}
	r.State = c.state()
	return r
}

func (c *connSim) endTx() { c.inTx, c.failed, c.caller, c.writes = false, false, "", nil }

// run runs a read, a write or a commit and checks the guarantees.
func (e *endpointSim) run(c *connSim, cmd pool.Command) statement.Reply {
	e.sim.callers.checkStatement(c, cmd)
	r := statement.Reply{Signature: string(e.id) + "/" + cmd.ID}
	stmt := cmd.Stmt
	writes := stmt.Writes()
	switch {
	case stmt.Kind == statement.KindExecute && c.templates[stmt.Name] != stmt.Template:
		r.Code = statement.CodeUnknownName
	case !e.holds(cmd.MinPosition):
		r.Code = statement.CodeLagging
	case (writes || (c.inTx && !c.readOnly)) && !e.primary:
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
	} else if stmt.Kind == statement.KindRead && e.rowBytes > 0 {
		r.Rows = []string{strings.Repeat("x", e.rowBytes)}
	}
	r.Position = endOf(e.applied())
	r.State = c.state()
	return r
}

// commit appends to the log and sends it to the replicas.
func (e *endpointSim) commit(ids []string) {
	if len(ids) == 0 {
		return
	}
	e.log = append(e.log, logEntry{term: e.term, id: ids[0]})
	e.sim.callers.recordCommits(e, ids)
	log := append([]logEntry(nil), e.log...)
	term := e.term
	for _, other := range e.others() {
		e.sim.schedule(remoteDelay+other.lag, func() {
			other.receive(e, term, log)
			if other.alive && e.primary && e.term == term && !other.isCutFrom(e) && len(other.log) >= len(log) && other.log[len(log)-1] == log[len(log)-1] {
				e.confirm(len(log))
			}
		})
	}
}

// isCutFrom reports whether the link to another endpoint is broken.
func (e *endpointSim) isCutFrom(other *endpointSim) bool {
	return e.sim.isCut(types.Host(e.id), e.dc, string(other.id), other.dc)
}

// receive replaces the replica's log by a newer one of the primary.
func (e *endpointSim) receive(from *endpointSim, term types.Term, log []logEntry) {
	isCut := e.isCutFrom(from)
	if !e.alive || e.paused || e.primary || e.deaf || isCut || term < e.term || len(log) <= len(e.log) && term == e.term {
		return
	}
	e.term = term
	e.log = append([]logEntry(nil), log...)
	if e.applyLag > 0 {
		e.receipts = append(e.receipts, receipt{at: e.sim.now, length: len(log)})
	}
}

func (sim *simulation) sendControlCommand(h *hostSim, cmd proxy.EndpointControlCommand) {
	if second := sim.now - sim.now%types.Time(time.Second); second != h.commandsSecond {
		h.commandsSecond, h.commands = second, 0
	}
	if h.commands++; h.commands == maxControlCommandsPerSecond+1 {
		sim.recordViolation("host %s sends more than %d control commands in a second", h.id, maxControlCommandsPerSecond)
	}
	c := h.conns[uint64(cmd.Conn)]
	if c == nil || sim.isCut(h.id, h.dc, string(c.endpoint.id), c.endpoint.dc) {
		return
	}
	sim.schedule(delayBetween(h.dc, c.endpoint.dc)+c.endpoint.statusDelay, func() {
		if !c.open || !c.endpoint.alive || c.endpoint.silentCommands || sim.isCut(h.id, h.dc, string(c.endpoint.id), c.endpoint.dc) {
			return
		}
		st := c.endpoint.execute(cmd.Op, cmd.Term)
		sim.schedule(delayBetween(h.dc, c.endpoint.dc), func() {
			if c.open && !sim.isCut(h.id, h.dc, string(c.endpoint.id), c.endpoint.dc) {
				sim.deliver(h, proxy.EndpointStatus{Conn: cmd.Conn, Accepted: true, Status: st})
			}
		})
	})
}

// execute carries out a control command and returns the status.
func (e *endpointSim) execute(op lead.Op, term types.Term) statement.ReplicationStatus {
	switch op {
	case lead.OpPause:
		if term > e.term && !e.primary {
			e.paused, e.fencedTerm, e.pausedAt = true, max(e.fencedTerm, term), e.sim.now
		}
	case lead.OpResume:
		if pause := e.sim.now.Sub(e.pausedAt); e.paused && (e.shortestPause == 0 || pause < e.shortestPause) {
			e.shortestPause = pause
		}
		e.paused, e.fencedTerm = false, 0
	case lead.OpStepDown:
		if e.primary && term > e.term {
			e.primary, e.fencedTerm, e.appliedLen, e.receipts = false, term, len(e.log), nil
			e.unconfirmed, e.confirmedLen = nil, 0
			e.register()
		}
	}
	return statement.ReplicationStatus{Primary: e.primary, Term: e.term, Received: endOf(e.log), FencedTerm: e.fencedTerm, Connections: len(e.conns)}
}

// promote makes an endpoint the primary of the next term. The old primary becomes a replica
// once the new one reaches it.
func (sim *simulation) promote(h *hostSim, p proxy.Promote) {
	incarnation := h.incarnation
	late := sim.promoteCallDelay
	sim.schedule(storeDelay+late, func() {
		e := sim.endpoints[p.Endpoint]
		result := proxy.PromoteResult{Service: p.Service, Endpoint: p.Endpoint, FencingToken: p.FencingToken, Request: p.Request, Outcome: lead.PromotionNotRunning}
		sim.promotions = append(sim.promotions, promotionSim{at: sim.now, holder: h.id, endpoint: p.Endpoint})
		for _, other := range sim.sortedEndpoints() {
			if other.service != p.Service {
				continue
			}
			if other.token > p.FencingToken {
				sim.recordViolation("promotion with token %d after token %d", p.FencingToken, other.token)
			}
			if other.token == p.FencingToken && (other.tokenHolder != h.id || other.tokenProcess != incarnation) {
				sim.recordViolation("promotions with token %d by process %d of %s and process %d of %s", p.FencingToken, other.tokenProcess, other.tokenHolder, incarnation, h.id)
			}
		}
		if e != nil && e.alive {
			result.Outcome = lead.PromotionAccepted
			e.token, e.tokenHolder, e.tokenProcess = p.FencingToken, h.id, incarnation
			if !e.primary {
				sim.schedule(sim.promoteTime, func() { e.becomePrimary() })
			}
		}
		sim.schedule(storeDelay, func() {
			if h.incarnation == incarnation && late == 0 {
				sim.deliver(h, result)
			}
		})
	})
}

// promotionSim is a request for a promotion that has reached the platform.
type promotionSim struct {
	at       types.Time
	holder   types.Host
	endpoint types.Endpoint
}

func (e *endpointSim) becomePrimary() {
	if !e.alive || e.primary {
		return
	}
	for _, other := range e.others() {
		e.term = max(e.term, other.term)
	}
	e.term++
	e.primary, e.paused = true, false
	e.confirmedLen, e.unconfirmed = len(e.log), nil
	e.sim.callers.checkAcknowledgedWrites(e)
	e.sim.callers.markLostWrites(e)
	e.register()
	e.sim.schedule(time.Second, func() { e.attachReplicas() })
}

// attachReplicas makes the reachable endpoints replicas of this primary.
func (e *endpointSim) attachReplicas() {
	if !e.primary || !e.alive {
		return
	}
	retry := false
	for _, other := range e.others() {
		if !other.alive {
			continue
		}
		if e.isCutFrom(other) || other.deaf {
			retry = true
			continue
		}
		if other.term < e.term {
			if other.primary {
				other.primary, other.unconfirmed, other.confirmedLen = false, nil, 0
				other.register()
			}
			other.term = e.term
			other.log = append([]logEntry(nil), e.log...)
			other.appliedLen, other.receipts = len(other.log), nil
		}
	}
	if retry {
		e.sim.schedule(200*time.Millisecond, func() { e.attachReplicas() })
	}
}
