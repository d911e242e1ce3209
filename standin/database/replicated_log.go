package database

import (
	"context"
	"database/sql"
	"slices"
	"time"

	"baobabfield.example/core/types"
)

// Role is an instance's role in its database.
type Role string

// Roles of an instance.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is the state that baobab_status returns.
type Status struct {
	Role       Role
	Term       types.Term
	Last       types.LogPoint
	Replicated types.Position
	Starts     []types.TermStart
}

// replicatedLog owns the log, the term and the role of an instance. It also decides which
// connection may write. Its methods run only on its own goroutine.
type replicatedLog struct {
	config  Config
	storage *storage
	inbox   chan func()
	ctx     context.Context

	term    types.Term
	role    Role
	history history
	// acknowledgedPositions holds the last position that each peer acknowledged in the
	// current term.
	acknowledgedPositions map[types.Endpoint]types.Position
	// currentWriter is the claim that has the right to write; writerQueue holds the
	// claims that wait for it, in order.
	currentWriter *writerClaim
	writerQueue   []*writerClaim
	waiters       []*waiter
	target        primaryTarget
	// cancelFollower stops the follower. It is nil if there is none.
	cancelFollower context.CancelFunc
	// followerGeneration changes with each follower, so that changes from an earlier
	// one are rejected.
	followerGeneration uint64
	replicationLag     time.Duration
	// lagChanged is closed when replicationLag changes.
	lagChanged chan struct{}
	// killed is set between Kill and Revive; no follower starts meanwhile.
	killed bool
	// lastQueries holds the time of each host's last status query that supports its
	// write authority. Queries are known from queriesKnownSince on.
	lastQueries       map[string]time.Time
	queriesKnownSince time.Time
}

// writerClaim is a connection's request for the right to write.
type writerClaim struct {
	granted chan error
	// revoked receives an error when the right is revoked before its release.
	revoked chan error
}

func newWriterClaim() *writerClaim {
	return &writerClaim{granted: make(chan error, 1), revoked: make(chan error, 1)}
}

// waiter waits until its condition holds or the instance's role or term changes.
type waiter struct {
	ready func() bool
	wake  chan struct{}
}

// primaryTarget is the primary that a replica follows. Its address is empty if there is
// none.
type primaryTarget struct {
	id      types.Endpoint
	address string
}

func newReplicatedLog(ctx context.Context, c Config, s *storage) *replicatedLog {
	return &replicatedLog{
		config: c, storage: s, ctx: ctx, inbox: make(chan func()), role: RoleReplica,
		acknowledgedPositions: map[types.Endpoint]types.Position{}, replicationLag: c.ReplicationLag, lagChanged: make(chan struct{}),
		lastQueries: map[string]time.Time{}, queriesKnownSince: time.Now(),
	}
}

