// Package intake decides how much memory the callers of a host may use for messages and replies:
// when a caller's next message is read, when its next statement runs, and who is closed.
//
// It is a state machine without input or output. The gateway reports what callers have sent and
// what was written to them, and applies the decisions that TakeDecisions returns.
//
// A message of up to OrdinaryBytes is read without a decision as long as its caller has no more
// than that unanswered, so a caller that waits for each reply is not affected by the others. All
// further messages wait unread while the limits are reached. A caller is closed only if the
// replies that wait for it exceed the memory for all replies.
package intake

import (
	"cmp"
	"slices"
)

const (
	// OrdinaryBytes is what each caller may have unanswered regardless of the other callers.
	OrdinaryBytes = 4 << 10
	// StatementOverheadBytes is the memory of a statement that waits, beside its text.
	StatementOverheadBytes = 512
)

// Caller identifies a caller's connection.
type Caller uint64

// Limits are the limits of a host in bytes.
type Limits struct {
	// MessageBytes limits the messages of all callers that are being read or not yet answered, and
	// CallerMessageBytes those of one caller.
	MessageBytes, CallerMessageBytes int
	// ReplyBytes limits the replies to all callers that are not yet written.
	ReplyBytes int
	// CallerReplyBytes is the size of a caller's unwritten replies above which none of its further
	// statements runs.
	CallerReplyBytes int
}

// Action is what happens to a caller.
type Action uint8

const (
	// Read allows the caller's reader to go on with what it has reserved.
	Read Action = iota + 1
	// Block stops the running of the caller's statements.
	Block
	// Unblock resumes the running of the caller's statements.
	Unblock
	// Close closes the connection at once, without the replies that wait.
	Close
)

// Decision is an action for a caller.
type Decision struct {
	Caller Caller
	Action Action
	// Bytes is the size of the unwritten replies of a caller that is closed.
	Bytes int
}

// caller is the state of one connection.
type caller struct {
	// statements holds the sizes of the unanswered statements, the oldest first; held is their
	// sum.
	statements []int
	held       int
	// reserved is the size of the message that is being read, if it is not an ordinary one.
	reserved int
	// wanted is the reservation that the reader waits for; 0 for none.
	wanted int
	// unwritten is the size of the replies that are not yet written.
	unwritten              int
	blocked                bool
	readerDone, writerDone bool
	// released is set if the connection is being closed: no statement is answered any more.
	// closed is set if, in addition, no reply is written any more.
	released, closed bool
}

// Machine holds the state of all callers. It has no locks: a single task must own it.
type Machine struct {
	limits  Limits
	callers map[Caller]*caller
	// waiting holds the callers whose reader waits, the first to wait first.
	waiting []Caller
	// messageBytes is the sum of held and reserved of all callers, and replyBytes that of
	// unwritten.
	messageBytes, replyBytes int
	decisions                []Decision
}

// New returns a Machine without callers.
func New(limits Limits) *Machine {
	return &Machine{limits: limits, callers: map[Caller]*caller{}}
}

// MessageBytes returns the size of all messages that are being read or not yet answered.
func (m *Machine) MessageBytes() int { return m.messageBytes }

// ReplyBytes returns the size of all replies that are not yet written.
func (m *Machine) ReplyBytes() int { return m.replyBytes }

// TakeDecisions returns the decisions since the last call.
func (m *Machine) TakeDecisions() []Decision {
	out := m.decisions
	m.decisions = nil
	return out
}

func (m *Machine) decide(id Caller, action Action, bytes int) {
	m.decisions = append(m.decisions, Decision{Caller: id, Action: action, Bytes: bytes})
}

// Open adds a caller.
func (m *Machine) Open(id Caller) { m.callers[id] = &caller{} }

// Reserve reports that a caller's reader waits before it reads on. Up to OrdinaryBytes are not
// reserved, but allow further ordinary messages. It reports whether the reader can go on at once.
func (m *Machine) Reserve(id Caller, bytes int) bool {
	c := m.callers[id]
	if c == nil || c.released {
		return false
	}
	c.wanted = max(bytes, 1)
	m.waiting = append(m.waiting, id)
	m.grant()
	return c.wanted == 0
}

// Arrive reports that a caller's statement has been read. It replaces the reservation.
func (m *Machine) Arrive(id Caller, bytes int) {
	c := m.callers[id]
	if c == nil {
		return
	}
	m.messageBytes -= c.reserved
	c.reserved = 0
	if !c.released {
		c.statements = append(c.statements, bytes)
		c.held += bytes
		m.messageBytes += bytes
	}
	m.grant()
}

