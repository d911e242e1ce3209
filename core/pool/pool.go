package pool

import (
	"slices"
	"time"

	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

const (
	// maxDialing is the number of connections that are opened at a time: each
	// holds a slot of the endpoint for a while.
	maxDialing = 2
	// dialPause is the time after a failed dial before the next one.
	dialPause = 200 * time.Millisecond
	// dialTimeout is the time after which a dial counts as failed.
	dialTimeout = 500 * time.Millisecond
	// unreachableWait is how long a request waits while no connection can be opened.
	unreachableWait = 250 * time.Millisecond
	// overdueBase and overdueFactor give the time after which an answer counts as
	// overdue: the base and so many mean service times. Service times have a long
	// tail, and an endpoint can be several times slower than usual for a while.
	overdueBase   = 100 * time.Millisecond
	overdueFactor = 5
)

// Config describes the endpoint.
type Config struct {
	// Slots is the number of statements that the endpoint runs at a time.
	Slots int
	// MaxConnections is the number that this host may open.
	MaxConnections int
}

// connState says what a connection does.
type connState uint8

const (
	dialing connState = iota
	idle
	running
	// pinned connections wait for the next statement of their transaction.
	pinned
)

// conn is one connection to the endpoint.
type conn struct {
	id       ConnID
	state    connState
	since    types.Time
	openedAt types.Time
	values   statement.SessionVariables
	prepared map[string]bool
	// tx is the open transaction.
	tx TxID
	// plan are the commands still to send for the current request, the
	// statement itself last; outstanding is the one that was sent.
	plan        []Command
	outstanding Command
	current     *waiting
	sentAt      types.Time
	// holdsSlot is set while the endpoint runs something for the connection.
	holdsSlot bool
	// overdueAt is when the answer is so late that it is probably lost.
	overdueAt types.Time
	// abandoned is set where nobody waits for the answer any more.
	abandoned bool
}

// giveUpAt is when a running statement's connection is closed.
func (c *conn) giveUpAt() types.Time {
	return max(c.current.req.Deadline, c.overdueAt)
}

// Pool is the queue and the connections of one endpoint. One task owns it.
type Pool struct {
	cfg     Config
	nextID  func() ConnID
	queue   queue
	conns   map[ConnID]*conn
	order   []*conn
	byTx    map[TxID]*conn
	inUse   int
	dialing int
	// retryDial is when a dial may be tried again after a failure.
	retryDial types.Time
	failures  int
	// heardAt is the time of the endpoint's last sign of life.
	heardAt types.Time
	// position is the end of the endpoint's log in its newest answer, and
	// positionAt the time at which the statement behind it was sent.
	position   types.LogPoint
	positionAt types.Time
	// trusted is the time up to which opened connections certainly lead to the
	// instance that the owner means.
	trusted  types.Time
	draining bool
	effects  []Effect
}

// New returns a pool without connections; nextID numbers those that it opens.
func New(cfg Config, nextID func() ConnID) *Pool {
	return &Pool{cfg: cfg, nextID: nextID, conns: map[ConnID]*conn{}, byTx: map[TxID]*conn{}}
}

// Configure replaces the limits; connections beyond them are kept.
func (p *Pool) Configure(cfg Config) { p.cfg = cfg }

// Effects returns the effects since the last call.
func (p *Pool) Effects() []Effect {
	out := p.effects
	p.effects = nil
	return out
}

func (p *Pool) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Pool) refuse(w *waiting, now types.Time, reason types.Reason) {
	p.emit(Result{ID: w.req.ID, Reason: reason, Waited: now.Sub(w.queuedAt)})
}

// Submit queues a request, or refuses it where it cannot be served in time.
func (p *Pool) Submit(now types.Time, req Request) {
	w := &waiting{req: req, queuedAt: now}
	continues := req.continues()
	switch {
	case continues && p.byTx[req.Tx] == nil:
		p.refuse(w, now, types.ReasonBroken)
		return
	case continues:
	case p.draining:
		p.refuse(w, now, types.ReasonLeaving)
		return
	case p.queue.size >= maxWaiting:
		p.refuse(w, now, types.ReasonQueueFull)
		return
	case now.Add(p.queue.expectedWait(clampRank(req.Rank), p.inUse, p.cfg.Slots)).After(req.Deadline):
		p.refuse(w, now, types.ReasonLate)
		return
	}
	p.queue.push(w)
	p.dispatch(now)
}

// EndTx gives up a transaction whose caller has gone: its connection is closed,
// which rolls back.
func (p *Pool) EndTx(now types.Time, tx TxID) {
	c := p.byTx[tx]
	if c == nil {
		p.dropQueuedTx(now, tx)
		return
	}
	p.closeConn(now, c, types.ReasonBroken)
	p.dispatch(now)
}

// dropQueuedTx refuses the first statement of a transaction that has not started.
func (p *Pool) dropQueuedTx(now types.Time, tx TxID) {
	for r := range p.queue.ranks {
		for i, w := range p.queue.ranks[r] {
			if w.req.Tx == tx {
				p.queue.take(r, i)
				p.refuse(w, now, types.ReasonLate)
				return
			}
		}
	}
}

// Tick refuses what has waited for too long and gives up dials that hang.
func (p *Pool) Tick(now types.Time) {
	if !now.Before(p.retryDial) {
		p.retryDial = 0
	}
	for _, w := range p.queue.expired(now) {
		p.refuse(w, now, types.ReasonLate)
	}
	for _, c := range append([]*conn(nil), p.order...) {
		switch {
		case c.state == dialing && now.Sub(c.since) >= dialTimeout:
			p.DialFailed(now, c.id)
			p.emit(Close{Conn: c.id})
		case c.state == running:
			p.checkRunning(now, c)
		}
	}
	p.refuseUnreachable(now)
	p.dispatch(now)
}

