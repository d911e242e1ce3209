package pool

import (
	"slices"
	"strconv"

	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// dispatch refuses the requests whose deadline has passed, and starts queued requests while slots
// and connections are free.
func (p *Pool) dispatch(now types.Time) {
	for _, qr := range p.queue.removeExpired(now) {
		p.refuse(qr, now, types.ReasonLate)
	}
	for p.slotsInUse < p.cfg.Slots && p.queue.size() > 0 {
		started := false
		var missing *Request
		p.queue.visitCandidates(now, func(qr *queuedRequest) bool {
			c := p.findConnection(&qr.req)
			if c == nil {
				if missing == nil && p.needsConnection(&qr.req) {
					missing = &qr.req
				}
				return false
			}
			p.queue.start(now, qr)
			p.startRequest(now, c, qr)
			started = true
			return true
		})
		if missing != nil && (!started || !p.isDialing(missing.Workspace)) {
			p.dial(now, missing.Workspace)
		}
		if !started {
			return
		}
	}
}

// isDialing reports whether a connection for a workspace is being opened. One at a time is opened
// while others keep the slots busy.
func (p *Pool) isDialing(w types.Workspace) bool {
	return p.dialsInFlight > 0 && slices.ContainsFunc(p.connList, func(c *conn) bool {
		return c.state == stateDialing && c.workspace == w
	})
}

// findConnection returns the connection on which a request can start, or nil. This is
// the connection of its transaction, or else the idle one that needs the fewest setup
// commands.
func (p *Pool) findConnection(req *Request) *conn {
	if req.continuesTx() {
		c := p.connByTx[req.Tx]
		if c == nil || c.state != statePinned {
			return nil
		}
		return c
	}
	var best *conn
	bestSetup := 0
	for _, c := range p.connList {
		if c.state != stateIdle || c.workspace != req.Workspace || (req.RequireTrusted && !p.IsTrusted(c.openedAt)) {
			continue
		}
		setup := p.setupCommandCount(c, req)
		if best == nil || setup < bestSetup {
			best, bestSetup = c, setup
		}
	}
	return best
}

// needsConnection reports whether a request without a connection needs a new one. A
// request that continues a transaction does not. A request that requires trust does not
// if an idle connection is about to become trusted.
func (p *Pool) needsConnection(req *Request) bool {
	if req.continuesTx() {
		return false
	}
	return !req.RequireTrusted || !slices.ContainsFunc(p.connList, func(c *conn) bool {
		return c.state == stateIdle && c.workspace == req.Workspace && !p.IsTrusted(c.openedAt)
	})
}

// setupCommandCount returns the number of commands that must run on a connection before
// the request's own.
func (p *Pool) setupCommandCount(c *conn, req *Request) int {
	set, reset := c.variables.ChangesTo(req.Variables)
	count := len(set)
	if reset {
		count += 1 + len(c.prepared)
	}
	if req.Query.Stmt.Kind == statement.KindExecute && c.prepared[req.Query.Stmt.Template] == "" {
		count++
	}
	return count
}

// dial opens a connection for a workspace if the limits allow it. At the limit of connections it
// closes the connection of another workspace that has been idle for longest.
func (p *Pool) dial(now types.Time, w types.Workspace) {
	if p.dialsInFlight >= maxConcurrentDials || now.Before(p.retryDialAt) {
		return
	}
	if len(p.connList) >= p.cfg.MaxConnections && !p.evictIdle(now, w) {
		return
	}
	c := &conn{id: p.nextID(), state: stateDialing, stateSince: now, workspace: w, prepared: map[statement.Template]string{}}
	p.connByID[c.id] = c
	p.connList = append(p.connList, c)
	p.dialsInFlight++
	p.emit(Dial{Conn: c.id, Workspace: w})
}

// evictIdle closes the connection that has been idle for longest among those of other
// workspaces. It returns false if there is none.
func (p *Pool) evictIdle(now types.Time, w types.Workspace) bool {
	var oldest *conn
	for _, c := range p.connList {
		if c.state == stateIdle && c.workspace != w && (oldest == nil || c.stateSince < oldest.stateSince) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	p.closeConn(now, oldest, types.ReasonNone)
	return true
}

// HandleConnected handles a connection that is open and ready.
func (p *Pool) HandleConnected(now types.Time, id ConnID) {
	c := p.connByID[id]
	if c == nil {
		p.emit(Close{Conn: id})
		return
	}
	p.lastResponseAt = now
	p.dialFailures = 0
	p.retryDialAt = 0
	p.dialsInFlight--
	c.state, c.stateSince, c.openedAt = stateIdle, now, now
	p.dispatch(now)
}

// HandleDialFailure handles a connection that could not be opened.
func (p *Pool) HandleDialFailure(now types.Time, id ConnID) {
	c := p.connByID[id]
	if c == nil {
		return
	}
	p.dialFailures++
	p.retryDialAt = now.Add(dialRetryDelay)
	p.removeConn(c)
}

// startRequest starts a request on a connection.
func (p *Pool) startRequest(now types.Time, c *conn, qr *queuedRequest) {
	c.state, c.currentRequest, c.isAbandoned = stateRunning, qr, false
	c.pendingCommands = p.buildCommands(c, &qr.req)
	if qr.req.Tx != 0 && c.tx == 0 {
		c.tx = qr.req.Tx
		p.connByTx[c.tx] = c
	}
	c.holdsSlot = true
	c.overdueAt = now.Add(overdueBaseTime + overdueServiceTimes*p.queue.serviceTime(clampRank(qr.req.Rank)))
	p.slotsInUse++
	p.sendNextCommand(now, c)
}

// buildCommands returns the commands that a request needs on a connection.
func (p *Pool) buildCommands(c *conn, req *Request) []Command {
	var out []Command
	set, reset := c.variables.ChangesTo(req.Variables)
	if reset {
		out = append(out, Command{ID: internalQueryID, Reset: true})
	}
	for _, v := range set {
		out = append(out, Command{ID: internalQueryID, Stmt: statement.Statement{
			Kind: statement.KindSet, Name: v.Name, Value: v.Value,
		}})
	}
	stmt := req.Query.Stmt
	if stmt.Kind == statement.KindExecute {
		stmt.Name = c.prepared[stmt.Template]
		if reset || stmt.Name == "" {
			stmt.Name = c.newPreparedName()
			out = append(out, Command{ID: internalQueryID, Stmt: statement.Statement{
				Kind: statement.KindPrepare, Name: stmt.Name, Template: stmt.Template,
			}})
		}
	}
	minPosition := req.MinPosition
	if req.Begin != nil {
		begin := Command{ID: req.Begin.ID, Stmt: req.Begin.Stmt}
		if begin.Stmt.Kind == statement.KindBeginReadOnly {
			begin.MinPosition = minPosition
		}
		out = append(out, begin)
		minPosition = types.LogPoint{}
	}
	if stmt.Writes() || req.Tx != 0 {
		minPosition = types.LogPoint{}
	}
	return append(out, Command{ID: req.Query.ID, Stmt: stmt, MinPosition: minPosition})
}

// newPreparedName returns a name that no template had on the connection. Sessions share the
// connection, and the names that they choose collide.
func (c *conn) newPreparedName() string {
	c.preparedCount++
	return "bf." + strconv.Itoa(c.preparedCount)
}

// sendNextCommand sends the next pending command.
func (p *Pool) sendNextCommand(now types.Time, c *conn) {
	c.inFlight = c.pendingCommands[0]
	c.pendingCommands = c.pendingCommands[1:]
	c.sentAt = now
	p.emit(Send{Conn: c.id, Command: c.inFlight})
}

// HandleReply handles the reply to the command in flight on a connection.
func (p *Pool) HandleReply(now types.Time, id ConnID, reply statement.Reply) {
	c := p.connByID[id]
	if c == nil || c.state != stateRunning {
		return
	}
	p.lastResponseAt = now
	p.updatePosition(c.sentAt, reply.Position)
	if p.IsTrusted(c.openedAt) {
		// The instance has not restarted since the command was sent. Connections that
		// were open at that time therefore lead to the same instance.
		p.trustedUntil = max(p.trustedUntil, c.sentAt)
	}
	if reply.Code == statement.CodeOK {
		p.recordCommandEffect(c)
	}
	if len(c.pendingCommands) > 0 && reply.Code == statement.CodeOK {
		p.sendNextCommand(now, c)
		return
	}
	p.finishRequest(now, c, reply)
	p.dispatch(now)
}

// recordCommandEffect records how a successful command changed its connection.
func (p *Pool) recordCommandEffect(c *conn) {
	cmd := &c.inFlight
	switch {
	case cmd.Reset:
		c.variables = nil
		clear(c.prepared)
	case cmd.Stmt.Kind == statement.KindSet:
		c.variables = c.variables.With(cmd.Stmt.Name, cmd.Stmt.Value)
	case cmd.Stmt.Kind == statement.KindPrepare:
		c.prepared[cmd.Stmt.Template] = cmd.Stmt.Name
	}
}

// finishRequest ends the current request with the reply to its last command.
func (p *Pool) finishRequest(now types.Time, c *conn, reply statement.Reply) {
	qr := c.currentRequest
	stoppedEarly := len(c.pendingCommands) > 0
	serviceTime := now.Sub(c.sentAt)
	sentAt, abandoned := c.sentAt, c.isAbandoned
	c.currentRequest, c.pendingCommands = nil, nil
	p.releaseSlot(c)
	if !abandoned {
		p.queue.finish(now, qr)
	}
	if !stoppedEarly && reply.Code == statement.CodeOK && qr.req.Query.Stmt.NeedsSlot() {
		p.queue.recordServiceTime(qr.req.Rank, serviceTime)
	}
	p.updateConnState(now, c, &qr.req, reply, stoppedEarly)
	if abandoned {
		return
	}
	p.emit(Result{
		ID: qr.req.ID, MayHaveRun: !stoppedEarly && !reply.Code.NotRun(), Reply: reply,
		TxOpen: qr.req.Tx != 0 && p.connByTx[qr.req.Tx] != nil, QueueTime: sentAt.Sub(qr.queuedAt), ServiceTime: serviceTime,
	})
}

// updateConnState sets the state of a connection after a reply, or closes the
// connection.
func (p *Pool) updateConnState(now types.Time, c *conn, req *Request, reply statement.Reply, stoppedEarly bool) {
	notPrimary := reply.Code == statement.CodeReadOnly
	stateUnknown := stoppedEarly && c.inFlight.ID == internalQueryID
	switch {
	case stateUnknown, c.isAbandoned && reply.State != statement.StateIdle,
		reply.Code == statement.CodeUnknownName, reply.Code == statement.CodeWrongEndpoint:
		p.closeConn(now, c, types.ReasonBroken)
	case reply.State == statement.StateIdle:
		p.releaseTx(c)
		c.state, c.stateSince = stateIdle, now
	case c.tx != 0 && req.Begin != nil && reply.Code.NotRun(), notPrimary:
		// The transaction may start again elsewhere, and closing the connection rolls it
		// back here.
		p.closeConn(now, c, types.ReasonBroken)
	case c.tx != 0:
		c.state, c.stateSince = statePinned, now
	default:
		// The endpoint reports a transaction that this pool did not open, so the state
		// of the connection is unknown.
		p.closeConn(now, c, types.ReasonBroken)
	}
}

func (p *Pool) releaseTx(c *conn) {
	if c.tx != 0 {
		delete(p.connByTx, c.tx)
	}
	c.tx = 0
}

func (p *Pool) releaseSlot(c *conn) {
	if c.holdsSlot {
		c.holdsSlot = false
		p.slotsInUse--
	}
}

// HandleDisconnect handles a connection that has ended.
func (p *Pool) HandleDisconnect(now types.Time, id ConnID) {
	c := p.connByID[id]
	if c == nil {
		return
	}
	if c.state == stateDialing {
		p.HandleDialFailure(now, id)
		return
	}
	p.dropConn(now, c, types.ReasonBroken)
	p.dispatch(now)
}

// closeConn closes a connection and ends the request that runs on it.
func (p *Pool) closeConn(now types.Time, c *conn, reason types.Reason) {
	p.emit(Close{Conn: c.id})
	p.dropConn(now, c, reason)
}

// dropConn removes a connection. Its request ends without a reply.
func (p *Pool) dropConn(now types.Time, c *conn, reason types.Reason) {
	if qr := c.currentRequest; qr != nil && !c.isAbandoned {
		// The statement is the last command: it has not been sent while commands are
		// pending.
		mayHaveRun := len(c.pendingCommands) == 0
		p.emit(Result{ID: qr.req.ID, MayHaveRun: mayHaveRun, Reason: reason, QueueTime: c.sentAt.Sub(qr.queuedAt), ServiceTime: now.Sub(c.sentAt)})
	}
	c.currentRequest = nil
	p.releaseSlot(c)
	p.releaseTx(c)
	p.removeConn(c)
}

func (p *Pool) removeConn(c *conn) {
	if c.state == stateDialing {
		p.dialsInFlight--
	}
	delete(p.connByID, c.id)
	if i := slices.Index(p.connList, c); i >= 0 {
		p.connList = slices.Delete(p.connList, i, i+1)
	}
}

// updatePosition stores a position if it is the newest. sentAt is the send time of the
// command whose reply reported it.
func (p *Pool) updatePosition(sentAt types.Time, point types.LogPoint) {
	if point == (types.LogPoint{}) || sentAt.Before(p.positionAt) {
		return
	}
	if point.Less(p.position) && sentAt == p.positionAt {
		return
	}
	p.position, p.positionAt = point, sentAt
}
