package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// randomRun plays random events against a pool and checks every command that it sends.
type randomRun struct {
	t           *testing.T
	rng         *rand.Rand
	now         types.Time
	pool        *pool.Pool
	limit       int
	nextConn    pool.ConnID
	nextRequest pool.RequestID
	nextTx      pool.TxID
	conns       map[pool.ConnID]*randomConn
	// order lists the open connections in the order of their dials.
	order    []pool.ConnID
	requests map[pool.RequestID]*pool.Request
	// byQuery holds the requests by the IDs of their statements.
	byQuery map[string]*pool.Request
	// openTxs lists the transactions that wait for their next statement.
	openTxs []*pool.Request
	results int
}

// randomConn is the endpoint's state of a connection.
type randomConn struct {
	workspace types.Workspace
	ready     bool
	openedAt  types.Time
	running   *pool.Command
	variables statement.SessionVariables
	templates map[string]statement.Template
	tx        pool.TxID
}

func newRandomRun(t *testing.T, seed uint64, byWorkspace bool) *randomRun {
	r := &randomRun{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: startTime, limit: 6, conns: map[pool.ConnID]*randomConn{},
		requests: map[pool.RequestID]*pool.Request{}, byQuery: map[string]*pool.Request{},
	}
	r.pool = pool.New(pool.Config{Slots: 3, MaxConnections: r.limit, ByWorkspace: byWorkspace}, func() pool.ConnID { r.nextConn++; return r.nextConn })
	return r
}

func (r *randomRun) applyEffects() {
	for effects := r.pool.TakeEffects(); len(effects) > 0; effects = r.pool.TakeEffects() {
		for _, e := range effects {
			switch e := e.(type) {
			case pool.Dial:
				if len(r.conns) >= r.limit {
					r.t.Fatalf("connection %d is opened at the limit of %d", len(r.conns)+1, r.limit)
				}
				r.conns[e.Conn] = &randomConn{workspace: e.Workspace, templates: map[string]statement.Template{}}
				r.order = append(r.order, e.Conn)
			case pool.Close:
				r.remove(e.Conn)
			case pool.Send:
				r.checkCommand(e)
			case pool.Result:
				r.handleResult(e)
			}
		}
	}
}

func (r *randomRun) remove(id pool.ConnID) {
	delete(r.conns, id)
	for i, c := range r.order {
		if c == id {
			r.order = append(r.order[:i:i], r.order[i+1:]...)
			return
		}
	}
}

// checkCommand checks that a statement runs on a connection of its workspace with the variables of
// its session and the template that it names.
func (r *randomRun) checkCommand(e pool.Send) {
	c := r.conns[e.Conn]
	if c == nil || !c.ready || c.running != nil {
		r.t.Fatalf("command %+v on a connection that is not free", e.Command)
	}
	cmd := e.Command
	c.running = &cmd
	req := r.byQuery[cmd.ID]
	if req == nil {
		return // a command of the pool itself
	}
	if req.Workspace != c.workspace {
		r.t.Fatalf("statement of workspace %q on a connection of %q", req.Workspace, c.workspace)
	}
	if req.RequireTrusted && !r.pool.IsTrusted(c.openedAt) {
		r.t.Fatalf("statement on a connection that is not trusted")
	}
	if c.tx != 0 && c.tx != req.Tx {
		r.t.Fatalf("statement of transaction %d inside transaction %d", req.Tx, c.tx)
	}
	if fmt.Sprint(c.variables) != fmt.Sprint(req.Variables) {
		r.t.Fatalf("statement runs with variables %v instead of %v", c.variables, req.Variables)
	}
	if cmd.Stmt.Kind == statement.KindExecute && c.templates[cmd.Stmt.Name] != req.Query.Stmt.Template {
		r.t.Fatalf("%v runs as %v", req.Query.Stmt.Template, c.templates[cmd.Stmt.Name])
	}
}

func (r *randomRun) handleResult(res pool.Result) {
	req := r.requests[res.ID]
	if req == nil {
		r.t.Fatalf("second result of request %d", res.ID)
	}
	delete(r.requests, res.ID)
	r.results++
	if res.TxOpen && req.Query.Stmt.Kind != statement.KindCommit {
		r.openTxs = append(r.openTxs, req)
	}
}

