package database

import (
	"context"
	"database/sql"
	"slices"
	"time"

	"baobabfield.example/core/types"
)

// Role is what an instance does for its database.
type Role string

// The roles of an instance.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is an instance's answer to baobab_status.
type Status struct {
	Role       Role
	Term       types.Term
	Last       types.LogPoint
	Replicated types.Position
	Starts     []types.TermStart
}

// ledger owns the log, the term and the role of an instance, and says which
// connection may write. Its methods run on its own goroutine only.
type ledger struct {
	config  Config
	storage *storage
	inbox   chan func()
	ctx     context.Context

	term    types.Term
	role    Role
	history history
	// held is what each peer has acknowledged in the current term.
	held map[types.Endpoint]types.Position
	// writer is the connection that may write, with others waiting in turn.
	writer  *writerClaim
	queue   []*writerClaim
	waiters []*waiter
	follow  followTarget
	// following stops the follower; nil if none runs.
	following context.CancelFunc
	// generation numbers the followers, so that messages of old ones are ignored.
	generation uint64
	lag        time.Duration
	// lagChanged is closed when lag changes.
	lagChanged chan struct{}
	halted     bool
	// asked is the time of each host's last question that supports its write
	// authority; started is the time from which questions are remembered.
	asked   map[string]time.Time
	started time.Time
}

// writerClaim is a connection's place in the queue of writers.
type writerClaim struct {
	granted chan error
	// revoked is signalled when the claim ends before its release.
	revoked chan error
}

func newWriterClaim() *writerClaim {
	return &writerClaim{granted: make(chan error, 1), revoked: make(chan error, 1)}
}

// waiter waits until the condition holds or the role, term or time changes it.
type waiter struct {
	ready func() bool
	wake  chan struct{}
}

type followTarget struct {
	id      types.Endpoint
	address string
}

func newLedger(ctx context.Context, c Config, s *storage) *ledger {
	return &ledger{
		config: c, storage: s, ctx: ctx, inbox: make(chan func()), role: RoleReplica,
		held: map[types.Endpoint]types.Position{}, lag: c.ReplicationLag, lagChanged: make(chan struct{}),
		asked: map[string]time.Time{}, started: time.Now(),
	}
}

// run serves messages until the context ends.
func (l *ledger) run() {
	for {
		select {
		case message := <-l.inbox:
			message()
		case <-l.ctx.Done():
			l.stopFollowing()
			return
		}
	}
}

// ask runs f on the ledger's goroutine and returns its result. It returns the
// zero value once the ledger has stopped.
func ask[T any](l *ledger, f func() T) T {
	reply := make(chan T, 1)
	var zero T
	select {
	case l.inbox <- func() { reply <- f() }:
	case <-l.ctx.Done():
		return zero
	}
	select {
	case v := <-reply:
		return v
	case <-l.ctx.Done():
		return zero
	}
}

func (l *ledger) status() Status {
	return Status{
		Role: l.role, Term: l.term, Last: l.history.last(), Replicated: l.replicated(),
		Starts: append([]types.TermStart(nil), l.history.starts...),
	}
}

// replicated returns the position that a majority holds, on a primary.
func (l *ledger) replicated() types.Position {
	if l.role != RolePrimary {
		return 0
	}
	positions := []types.Position{l.history.last().Position}
	for _, held := range l.held {
		positions = append(positions, held)
	}
	majority := (len(l.config.Peers)+1)/2 + 1
	if len(positions) < majority {
		return 0
	}
	slices.Sort(positions)
	return positions[len(positions)-majority]
}

// noteQuestion remembers a question that supports a host's write authority.
func (l *ledger) noteQuestion(host string) { l.asked[host] = time.Now() }

// forgetQuestions drops what a restarted process does not remember.
func (l *ledger) forgetQuestions() {
	clear(l.asked)
	l.started = time.Now()
}

// quiet returns the time since the last such question of another host, as far
// as the instance remembers.
func (l *ledger) quiet(host string) time.Duration {
	last := l.started
	for other, at := range l.asked {
		if other != host && at.After(last) {
			last = at
		}
	}
	return time.Since(last)
}

// fence grants a term above the current one and reports whether it did.
func (l *ledger) fence(term types.Term) bool {
	if term <= l.term {
		return false
	}
	l.term = term
	l.becomeReplica()
	return true
}

func (l *ledger) becomeReplica() {
	l.role = RoleReplica
	l.follow = followTarget{}
	l.stopFollowing()
	l.revokeWriters()
	l.wakeWaiters(true)
}

