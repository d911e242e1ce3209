package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// slots is the number of statements, statuses and new connections that an instance serves at a time,
	// and maxConns that of its connections.
	slots    = 3
	maxConns = 47
	// workTime is the time that a read, a write or a commit takes, statusTime that of a status, and
	// connectTime that of a new connection.
	workTime    = 6 * time.Millisecond
	statusTime  = 500 * time.Microsecond
	connectTime = 12 * time.Millisecond
)

// heartbeat is the time between two entries of an instance in the store.
const heartbeat = 1200 * time.Millisecond

// position is a position of a log: the term and the number of its last commit.
type position struct{ term, number int }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) less(q position) bool {
	return p.term < q.term || (p.term == q.term && p.number < q.number)
}

// service is one service of the databases: its primary and the replicas. Its lock guards the
// instances too.
type service struct {
	mu        sync.Mutex
	name      string
	instances []*instance
	// lag is the time after which a replica applies a commit.
	lag time.Duration
	// syncReplicas is the number of replicas, 0 or 1, that must have received a commit before it is
	// acknowledged.
	syncReplicas int
	store        *store
	rec          *record
	// onLead is called with the lock held when an instance has become the primary; nil for nothing.
	onLead func(i *instance)
	// onRun is called with the lock held when a statement has run; nil for nothing.
	onRun func(id, who string)
	// onPromote is called when an instance is named to take over; nil for nothing.
	onPromote func(id string)
}

// instance is one database instance. It speaks the line protocol.
type instance struct {
	service  *service
	id, zone string
	listener net.Listener
	primary  bool
	term     int
	held     int
	paused   bool
	// deaf is set while a replica receives nothing, down while the instance does not run, and cutOff
	// while it does not reach the store.
	deaf, down, cutOff bool
	open               map[net.Conn]bool
	// slots holds an element for each slot in use.
	slots chan struct{}
	// received and applied are the ends of the log that has arrived and that reads see.
	received, applied position
	connections       int
	signed            int
	// born is the start of the instance in Unix milliseconds.
	born, seq int64
	// beatAt is when the store has accepted the last entry.
	beatAt time.Time
}

func (s *service) add(id, zone string, primary bool) (*instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &instance{service: s, id: id, zone: zone, listener: l, primary: primary, term: 1, open: map[net.Conn]bool{}, slots: make(chan struct{}, slots), born: time.Now().UnixMilli(), received: position{1, 0}, applied: position{1, 0}}
	s.instances = append(s.instances, i)
	s.mu.Lock()
	i.register()
	s.mu.Unlock()
	go i.accept()
	go func() {
		for range time.Tick(heartbeat) {
			s.mu.Lock()
			i.register()
			s.mu.Unlock()
		}
	}()
	return i, nil
}

// register writes the entry of the instance. The caller holds the lock.
func (i *instance) register() {
	if i.down || i.cutOff || i.service.store.isDown() {
		return
	}
	i.seq++
	i.beatAt = time.Now()
	i.service.store.put("servers", i.id, map[string]any{
		"service": i.service.name, "address": i.listener.Addr().String(), "zone": i.zone, "version": "v1", "capacity": 3,
		"state": "ready", "warmupLeftMs": 0, "dbRole": i.role(), "seq": 1, "born": i.born,
	})
}

func (i *instance) role() string {
	if i.primary {
		return "primary"
	}
	return "replica"
}

// promote makes an instance the primary of the next term.
func (s *service) promote(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.instances {
		if i.id == id && i.down {
			return 409
		}
		if i.id == id {
			if s.onPromote != nil {
				s.onPromote(id)
			}
			time.AfterFunc(600*time.Millisecond, func() { s.lead(i) })
			return 200
		}
	}
	return 409
}

func (s *service) lead(i *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i.primary || i.down {
		return
	}
	for _, other := range s.instances {
		i.term = max(i.term, other.term)
	}
	i.term++
	i.primary, i.paused, i.held, i.applied = true, false, 0, i.received
	i.register()
	s.rec.add("instance %s leads term %d with its log up to %s", i.id, i.term, i.received)
	if s.onLead != nil {
		s.onLead(i)
	}
	time.AfterFunc(time.Second, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, other := range s.instances {
			if other != i && !other.down && other.term < i.term {
				other.primary, other.term, other.received, other.applied = false, i.term, i.received, i.received
				other.register()
			}
		}
	})
}