// reply runs the command of a connection at the endpoint and replies.
func (r *randomRun) reply(id pool.ConnID, c *randomConn) {
	cmd := c.running
	c.running = nil
	reply := statement.Reply{}
	if r.rng.IntN(20) == 0 {
		reply.Code = []statement.Code{statement.CodeFailed, statement.CodeBusy, statement.CodeUnknownName, statement.CodeReadOnly}[r.rng.IntN(4)]
	}
	req := r.byQuery[cmd.ID]
	switch {
	case reply.Code != statement.CodeOK && cmd.Stmt.Kind != statement.KindCommit:
	case cmd.Reset:
		c.variables, c.templates = nil, map[string]statement.Template{}
	case cmd.Stmt.Kind == statement.KindSet:
		c.variables = c.variables.With(cmd.Stmt.Name, cmd.Stmt.Value)
	case cmd.Stmt.Kind == statement.KindPrepare:
		c.templates[cmd.Stmt.Name] = cmd.Stmt.Template
	case cmd.Stmt.Kind == statement.KindBegin:
		c.tx = req.Tx
	case cmd.Stmt.Kind == statement.KindCommit:
		c.tx = 0
	}
	if c.tx != 0 {
		reply.State = statement.StateInTransaction
	}
	r.pool.HandleReply(r.now, id, reply)
}

// submit submits the next statement of an open transaction, or a new request.
func (r *randomRun) submit() {
	r.nextRequest++
	req := pool.Request{
		ID: r.nextRequest, Workspace: types.Workspace(fmt.Sprintf("w%d", r.rng.IntN(9))), Rank: r.rng.IntN(3),
		Due: r.now.Add(150 * time.Millisecond), Deadline: r.now.Add(time.Duration(100+r.rng.IntN(900)) * time.Millisecond),
	}
	id := fmt.Sprint(r.nextRequest)
	switch n := r.rng.IntN(10); {
	case n < 4 && len(r.openTxs) > 0:
		old := r.openTxs[0]
		r.openTxs = r.openTxs[1:]
		req.Tx, req.Workspace, req.Variables = old.Tx, old.Workspace, old.Variables
		req.Query = pool.Query{ID: id, Stmt: statement.Statement{Kind: []statement.Kind{statement.KindCommit, statement.KindWrite}[r.rng.IntN(2)], Text: "x"}}
	case n < 6:
		r.nextTx++
		req.Tx = r.nextTx
		begin := pool.Query{ID: "begin" + id, Stmt: statement.Statement{Kind: statement.KindBegin, Text: "BEGIN"}}
		req.Begin = &begin
		req.Query = write(id)
	case n < 8:
		// Workspaces use the same names for different templates.
		text := fmt.Sprintf("template %d of %s", r.rng.IntN(2), req.Workspace)
		req.Query = pool.Query{ID: id, Stmt: statement.Statement{Kind: statement.KindExecute, Name: "s", Template: statement.Template{Text: text}}}
	default:
		req.Query = read(id)
	}
	if req.Begin != nil || req.Tx == 0 {
		req.RequireTrusted = r.rng.IntN(4) == 0
		for range r.rng.IntN(3) {
			req.Variables = req.Variables.With([]string{"a", "b"}[r.rng.IntN(2)], string(req.Workspace))
		}
	}
	r.requests[req.ID] = &req
	r.byQuery[id] = &req
	if req.Begin != nil {
		r.byQuery[req.Begin.ID] = &req
	}
	r.pool.Submit(r.now, req)
}

// step plays one random event.
func (r *randomRun) step() {
	r.now = r.now.Add(time.Duration(r.rng.IntN(4000)) * time.Microsecond)
	if len(r.order) > 0 && r.rng.IntN(3) > 0 {
		id := r.order[r.rng.IntN(len(r.order))]
		r.stepConn(id, r.conns[id])
	} else {
		r.submit()
	}
	r.applyEffects()
	switch n := r.rng.IntN(200); {
	case n < 10:
		r.pool.TrustConnections(r.now, r.now.Add(-time.Duration(r.rng.IntN(30))*time.Millisecond))
	case n == 10 && len(r.openTxs) > 0:
		r.pool.AbortTx(r.now, r.openTxs[0].Tx)
		r.openTxs = r.openTxs[1:]
	}
	r.applyEffects()
	if r.rng.IntN(5) == 0 {
		r.pool.Tick(r.now)
		r.applyEffects()
		r.checkDeadlines()
		if at, ok := r.pool.NextWake(); ok && !at.After(r.now) {
			r.t.Fatalf("after a tick the next one is due at once")
		}
	}
}