// promote makes the instance the primary of a term that it granted.
func (l *ledger) promote(term types.Term) bool {
	if term != l.term || term == 0 {
		return false
	}
	if l.role == RolePrimary {
		return true
	}
	l.becomeReplica()
	l.role = RolePrimary
	l.held = map[types.Endpoint]types.Position{}
	l.history.begin(term)
	return true
}

// startFollowing makes the instance a replica of the primary of a term.
func (l *ledger) startFollowing(target followTarget, term types.Term) bool {
	if term < l.term || (term == l.term && l.role == RolePrimary) {
		return false
	}
	if term == l.term && l.follow == target && l.following != nil {
		return true
	}
	l.term = term
	l.becomeReplica()
	l.follow = target
	l.startFollower()
	return true
}

// claimWriter queues a claim; a nil error on its channel grants it.
func (l *ledger) claimWriter(c *writerClaim, replica bool) {
	if !replica && l.role != RolePrimary {
		c.granted <- errReadOnly
		return
	}
	l.queue = append(l.queue, c)
	l.grantWriter()
}

func (l *ledger) grantWriter() {
	if l.writer != nil || len(l.queue) == 0 {
		return
	}
	l.writer, l.queue = l.queue[0], l.queue[1:]
	l.writer.granted <- nil
}

func (l *ledger) releaseWriter(c *writerClaim) {
	if l.writer == c {
		l.writer = nil
	}
	for i, queued := range l.queue {
		if queued == c {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			break
		}
	}
	l.grantWriter()
}

// revokeWriters tells the writer to roll back and refuses those that wait.
// The writer's turn lasts until it has released the claim.
func (l *ledger) revokeWriters() {
	for _, c := range l.queue {
		c.granted <- errReadOnly
	}
	l.queue = nil
	if l.writer != nil {
		select {
		case l.writer.revoked <- errReadOnly:
		default:
		}
	}
}

// commitRequest hands a connection's open SQLite transaction to the ledger.
type commitRequest struct {
	claim      *writerClaim
	term       types.Term
	conn       *sql.Conn
	statements []Statement
}

// commitResult is the log point of a commit or the reason of its refusal.
type commitResult struct {
	point types.LogPoint
	err   error
}

// beginTerm returns the term that a transaction runs in.
func (l *ledger) beginTerm() types.Term { return l.term }

// commit ends a write transaction: in the log if it is still allowed, else by
// a rollback. Either way the claim is released.
func (l *ledger) commit(r commitRequest) commitResult {
	defer l.releaseWriter(r.claim)
	if err := l.mayCommit(r); err != nil {
		_, _ = r.conn.ExecContext(l.ctx, "ROLLBACK")
		return commitResult{err: err}
	}
	if _, err := r.conn.ExecContext(l.ctx, "COMMIT"); err != nil {
		_, _ = r.conn.ExecContext(l.ctx, "ROLLBACK")
		return commitResult{err: err}
	}
	if len(r.statements) == 0 {
		return commitResult{point: l.history.last()}
	}
	point := types.LogPoint{Term: l.term, Position: l.history.last().Position + 1}
	l.history.append(Entry{Point: point, Statements: r.statements})
	l.wakeWaiters(false)
	return commitResult{point: point}
}

func (l *ledger) mayCommit(r commitRequest) error {
	if r.term != 0 && r.term != l.term {
		return errWrongTerm(r.term, l.term)
	}
	if l.role != RolePrimary || l.writer != r.claim {
		return errReadOnly
	}
	select {
	case err := <-r.claim.revoked:
		return err
	default:
		return nil
	}
}

// await returns a channel that is closed once the condition holds, or once
// the instance's role or term changes.
func (l *ledger) await(ready func() bool) chan struct{} {
	w := &waiter{ready: ready, wake: make(chan struct{})}
	l.waiters = append(l.waiters, w)
	l.wakeWaiters(false)
	return w.wake
}

func (l *ledger) wakeWaiters(all bool) {
	var left []*waiter
	for _, w := range l.waiters {
		if all || w.ready() {
			close(w.wake)
			continue
		}
		left = append(left, w)
	}
	l.waiters = left
}

// forget drops a waiter that no longer waits.
func (l *ledger) forget(wake chan struct{}) {
	for i, w := range l.waiters {
		if w.wake == wake {
			l.waiters = append(l.waiters[:i:i], l.waiters[i+1:]...)
			return
		}
	}
}

// setLag changes the replication lag, also of what has been received already.
func (l *ledger) setLag(d time.Duration) {
	l.lag = d
	close(l.lagChanged)
	l.lagChanged = make(chan struct{})
}

// acknowledge records what a replica of the current term holds.
func (l *ledger) acknowledge(peer types.Endpoint, held types.Position) {
	for _, p := range l.config.Peers {
		if p == peer {
			l.held[peer] = held
		}
	}
	l.wakeWaiters(false)
}
