package proxy

import (
	"strings"

	"baobabfield.example/core/statement"
)

// MemoryLimits limit what callers can make the host keep, in bytes. A limit of 0 is not applied.
type MemoryLimits struct {
	// SessionBytes limits what a session keeps between statements: its prepared statements, its
	// variables, the ID of its transaction, its database and its key. AllSessionsBytes limits the
	// sum over all sessions.
	SessionBytes, AllSessionsBytes int
	// ExecutionBytes limits the statements of other hosts that wait or run at this host.
	ExecutionBytes int
}

const (
	// ordinaryStateBytes is what each session may keep regardless of the other sessions.
	ordinaryStateBytes = 8 << 10
	// ordinaryExecutionBytes is the size up to which a statement of another host does not count:
	// the length of the queues limits these.
	ordinaryExecutionBytes = 4 << 10
	// stateEntryOverhead is the memory of a prepared statement or a variable beside its texts.
	stateEntryOverhead = 128
	// stateExceeded is the error text of a statement for which the session has no memory.
	stateExceeded = "not run: the prepared statements and variables of the session exceed the memory for them"
	// maxNameInError is the longest name that an error text repeats.
	maxNameInError = 100
)

// shorten returns a name for an error text.
func shorten(name string) string {
	if len(name) > maxNameInError {
		return name[:maxNameInError] + "..."
	}
	return name
}

// resizeState changes the size of what a session keeps, and reports whether the limits permit it.
func (m *Machine) resizeState(s *session, delta int) bool {
	limits, size := m.settings.Memory, s.stateBytes+delta
	if delta > 0 && size > ordinaryStateBytes {
		if limits.SessionBytes > 0 && size > limits.SessionBytes || limits.AllSessionsBytes > 0 && m.stateBytes+delta > limits.AllSessionsBytes {
			m.incrementCounter("baobab_gateway_session_memory_refused_total")
			return false
		}
	}
	s.stateBytes = size
	m.stateBytes += delta
	return true
}

func variableBytes(name, value string) int { return len(name) + len(value) + stateEntryOverhead }

// setVariable sets a variable of the session and replies to the caller.
func (m *Machine) setVariable(s *session, name, value string) {
	delta := variableBytes(name, value)
	if old, ok := s.variables.Get(name); ok {
		delta -= variableBytes(name, old)
	}
	if !m.resizeState(s, delta) {
		m.replyError(s, statement.CodeBusy, stateExceeded)
		return
	}
	s.variables = s.variables.With(strings.Clone(name), strings.Clone(value))
	m.replyToCaller(s, statement.Reply{})
}

func preparedBytes(name string, t *statement.Template) int {
	return len(name) + len(t.Text) + stateEntryOverhead
}

// prepare adds a prepared statement to the session and replies to the caller.
func (m *Machine) prepare(s *session, name string, t statement.Template) {
	delta := preparedBytes(name, &t)
	if old, ok := s.prepared[name]; ok {
		delta -= preparedBytes(name, &old)
	}
	if !m.resizeState(s, delta) {
		m.replyError(s, statement.CodeBusy, stateExceeded)
		return
	}
	// The name and the text alone must not keep the memory of the whole message.
	t.Text = strings.Clone(t.Text)
	s.prepared[strings.Clone(name)] = t
	m.replyToCaller(s, statement.Reply{})
}

// deallocate removes a prepared statement of the session and replies to the caller.
func (m *Machine) deallocate(s *session, name string) {
	t, ok := s.prepared[name]
	if !ok {
		m.replyError(s, statement.CodeUnknownName, "prepared statement "+shorten(name)+" does not exist")
		return
	}
	m.resizeState(s, -preparedBytes(name, &t))
	delete(s.prepared, name)
	m.replyToCaller(s, statement.Reply{})
}

// countedBytes returns the size of a statement of another host, or 0 if it does not count.
func (m *Machine) countedBytes(ex *execution) int {
	q := &ex.request.Query
	size := len(q.ID) + len(q.Stmt.Text) + len(q.Stmt.Template.Text)
	for _, v := range ex.request.Variables {
		size += variableBytes(v.Name, v.Value)
	}
	if ex.from == m.settings.Host || size <= ordinaryExecutionBytes {
		return 0
	}
	return size
}

// hasExecutionMemory reports whether the host has memory for a statement of another host. A
// statement is accepted if nothing else counts, and if its transaction has begun: the number of
// connections limits these.
func (m *Machine) hasExecutionMemory(ex *execution) bool {
	size, limit := m.countedBytes(ex), m.settings.Memory.ExecutionBytes
	if size == 0 || limit <= 0 || m.executionBytes == 0 || m.executionBytes+size <= limit || (ex.request.Tx != 0 && ex.request.Begin == nil) {
		return true
	}
	m.incrementCounter("baobab_gateway_execution_memory_refused_total")
	return false
}

func (m *Machine) addExecution(ex *execution) {
	m.executions[ex.id] = ex
	m.executionBytes += m.countedBytes(ex)
}

// removeExecution removes an execution if it has not been removed yet.
func (m *Machine) removeExecution(ex *execution) {
	if m.executions[ex.id] == ex {
		delete(m.executions, ex.id)
		m.executionBytes -= m.countedBytes(ex)
	}
}
