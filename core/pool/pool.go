package pool

import (
	"slices"
	"time"

	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

const (
	// maxConcurrentDials bounds the connections that are opened at the same time,
	// because each of them occupies a slot of the endpoint for a while.
	maxConcurrentDials = 2
	// dialRetryDelay is the time between a failed dial and the next one.
	dialRetryDelay = 200 * time.Millisecond
	// refusedDialDelay is the time between a dial that the endpoint has refused because of its
	// connection limit and the next one. The time until one more connection than before is tried
	// doubles with each refusal up to maxRefusedDialDelay.
	refusedDialDelay    = 100 * time.Millisecond
	maxRefusedDialDelay = 2 * time.Second
	maxRefusedDoublings = 5
	// dialTimeout is the time after which a dial counts as failed.
	dialTimeout = 500 * time.Millisecond
	// maxPreparedBytes bounds the memory of the templates that a connection has prepared, here and
	// at the endpoint; a single larger one is possible. preparedOverhead is that of each beside its
	// text.
	maxPreparedBytes = 64 << 10
	preparedOverhead = 128
	// maxUnreachableWait is the time for which a request stays queued while no
	// connection can be opened.
	maxUnreachableWait = 250 * time.Millisecond
	// overdueBaseTime plus overdueServiceTimes mean service times is the time after which
	// a reply is overdue. Service times have a long tail, and an endpoint can be several
	// times slower than usual for a while.
	overdueBaseTime     = 100 * time.Millisecond
	overdueServiceTimes = 5
)

// Config describes the endpoint.
type Config struct {
	// Slots is the number of statements that the endpoint runs concurrently.
	Slots int
	// MaxConnections is the number of connections that this host may open.
	MaxConnections int
	// ByWorkspace is set if workspaces share the endpoint. The connections then follow the policy
	// of connections.go; otherwise one is opened for each request that finds none.
	ByWorkspace bool
}

// connState is the state of a connection.
type connState uint8

const (
	stateDialing connState = iota
	stateIdle
	stateRunning
	// statePinned connections wait for the next statement of their transaction.
	statePinned
)

// conn is one connection to the endpoint.
type conn struct {
	id         ConnID
	state      connState
	stateSince types.Time
	openedAt   types.Time
	// workspace is the one whose statements run on the connection.
	workspace types.Workspace
	variables statement.SessionVariables
	// prepared holds the name under which each template is prepared on the connection.
	prepared map[statement.Template]string
	// preparedCount is the number of names that the connection has used.
	preparedCount int
	// preparedBytes is the memory of prepared.
	preparedBytes int
	// tx is the open transaction; zero for none.
	tx TxID
	// pendingCommands are the commands that remain to be sent for the current request.
	// The last one is the statement itself. inFlight is the command that was sent last.
	pendingCommands []Command
	inFlight        Command
	currentRequest  *queuedRequest
	sentAt          types.Time
	// holdsSlot is set while the connection's statement counts towards the slots in use.
	holdsSlot bool
	// overdueAt is the time after which the reply is probably lost.
	overdueAt types.Time
	// isAbandoned is set if the result is no longer reported, because the request is
	// queued again.
	isAbandoned bool
}

// closeAt returns the time at which the connection of a running statement is closed.
func (c *conn) closeAt() types.Time {
	return max(c.currentRequest.req.Deadline, c.overdueAt)
}

// Pool is the queue and the connections of one endpoint. One task owns it.
type Pool struct {
	cfg           Config
	nextID        func() ConnID
	queue         queue
	connByID      map[ConnID]*conn
	connList      []*conn
	connByTx      map[TxID]*conn
	slotsInUse    int
	dialsInFlight int
	// retryDialAt is the time of the next dial after a failure; zero if dials are
	// allowed.
	retryDialAt  types.Time
	dialFailures int
	// refusedDials is the number of dials that the endpoint has refused since its connection limit
	// was reached. Until acceptedUntil, accepted is the number of connections that it accepts.
	refusedDials  int
	accepted      int
	acceptedUntil types.Time
	// lastResponseAt is the time of the endpoint's last response of any kind.
	lastResponseAt types.Time
	// position is the end of the primary's log in its newest reply. positionAt is the time at
	// which the command of that reply was sent, and primarySince the time from which commands
	// are sent to the primary of the present term; zero if the endpoint is not known as one.
	position     types.LogPoint
	positionAt   types.Time
	primarySince types.Time
	// primaryRepliedAt is when the newest command was sent that succeeded on a trusted connection
	// and that only a primary runs.
	primaryRepliedAt types.Time
	// trustedUntil is the latest opening time of trusted connections. These certainly
	// lead to the instance that the owner has identified.
	trustedUntil types.Time
	policy       connectionPolicy
	// reviewAt is when requests that lack a connection are considered again; zero for never.
	reviewAt types.Time
	draining bool
	effects  []Effect
}

// New returns a pool without connections. nextID returns the IDs of new connections.
func New(cfg Config, nextID func() ConnID) *Pool {
	return &Pool{cfg: cfg, nextID: nextID, connByID: map[ConnID]*conn{}, connByTx: map[TxID]*conn{}}
}

// Configure replaces the limits. Connections above the new limit stay open.
func (p *Pool) Configure(cfg Config) { p.cfg = cfg }

// TakeEffects returns the effects since the last call.
func (p *Pool) TakeEffects() []Effect {
	out := p.effects
	p.effects = nil
	return out
}

func (p *Pool) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Pool) refuse(qr *queuedRequest, now types.Time, reason types.Reason) {
	p.emit(Result{ID: qr.req.ID, MayHaveRun: qr.mayHaveRun, Reason: reason, QueueTime: now.Sub(qr.queuedAt)})
}

