package pool

import (
	"slices"
	"strconv"

	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// dispatch refuses the requests whose deadline has passed, starts queued requests while slots and
// connections are free, and opens connections for those that lack one.
func (p *Pool) dispatch(now types.Time) {
	for _, qr := range p.queue.removeExpired(now) {
		p.refuse(qr, now, types.ReasonLate)
	}
	missing := p.startRequests(now)
	p.reviewAt = 0
	switch {
	case p.cfg.ByWorkspace:
		p.openMissing(now, missing)
	case len(missing) > 0:
		p.dial(now, missing[0].req.Workspace)
	}
}

// startRequests starts queued requests while slots and connections are free. It returns the first
// request of each workspace that lacks a connection while a slot is free. With connections by
// workspace, a request that lacks one gets it opened in its turn, as far as the share of slot time
// for opening allows.
func (p *Pool) startRequests(now types.Time) []*queuedRequest {
	var missing []*queuedRequest
	for started := true; started; {
		started = false
		missing = nil
		if p.freeSlots(now) <= 0 || p.queue.size() == 0 {
			break
		}
		p.queue.visitCandidates(now, func(qr *queuedRequest) bool {
			c := p.findConnection(&qr.req)
			if c != nil && p.openInTurn(now, missing) {
				// The opening may have taken the connection or the last slot.
				c = p.findConnection(&qr.req)
			}
			if c == nil {
				if p.needsConnection(&qr.req) && !containsWorkspace(missing, qr.req.Workspace) {
					missing = append(missing, qr)
				}
				return false
			}
			if p.freeSlots(now) <= 0 {
				return false
			}
			p.queue.start(now, qr)
			p.startRequest(now, c, qr)
			started = true
			return true
		})
	}
	return missing
}

// containsWorkspace reports whether the list has a request of a workspace.
func containsWorkspace(list []*queuedRequest, w types.Workspace) bool {
	return slices.ContainsFunc(list, func(qr *queuedRequest) bool { return qr.req.Workspace == w })
}

// freeSlots returns the number of slots that are free. With connections by workspace, those that
// are being opened occupy slots.
func (p *Pool) freeSlots(now types.Time) int {
	free := p.cfg.Slots - p.slotsInUse
	if !p.cfg.ByWorkspace || p.dialsInFlight == 0 {
		return free
	}
	for _, c := range p.connList {
		if c.state == stateDialing && now.Sub(c.stateSince) < openingSlotTime {
			free--
		}
	}
	return free
}

// openInTurn opens connections for requests that come before one that could start at once. It
// reports whether it has opened any.
func (p *Pool) openInTurn(now types.Time, missing []*queuedRequest) bool {
	return p.cfg.ByWorkspace && p.openFor(now, missing, true)
}

// openMissing opens connections for requests that lack one while no other request can start.
// Requests that still wait are considered again after the time of an opening, since a statement
// may run for longer than expected.
func (p *Pool) openMissing(now types.Time, missing []*queuedRequest) {
	p.openFor(now, missing, false)
	if len(missing) > 0 || (p.dialsInFlight > 0 && p.queue.size() > 0) {
		p.reviewAt = now.Add(max(p.policy.openingTime(), minReviewInterval))
	}
}

// openFor opens connections for requests that lack one, as far as slots are free and the policy
// allows it. inTurn is set if other requests wait that could start at once. It reports whether it
// has opened any.
func (p *Pool) openFor(now types.Time, missing []*queuedRequest, inTurn bool) bool {
	opened := false
	var holdings []holding
	var index map[types.Workspace]int
	for _, qr := range missing {
		if p.freeSlots(now) <= 0 || !p.mayDial(now) {
			break
		}
		if holdings == nil {
			holdings, index = p.holdings(now)
		}
		i, ok := index[qr.req.Workspace]
		if ok && holdings[i].needsAnother() && p.openAs(now, holdings, i, isOverdue(now, qr), inTurn) {
			opened, holdings = true, nil
		}
	}
	return opened
}

// openAs opens a connection for the workspace of one of the holdings. At the limit it closes an
// idle one of another workspace. It returns false if the policy does not allow it.
func (p *Pool) openAs(now types.Time, holdings []holding, claimant int, overdue, inTurn bool) bool {
	var victim *conn
	switch excess := len(p.connList) - p.connectionLimit(now); {
	case excess > 0:
		return false
	case excess == 0:
		v := p.policy.selectVictim(now, holdings, claimant, overdue)
		if v < 0 {
			return false
		}
		victim = p.longestIdle(holdings[v].workspace)
	}
	if inTurn && !p.policy.spendCredit(now, p.cfg.Slots) {
		return false
	}
	if victim != nil {
		p.closeUnused(now, victim, CauseEvicted)
	}
	p.open(now, holdings[claimant].workspace)
	return true
}

// holdings returns what the workspaces hold at the endpoint and wait for, in the order of their
// oldest connections, and the index of each workspace.
func (p *Pool) holdings(now types.Time) (out []holding, index map[types.Workspace]int) {
	out = make([]holding, 0, len(p.queue.countByWorkspace)+len(p.connList))
	index = make(map[types.Workspace]int, cap(out))
	of := func(w types.Workspace) *holding {
		i, ok := index[w]
		if !ok {
			i = len(out)
			index[w] = i
			out = append(out, holding{workspace: w})
		}
		return &out[i]
	}
	for _, c := range p.connList {
		h := of(c.workspace)
		h.total++
		switch {
		case c.state == stateDialing:
			h.opening++
		case c.state == stateIdle:
			h.idle++
		case c.state == stateRunning && c.endsTx():
			h.freeSoon += p.policy.startsBeforeOpening(p.queue.serviceTime(clampRank(c.currentRequest.req.Rank)), now.Sub(c.sentAt))
		}
	}
	for _, qr := range p.queue.byDeadline {
		if !qr.req.continuesTx() {
			of(qr.req.Workspace).waiting++
		}
	}
	return out, index
}

// endsTx reports whether the connection is free for other requests after its current statement.
func (c *conn) endsTx() bool {
	kind := c.currentRequest.req.Query.Stmt.Kind
	return c.tx == 0 || kind == statement.KindCommit || kind == statement.KindRollback
}

// longestIdle returns the connection of a workspace that has been idle for longest.
func (p *Pool) longestIdle(w types.Workspace) *conn {
	var oldest *conn
	for _, c := range p.connList {
		if c.state == stateIdle && c.workspace == w && (oldest == nil || c.stateSince < oldest.stateSince) {
			oldest = c
		}
	}
	return oldest
}

// closeUnusedConns closes connections that have been idle for long, and idle ones above the limit,
// those with the least reuse first.
func (p *Pool) closeUnusedConns(now types.Time) {
	if !p.cfg.ByWorkspace {
		return
	}
	p.policy.forget(now)
	for _, c := range append([]*conn(nil), p.connList...) {
		if c.state == stateIdle && now.Sub(c.stateSince) >= idleConnTimeout {
			p.closeUnused(now, c, CauseUnused)
		}
	}
	for len(p.connList) > p.cfg.MaxConnections {
		holdings, _ := p.holdings(now)
		v, _ := p.policy.leastReused(now, holdings, -1, false)
		if v < 0 {
			return
		}
		p.closeUnused(now, p.longestIdle(holdings[v].workspace), CauseEvicted)
	}
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
	if !p.mayDial(now) {
		return
	}
	excess := len(p.connList) - p.cfg.MaxConnections
	if excess > 0 || (excess == 0 && !p.evictIdle(now, w)) {
		return
	}
	p.open(now, w)
}

// mayDial reports whether one more connection may be opened at this time.
func (p *Pool) mayDial(now types.Time) bool {
	limit := maxConcurrentDials
	if p.cfg.ByWorkspace {
		// Connections that are being opened must leave slots for work.
		limit = max(1, min(limit, p.cfg.Slots/2))
	}
	return p.dialsInFlight < limit && !now.Before(p.retryDialAt)
}

// open opens a connection for a workspace.
func (p *Pool) open(now types.Time, w types.Workspace) {
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
	p.closeUnused(now, oldest, CauseEvicted)
	return true
}

// closeUnused closes an idle connection.
func (p *Pool) closeUnused(now types.Time, c *conn, cause CloseCause) {
	p.emit(Close{Conn: c.id, Cause: cause})
	p.dropConn(now, c, types.ReasonNone)
}

// connectionLimit returns the number of connections that this host may have. After a refused dial
// it is what the endpoint has accepted.
func (p *Pool) connectionLimit(now types.Time) int {
	if now.Before(p.acceptedUntil) {
		return min(p.cfg.MaxConnections, max(p.accepted, 1))
	}
	return p.cfg.MaxConnections
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
	p.accepted = max(p.accepted, len(p.connList)-p.dialsInFlight)
	p.policy.recordOpening(now.Sub(c.stateSince))
	if !now.Before(p.acceptedUntil) {
		p.refusedDials = 0
	}
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

// HandleDialRefused handles a connection that the endpoint has refused because of its connection
// limit. The endpoint serves its other connections, so this is no failed dial. Further connections
// only replace open ones for a while, since the host that owned the endpoint before may still hold
// the rest.
func (p *Pool) HandleDialRefused(now types.Time, id ConnID) {
	c := p.connByID[id]
	if c == nil {
		return
	}
	p.removeConn(c)
	p.lastResponseAt = now
	p.accepted = len(p.connList) - p.dialsInFlight
	p.acceptedUntil = now.Add(min(refusedDialDelay<<min(p.refusedDials, maxRefusedDoublings), maxRefusedDialDelay))
	p.refusedDials++
	p.retryDialAt = now.Add(refusedDialDelay)
	p.dispatch(now)
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
	if p.cfg.ByWorkspace && !qr.req.continuesTx() {
		p.policy.recordUse(now, c.workspace, p.connectionsInUse(c.workspace))
	}
	c.overdueAt = now.Add(overdueBaseTime + overdueServiceTimes*p.queue.serviceTime(clampRank(qr.req.Rank)))
	p.slotsInUse++
	p.sendNextCommand(now, c)
}

// connectionsInUse returns the number of a workspace's connections that run a statement or hold a
// transaction.
func (p *Pool) connectionsInUse(w types.Workspace) int {
	n := 0
	for _, c := range p.connList {
		if c.workspace == w && (c.state == stateRunning || c.state == statePinned) {
			n++
		}
	}
	return n
}

// buildCommands returns the commands that a request needs on a connection.
func (p *Pool) buildCommands(c *conn, req *Request) []Command {
	var out []Command
	set, reset := c.variables.ChangesTo(req.Variables)
	if c.exceedsPreparedBytes(req) {
		set, reset = req.Variables, true
	}
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

// exceedsPreparedBytes reports whether the connection must be reset before a request because of
// the templates that it has prepared. A RESET is not possible inside a transaction.
func (c *conn) exceedsPreparedBytes(req *Request) bool {
	stmt := &req.Query.Stmt
	if stmt.Kind != statement.KindExecute || req.continuesTx() || c.prepared[stmt.Template] != "" {
		return false
	}
	return len(c.prepared) > 0 && c.preparedBytes+len(stmt.Template.Text)+preparedOverhead > maxPreparedBytes
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
	if p.IsTrusted(c.openedAt) {
		if p.primarySince != 0 && !c.sentAt.Before(p.primarySince) {
			p.RecordPosition(c.sentAt, reply.Position)
		}
		if reply.Code == statement.CodeOK && c.inFlight.needsPrimary() {
			p.primaryRepliedAt = max(p.primaryRepliedAt, c.sentAt)
		}
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

// needsPrimary reports whether only a primary runs the command.
func (cmd *Command) needsPrimary() bool {
	return !cmd.Reset && (cmd.Stmt.Kind == statement.KindBegin || cmd.Stmt.Writes())
}

// recordCommandEffect records how a successful command changed its connection.
func (p *Pool) recordCommandEffect(c *conn) {
	cmd := &c.inFlight
	switch {
	case cmd.Reset:
		c.variables = nil
		clear(c.prepared)
		c.preparedBytes = 0
	case cmd.Stmt.Kind == statement.KindSet:
		c.variables = c.variables.With(cmd.Stmt.Name, cmd.Stmt.Value)
	case cmd.Stmt.Kind == statement.KindPrepare:
		c.prepared[cmd.Stmt.Template] = cmd.Stmt.Name
		c.preparedBytes += len(cmd.Stmt.Template.Text) + preparedOverhead
	}
}

// finishRequest ends the current request with the reply to its last command.
func (p *Pool) finishRequest(now types.Time, c *conn, reply statement.Reply) {
	qr := c.currentRequest
	stoppedEarly := len(c.pendingCommands) > 0
	serviceTime := now.Sub(c.sentAt)
	sentAt, abandoned := c.sentAt, c.isAbandoned
	p.releaseSlot(now, c)
	c.currentRequest, c.pendingCommands = nil, nil
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

// releaseSlot releases the slot of a connection, if it holds one, and charges its workspace.
func (p *Pool) releaseSlot(now types.Time, c *conn) {
	if c.holdsSlot {
		c.holdsSlot = false
		p.slotsInUse--
		p.queue.finish(now, c.currentRequest)
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

// hasSentStatement reports whether the statement of the current request has been sent. It is the
// last command: it has not been sent while commands are pending.
func (c *conn) hasSentStatement() bool { return len(c.pendingCommands) == 0 }

// dropConn removes a connection. Its request ends without a reply.
func (p *Pool) dropConn(now types.Time, c *conn, reason types.Reason) {
	if qr := c.currentRequest; qr != nil && !c.isAbandoned {
		p.emit(Result{ID: qr.req.ID, MayHaveRun: c.hasSentStatement() || qr.mayHaveRun, Reason: reason, QueueTime: c.sentAt.Sub(qr.queuedAt), ServiceTime: now.Sub(c.sentAt)})
	}
	p.releaseSlot(now, c)
	c.currentRequest = nil
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
