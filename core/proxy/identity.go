package proxy

import (
	"cmp"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

const (
	// configConfirmTimeout is the time after which a new process uses a configuration that
	// nothing has confirmed, so that callers are served while the store is away.
	configConfirmTimeout = 3 * time.Second
	// denyAgePercent is the age up to which a configuration proves that a database or a key does
	// not exist, as a part of its bound. The rest is for a request that waits for this host's CPU.
	denyAgePercent = 70
	// withdrawnTxPercent is the part of the configuration's bound for which a transaction goes on
	// after the key of its caller was withdrawn. The rest is for the spreading of the version.
	withdrawnTxPercent = 50
)

// isConfigRecent reports whether the configuration was current a short time ago, so that what it does
// not hold does not exist. A host that is short of CPU time can miss new versions for many seconds,
// and goes on accepting sessions.
func (m *Machine) isConfigRecent() bool {
	at, ok := m.refresh.currentAt[KindConfig]
	return ok && m.now.Sub(at) <= m.configBound()*denyAgePercent/100
}

func (m *Machine) configBound() time.Duration {
	return cmp.Or(m.settings.ConfigBound, defaultConfigBound)
}

// denial returns the code and text of a refusal for something that the configuration does not hold:
// the given ones, or, if the configuration is not recent, that it is not known yet.
func (m *Machine) denial(code statement.Code, text string) (statement.Code, string) {
	if m.isConfigRecent() {
		return code, text
	}
	m.incrementCounter("baobab_denials_postponed_total")
	return statement.CodeBusy, "not run: the configuration of this host may be out of date, connect again in a second"
}

// isConfigConfirmed reports whether the configuration is known to be one that was current after
// this process started. The first list of a new process may be several seconds old: it may lack a
// database that exists by now, or hold a key that was withdrawn.
func (m *Machine) isConfigConfirmed() bool {
	if _, ok := m.refresh.currentAt[KindConfig]; ok {
		return true
	}
	return m.refresh.startedAt != 0 && m.now.Sub(m.refresh.startedAt) >= configConfirmTimeout
}

// authenticate returns the workspace of a caller's key. It returns false if the caller may not use
// the route.
func (m *Machine) authenticate(key string, route *catalog.Route) (types.Workspace, bool) {
	if !m.catalog.HasWorkspaces() {
		return "", true
	}
	w, ok := m.catalog.WorkspaceOfKey(key)
	return w, ok || route.Public
}

// authenticateOperation checks the caller's key before a statement or transaction. If the key was
// withdrawn, it refuses the statement and closes the session.
func (m *Machine) authenticateOperation(s *session, route *catalog.Route) bool {
	w, ok := m.authenticate(s.key, route)
	if !ok {
		m.logRefusedSession(s.database, "key withdrawn")
		s.backlog = nil
		m.incrementCounter("baobab_auth_failed_total")
		m.replyError(s, statement.CodeAuthFailed, "the key is not known")
		if m.sessions[s.id] == s { // the reply closes a drained session
			m.closeSession(s, statement.CodeOK, "")
		}
		return false
	}
	s.workspace = w
	return true
}

// authenticateAttempt checks the caller's key again before a statement is sent that does not continue
// a transaction at an endpoint. The configuration may have changed since BEGIN, or while the
// statement waited, which takes up to its timeout. It refuses the statement and closes the session
// if the key was withdrawn.
func (m *Machine) authenticateAttempt(r *request) bool {
	s := r.session
	route, ok := m.catalog.Route(s.database)
	if !ok {
		route = r.route
	}
	w, ok := m.authenticate(s.key, &route)
	if !ok {
		m.logRefusedSession(s.database, "key withdrawn")
		m.incrementCounter("baobab_auth_failed_total")
		s.tx, s.backlog = nil, nil
		m.finishRequest(r, statement.Reply{Code: statement.CodeAuthFailed, Text: "the key is not known"})
		if m.sessions[s.id] == s { // the reply closes a drained session
			m.closeSession(s, statement.CodeOK, "")
		}
		return false
	}
	s.workspace, r.route.Public = w, route.Public
	if r.opensTx {
		s.tx.route.Public = route.Public
	}
	return true
}

func (m *Machine) logRefusedSession(db types.Database, reason string) {
	m.log(Info, "session refused", append([]Field{
		field("database", db), field("reason", reason), field("config", m.catalog.ConfigVersion()),
	}, m.currencyFields(KindConfig)...)...)
}

// closeWithdrawnSessions closes the idle sessions whose keys the configuration does not hold any
// more. The others are closed after their statement or transaction.
func (m *Machine) closeWithdrawnSessions() {
	for _, s := range ordered(m.sessions) {
		m.noteMovedKey(s)
		if !m.isWithdrawn(s) {
			s.withdrawnAt = 0
			continue
		}
		if s.withdrawnAt == 0 {
			s.withdrawnAt = m.now
			m.log(Info, "key withdrawn", field("session", s.id), field("workspace", s.workspace), field("database", s.database),
				field("config", m.catalog.ConfigVersion()), field("transaction", s.tx != nil))
		}
		if s.tx == nil && s.currentRequest == nil {
			m.drainSession(s)
		}
	}
}

// isWithdrawn reports whether the key of a session was valid and is not any more. A session whose
// route is gone keeps its key outside a transaction, since its next statement is refused for the
// route.
func (m *Machine) isWithdrawn(s *session) bool {
	route, ok := m.catalog.Route(s.database)
	if !ok {
		if s.tx == nil {
			return false
		}
		route = s.tx.route
	}
	_, ok = m.authenticate(s.key, &route)
	return !ok
}

// abortWithdrawnTransactions ends the transactions that have gone on for long after the key of their
// caller has moved to another workspace or was withdrawn. In the second case the statements that have
// been read are answered first: a caller can always have one in flight.
func (m *Machine) abortWithdrawnTransactions() {
	if !m.catalog.HasWorkspaces() {
		return // no key is withdrawn, and the sessions need not be sorted at each tick
	}
	limit := m.configBound() * withdrawnTxPercent / 100
	for _, s := range ordered(m.sessions) {
		if s.currentRequest == nil && m.mustEndMovedTransaction(s) {
			m.failTransaction(s, field("reason", "key moved"), field("workspace", s.workspace))
		}
		if s.withdrawnAt != 0 && s.tx != nil && !s.endsTx && m.now.Sub(s.withdrawnAt) >= limit {
			m.log(Info, "transaction ended", field("session", s.id), field("reason", "key withdrawn"), field("workspace", s.workspace))
			s.endsTx = true
			m.drainSession(s)
		}
	}
}

// noteMovedKey records whether the caller's key belongs to another workspace than the one that its
// open transaction runs for.
func (m *Machine) noteMovedKey(s *session) {
	if s.tx == nil {
		return
	}
	w, ok := m.authenticate(s.key, &s.tx.route)
	switch {
	case !ok, w == s.workspace:
		s.tx.keyMovedAt = 0
	case s.tx.keyMovedAt == 0:
		s.tx.keyMovedAt = m.now
		m.log(Info, "key moved", field("session", s.id), field("workspace", s.workspace), field("to", w), field("config", m.catalog.ConfigVersion()))
	}
}

// mustEndMovedTransaction reports whether a transaction that an endpoint holds has gone on for long
// after the caller's key has moved. Its statements can only run on the connection of its workspace.
func (m *Machine) mustEndMovedTransaction(s *session) bool {
	return s.tx != nil && s.tx.open && s.tx.keyMovedAt != 0 && m.now.Sub(s.tx.keyMovedAt) >= m.configBound()*withdrawnTxPercent/100
}

// mayRunFor reports whether this owner knows for whom a request runs. A host that does not know
// workspaces sends none. A transaction that this owner has begun goes on: it may have begun before the
// configuration had workspaces, and its frontend ends it if the key is not valid.
func (m *Machine) mayRunFor(req *ExecRequest) bool {
	return !m.catalog.HasWorkspaces() || req.Workspace != "" || req.Public || (req.Tx != 0 && req.Begin == nil)
}