// Submit queues a request, or refuses it if it cannot be served in time.
func (p *Pool) Submit(now types.Time, req Request) {
	qr := &queuedRequest{req: req, queuedAt: now}
	continuesTx := req.continuesTx()
	switch {
	case continuesTx && p.connByTx[req.Tx] == nil:
		p.refuse(qr, now, types.ReasonBroken)
		return
	case continuesTx:
	case p.draining:
		p.refuse(qr, now, types.ReasonLeaving)
		return
	case now.Add(p.queue.expectedWait(req.Workspace, clampRank(req.Rank), p.slotsInUse, p.cfg.Slots)).After(req.Deadline):
		p.refuse(qr, now, types.ReasonLate)
		return
	}
	if !continuesTx && p.queue.size() >= maxQueuedRequests {
		excess := p.queue.chooseExcess(req.Workspace)
		if excess == nil {
			p.refuse(qr, now, types.ReasonQueueFull)
			return
		}
		p.queue.remove(excess)
		p.refuse(excess, now, types.ReasonQueueFull)
	}
	p.queue.push(qr)
	p.dispatch(now)
}

// AbortTx aborts a transaction that its frontend no longer uses. It closes the
// connection, so that the endpoint rolls back. If the transaction has not started, its
// queued request is refused.
func (p *Pool) AbortTx(now types.Time, tx TxID) {
	c := p.connByTx[tx]
	if c == nil {
		p.refuseQueuedTx(now, tx)
		return
	}
	p.closeConn(now, c, types.ReasonBroken)
	p.dispatch(now)
}

// refuseQueuedTx refuses the first statement of a transaction that has not started.
func (p *Pool) refuseQueuedTx(now types.Time, tx TxID) {
	for _, qr := range p.queue.removeIf(func(qr *queuedRequest) bool { return qr.req.Tx == tx }) {
		p.refuse(qr, now, types.ReasonLate)
	}
}

// Tick refuses requests whose deadline has passed, handles dials that have timed out and
// checks running statements.
func (p *Pool) Tick(now types.Time) {
	if !now.Before(p.retryDialAt) {
		p.retryDialAt = 0
	}
	for _, c := range append([]*conn(nil), p.connList...) {
		switch {
		case c.state == stateDialing && now.Sub(c.stateSince) >= dialTimeout:
			p.HandleDialFailure(now, c.id)
			p.emit(Close{Conn: c.id})
		case c.state == stateRunning:
			p.checkRunning(now, c)
		}
	}
	p.refuseUnreachable(now)
	p.closeUnusedConns(now)
	p.dispatch(now)
}