// checkDeadlines checks after a tick that no request is kept beyond its deadline, or, if it runs,
// beyond the time at which its reply is overdue.
func (r *randomRun) checkDeadlines() {
	const longestRun = 300 * time.Millisecond
	for id, req := range r.requests {
		if r.now.Sub(req.Deadline) > longestRun {
			r.t.Fatalf("request %d has no result %v after its deadline", id, r.now.Sub(req.Deadline))
		}
	}
}

// checkEnd checks that a draining pool ends all requests, releases its slots and becomes idle.
func (r *randomRun) checkEnd() {
	r.pool.Drain(r.now)
	r.now = r.now.Add(2 * time.Second)
	r.pool.Tick(r.now)
	r.applyEffects()
	for tx := range r.nextTx {
		r.pool.AbortTx(r.now, tx+1)
	}
	r.applyEffects()
	if queued, running := r.pool.Load(); len(r.requests) > 0 || queued != 0 || running != 0 || !r.pool.IsIdle() {
		r.t.Fatalf("%d requests have no result, %d are queued, %d slots are in use at the end", len(r.requests), queued, running)
	}
	if r.results < 500 {
		r.t.Fatalf("only %d requests were played", r.results)
	}
}

// stepConn plays one random event of a connection.
func (r *randomRun) stepConn(id pool.ConnID, c *randomConn) {
	switch n := r.rng.IntN(40); {
	case n == 0 && c.ready:
		r.remove(id)
		r.pool.HandleDisconnect(r.now, id)
	case n == 1 && !c.ready:
		r.remove(id)
		r.pool.HandleDialFailure(r.now, id)
	case n == 2 && !c.ready:
		r.remove(id)
		r.pool.HandleDialRefused(r.now, id)
	case !c.ready:
		c.ready, c.openedAt = true, r.now
		r.pool.HandleConnected(r.now, id)
	case c.running != nil:
		r.reply(id, c)
	}
}

// No statement runs on a connection of another workspace, with variables of another session or as
// a template of another one, and no connection is opened at the limit, whatever happens. Every
// request has one result by its deadline, and no slot stays in use.
func TestWorkspacesStayApartUnderRandomEvents(t *testing.T) {
	for _, byWorkspace := range []bool{true, false} {
		for seed := range uint64(60) {
			t.Run(fmt.Sprintf("by workspace %v, seed %d", byWorkspace, seed), func(t *testing.T) {
				r := newRandomRun(t, seed, byWorkspace)
				for i := range 3000 {
					if i%500 == 250 {
						r.limit = 3 + r.rng.IntN(6)
						r.pool.Configure(pool.Config{Slots: 3, MaxConnections: r.limit, ByWorkspace: byWorkspace})
					}
					r.step()
				}
				r.checkEnd()
			})
		}
	}
}

// newWorkspaceHarness returns a harness of a pool with connections by workspace.
func newWorkspaceHarness(t *testing.T, slots, maxConnections int) *harness {
	h := newHarness(t, slots, maxConnections)
	h.pool.Configure(pool.Config{Slots: slots, MaxConnections: maxConnections, ByWorkspace: true})
	return h
}

// A workspace without a connection gets one in its turn, although another one has requests queued
// for every connection at the limit.
func TestCapDoesNotStarveWorkspace(t *testing.T) {
	h := newWorkspaceHarness(t, 2, 2)
	far := h.now.Add(time.Hour)
	id := pool.RequestID(100)
	busy := func() {
		id++
		h.submit(pool.Request{ID: id, Workspace: "busy", Query: read("busy"), Rank: 1, Due: h.now.Add(250 * time.Millisecond), Deadline: far})
	}
	for range 20 {
		busy()
	}
	h.submit(pool.Request{ID: 1, Workspace: "small", Query: read("small"), Rank: 1, Due: h.now.Add(250 * time.Millisecond), Deadline: far})
	begun := h.now
	for range 200 {
		if _, done := h.results[1]; done {
			break
		}
		h.now = h.now.Add(5 * time.Millisecond)
		busy()
		h.replyToOldest(statement.Reply{})
	}
	_, done := h.results[1]
	h.is.True(done)
	// 20 requests of 5 ms are before it. Those behind it have waited no longer.
	if waited := h.now.Sub(begun); waited > 150*time.Millisecond {
		t.Errorf("the request has waited %v", waited)
	}
}