// Start reports that a caller's startup message has been read. It ends the reservation.
func (m *Machine) Start(id Caller) {
	if c := m.callers[id]; c != nil {
		m.messageBytes -= c.reserved
		c.reserved = 0
		m.grant()
	}
}

// Answer reports that the oldest statement of a caller has been answered.
func (m *Machine) Answer(id Caller) {
	c := m.callers[id]
	if c == nil || len(c.statements) == 0 {
		return
	}
	m.messageBytes -= c.statements[0]
	c.held -= c.statements[0]
	c.statements = c.statements[1:]
	m.grant()
}

// grant allows the waiting readers to go on as far as the limits permit.
func (m *Machine) grant() {
	if len(m.waiting) == 0 {
		return
	}
	// Once a caller waits for the memory of all callers, later ones do not overtake it.
	full := false
	m.waiting = slices.DeleteFunc(m.waiting, func(id Caller) bool {
		c := m.callers[id]
		if c == nil || c.released {
			return true
		}
		reserved := c.wanted
		switch {
		case c.wanted <= OrdinaryBytes && c.held <= OrdinaryBytes:
			reserved = 0
		case c.held > 0 && c.held+c.wanted > m.limits.CallerMessageBytes:
			return false
		case full || m.messageBytes+c.wanted > m.limits.MessageBytes:
			full = true
			return false
		case c.wanted <= OrdinaryBytes:
			reserved = 0
		}
		c.wanted = 0
		c.reserved += reserved
		m.messageBytes += reserved
		m.decide(id, Read, 0)
		return true
	})
}

// QueueReply reports that a reply waits to be written to a caller.
func (m *Machine) QueueReply(id Caller, bytes int) {
	c := m.callers[id]
	if c == nil || c.closed {
		return
	}
	c.unwritten += bytes
	m.replyBytes += bytes
	if c.unwritten > m.limits.CallerReplyBytes && !c.blocked {
		c.blocked = true
		m.decide(id, Block, 0)
	}
	for m.replyBytes > m.limits.ReplyBytes {
		m.closeLargest()
	}
}

// closeLargest closes the caller with the largest unwritten replies, of several the oldest.
func (m *Machine) closeLargest() {
	var largest Caller
	for id, c := range m.callers {
		l := m.callers[largest]
		if l == nil || cmp.Or(cmp.Compare(c.unwritten, l.unwritten), cmp.Compare(largest, id)) > 0 {
			largest = id
		}
	}
	c := m.callers[largest]
	m.decide(largest, Close, c.unwritten)
	m.releaseStatements(c)
	m.releaseReplies(c)
	c.closed = true
	m.grant()
}

// WriteReply reports that a reply has been written to a caller.
func (m *Machine) WriteReply(id Caller, bytes int) {
	c := m.callers[id]
	if c == nil || c.closed {
		return
	}
	c.unwritten -= bytes
	m.replyBytes -= bytes
	if c.blocked && c.unwritten <= m.limits.CallerReplyBytes/2 {
		c.blocked = false
		m.decide(id, Unblock, 0)
	}
}

// Release reports that the statements of a caller will not be answered, because its connection is
// being closed. Its reader gets no more memory.
func (m *Machine) Release(id Caller) {
	if c := m.callers[id]; c != nil {
		m.releaseStatements(c)
		m.grant()
	}
}

func (m *Machine) releaseStatements(c *caller) {
	m.messageBytes -= c.held
	c.held, c.statements, c.released = 0, nil, true
}

func (m *Machine) releaseReplies(c *caller) {
	m.replyBytes -= c.unwritten
	c.unwritten = 0
}

// ReaderDone reports that a caller's reader has ended.
func (m *Machine) ReaderDone(id Caller) {
	c := m.callers[id]
	if c == nil {
		return
	}
	m.releaseStatements(c)
	m.messageBytes -= c.reserved
	c.reserved, c.wanted, c.readerDone = 0, 0, true
	m.remove(id, c)
	m.grant()
}

// WriterDone reports that a caller's writer has ended.
func (m *Machine) WriterDone(id Caller) {
	c := m.callers[id]
	if c == nil {
		return
	}
	m.releaseReplies(c)
	c.closed, c.writerDone = true, true
	m.remove(id, c)
}

// remove removes a caller whose reader and writer have ended.
func (m *Machine) remove(id Caller, c *caller) {
	if c.readerDone && c.writerDone {
		delete(m.callers, id)
	}
}