// parsePosition parses TERM.NUMBER.
func parsePosition(text string) position {
	t, n, _ := strings.Cut(text, ".")
	var p position
	p.term, _ = strconv.Atoi(t)
	p.number, _ = strconv.Atoi(n)
	return p
}

// commit appends a commit to the log and sends it to the replicas. It returns whether so many have
// received it that it is acknowledged. The caller holds the lock.
func (i *instance) commit() bool {
	copies := 0
	i.received = position{i.term, i.received.number + 1}
	i.applied = i.received
	at := i.received
	for _, other := range i.service.instances {
		if other == i || other.primary || other.paused || other.deaf || other.down {
			continue
		}
		other.received = at
		copies++
		time.AfterFunc(i.service.lag, func() {
			i.service.mu.Lock()
			defer i.service.mu.Unlock()
			if !other.primary && !other.down && other.applied.less(at) {
				other.applied, other.term = at, at.term
			}
		})
	}
	return copies >= i.service.syncReplicas
}

func (i *instance) accept() {
	l := i.listener
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go i.serve(conn)
	}
}

// dbSession is the state of one connection.
type dbSession struct {
	inTx, readOnly, failed bool
	wrote                  bool
	prepared               map[string]string
	// who is who is connecting: the name of the tenant.
	who string
}

func (i *instance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	first, err := r.ReadString('\n')
	fields := strings.Fields(first)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != i.service.name || (len(fields) > 3 && fields[3] != i.id) {
		_, _ = conn.Write([]byte("ERROR WRONGNODE " + i.id + "\r\n"))
		return
	}
	i.work(connectTime)
	i.service.mu.Lock()
	if i.connections >= maxConns {
		i.service.mu.Unlock()
		_, _ = conn.Write([]byte("ERROR MAXCONN " + i.id + "\r\n"))
		return
	}
	if i.down {
		i.service.mu.Unlock()
		return
	}
	i.connections++
	i.open[conn] = true
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", i.applied)
	i.service.mu.Unlock()
	defer func() {
		i.service.mu.Lock()
		i.connections--
		delete(i.open, conn)
		i.service.mu.Unlock()
	}()
	c := &dbSession{prepared: map[string]string{}, who: fields[2]}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		rest, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "QUERY ")
		if !ok {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		verb, _, _ := strings.Cut(text, " ")
		switch {
		case verb == "STATUS":
			i.work(statusTime)
		case id != "-" && verb != "BEGIN" && verb != "ROLLBACK":
			i.work(workTime)
		}
		i.service.mu.Lock()
		if i.down {
			i.service.mu.Unlock()
			return
		}
		reply := i.run(c, id, verb, text)
		if id != "-" {
			i.service.rec.add("instance %s (%s of %s, log %s), to %s: QUERY %s %s -> %s", i.id, i.role(), i.service.name, i.applied, c.who, id, text, strings.ReplaceAll(strings.TrimSpace(reply), "\r\n", " | "))
		}
		i.service.mu.Unlock()
		if _, err := conn.Write([]byte(reply)); err != nil {
			return
		}
	}
}

// work occupies a slot for a time.
func (i *instance) work(took time.Duration) {
	i.slots <- struct{}{}
	time.Sleep(took)
	<-i.slots
}

func (i *instance) ready(c *dbSession) string {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.inTx:
		state = "T"
	}
	return "READY " + state + " " + i.applied.String() + "\r\n"
}

func (i *instance) refuse(c *dbSession, code string) string {
	return "ERROR " + code + " " + i.id + "\r\n" + i.ready(c)
}