// refuseUnreachable refuses requests that have been queued for maxUnreachableWait while
// dials fail or are refused and no connection is open.
func (p *Pool) refuseUnreachable(now types.Time) {
	if (p.dialFailures == 0 && p.refusedDials == 0) || len(p.connList) > p.dialsInFlight {
		return
	}
	reason := types.ReasonUnreachable
	if p.dialFailures == 0 {
		reason = types.ReasonQueueFull
	}
	waitedTooLong := func(qr *queuedRequest) bool { return now.Sub(qr.queuedAt) >= maxUnreachableWait }
	for _, qr := range p.queue.removeIf(waitedTooLong) {
		p.refuse(qr, now, reason)
	}
}

// checkRunning handles a statement that has run for long. If its reply is overdue, the
// reply is probably lost: the slot counts as free, and a read outside of a transaction
// is retried once. At closeAt the connection is closed.
func (p *Pool) checkRunning(now types.Time, c *conn) {
	if !now.Before(c.closeAt()) {
		p.closeConn(now, c, types.ReasonLate)
		return
	}
	if !c.holdsSlot || now.Before(c.overdueAt) {
		return
	}
	p.releaseSlot(now, c)
	qr := c.currentRequest
	if c.isAbandoned || qr.isResent || qr.req.Tx != 0 || qr.req.Query.Stmt.Writes() {
		return
	}
	c.isAbandoned = true
	qr.isResent, qr.mayHaveRun = true, c.hasSentStatement()
	p.queue.push(qr)
}