// A workspace that waits while transactions hold all connections gets one that becomes free, once
// it has waited for a quarter of its objective, even if another request waits for the same one.
func TestWaitingWorkspaceGetsConnectionOfEndedTransaction(t *testing.T) {
	h := newWorkspaceHarness(t, 4, 2)
	for tx := range pool.TxID(2) {
		begin := pool.Query{ID: "begin", Stmt: statement.Statement{Kind: statement.KindBegin, Text: "BEGIN"}}
		h.submit(pool.Request{ID: pool.RequestID(1 + tx), Tx: 1 + tx, Workspace: "busy", Begin: &begin, Query: write("w")})
		h.replyToOldest(statement.Reply{State: statement.StateInTransaction})
		h.replyToOldest(statement.Reply{State: statement.StateInTransaction})
	}
	h.submit(pool.Request{ID: 3, Workspace: "small", Query: read("small")})
	h.submit(pool.Request{ID: 4, Workspace: "busy", Query: read("busy")})
	h.is.Equal(len(h.sendOrder), 0)
	h.submit(pool.Request{ID: 5, Tx: 1, Workspace: "busy", Query: pool.Query{ID: "c", Stmt: statement.Statement{Kind: statement.KindCommit, Text: "COMMIT"}}})
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "c")
	h.is.Equal(h.sentCommands[h.sendOrder[0]].ID, "busy")
	h.submit(pool.Request{ID: 6, Workspace: "busy", Query: read("busy")})
	h.now = h.now.Add(50 * time.Millisecond)
	h.replyToOldest(statement.Reply{})
	h.is.Equal(len(h.closed), 1)
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "small")
}

// A workspace whose only connection is held by a transaction gets another one once its request has
// waited for a quarter of its objective, although the others use theirs more.
func TestCapDoesNotStarveWorkspaceBehindItsTransaction(t *testing.T) {
	h := newWorkspaceHarness(t, 4, 2)
	for i := range 10 {
		h.submit(pool.Request{ID: pool.RequestID(100 + i), Workspace: "often", Query: read("often")})
		h.replyToOldest(statement.Reply{})
	}
	begin := pool.Query{ID: "begin", Stmt: statement.Statement{Kind: statement.KindBegin, Text: "BEGIN"}}
	h.submit(pool.Request{ID: 1, Tx: 1, Workspace: "small", Begin: &begin, Query: write("w")})
	h.replyToOldest(statement.Reply{State: statement.StateInTransaction})
	h.replyToOldest(statement.Reply{State: statement.StateInTransaction})
	h.submit(pool.Request{ID: 2, Workspace: "small", Query: read("small")})
	h.is.Equal(len(h.closed), 0)
	for range 5 {
		at, ok := h.pool.NextWake()
		h.is.True(ok)
		h.advance(at.Sub(h.now))
	}
	h.is.Equal(len(h.closed), 1)
	h.is.Equal(h.replyToOldest(statement.Reply{}).ID, "small")
}

// With all slots in use or occupied by an opening, no request starts on an idle connection.
func TestOpeningsCountAsSlotUse(t *testing.T) {
	is := is.New(t)
	var next pool.ConnID
	p := pool.New(pool.Config{Slots: 2, MaxConnections: 10, ByWorkspace: true}, func() pool.ConnID { next++; return next })
	now := startTime
	var dials, sends []pool.ConnID
	collect := func() {
		for _, e := range p.TakeEffects() {
			switch e := e.(type) {
			case pool.Dial:
				dials = append(dials, e.Conn)
			case pool.Send:
				sends = append(sends, e.Conn)
			}
		}
	}
	id := pool.RequestID(0)
	submit := func(w types.Workspace) {
		id++
		p.Submit(now, pool.Request{ID: id, Workspace: w, Query: read("q"), Due: now.Add(time.Second), Deadline: now.Add(time.Second)})
		collect()
	}
	for _, w := range []types.Workspace{"a", "b"} {
		submit(w)
		p.HandleConnected(now, dials[len(dials)-1])
		collect()
		p.HandleReply(now, sends[len(sends)-1], statement.Reply{})
		collect()
	}
	submit("c")
	submit("d") // waits for its turn, since one of two slots is left for work
	is.Equal(len(dials), 3)
	submit("a")
	is.Equal(len(sends), 3)
	submit("b")
	is.Equal(len(sends), 3) // both slots are taken
	p.HandleReply(now, sends[2], statement.Reply{})
	collect()
	is.Equal(len(sends), 4)
	now = now.Add(150 * time.Millisecond) // the opening takes so long that it waits for the network
	p.Tick(now)
	submit("a")
	is.Equal(len(sends), 5)
}

