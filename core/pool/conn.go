package pool

import (
	"slices"

	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// dispatch starts requests while there are free slots and connections.
func (p *Pool) dispatch(now types.Time) {
	for p.inUse < p.cfg.Slots && p.queue.size > 0 {
		started := false
		wantConn := false
		p.queue.candidates(now, func(rank, i int, w *waiting) bool {
			c := p.connFor(&w.req)
			if c == nil {
				wantConn = wantConn || p.needsConnection(&w.req)
				return false
			}
			p.queue.take(rank, i)
			p.start(now, c, w)
			started = true
			return true
		})
		if !started {
			if wantConn {
				p.dial(now)
			}
			return
		}
	}
}

// connFor returns the connection on which a request can start: the one of its
// transaction, or an idle one, if possible with the session's values.
func (p *Pool) connFor(req *Request) *conn {
	if req.continues() {
		c := p.byTx[req.Tx]
		if c == nil || c.state != pinned {
			return nil
		}
		return c
	}
	var best *conn
	bestCost := 0
	for _, c := range p.order {
		if c.state != idle || (req.Trusted && !p.Trusts(c.openedAt)) {
			continue
		}
		cost := p.changeCost(c, req)
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// needsConnection reports whether a request that found no connection waits for a new
// one: not for that of its transaction, nor for one that is about to be trusted.
func (p *Pool) needsConnection(req *Request) bool {
	if req.continues() {
		return false
	}
	return !req.Trusted || !slices.ContainsFunc(p.order, func(c *conn) bool {
		return c.state == idle && !p.Trusts(c.openedAt)
	})
}

// changeCost counts the commands that a connection needs before the request.
func (p *Pool) changeCost(c *conn, req *Request) int {
	set, reset := c.values.ChangesTo(req.Values)
	cost := len(set)
	if reset {
		cost += 1 + len(c.prepared)
	}
	if req.Query.Stmt.Kind == statement.KindExecute && !c.prepared[req.Query.Stmt.Template.PreparedName()] {
		cost++
	}
	return cost
}

// dial opens a connection if there is room for one.
func (p *Pool) dial(now types.Time) {
	if p.dialing >= maxDialing || len(p.order) >= p.cfg.MaxConnections || now.Before(p.retryDial) {
		return
	}
	c := &conn{id: p.nextID(), state: dialing, since: now, prepared: map[string]bool{}}
	p.conns[c.id] = c
	p.order = append(p.order, c)
	p.dialing++
	p.emit(Dial{Conn: c.id})
}

// Connected tells that a connection is open and ready.
func (p *Pool) Connected(now types.Time, id ConnID) {
	c := p.conns[id]
	if c == nil {
		p.emit(Close{Conn: id})
		return
	}
	p.heardAt = now
	p.failures = 0
	p.retryDial = 0
	p.dialing--
	c.state, c.since, c.openedAt = idle, now, now
	p.dispatch(now)
}

// DialFailed tells that a connection could not be opened.
func (p *Pool) DialFailed(now types.Time, id ConnID) {
	c := p.conns[id]
	if c == nil {
		return
	}
	p.failures++
	p.retryDial = now.Add(dialPause)
	p.forget(c)
}

// start begins a request on a connection.
func (p *Pool) start(now types.Time, c *conn, w *waiting) {
	c.state, c.current, c.abandoned = running, w, false
	c.plan = p.plan(c, &w.req)
	if w.req.Tx != 0 && c.tx == 0 {
		c.tx = w.req.Tx
		p.byTx[c.tx] = c
	}
	c.holdsSlot = true
	c.overdueAt = now.Add(overdueBase + overdueFactor*p.queue.serviceTime(clampRank(w.req.Rank)))
	p.inUse++
	p.sendNext(now, c)
}

// plan lists the commands that a request needs on a connection.
func (p *Pool) plan(c *conn, req *Request) []Command {
	var out []Command
	set, reset := c.values.ChangesTo(req.Values)
	if reset {
		out = append(out, Command{ID: ownID, Reset: true})
	}
	for _, v := range set {
		out = append(out, Command{ID: ownID, Stmt: statement.Statement{
			Kind: statement.KindSet, Name: v.Name, Value: v.Value,
		}})
	}
	stmt := req.Query.Stmt
	if stmt.Kind == statement.KindExecute {
		stmt.Name = stmt.Template.PreparedName()
		if reset || !c.prepared[stmt.Name] {
			out = append(out, Command{ID: ownID, Stmt: statement.Statement{
				Kind: statement.KindPrepare, Name: stmt.Name, Template: stmt.Template,
			}})
		}
	}
	after := req.After
	if req.Begin != nil {
		begin := Command{ID: req.Begin.ID, Stmt: req.Begin.Stmt}
		if begin.Stmt.Kind == statement.KindBeginRead {
			begin.After = after
		}
		out = append(out, begin)
		after = types.LogPoint{}
	}
	if stmt.Writes() || req.Tx != 0 {
		after = types.LogPoint{}
	}
	return append(out, Command{ID: req.Query.ID, Stmt: stmt, After: after})
}

// sendNext sends the next command of the plan.
func (p *Pool) sendNext(now types.Time, c *conn) {
	c.outstanding = c.plan[0]
	c.plan = c.plan[1:]
	c.sentAt = now
	p.emit(Send{Conn: c.id, Command: c.outstanding})
}

// Replied takes the answer to a connection's outstanding command.
func (p *Pool) Replied(now types.Time, id ConnID, reply statement.Reply) {
	c := p.conns[id]
	if c == nil || c.state != running {
		return
	}
	p.heardAt = now
	p.notePosition(c.sentAt, reply.Position)
	if p.Trusts(c.openedAt) {
		// The instance has not restarted since the command was sent, so that those
		// connections which were open by then lead to it, too.
		p.trusted = max(p.trusted, c.sentAt)
	}
	if reply.Code == statement.CodeOK {
		p.noteDone(c)
	}
	if len(c.plan) > 0 && reply.Code == statement.CodeOK {
		p.sendNext(now, c)
		return
	}
	p.finish(now, c, reply)
	p.dispatch(now)
}

// noteDone records what an acknowledged command changed on its connection.
func (p *Pool) noteDone(c *conn) {
	cmd := &c.outstanding
	switch {
	case cmd.Reset:
		c.values = nil
		clear(c.prepared)
	case cmd.Stmt.Kind == statement.KindSet:
		c.values = c.values.With(cmd.Stmt.Name, cmd.Stmt.Value)
	case cmd.Stmt.Kind == statement.KindPrepare:
		c.prepared[cmd.Stmt.Name] = true
	}
}

// finish ends the current request with the answer to its last command.
func (p *Pool) finish(now types.Time, c *conn, reply statement.Reply) {
	w := c.current
	refusedEarly := len(c.plan) > 0
	served := now.Sub(c.sentAt)
	sentAt, abandoned := c.sentAt, c.abandoned
	c.current, c.plan = nil, nil
	p.releaseSlot(c)
	if !refusedEarly && reply.Code == statement.CodeOK && w.req.Query.Stmt.NeedsSlot() {
		p.queue.observe(w.req.Rank, served)
	}
	p.settle(now, c, &w.req, reply, refusedEarly)
	if abandoned {
		return
	}
	p.emit(Result{
		ID: w.req.ID, Ran: !refusedEarly && !reply.Code.NotRun(), Reply: reply,
		TxOpen: w.req.Tx != 0 && p.byTx[w.req.Tx] != nil, Waited: sentAt.Sub(w.queuedAt), Served: served,
	})
}

// settle decides what becomes of a connection after an answer.
func (p *Pool) settle(now types.Time, c *conn, req *Request, reply statement.Reply, refusedEarly bool) {
	notPrimary := reply.Code == statement.CodeReadOnly
	unclear := refusedEarly && c.outstanding.ID == ownID
	switch {
	case unclear, c.abandoned && reply.State != statement.StateIdle,
		reply.Code == statement.CodeUnknownName, reply.Code == statement.CodeWrongEndpoint:
		p.closeConn(now, c, types.ReasonBroken)
	case reply.State == statement.StateIdle:
		p.unpin(c)
		c.state, c.since = idle, now
	case c.tx != 0 && req.Begin != nil && reply.Code.NotRun(), notPrimary:
		// The transaction may start again elsewhere; closing rolls back here.
		p.closeConn(now, c, types.ReasonBroken)
	case c.tx != 0:
		c.state, c.since = pinned, now
	default:
		// A transaction that nobody opened: the connection cannot be trusted.
		p.closeConn(now, c, types.ReasonBroken)
	}
}

func (p *Pool) unpin(c *conn) {
	if c.tx != 0 {
		delete(p.byTx, c.tx)
	}
	c.tx = 0
}

func (p *Pool) releaseSlot(c *conn) {
	if c.holdsSlot {
		c.holdsSlot = false
		p.inUse--
	}
}

// Broken tells that a connection has ended.
func (p *Pool) Broken(now types.Time, id ConnID) {
	c := p.conns[id]
	if c == nil {
		return
	}
	if c.state == dialing {
		p.DialFailed(now, id)
		return
	}
	p.endConn(now, c, types.ReasonBroken)
	p.dispatch(now)
}

// closeConn closes a connection and ends what runs on it.
func (p *Pool) closeConn(now types.Time, c *conn, reason types.Reason) {
	p.emit(Close{Conn: c.id})
	p.endConn(now, c, reason)
}

// endConn forgets a connection; its request ends without an answer.
func (p *Pool) endConn(now types.Time, c *conn, reason types.Reason) {
	if w := c.current; w != nil && !c.abandoned {
		// The statement has not been sent while commands before it are left.
		ran := len(c.plan) == 0
		p.emit(Result{ID: w.req.ID, Ran: ran, Reason: reason, Waited: c.sentAt.Sub(w.queuedAt), Served: now.Sub(c.sentAt)})
	}
	c.current = nil
	p.releaseSlot(c)
	p.unpin(c)
	p.forget(c)
}

func (p *Pool) forget(c *conn) {
	if c.state == dialing {
		p.dialing--
	}
	delete(p.conns, c.id)
	if i := slices.Index(p.order, c); i >= 0 {
		p.order = slices.Delete(p.order, i, i+1)
	}
}

// notePosition keeps the newest position; sentAt is when its statement was sent.
func (p *Pool) notePosition(sentAt types.Time, at types.LogPoint) {
	if at == (types.LogPoint{}) || sentAt.Before(p.positionAt) {
		return
	}
	if at.Less(p.position) && sentAt == p.positionAt {
		return
	}
	p.position, p.positionAt = at, sentAt
}
