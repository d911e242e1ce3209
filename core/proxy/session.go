package proxy

import (
	"baobabfield.example/core/catalog"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// maxBacklog bounds the statements that a caller sends ahead of their answers.
const maxBacklog = 64

// session is one caller's connection.
type session struct {
	id       SessionID
	database types.Database
	values   statement.SessionVariables
	prepared map[string]statement.Template
	// written is the session's last own commit at service.
	written types.LogPoint
	service types.Service
	tx      *transaction
	// current is the statement that runs; backlog are those after it.
	current *request
	backlog []pool.Query
}

// transaction is a caller's open transaction.
type transaction struct {
	id    TxID
	route catalog.Route
	begin pool.Query
	// needsPrimary is set where no replica can serve the transaction.
	needsPrimary bool
	// endpoint and host hold the transaction once its first statement has run;
	// atPrimary is set where the endpoint serves it as the primary.
	endpoint  types.Endpoint
	host      types.Host
	atPrimary bool
	// open is set while the owner keeps a connection for the transaction.
	open bool
	// failed transactions accept only their end.
	failed    bool
	idleSince types.Time
}

func (m *Machine) callerStarted(ev CallerStarted) {
	if m.stop.begun {
		m.emit(CallerClose{Session: ev.Session, Code: statement.CodeBusy, Text: "host is stopping, connect again"})
		return
	}
	if m.cat.ConfigVersion() == 0 {
		m.emit(CallerClose{Session: ev.Session, Code: statement.CodeBusy, Text: "host is starting, connect again in a second"})
		return
	}
	if _, ok := m.cat.Route(ev.Database); !ok {
		m.log(Info, "session refused", f("database", ev.Database), f("reason", "no route"), f("config", m.cat.ConfigVersion()))
		m.emit(CallerClose{Session: ev.Session, Code: statement.CodeNoDatabase, Text: "database " + string(ev.Database) + " does not exist"})
		return
	}
	m.sessions[ev.Session] = &session{
		id: ev.Session, database: ev.Database, prepared: map[string]statement.Template{},
	}
	m.emit(CallerReady{Session: ev.Session})
}

func (m *Machine) callerQuery(ev CallerQuery) {
	s := m.sessions[ev.Session]
	if s == nil {
		return
	}
	if s.current != nil || len(s.backlog) > 0 {
		if len(s.backlog) >= maxBacklog {
			m.closeSession(s, statement.CodeMalformed, "too many statements sent ahead")
			return
		}
		s.backlog = append(s.backlog, ev.Query)
		return
	}
	m.run(s, ev.Query)
}

// run serves a statement: by itself where that needs no endpoint.
func (m *Machine) run(s *session, q pool.Query) {
	if s.tx != nil && s.tx.failed {
		m.runFailed(s, q)
		return
	}
	switch q.Stmt.Kind {
	case statement.KindBegin, statement.KindBeginRead:
		m.begin(s, q)
	case statement.KindSet:
		s.values = s.values.With(q.Stmt.Name, q.Stmt.Value)
		m.reply(s, statement.Reply{})
	case statement.KindPrepare:
		s.prepared[q.Stmt.Name] = q.Stmt.Template
		m.reply(s, statement.Reply{})
	case statement.KindDeallocate:
		if _, ok := s.prepared[q.Stmt.Name]; !ok {
			m.fail(s, statement.CodeUnknownName, "prepared statement "+q.Stmt.Name+" does not exist")
			return
		}
		delete(s.prepared, q.Stmt.Name)
		m.reply(s, statement.Reply{})
	case statement.KindRollback:
		m.rollback(s, q)
	case statement.KindCommit:
		if s.tx == nil {
			m.fail(s, statement.CodeMalformed, "no transaction is open")
			return
		}
		m.forward(s, q)
	case statement.KindExecute:
		shape, ok := s.prepared[q.Stmt.Name]
		if !ok {
			m.fail(s, statement.CodeUnknownName, "prepared statement "+q.Stmt.Name+" does not exist")
			return
		}
		q.Stmt.Template = shape
		m.forward(s, q)
	case statement.KindRead, statement.KindWrite:
		m.forward(s, q)
	default:
		m.fail(s, statement.CodeMalformed, "statement is not known")
	}
}

// runFailed serves a statement of a failed transaction, which accepts only its end.
func (m *Machine) runFailed(s *session, q pool.Query) {
	switch q.Stmt.Kind {
	case statement.KindRollback:
		m.rollback(s, q)
	case statement.KindCommit:
		m.endTx(s)
		m.fail(s, statement.CodeAborted, "the transaction has failed and is rolled back")
	default:
		m.reply(s, statement.Reply{
			Code: statement.CodeMalformed, Text: "the transaction has failed, end it first", State: statement.StateFailed,
		})
	}
}

// begin opens a transaction; an endpoint learns of it with its first statement.
func (m *Machine) begin(s *session, q pool.Query) {
	if s.tx != nil {
		m.fail(s, statement.CodeMalformed, "a transaction is open already")
		return
	}
	route, ok := m.cat.Route(s.database)
	if !ok {
		m.fail(s, statement.CodeNoDatabase, "database "+string(s.database)+" does not exist any more")
		return
	}
	m.nextTx++
	s.tx = &transaction{id: m.nextTx, route: route, begin: q}
	s.tx.needsPrimary = q.Stmt.Kind == statement.KindBegin || route.Consistency == catalog.ConsistencyPrimary
	m.reply(s, statement.Reply{State: statement.StateInTransaction})
}

// rollback ends a transaction; the endpoint is told by the caller's own statement
// where it holds the transaction.
func (m *Machine) rollback(s *session, q pool.Query) {
	if s.tx != nil && s.tx.open {
		m.forward(s, q)
		return
	}
	s.tx = nil
	m.reply(s, statement.Reply{})
}

// endTx forgets the session's transaction and frees its connection.
func (m *Machine) endTx(s *session) {
	if s.tx != nil && s.tx.open {
		m.send(s.tx.host, EndTx{Tx: s.tx.id})
	}
	s.tx = nil
}

// state returns the state that the session is in.
func (s *session) state() statement.TransactionState {
	switch {
	case s.tx == nil:
		return statement.StateIdle
	case s.tx.failed:
		return statement.StateFailed
	}
	return statement.StateInTransaction
}

// fail answers a statement with an error that leaves the session's state.
func (m *Machine) fail(s *session, code statement.Code, text string) {
	m.reply(s, statement.Reply{Code: code, Text: text, State: s.state()})
}

// reply answers the current statement and goes on with the next one.
func (m *Machine) reply(s *session, r statement.Reply) {
	s.current = nil
	if s.tx != nil {
		s.tx.idleSince = m.now
		if r.State == statement.StateIdle && r.Code == statement.CodeOK {
			r.State = s.state()
		}
	}
	m.emit(CallerReply{Session: s.id, Reply: r})
	if m.stop.begun && s.tx == nil && len(s.backlog) == 0 {
		m.closeSession(s, statement.CodeOK, "")
		return
	}
	if len(s.backlog) > 0 {
		next := s.backlog[0]
		s.backlog = s.backlog[1:]
		m.run(s, next)
	}
}

func (m *Machine) callerGone(id SessionID) {
	s := m.sessions[id]
	if s == nil {
		return
	}
	m.dropSession(s)
}

// closeSession closes a caller's connection.
func (m *Machine) closeSession(s *session, code statement.Code, text string) {
	m.emit(CallerClose{Session: s.id, Code: code, Text: text})
	m.dropSession(s)
}

// dropSession forgets a session and gives up what runs for it.
func (m *Machine) dropSession(s *session) {
	delete(m.sessions, s.id)
	if r := s.current; r != nil {
		m.giveUp(r)
	}
	m.endTx(s)
}

// tickSessions ends transactions that have been idle for too long.
func (m *Machine) tickSessions() {
	limit := m.cat.TxIdleTimeout()
	if limit <= 0 {
		return
	}
	for _, s := range ordered(m.sessions) {
		if s.tx == nil || s.current != nil || !s.tx.open || m.now.Sub(s.tx.idleSince) < limit {
			continue
		}
		m.log(Info, "transaction ended", f("session", s.id), f("reason", "idle"), f("limit", limit))
		m.send(s.tx.host, EndTx{Tx: s.tx.id})
		s.tx.open, s.tx.failed = false, true
	}
}