// No connection is opened for a request that a running connection of its workspace will serve
// sooner. One is opened if the statement there takes longer than expected.
func TestRequestWaitsForConnectionThatIsFreeSoon(t *testing.T) {
	h := newWorkspaceHarness(t, 4, 10)
	for range 20 { // the mean service time is 4 ms
		h.submit(pool.Request{ID: pool.RequestID(len(h.results) + 1), Workspace: "w", Query: read("q")})
		h.now = h.now.Add(4 * time.Millisecond)
		h.replyToOldest(statement.Reply{})
	}
	h.submit(pool.Request{ID: 101, Workspace: "w", Query: read("a")})
	h.submit(pool.Request{ID: 102, Workspace: "w", Query: read("b")})
	h.is.Equal(len(h.dials), 1)
	h.advance(13 * time.Millisecond)
	h.is.Equal(len(h.dials), 2)
	h.is.Equal(len(h.sendOrder), 2)
}

// At the limit, the idle connection of the workspace that uses it least is closed, although it was
// used last.
func TestLeastReusedConnectionIsClosed(t *testing.T) {
	h := newWorkspaceHarness(t, 4, 3)
	id := pool.RequestID(0)
	use := func(w types.Workspace) {
		id++
		h.submit(pool.Request{ID: id, Workspace: w, Query: read(string(w))})
		h.replyToOldest(statement.Reply{})
		h.now = h.now.Add(100 * time.Millisecond)
	}
	for range 10 {
		use("often")
		use("regular")
	}
	use("seldom")
	use("new")
	h.is.Equal(h.closed, []pool.ConnID{3})
	use("often")
	use("regular")
	h.is.Equal(len(h.dials), 4)
}

// Unused connections are closed, but not before they would often be reopened.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	h := newWorkspaceHarness(t, 4, 3)
	h.submit(pool.Request{ID: 1, Workspace: "w", Query: read("q")})
	h.replyToOldest(statement.Reply{})
	h.advance(time.Minute)
	h.is.Equal(len(h.closed), 0)
	at, ok := h.pool.NextWake()
	h.is.True(ok)
	h.advance(at.Sub(h.now))
	h.is.Equal(len(h.closed), 1)
	_, ok = h.pool.NextWake()
	h.is.True(!ok)
}

// A lowered limit closes idle connections, the least reused first. Running ones are kept.
func TestLoweredLimitClosesIdleConnections(t *testing.T) {
	h := newWorkspaceHarness(t, 4, 5)
	for i := range 5 {
		h.submit(pool.Request{ID: pool.RequestID(1 + i), Workspace: types.Workspace(fmt.Sprint("w", i)), Query: read("q")})
		if i > 0 {
			h.replyToOldest(statement.Reply{})
		}
	}
	h.pool.Configure(pool.Config{Slots: 4, MaxConnections: 1, ByWorkspace: true})
	h.advance(time.Millisecond)
	h.is.Equal(h.pool.ConnectionCount(), 1)
	h.is.Equal(len(h.results), 4)
}

// An endpoint that refuses a connection because of its limit does not count as failed. Meanwhile
// connections only replace open ones, and a request that finds none open is refused before its
// deadline, so that its frontend can try another endpoint.
func TestRefusedDialKeepsToWhatTheEndpointAccepts(t *testing.T) {
	is := is.New(t)
	var next pool.ConnID
	p := pool.New(pool.Config{Slots: 4, MaxConnections: 10, ByWorkspace: true}, func() pool.ConnID { next++; return next })
	now := startTime
	accepts := 0
	var open, refused, most int
	results := map[pool.RequestID]pool.Result{}
	settle := func() {
		for effects := p.TakeEffects(); len(effects) > 0; effects = p.TakeEffects() {
			for _, e := range effects {
				switch e := e.(type) {
				case pool.Dial:
					if open >= accepts {
						refused++
						p.HandleDialRefused(now, e.Conn)
						continue
					}
					open++
					most = max(most, open)
					p.HandleConnected(now, e.Conn)
				case pool.Close:
					open--
				case pool.Send:
					p.HandleReply(now, e.Conn, statement.Reply{})
				case pool.Result:
					results[e.ID] = e
				}
			}
		}
	}
	id := pool.RequestID(0)
	// run submits a request of each of five workspaces every 50 ms.
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			for w := range 5 {
				id++
				p.Submit(now, pool.Request{ID: id, Workspace: types.Workspace(fmt.Sprint("w", w)), Query: read("q"), Due: now.Add(250 * time.Millisecond), Deadline: now.Add(time.Second)})
				settle()
			}
			p.Tick(now)
			settle()
		}
	}
	run(500 * time.Millisecond)
	is.Equal(results[1].Reason, types.ReasonQueueFull)
	is.True(!results[1].MayHaveRun)
	is.Equal(p.DialFailures(), 0)
	is.True(refused <= 6) // once in 100 ms, not for each of 50 requests

	accepts, refused = 3, 0
	run(5 * time.Second)
	is.Equal(most, 3)
	is.Equal(p.ConnectionCount(), 3)
	is.True(refused <= 10) // of 500 requests
	for i := id - 50; i <= id-10; i++ {
		is.Equal(results[i].Reason, types.ReasonNone)
	}

	accepts = 10
	run(3 * time.Second)
	is.Equal(p.ConnectionCount(), 5)
}