// run executes a statement and returns the whole answer. The caller holds the lock.
func (i *instance) run(c *dbSession, id, verb, text string) string {
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, stmt, _ := strings.Cut(rest, " ")
		if i.applied.less(parsePosition(at)) {
			return i.refuse(c, "LAGGING")
		}
		text = stmt
		verb, _, _ = strings.Cut(text, " ")
	}
	args := strings.SplitN(text, " ", 4)
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return i.command(c, verb, args)
	case "BEGIN":
		if len(args) == 1 && !i.primary {
			return i.refuse(c, "READONLY")
		}
		c.inTx, c.readOnly, c.wrote = true, len(args) > 1, false
	case "ROLLBACK":
		c.inTx, c.failed = false, false
	case "RESET":
		clear(c.prepared)
	case "SET":
	case "PREPARE":
		c.prepared[args[1]] = args[2]
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return i.statement(c, id, verb, args)
	default:
		return i.refuse(c, "MALFORMED")
	}
	return "COMPLETE -\r\n" + i.ready(c)
}

func (i *instance) statement(c *dbSession, id, verb string, args []string) string {
	writes := verb == "WRITE"
	if verb == "EXECUTE" {
		kind, ok := c.prepared[args[1]]
		if !ok {
			return i.refuse(c, "NOSTMT")
		}
		writes = kind == "WRITE"
	}
	if (writes || (c.inTx && !c.readOnly && (verb != "COMMIT" || c.wrote))) && !i.primary {
		c.failed = c.inTx
		return i.refuse(c, "READONLY")
	}
	switch {
	case verb == "COMMIT":
		if c.wrote && !i.commit() {
			return "" // not acknowledged before a replica has it
		}
		c.inTx, c.wrote = false, false
	case writes && c.inTx:
		c.wrote = true
	case writes && !i.commit():
		return "" // not acknowledged before a replica has it
	}
	i.signed++
	if i.service.onRun != nil {
		i.service.onRun(id, c.who)
	}
	return fmt.Sprintf("DATAROW row-%s\r\nCOMPLETE %s.%d\r\n", id, i.id, i.signed) + i.ready(c)
}

func (i *instance) command(c *dbSession, verb string, args []string) string {
	term := 0
	if len(args) > 1 {
		term, _ = strconv.Atoi(args[1])
	}
	switch {
	case verb == "PAUSE" && !i.primary && term > i.term:
		i.paused, i.held = true, max(i.held, term)
	case verb == "RESUME":
		i.paused, i.held = false, 0
	case verb == "STEPDOWN" && i.primary && term > i.term:
		i.primary, i.held = false, term
		i.register()
	}
	return fmt.Sprintf("DATAROW %s %d %s %d %d 0 %d\r\nCOMPLETE -\r\n", i.role(), i.term, i.received, i.held, i.service.lag.Milliseconds(), i.connections) + i.ready(c)
}

// crash ends the instance. Its log is kept.
func (i *instance) crash() {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	i.down = true
	_ = i.listener.Close()
	for conn := range i.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	i.service.rec.add("instance %s (%s) crashes with its log at %s", i.id, i.role(), i.received)
}

// setDeaf makes a replica receive nothing.
func (i *instance) setDeaf(deaf bool) {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	i.deaf = deaf
	i.service.rec.add("instance %s receives nothing: %v; its log is at %s", i.id, deaf, i.received)
}

// setCutOff cuts the instance from the store, or ends that with an entry.
func (i *instance) setCutOff(cut bool) {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	i.cutOff = cut
	if !cut {
		i.register()
		i.service.rec.add("instance %s (log %s) is back in the store", i.id, i.received)
	}
}

// restart starts a crashed instance again, with its log, at its address and under its id. It is a
// replica if another instance was promoted.
func (i *instance) restart() {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	l, err := net.Listen("tcp", i.listener.Addr().String())
	if err != nil {
		i.service.rec.add("instance %s does not start again: %v", i.id, err)
		return
	}
	i.listener, i.down, i.paused, i.held, i.deaf = l, false, false, 0, false
	i.born = time.Now().UnixMilli()
	for _, other := range i.service.instances {
		if other != i && other.primary && other.term > i.term {
			i.primary, i.term, i.received, i.applied = false, other.term, other.received, other.received
		}
	}
	i.register()
	go i.accept()
	i.service.rec.add("instance %s starts again as %s with its log up to %s", i.id, i.role(), i.received)
}