// run handles messages until the context ends.
func (l *replicatedLog) run() {
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

// runOnLog runs f on the replicated log's goroutine and returns its result. It returns
// the zero value if the replicated log has stopped.
func runOnLog[T any](l *replicatedLog, f func() T) T {
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

func (l *replicatedLog) status() Status {
	return Status{
		Role: l.role, Term: l.term, Last: l.history.lastPoint(), Replicated: l.replicatedPosition(),
		Starts: append([]types.TermStart(nil), l.history.starts...),
	}
}

// replicatedPosition returns the last position that a majority has. It is 0 on a replica.
func (l *replicatedLog) replicatedPosition() types.Position {
	if l.role != RolePrimary {
		return 0
	}
	positions := []types.Position{l.history.lastPoint().Position}
	for _, acknowledged := range l.acknowledgedPositions {
		positions = append(positions, acknowledged)
	}
	majority := (len(l.config.Peers)+1)/2 + 1
	if len(positions) < majority {
		return 0
	}
	slices.Sort(positions)
	return positions[len(positions)-majority]
}

// recordQuery records a status query that supports a host's write authority.
func (l *replicatedLog) recordQuery(host string) { l.lastQueries[host] = time.Now() }

// clearQueries discards the recorded queries, which a restart does not preserve.
func (l *replicatedLog) clearQueries() {
	clear(l.lastQueries)
	l.queriesKnownSince = time.Now()
}

// timeSinceQuery returns the time since the last recorded query of any other host, or
// since queriesKnownSince if there is none.
func (l *replicatedLog) timeSinceQuery(host string) time.Duration {
	latest := l.queriesKnownSince
	for other, at := range l.lastQueries {
		if other != host && at.After(latest) {
			latest = at
		}
	}
	return time.Since(latest)
}

// fence raises the term and makes the instance a replica. It reports whether the new term
// is above the current one.
func (l *replicatedLog) fence(term types.Term) bool {
	if term <= l.term {
		return false
	}
	l.term = term
	l.becomeReplica()
	return true
}

func (l *replicatedLog) becomeReplica() {
	l.role = RoleReplica
	l.target = primaryTarget{}
	l.stopFollowing()
	l.revokeWriters()
	l.notifyWaiters(true)
}

// promote makes the instance the primary of the current term. It reports whether the term
// is the current one.
func (l *replicatedLog) promote(term types.Term) bool {
	if term != l.term || term == 0 {
		return false
	}
	if l.role == RolePrimary {
		return true
	}
	l.becomeReplica()
	l.role = RolePrimary
	l.acknowledgedPositions = map[types.Endpoint]types.Position{}
	l.history.startTerm(term)
	return true
}

// follow makes the instance a replica of the primary of a term. It rejects earlier terms
// and, on a primary, its own term.
func (l *replicatedLog) follow(target primaryTarget, term types.Term) bool {
	if term < l.term || (term == l.term && l.role == RolePrimary) {
		return false
	}
	if term == l.term && l.target == target && l.cancelFollower != nil {
		return true
	}
	l.term = term
	l.becomeReplica()
	l.target = target
	l.startFollower()
	return true
}

// claimWriter queues a claim. A nil error on its granted channel grants it. On a replica
// it rejects claims other than those of replication.
func (l *replicatedLog) claimWriter(c *writerClaim, forReplication bool) {
	if !forReplication && l.role != RolePrimary {
		c.granted <- errReadOnly
		return
	}
	l.writerQueue = append(l.writerQueue, c)
	l.grantNextWriter()
}

func (l *replicatedLog) grantNextWriter() {
	if l.currentWriter != nil || len(l.writerQueue) == 0 {
		return
	}
	l.currentWriter, l.writerQueue = l.writerQueue[0], l.writerQueue[1:]
	l.currentWriter.granted <- nil
}

func (l *replicatedLog) releaseWriter(c *writerClaim) {
	if l.currentWriter == c {
		l.currentWriter = nil
	}
	for i, queued := range l.writerQueue {
		if queued == c {
			l.writerQueue = append(l.writerQueue[:i:i], l.writerQueue[i+1:]...)
			break
		}
	}
	l.grantNextWriter()
}

// revokeWriters revokes the current writer's claim and rejects the queued ones. The
// current writer keeps its place until it releases the claim, after its rollback.
func (l *replicatedLog) revokeWriters() {
	for _, c := range l.writerQueue {
		c.granted <- errReadOnly
	}
	l.writerQueue = nil
	if l.currentWriter != nil {
		select {
		case l.currentWriter.revoked <- errReadOnly:
		default:
		}
	}
}

// commitRequest passes a connection's open SQLite transaction to the replicated log.
type commitRequest struct {
	claim      *writerClaim
	term       types.Term
	conn       *sql.Conn
	statements []Statement
}

// commitResult is the log point of a commit, or the error that prevented it.
type commitResult struct {
	point types.LogPoint
	err   error
}

// currentTerm returns the term in which new transactions run.
func (l *replicatedLog) currentTerm() types.Term { return l.term }

// commit ends a write transaction. It commits and appends to the log if the claim and the
// term are still valid, and rolls back otherwise. It always releases the claim.
func (l *replicatedLog) commit(r commitRequest) commitResult {
	defer l.releaseWriter(r.claim)
	if err := l.checkCommit(r); err != nil {
		_, _ = r.conn.ExecContext(l.ctx, "ROLLBACK")
		return commitResult{err: err}
	}
	if _, err := r.conn.ExecContext(l.ctx, "COMMIT"); err != nil {
		_, _ = r.conn.ExecContext(l.ctx, "ROLLBACK")
		return commitResult{err: err}
	}
	if len(r.statements) == 0 {
		return commitResult{point: l.history.lastPoint()}
	}
	point := types.LogPoint{Term: l.term, Position: l.history.lastPoint().Position + 1}
	l.history.append(Entry{Point: point, Statements: r.statements})
	l.notifyWaiters(false)
	return commitResult{point: point}
}

func (l *replicatedLog) checkCommit(r commitRequest) error {
	if r.term != 0 && r.term != l.term {
		return errWrongTerm(r.term, l.term)
	}
	if l.role != RolePrimary || l.currentWriter != r.claim {
		return errReadOnly
	}
	select {
	case err := <-r.claim.revoked:
		return err
	default:
		return nil
	}
}

// addWaiter returns a channel that is closed when the condition holds or the instance's
// role or term changes.
func (l *replicatedLog) addWaiter(ready func() bool) chan struct{} {
	w := &waiter{ready: ready, wake: make(chan struct{})}
	l.waiters = append(l.waiters, w)
	l.notifyWaiters(false)
	return w.wake
}

func (l *replicatedLog) notifyWaiters(notifyAll bool) {
	var remaining []*waiter
	for _, w := range l.waiters {
		if notifyAll || w.ready() {
			close(w.wake)
			continue
		}
		remaining = append(remaining, w)
	}
	l.waiters = remaining
}

// removeWaiter removes a waiter by its channel.
func (l *replicatedLog) removeWaiter(wake chan struct{}) {
	for i, w := range l.waiters {
		if w.wake == wake {
			l.waiters = append(l.waiters[:i:i], l.waiters[i+1:]...)
			return
		}
	}
}

// setReplicationLag sets the replication lag, also for entries that were received before.
func (l *replicatedLog) setReplicationLag(d time.Duration) {
	l.replicationLag = d
	close(l.lagChanged)
	l.lagChanged = make(chan struct{})
}

// recordAcknowledgment records the last position that a replica has in the current term.
func (l *replicatedLog) recordAcknowledgment(peer types.Endpoint, position types.Position) {
	for _, p := range l.config.Peers {
		if p == peer {
			l.acknowledgedPositions[peer] = position
		}
	}
	l.notifyWaiters(false)
}