// refuseUnreachable refuses what has waited for a connection to an endpoint that
// none can be opened to.
func (p *Pool) refuseUnreachable(now types.Time) {
	if p.failures == 0 || len(p.order) > p.dialing {
		return
	}
	for r := range p.queue.ranks {
		for i := 0; i < len(p.queue.ranks[r]); {
			w := p.queue.ranks[r][i]
			if now.Sub(w.queuedAt) < unreachableWait {
				i++
				continue
			}
			p.queue.take(r, i)
			p.refuse(w, now, types.ReasonUnreachable)
		}
	}
}

// checkRunning looks after a statement that has run for long. Where its answer is
// overdue, the slot counts as free, since the answer is probably lost, and a
// single read is asked again; at its deadline the statement is given up.
func (p *Pool) checkRunning(now types.Time, c *conn) {
	if !now.Before(c.giveUpAt()) {
		p.closeConn(now, c, types.ReasonLate)
		return
	}
	if !c.holdsSlot || now.Before(c.overdueAt) {
		return
	}
	p.releaseSlot(c)
	w := c.current
	if c.abandoned || w.again || w.req.Tx != 0 || w.req.Query.Stmt.Writes() {
		return
	}
	c.abandoned = true
	w.again = true
	p.queue.push(w)
}

// NextWake returns when Tick has something to do; false for never.
func (p *Pool) NextWake() (types.Time, bool) {
	at, ok := p.queue.nextDeadline()
	earlier := func(t types.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	if p.queue.size > 0 && p.retryDial != 0 {
		earlier(p.retryDial)
	}
	for _, c := range p.order {
		switch {
		case c.state == dialing:
			earlier(c.since.Add(dialTimeout))
		case c.state == running && c.holdsSlot:
			earlier(c.overdueAt)
		case c.state == running:
			earlier(c.giveUpAt())
		}
	}
	return at, ok
}

// Trust vouches for the connections that were opened up to a time.
func (p *Pool) Trust(now, openedUpTo types.Time) {
	if openedUpTo.After(p.trusted) {
		p.trusted = openedUpTo
		p.dispatch(now)
	}
}

// HasTrusted reports whether there is a connection that Trust vouches for; its answers
// vouch for later ones.
func (p *Pool) HasTrusted() bool {
	return slices.ContainsFunc(p.order, func(c *conn) bool {
		return c.state != dialing && p.Trusts(c.openedAt)
	})
}

// Trusts reports whether Trust vouches for a connection that was opened at a time.
func (p *Pool) Trusts(openedAt types.Time) bool { return !openedAt.After(p.trusted) }

// Drain refuses queued requests and new ones; open transactions go on.
func (p *Pool) Drain(now types.Time) {
	p.draining = true
	for r := range p.queue.ranks {
		for i := 0; i < len(p.queue.ranks[r]); {
			w := p.queue.ranks[r][i]
			if w.req.continues() {
				i++
				continue
			}
			p.queue.take(r, i)
			p.refuse(w, now, types.ReasonLeaving)
		}
	}
}

// Shut closes all connections; what runs on them ends without an answer.
func (p *Pool) Shut(now types.Time, reason types.Reason) {
	for _, c := range append([]*conn(nil), p.order...) {
		p.closeConn(now, c, reason)
	}
	for r := range p.queue.ranks {
		for len(p.queue.ranks[r]) > 0 {
			w := p.queue.ranks[r][0]
			p.queue.take(r, 0)
			p.refuse(w, now, reason)
		}
	}
}

// Load returns the requests that wait and the statements that run.
func (p *Pool) Load() (waiting, running int) { return p.queue.size, p.inUse }

// Connections returns the number of open connections.
func (p *Pool) Connections() int { return len(p.order) }

// Idle reports whether nothing waits, runs or is open.
func (p *Pool) Idle() bool { return p.queue.size == 0 && p.inUse == 0 && len(p.byTx) == 0 }

// Writing reports whether a statement that may write runs, or a transaction that
// may write is open.
func (p *Pool) Writing() bool {
	for _, c := range p.order {
		if c.tx != 0 || (c.state == running && c.current != nil && c.current.req.Query.Stmt.Writes()) {
			return true
		}
	}
	return false
}

// Position returns the newest known end of the endpoint's log and a moment that
// is not after the one for which it holds; false where nothing is known.
func (p *Pool) Position() (types.LogPoint, types.Time, bool) {
	return p.position, p.positionAt, p.positionAt != 0
}

// NotePosition takes a position that the endpoint told on another connection;
// sentAt is when it was asked.
func (p *Pool) NotePosition(sentAt types.Time, at types.LogPoint) {
	p.heardAt = max(p.heardAt, sentAt)
	p.notePosition(sentAt, at)
}

// SilentFor returns how long the endpoint has owed an answer without a sign of
// life; zero where it owes none.
func (p *Pool) SilentFor(now types.Time) time.Duration {
	var longest time.Duration
	for _, c := range p.order {
		if c.state != running && c.state != dialing {
			continue
		}
		from := c.since
		if c.state == running {
			from = c.sentAt
		}
		from = max(from, p.heardAt)
		longest = max(longest, now.Sub(from))
	}
	return longest
}

// DialFailures returns the number of dials that failed in a row.
func (p *Pool) DialFailures() int { return p.failures }
