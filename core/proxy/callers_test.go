package proxy_test

import (
	"fmt"
	"strings"
	"time"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// callerDelay is the time from an answer to the caller's next statement.
const callerDelay = time.Millisecond

// callers plays the sessions of applications and checks what they get.
type callers struct {
	w        *world
	next     int
	sessions map[string]*callerSim
	// writes holds what is known of every write by its id.
	writes map[string]*writeSim
	// order are the writes in the order of their acknowledgement.
	acked   []*writeSim
	started map[string]types.Time
	// counts of finished operations.
	ok, refused, unknown int
	lastOK               types.Time
	lastWrite            types.Time
	longestWriteGap      time.Duration
}

// writeSim is one committed or attempted write.
type writeSim struct {
	id       string
	caller   string
	commits  int
	ackedAt  types.Time
	refused  bool
	lost     bool
	position int
	// replaced is set where another endpoint had taken over at the commit.
	replaced bool
}

// callerSim is one session.
type callerSim struct {
	name    string
	host    *hostSim
	session proxy.SessionID
	db      types.Database
	ready   bool
	closed  bool
	n       int
	// plan are the statements of the running operation; ids those sent so far.
	plan    []string
	ids     []string
	current string
	began   types.Time
	kind    string
	rest    bool
	values  string
}

func newCallers(w *world) *callers {
	return &callers{w: w, sessions: map[string]*callerSim{}, writes: map[string]*writeSim{}, started: map[string]types.Time{}, lastWrite: worldStart}
}

// callerOf returns the session that a statement's id belongs to.
func callerOf(id string) string {
	name, _, _ := strings.Cut(id, ".")
	return name
}

// open starts a session at a host, which repeats operations of a kind: "read",
// "write", "tx", "readtx" or "set".
func (c *callers) open(h types.Host, db types.Database, kind string) *callerSim {
	c.next++
	s := &callerSim{name: fmt.Sprintf("c%d", c.next), host: c.w.hosts[h], db: db, kind: kind}
	c.sessions[s.name] = s
	c.connect(s)
	return s
}

func (c *callers) connect(s *callerSim) {
	if !s.host.alive {
		for _, h := range c.w.sortedHosts() {
			if h.alive && h.dc == s.host.dc && h.machine.Ready() {
				s.host = h
				break
			}
		}
	}
	if !s.host.alive {
		c.w.after(200*time.Millisecond, func() { c.connect(s) })
		return
	}
	c.next++
	s.session = proxy.SessionID(c.next)
	s.ready, s.closed, s.current = false, false, ""
	c.w.give(s.host, proxy.CallerStarted{Session: s.session, Database: s.db})
}

func (c *callers) find(h *hostSim, id proxy.SessionID) *callerSim {
	for _, s := range c.sessions {
		if s.host == h && s.session == id {
			return s
		}
	}
	return nil
}

// effect takes what a host sends to a caller.
func (c *callers) effect(h *hostSim, e proxy.Effect) {
	switch e := e.(type) {
	case proxy.CallerReady:
		if s := c.find(h, e.Session); s != nil {
			s.ready = true
			c.pause(s)
		}
	case proxy.CallerReply:
		if s := c.find(h, e.Session); s != nil {
			c.reply(s, e.Reply)
		}
	case proxy.CallerClose:
		if s := c.find(h, e.Session); s != nil {
			c.closed(s, e.Code == statement.CodeOK)
		}
	}
}

// closed handles the end of a session: a statement without an answer is unknown.
func (c *callers) closed(s *callerSim, planned bool) {
	if s.current != "" {
		if planned {
			c.w.fault("session of %s was closed in order while %s had no answer", s.name, s.current)
		}
		c.end(s, false, true)
	}
	s.current, s.session, s.plan, s.ids = "", 0, nil, nil
	c.w.after(50*time.Millisecond, func() { c.connect(s) })
}

func (c *callers) hostGone(h *hostSim) {
	for i := 1; i <= c.next; i++ {
		s := c.sessions[fmt.Sprintf("c%d", i)]
		if s != nil && s.host == h && s.session != 0 {
			c.closed(s, false)
		}
	}
}

// pause waits before the next operation.
func (c *callers) pause(s *callerSim) {
	session := s.session
	c.w.after(time.Duration(10+c.w.rng.Below(40))*time.Millisecond, func() {
		if s.session == session && s.current == "" && !s.rest {
			c.begin(s)
		}
	})
}

// begin starts an operation.
func (c *callers) begin(s *callerSim) {
	s.ids, s.began = nil, c.w.now
	item := fmt.Sprintf("%x", c.w.rng.Below(100))
	switch s.kind {
	case "read":
		s.plan = []string{"READ " + item}
	case "write":
		s.plan = []string{"WRITE " + item + " x"}
	case "tx":
		s.plan = []string{"BEGIN", "READ " + item, "WRITE " + item + " x", "READ " + item, "COMMIT"}
	case "readtx":
		s.plan = []string{"BEGIN READ", "READ " + item, "READ " + item, "COMMIT"}
	case "set":
		s.values = item
		s.plan = []string{"SET mode " + item, "READ " + item, "PREPARE p WRITE q" + item, "EXECUTE p " + item + " x"}
	}
	c.send(s)
}

// send sends the next statement of the operation.
func (c *callers) send(s *callerSim) {
	text := s.plan[0]
	s.plan = s.plan[1:]
	s.n++
	id := fmt.Sprintf("%s.%d", s.name, s.n)
	s.current = id
	s.ids = append(s.ids, id)
	c.started[id] = s.began
	if strings.HasPrefix(text, "WRITE") || strings.HasPrefix(text, "EXECUTE") {
		c.writes[id] = &writeSim{id: id, caller: s.name}
	}
	c.w.give(s.host, proxy.CallerQuery{Session: s.session, Query: pool.Query{ID: id, Stmt: parse(text)}})
}

// parse is a small decoder of the statements that the tests use.
func parse(text string) statement.Statement {
	f := strings.SplitN(text, " ", 3)
	s := statement.Statement{Text: text}
	switch f[0] {
	case "BEGIN":
		s.Kind = statement.KindBegin
		if len(f) > 1 {
			s.Kind = statement.KindBeginRead
		}
	case "COMMIT":
		s.Kind = statement.KindCommit
	case "ROLLBACK":
		s.Kind = statement.KindRollback
	case "READ":
		s.Kind = statement.KindRead
	case "WRITE":
		s.Kind = statement.KindWrite
	case "SET":
		s.Kind, s.Name, s.Value = statement.KindSet, f[1], f[2]
	case "PREPARE":
		access, shape, _ := strings.Cut(f[2], " ")
		s.Kind, s.Name, s.Template = statement.KindPrepare, f[1], statement.Template{Text: shape, Writes: access == "WRITE"}
	case "EXECUTE":
		s.Kind, s.Name, s.Value = statement.KindExecute, f[1], f[2]
	}
	return s
}

// reply takes the answer to the current statement.
func (c *callers) reply(s *callerSim, r statement.Reply) {
	if s.current == "" {
		c.w.fault("%s got an answer to nothing", s.name)
		return
	}
	if r.Code == statement.CodeOK && r.Signature != "" && !strings.HasSuffix(r.Signature, "/"+s.current) {
		c.w.fault("%s got the answer %q to statement %s", s.name, r.Signature, s.current)
	}
	s.current = ""
	if r.Code != statement.CodeOK {
		promise := r.Code == statement.CodeBusy || r.Code == statement.CodeAborted || r.Code == statement.CodeLagging || r.Code == statement.CodeReadOnly
		c.end(s, false, !promise)
		if r.State != statement.StateIdle {
			s.plan = []string{"ROLLBACK"}
			s.ids = nil
			c.send(s)
			return
		}
		c.pause(s)
		return
	}
	if len(s.plan) > 0 {
		session := s.session
		c.w.after(callerDelay, func() {
			if s.session == session {
				c.send(s)
			}
		})
		return
	}
	if r.State != statement.StateIdle {
		c.w.fault("%s is in state %d after its operation", s.name, r.State)
	}
	if len(s.ids) > 0 {
		c.end(s, true, false)
	}
	c.pause(s)
}

// end notes the outcome of an operation.
func (c *callers) end(s *callerSim, ok, unknown bool) {
	wrote := false
	for _, id := range s.ids {
		w := c.writes[id]
		if w == nil {
			continue
		}
		wrote = true
		switch {
		case ok:
			w.ackedAt = c.w.now
			c.acked = append(c.acked, w)
			if w.replaced {
				c.w.fault("write %s was acknowledged by a replaced primary", id)
				w.lost = true
			}
			if w.commits == 0 && !w.lost {
				c.w.fault("write %s was acknowledged and is in no log", id)
			}
		case !unknown:
			w.refused = true
			if w.commits > 0 && !w.lost {
				c.w.fault("write %s was refused and has been committed", id)
			}
		}
	}
	switch {
	case ok:
		c.ok++
		c.lastOK = c.w.now
		if wrote {
			c.longestWriteGap = max(c.longestWriteGap, c.w.now.Sub(c.lastWrite))
			c.lastWrite = c.w.now
		}
	case unknown:
		c.unknown++
	default:
		c.refused++
	}
	s.ids = nil
}

// committed notes that an endpoint has committed writes.
func (c *callers) committed(e *endpointSim, ids []string) {
	for _, id := range ids {
		w := c.writes[id]
		if w == nil {
			c.w.fault("endpoint %s committed %s, which no caller sent", e.id, id)
			continue
		}
		w.commits++
		w.position = len(e.log)
		for _, other := range c.w.sortedEndpoints() {
			w.replaced = w.replaced || (other.primary && other.term > e.term)
		}
		if w.commits > 1 {
			c.w.fault("write %s was committed twice", id)
		}
		if w.refused {
			c.w.fault("write %s was committed after its refusal", id)
		}
	}
}

// promoted forgets the commits that a promotion has rolled back.
func (c *callers) promoted(e *endpointSim) {
	kept := map[string]bool{}
	for _, en := range e.log {
		kept[en.id] = true
	}
	for _, w := range c.writes {
		if w.commits > 0 && !kept[w.id] {
			w.lost = true
		}
	}
}

// ran checks a statement that an endpoint runs: that it stands in its own
// transaction and with its session's values, and that the log is fresh enough.
func (c *callers) ran(conn *connSim, cmd pool.Command) {
	caller := callerOf(cmd.ID)
	if conn.inTx != (conn.caller != "") || (conn.inTx && conn.caller != caller) {
		c.w.fault("statement %s ran in the transaction of %q", cmd.ID, conn.caller)
	}
	s := c.sessions[caller]
	if s == nil {
		c.w.fault("endpoint %s ran %s, which no caller sent", conn.e.id, cmd.ID)
		return
	}
	if got, _ := conn.values.Get("mode"); s.kind == "set" && s.current == cmd.ID && got != s.values {
		c.w.fault("statement %s ran with mode %q, not %q", cmd.ID, got, s.values)
	}
	if cmd.Stmt.Kind != statement.KindRead || !conn.e.holds(cmd.After) {
		return
	}
	c.checkFresh(conn.e, s, cmd.ID)
}

// checkFresh checks that a read sees the commits that its route promises.
func (c *callers) checkFresh(e *endpointSim, s *callerSim, id string) {
	began, ok := c.started[id]
	if !ok {
		return
	}
	limit := began
	if s.db != "primary-db" {
		limit = began.Add(-1500 * time.Millisecond)
	}
	held := map[string]bool{}
	for _, en := range e.log {
		held[en.id] = true
	}
	for _, w := range c.acked {
		own := s.db == "own-db" && w.caller == s.name && w.ackedAt.Before(began)
		if w.lost || held[w.id] || (!w.ackedAt.Before(limit) && !own) {
			continue
		}
		c.w.fault("read %s of %s at %s lacks write %s, acknowledged %v before", id, s.db, e.id, w.id, began.Sub(w.ackedAt))
		return
	}
}