// NextWake returns the time at which Tick is due; false if nothing is queued, running or
// being dialled, and no idle connection is to be closed.
func (p *Pool) NextWake() (types.Time, bool) {
	at, ok := p.queue.earliestDeadline()
	earlier := func(t types.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	if p.queue.size() > 0 && p.retryDialAt != 0 {
		earlier(p.retryDialAt)
	}
	if p.reviewAt != 0 {
		earlier(p.reviewAt)
	}
	for _, c := range p.connList {
		switch {
		case c.state == stateIdle && p.cfg.ByWorkspace:
			earlier(c.stateSince.Add(idleConnTimeout))
		case c.state == stateDialing:
			earlier(c.stateSince.Add(dialTimeout))
		case c.state == stateRunning && c.holdsSlot:
			earlier(c.overdueAt)
		case c.state == stateRunning:
			earlier(c.closeAt())
		}
	}
	return at, ok
}

// TrustConnections marks the connections that were opened up to a time as trusted: they
// lead to the instance that the owner has identified.
func (p *Pool) TrustConnections(now, openedUpTo types.Time) {
	if openedUpTo.After(p.trustedUntil) {
		p.trustedUntil = openedUpTo
		p.dispatch(now)
	}
}

// HasTrustedConnection reports whether a trusted connection is open. Replies on it
// extend the trust to connections that were opened later.
func (p *Pool) HasTrustedConnection() bool {
	return slices.ContainsFunc(p.connList, func(c *conn) bool {
		return c.state != stateDialing && p.IsTrusted(c.openedAt)
	})
}

// HasTrustedAlternative reports whether a trusted connection is open for the workspace of the
// given one.
func (p *Pool) HasTrustedAlternative(id ConnID) bool {
	opened := p.connByID[id]
	return opened != nil && slices.ContainsFunc(p.connList, func(c *conn) bool {
		return c.state != stateDialing && c.workspace == opened.workspace && p.IsTrusted(c.openedAt)
	})
}

// IsTrusted reports whether a connection that was opened at the given time is trusted.
func (p *Pool) IsTrusted(openedAt types.Time) bool { return !openedAt.After(p.trustedUntil) }

// Drain refuses queued and new requests. Open transactions continue.
func (p *Pool) Drain(now types.Time) {
	p.draining = true
	for _, qr := range p.queue.removeIf(func(qr *queuedRequest) bool { return !qr.req.continuesTx() }) {
		p.refuse(qr, now, types.ReasonLeaving)
	}
}

// CloseAll closes all connections and refuses all queued requests. Running statements
// end without a reply.
func (p *Pool) CloseAll(now types.Time, reason types.Reason) {
	for _, c := range append([]*conn(nil), p.connList...) {
		p.closeConn(now, c, reason)
	}
	for _, qr := range p.queue.removeIf(func(*queuedRequest) bool { return true }) {
		p.refuse(qr, now, reason)
	}
}

// Load returns the number of queued requests and the number of slots in use.
func (p *Pool) Load() (queued, running int) { return p.queue.size(), p.slotsInUse }

// ConnectionCount returns the number of connections, including those being opened.
func (p *Pool) ConnectionCount() int { return len(p.connList) }

// IsIdle reports whether no request is queued, no slot is in use and no transaction is
// open.
func (p *Pool) IsIdle() bool { return p.queue.size() == 0 && p.slotsInUse == 0 && len(p.connByTx) == 0 }

// HasOpenWrites reports whether a transaction is open or a statement runs that may
// write.
func (p *Pool) HasOpenWrites() bool {
	for _, c := range p.connList {
		if c.tx != 0 || (c.state == stateRunning && c.currentRequest != nil && c.currentRequest.req.Query.Stmt.Writes()) {
			return true
		}
	}
	return false
}

// Position returns the newest known end of the log that the endpoint has as the primary of the
// present term, and a time that is not later than its measurement; false if nothing is known.
func (p *Pool) Position() (types.LogPoint, types.Time, bool) {
	return p.position, p.positionAt, p.positionAt != 0
}

// SetPrimary records that the endpoint is known to be the primary of another term than before, or
// a replica. A reply to a command that was sent before states what the endpoint had applied in
// its earlier role, which may be less than it holds as the primary.
func (p *Pool) SetPrimary(now types.Time, isPrimary bool) {
	p.position, p.positionAt, p.primarySince = types.LogPoint{}, 0, 0
	if isPrimary {
		p.primarySince = now
	}
}

// PrimaryRepliedAt returns when the newest command was sent whose reply on a trusted connection
// shows that the endpoint was a primary; zero for none.
func (p *Pool) PrimaryRepliedAt() types.Time { return p.primaryRepliedAt }

// CloseIdle closes the connections that run no statement and hold no transaction.
func (p *Pool) CloseIdle(now types.Time) {
	for _, c := range append([]*conn(nil), p.connList...) {
		if c.state == stateIdle {
			p.closeUnused(now, c, CauseNone)
		}
	}
}

// RecordPosition records a position that the endpoint reported as the primary, if it is the newest.
// sentAt is the send time of the command whose reply reported it.
func (p *Pool) RecordPosition(sentAt types.Time, point types.LogPoint) {
	if point == (types.LogPoint{}) || sentAt.Before(p.positionAt) {
		return
	}
	if point.Less(p.position) && sentAt == p.positionAt {
		return
	}
	p.position, p.positionAt = point, sentAt
}

// RecordResponse records that the endpoint has answered a command sent at the given time on another
// connection.
func (p *Pool) RecordResponse(sentAt types.Time) { p.lastResponseAt = max(p.lastResponseAt, sentAt) }

// UnresponsiveFor returns the longest time for which a reply or a dial has been pending
// without any response from the endpoint. It returns zero if nothing is pending.
func (p *Pool) UnresponsiveFor(now types.Time) time.Duration {
	var longest time.Duration
	for _, c := range p.connList {
		if c.state != stateRunning && c.state != stateDialing {
			continue
		}
		from := c.stateSince
		if c.state == stateRunning {
			from = c.sentAt
		}
		from = max(from, p.lastResponseAt)
		longest = max(longest, now.Sub(from))
	}
	return longest
}

// DialFailures returns the number of consecutive failed dials.
func (p *Pool) DialFailures() int { return p.dialFailures }
