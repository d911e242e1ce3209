package proxy

import (
	"strings"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// maxBacklog limits the statements that a caller may send before the reply to the current one.
const maxBacklog = 64

// session is a caller's connection.
type session struct {
	id       SessionID
	database types.Database
	// key is the caller's API key, and workspace the one that holds it; empty for none.
	key       string
	workspace types.Workspace
	// withdrawnAt is when the key was found to be withdrawn; zero if it is valid.
	withdrawnAt types.Time
	variables   statement.SessionVariables
	prepared    map[string]statement.Template
	// commits holds, by service, the latest position that the session has committed at. A session is
	// at several services if its route changes, and may return to an earlier one.
	commits map[types.Service]types.LogPoint
	tx      *transaction
	// currentRequest is the statement in flight; backlog holds those received after it.
	currentRequest *request
	backlog        []pool.Query
	// blocked is set while too many replies are not yet written to the caller.
	blocked bool
	// stateBytes is the size of what the session keeps between statements; beginBytes, a part of
	// it, is that of the last BEGIN.
	stateBytes, beginBytes int
	drain                  drainState
	// endsTx is set if the session is closed although a transaction is open.
	endsTx bool
}

// drainState is the progress of closing a session between two statements.
type drainState uint8

const (
	// drainNone: the session is not being closed.
	drainNone drainState = iota
	// drainRequested: statements that have been read may still arrive.
	drainRequested
	// drainDone: no statement arrives any more.
	drainDone
)

// transaction is a caller's open transaction.
type transaction struct {
	id    TxID
	route catalog.Route
	begin pool.Query
	// needsPrimary is set if no replica can serve the transaction.
	needsPrimary bool
	// endpoint and host run the transaction once its first statement has run; atPrimary is set
	// if the endpoint runs it as the primary.
	endpoint  types.Endpoint
	host      types.Host
	atPrimary bool
	// open is set while the owner holds a connection for the transaction.
	open bool
	// failed is set if the transaction accepts only COMMIT and ROLLBACK, which both roll back.
	failed    bool
	idleSince types.Time
	// keyMovedAt is when the caller's key was found to belong to another workspace than the one that
	// the transaction runs for; zero if it does not.
	keyMovedAt types.Time
}

func (m *Machine) handleCallerStarted(ev CallerStarted) {
	if m.stop.begun {
		m.emit(CallerClose{Session: ev.Session, Code: statement.CodeBusy, Text: "host is stopping, connect again"})
		return
	}
	if m.catalog.ConfigVersion() == 0 {
		m.emit(CallerClose{Session: ev.Session, Code: statement.CodeBusy, Text: "host is starting, connect again in a second"})
		return
	}
	route, ok := m.catalog.Route(ev.Database)
	if !ok {
		m.logRefusedSession(ev.Database, "no route")
		code, text := m.denial(statement.CodeNoDatabase, "database "+string(ev.Database)+" does not exist")
		m.emit(CallerClose{Session: ev.Session, Code: code, Text: text})
		return
	}
	if m.catalog.HasWorkspaces() && !m.isConfigConfirmed() {
		m.emit(CallerClose{Session: ev.Session, Code: statement.CodeBusy, Text: "host is starting, connect again in a second"})
		return
	}
	workspace, ok := m.authenticate(ev.Key, &route)
	if !ok {
		m.logRefusedSession(ev.Database, "unknown key")
		m.incrementCounter("baobab_auth_failed_total")
		code, text := m.denial(statement.CodeAuthFailed, "the key is not known")
		m.emit(CallerClose{Session: ev.Session, Code: code, Text: text})
		return
	}
	s := &session{
		id: ev.Session, database: ev.Database, key: ev.Key, workspace: workspace, prepared: map[string]statement.Template{},
		commits: map[types.Service]types.LogPoint{},
	}
	if !m.resizeState(s, len(ev.Database)+len(ev.Key)) {
		m.emit(CallerClose{Session: ev.Session, Code: statement.CodeBusy, Text: "host has no memory for the session"})
		return
	}
	m.sessions[ev.Session] = s
	m.emit(CallerReady{Session: ev.Session})
}

func (m *Machine) handleCallerQuery(ev CallerQuery) {
	s := m.sessions[ev.Session]
	if s == nil {
		return
	}
	if s.currentRequest != nil || len(s.backlog) > 0 || s.blocked {
		if len(s.backlog) >= maxBacklog {
			m.closeSession(s, statement.CodeMalformed, "too many statements sent ahead")
			return
		}
		s.backlog = append(s.backlog, ev.Query)
		return
	}
	m.runStatement(s, ev.Query)
}

// runStatement serves a statement locally if it needs no endpoint, and forwards it otherwise.
func (m *Machine) runStatement(s *session, q pool.Query) {
	if m.mustEndMovedTransaction(s) {
		m.failTransaction(s, field("reason", "key moved"), field("workspace", s.workspace))
	}
	if s.tx != nil && s.tx.failed {
		m.runInFailedTx(s, q)
		return
	}
	switch q.Stmt.Kind {
	case statement.KindBegin, statement.KindBeginReadOnly:
		m.beginTx(s, q)
	case statement.KindSet:
		m.setVariable(s, q.Stmt.Name, q.Stmt.Value)
	case statement.KindPrepare:
		m.prepare(s, q.Stmt.Name, q.Stmt.Template)
	case statement.KindDeallocate:
		m.deallocate(s, q.Stmt.Name)
	case statement.KindRollback:
		m.rollbackTx(s, q)
	case statement.KindCommit:
		if s.tx == nil {
			m.replyError(s, statement.CodeMalformed, "no transaction is open")
			return
		}
		m.forwardStatement(s, q)
	case statement.KindExecute:
		template, ok := s.prepared[q.Stmt.Name]
		if !ok {
			m.replyError(s, statement.CodeUnknownName, "prepared statement "+shorten(q.Stmt.Name)+" does not exist")
			return
		}
		q.Stmt.Template = template
		m.forwardStatement(s, q)
	case statement.KindRead, statement.KindWrite:
		m.forwardStatement(s, q)
	default:
		m.replyError(s, statement.CodeMalformed, "statement is not known")
	}
}

// runInFailedTx serves a statement of a failed transaction. Only COMMIT and ROLLBACK are
// accepted; both roll back.
func (m *Machine) runInFailedTx(s *session, q pool.Query) {
	switch q.Stmt.Kind {
	case statement.KindRollback:
		m.rollbackTx(s, q)
	case statement.KindCommit:
		m.endTx(s)
		m.replyError(s, statement.CodeAborted, "the transaction has failed and is rolled back")
	default:
		m.replyToCaller(s, statement.Reply{
			Code: statement.CodeMalformed, Text: "the transaction has failed, end it first", State: statement.StateFailed,
		})
	}
}

// beginTx opens a transaction. The endpoint receives the begin with the first statement.
func (m *Machine) beginTx(s *session, q pool.Query) {
	if s.tx != nil {
		m.replyError(s, statement.CodeMalformed, "a transaction is open already")
		return
	}
	route, ok := m.catalog.Route(s.database)
	if !ok {
		m.replyDatabaseGone(s)
		return
	}
	if !m.authenticateOperation(s, &route) {
		return
	}
	if !m.resizeState(s, len(q.ID)-s.beginBytes) {
		m.replyError(s, statement.CodeBusy, stateExceeded)
		return
	}
	s.beginBytes = len(q.ID)
	// The ID alone must not keep the memory of the whole message.
	q.ID = strings.Clone(q.ID)
	m.nextTxID++
	s.tx = &transaction{id: m.nextTxID, route: route, begin: q}
	s.tx.needsPrimary = q.Stmt.Kind == statement.KindBegin || route.Consistency == catalog.ConsistencyPrimary
	m.replyToCaller(s, statement.Reply{State: statement.StateInTransaction})
}

// rollbackTx ends a transaction. The statement is forwarded if an endpoint holds the
// transaction.
func (m *Machine) rollbackTx(s *session, q pool.Query) {
	if s.tx != nil && s.tx.open {
		m.forwardStatement(s, q)
		return
	}
	s.tx = nil
	m.replyToCaller(s, statement.Reply{})
}

// endTx removes the session's transaction and releases its connection.
func (m *Machine) endTx(s *session) {
	if s.tx != nil && s.tx.open {
		m.sendToHost(s.tx.host, EndTx{Tx: s.tx.id})
	}
	s.tx = nil
}

// recordCommit records the position of a commit. That of a transaction that has only read at a replica
// may be earlier than the session's last one.
func (s *session) recordCommit(service types.Service, position types.LogPoint) {
	if s.commits[service].Less(position) {
		s.commits[service] = position
	}
}

// state returns the transaction state of the session.
func (s *session) state() statement.TransactionState {
	switch {
	case s.tx == nil:
		return statement.StateIdle
	case s.tx.failed:
		return statement.StateFailed
	}
	return statement.StateInTransaction
}

// replyError replies with an error without changing the session's state.
func (m *Machine) replyError(s *session, code statement.Code, text string) {
	m.replyToCaller(s, statement.Reply{Code: code, Text: text, State: s.state()})
}

// replyDatabaseGone refuses a statement of a session whose database is not configured any more.
func (m *Machine) replyDatabaseGone(s *session) {
	code, text := m.denial(statement.CodeNoDatabase, "database "+string(s.database)+" does not exist any more")
	m.replyError(s, code, text)
}

// replyToCaller replies to the current statement and runs the next one of the backlog.
func (m *Machine) replyToCaller(s *session, r statement.Reply) {
	s.currentRequest = nil
	if s.tx != nil {
		s.tx.idleSince = m.now
		// A reply that this host makes itself has no state, and the zero value is StateIdle.
		if r.State == statement.StateIdle && r.Code == statement.CodeOK {
			r.State = s.state()
		}
	}
	m.emit(CallerReply{Session: s.id, Reply: r})
	if len(s.backlog) > 0 {
		m.runNext(s)
		return
	}
	switch {
	case s.drain == drainDone:
		m.closeDrainedSession(s)
	case (m.stop.begun || m.mustMoveSessions() || s.withdrawnAt != 0) && s.tx == nil:
		m.drainSession(s)
	}
}

// runNext runs the next statement of the backlog unless the session is blocked.
func (m *Machine) runNext(s *session) {
	if s.blocked || len(s.backlog) == 0 {
		return
	}
	next := s.backlog[0]
	s.backlog[0] = pool.Query{} // the array must not keep the text
	s.backlog = s.backlog[1:]
	m.runStatement(s, next)
}

// handleCallerBlocked stops the running of a caller's statements, or resumes it.
func (m *Machine) handleCallerBlocked(ev Event) {
	switch ev := ev.(type) {
	case CallerBlocked:
		if s := m.sessions[ev.Session]; s != nil {
			s.blocked = true
		}
	case CallerUnblocked:
		s := m.sessions[ev.Session]
		if s == nil {
			return
		}
		s.blocked = false
		if s.currentRequest == nil {
			m.runNext(s)
		}
	}
}

// drainSession closes a session once the statements that have been read are answered. A
// statement on its way to the machine would otherwise be dropped without an answer.
func (m *Machine) drainSession(s *session) {
	if s.drain == drainNone {
		s.drain = drainRequested
		m.emit(CallerDrain{Session: s.id})
	}
}

func (m *Machine) handleCallerDrained(id SessionID) {
	s := m.sessions[id]
	if s == nil || s.drain != drainRequested {
		return
	}
	s.drain = drainDone
	if s.currentRequest == nil && len(s.backlog) == 0 {
		m.closeDrainedSession(s)
	}
}

// closeDrainedSession closes a drained session without an outstanding statement. If a
// transaction was begun meanwhile, the session goes on until the transaction ends.
func (m *Machine) closeDrainedSession(s *session) {
	if s.tx != nil && !s.endsTx {
		s.drain = drainNone
		m.emit(CallerResume{Session: s.id})
		return
	}
	m.closeSession(s, statement.CodeOK, "")
}

func (m *Machine) handleCallerDisconnected(id SessionID) {
	s := m.sessions[id]
	if s == nil {
		return
	}
	m.removeSession(s)
}

// closeSession closes a caller's connection. It does nothing if a reply before has ended a drain and
// closed it.
func (m *Machine) closeSession(s *session, code statement.Code, text string) {
	if m.sessions[s.id] != s {
		return
	}
	m.emit(CallerClose{Session: s.id, Code: code, Text: text})
	m.removeSession(s)
}

// removeSession removes a session and cancels its running statement.
func (m *Machine) removeSession(s *session) {
	delete(m.sessions, s.id)
	m.stateBytes -= s.stateBytes
	if r := s.currentRequest; r != nil {
		m.cancelRequest(r)
	}
	m.endTx(s)
}

// tickSessions ends transactions that have been idle for too long.
func (m *Machine) tickSessions() {
	m.abortWithdrawnTransactions()
	limit := m.catalog.TxIdleTimeout()
	if limit <= 0 {
		return
	}
	for _, s := range ordered(m.sessions) {
		if s.tx == nil || s.currentRequest != nil || !s.tx.open || m.now.Sub(s.tx.idleSince) < limit {
			continue
		}
		m.failTransaction(s, field("reason", "idle"), field("limit", limit))
	}
}

// failTransaction rolls back an open transaction without a statement in flight. The caller learns of it
// with its next statement.
func (m *Machine) failTransaction(s *session, reason ...Field) {
	m.log(Info, "transaction ended", append([]Field{field("session", s.id)}, reason...)...)
	m.sendToHost(s.tx.host, EndTx{Tx: s.tx.id})
	s.tx.open, s.tx.failed = false, true
}