// beginTx opens a transaction of a workspace, which holds its connection.
func (h *harness) beginTx(id pool.RequestID, w types.Workspace) {
	begin := pool.Query{ID: "begin", Stmt: statement.Statement{Kind: statement.KindBegin, Text: "BEGIN"}}
	h.submit(pool.Request{ID: id, Tx: pool.TxID(id), Workspace: w, Begin: &begin, Query: write("w")})
	h.replyToOldest(statement.Reply{State: statement.StateInTransaction})
	h.replyToOldest(statement.Reply{State: statement.StateInTransaction})
}

// Guards against an owner that is busy with ticks while a request waits for a connection, because
// connections to a near endpoint open within microseconds.
func TestWaitForConnectionNeedsFewTicks(t *testing.T) {
	h := newWorkspaceHarness(t, 4, 1)
	h.pool.Submit(h.now, pool.Request{ID: 1, Workspace: "a", Query: read("r"), Due: h.now.Add(time.Second), Deadline: h.now.Add(time.Second)})
	dial, ok := h.pool.TakeEffects()[0].(pool.Dial)
	h.is.True(ok)
	h.now = h.now.Add(50 * time.Microsecond)
	h.pool.HandleConnected(h.now, dial.Conn)
	h.runEffects()
	h.replyToOldest(statement.Reply{})
	h.beginTx(2, "a")
	h.submit(pool.Request{ID: 3, Workspace: "b", Query: read("r")})
	ticks := 0
	for end := h.now.Add(100 * time.Millisecond); h.now.Before(end) && ticks < 1000; ticks++ {
		at, ok := h.pool.NextWake()
		h.is.True(ok)
		h.now = max(h.now, at)
		h.pool.Tick(h.now)
		h.runEffects()
	}
	if ticks > 25 {
		t.Errorf("%d ticks within 100 ms", ticks)
	}
}

// Guards against a workspace that waits although another one has an idle connection: one dial was
// refused while another one succeeded, so that more connections are open than the refusal allows.
func TestConnectionAcceptedAfterRefusalCounts(t *testing.T) {
	h := newWorkspaceHarness(t, 8, 10)
	h.beginTx(1, "a")
	far := h.now.Add(time.Hour)
	awaitDials := func(n int) (ids []pool.ConnID) {
		for end := h.now.Add(3 * time.Second); len(ids) < n && h.now.Before(end); {
			for _, e := range h.pool.TakeEffects() {
				if d, ok := e.(pool.Dial); ok {
					ids = append(ids, d.Conn)
				}
			}
			h.now = h.now.Add(10 * time.Millisecond)
			h.pool.Tick(h.now)
		}
		h.is.Equal(len(ids), n)
		return ids
	}
	h.pool.Submit(h.now, pool.Request{ID: 2, Workspace: "c", Query: read("c"), Due: h.now.Add(100 * time.Millisecond), Deadline: far})
	for range 5 { // the refusals count for longer and longer
		h.pool.HandleDialRefused(h.now, awaitDials(1)[0])
	}
	h.pool.Submit(h.now, pool.Request{ID: 3, Workspace: "b", Query: read("b"), Due: h.now.Add(100 * time.Millisecond), Deadline: far})
	dials := awaitDials(2)
	h.pool.HandleDialRefused(h.now, dials[0])
	h.pool.HandleConnected(h.now, dials[1])
	h.runEffects()
	for range 20 {
		if len(h.sendOrder) > 0 {
			h.replyToOldest(statement.Reply{})
		}
		h.advance(10 * time.Millisecond)
	}
	h.is.Equal(h.results[2].Reply.Code, statement.CodeOK)
	h.is.Equal(len(h.results), 3)
}
