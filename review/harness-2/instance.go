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
	handshakeTime = 12 * time.Millisecond
	statementTime = 4 * time.Millisecond
	statusTime    = time.Millisecond
	// followDelay is the time after a promotion in which the other instances follow the new
	// primary.
	followDelay = 30 * time.Millisecond
)

// commit is one entry of the log of a service. Its number is its index plus one.
type commit struct {
	id string
	// number is its index in the log.
	number int
	// acknowledgedAt is when a client received the success; zero before.
	acknowledgedAt time.Time
}

// received is a commit that a replica has received.
type received struct {
	c       *commit
	applyAt time.Time
}

// instance is one database instance. The mutex of its cluster guards all fields.
type instance struct {
	db       *database
	id, zone string
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	primary  bool
	term     uint64
	held     uint64
	paused   bool
	draining bool
	stopped  bool
	born     int64
	log      []received
	slots    chan struct{}
	lag      time.Duration
}

// database is the service and its instances.
type database struct {
	mu        sync.Mutex
	w         *world
	service   string
	instances []*instance
	commits   map[string]*commit
	// runs holds where and with which log each read has run.
	runs map[string]run
}

// run is the execution of a read.
type run struct {
	instance string
	role     string
	at       time.Time
	log      []received
}

// has reports whether the log contained a commit.
func (r *run) has(c *commit) bool { return c.number < len(r.log) && r.log[c.number].c == c }

func newDatabase(w *world, service string) *database {
	return &database{w: w, service: service, commits: map[string]*commit{}, runs: map[string]run{}}
}

// add starts an instance as a replica with the log of the primary, or as the primary.
func (d *database) add(id, zone string, primary bool) *instance {
	l := w0(net.Listen("tcp", "127.0.0.1:0"))
	i := &instance{db: d, id: id, zone: zone, address: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}, primary: primary, term: 1, born: time.Now().UnixMilli(), slots: make(chan struct{}, d.w.site.slots), lag: d.w.site.lag}
	d.mu.Lock()
	if p := d.currentPrimary(); p != nil {
		i.term = p.term
		i.log = append([]received(nil), p.log...)
	}
	d.instances = append(d.instances, i)
	i.register()
	d.mu.Unlock()
	go i.accept()
	return i
}

func (d *database) currentPrimary() *instance {
	var best *instance
	for _, i := range d.instances {
		if i.primary && !i.stopped && (best == nil || i.term > best.term) {
			best = i
		}
	}
	return best
}

// register writes the record of the instance to the store.
func (i *instance) register() {
	role, state := "replica", "ready"
	if i.primary {
		role = "primary"
	}
	if i.draining {
		state = "draining"
	}
	i.db.w.store.Put("servers", i.id, map[string]any{
		"service": i.db.service, "address": i.address, "zone": i.zone, "version": "v1", "capacity": i.db.w.site.slots,
		"state": state, "warmupLeftMs": 0, "dbRole": role, "seq": 1, "born": i.born,
	})
}

// drain announces the end of the instance, which stops drainTime later.
func (i *instance) drain(drainTime time.Duration) {
	i.db.mu.Lock()
	i.draining = true
	i.register()
	i.db.mu.Unlock()
	time.AfterFunc(drainTime, i.stop)
}

func (i *instance) stop() {
	i.db.mu.Lock()
	defer i.db.mu.Unlock()
	if i.stopped {
		return
	}
	i.stopped = true
	_ = i.listener.Close()
	for c := range i.conns {
		_ = c.Close()
	}
	i.db.w.store.Delete("servers", i.id)
}

// promote makes an instance the primary of the next term after the site's time for a promotion.
func (d *database) promote(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.instances {
		if i.id == id && !i.stopped {
			if !i.primary {
				time.AfterFunc(d.w.site.promotion, func() { d.promoteNow(i) })
			}
			return true
		}
	}
	return false
}

func (d *database) promoteNow(i *instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i.stopped || i.primary {
		return
	}
	for _, o := range d.instances {
		i.term = max(i.term, o.term)
	}
	i.term++
	i.primary, i.paused, i.held = true, false, 0
	for n := range i.log {
		i.log[n].applyAt = time.Time{}
	}
	i.register()
	d.w.rec.event("promotion took effect", "instance", i.id, "term", i.term, "commits", len(i.log))
	term := i.term
	time.AfterFunc(followDelay, func() { d.follow(i, term, false) })
	time.AfterFunc(time.Second, func() { d.follow(i, term, true) })
}

// follow makes the other instances follow a new primary; one that still acts as a primary does so
// after a second.
func (d *database) follow(p *instance, term uint64, alsoPrimaries bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.instances {
		if o == p || o.stopped || o.term >= term || (o.primary && !alsoPrimaries) {
			continue
		}
		was := o.primary
		o.primary, o.paused, o.held, o.term = false, false, 0, term
		o.catchUp(p)
		if was {
			o.register()
		}
	}
}

// catchUp copies the missing part of the primary's log, which is applied after the lag.
func (i *instance) catchUp(p *instance) {
	common := 0
	for common < len(i.log) && common < len(p.log) && i.log[common].c == p.log[common].c {
		common++
	}
	i.log = i.log[:common]
	for _, e := range p.log[common:] {
		i.log = append(i.log, received{c: e.c, applyAt: time.Now().Add(i.lag)})
	}
}

// applied returns the number of commits that the instance has applied.
func (i *instance) applied() int {
	n := len(i.log)
	if i.primary {
		return n
	}
	now := time.Now()
	for n > 0 && i.log[n-1].applyAt.After(now) {
		n--
	}
	return n
}

func (i *instance) commitWrites(ids []string) {
	for _, id := range ids {
		c := &commit{id: id, number: len(i.log)}
		i.db.commits[id] = c
		i.log = append(i.log, received{c: c})
	}
	for _, o := range i.db.instances {
		if o != i && !o.stopped && !o.primary && !o.paused && o.term <= i.term {
			o.term = i.term
			o.catchUp(i)
		}
	}
}

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serve(c)
	}
}

// conn is the state of one connection.
type dbConn struct {
	inTx, readOnly, failed bool
	writes                 []string
	prepared               map[string]string
}

func (i *instance) serve(sock net.Conn) {
	defer func() { _ = sock.Close() }()
	r := bufio.NewReader(sock)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" || f[1] != i.db.service || (len(f) > 3 && f[3] != i.id) {
		_, _ = sock.Write([]byte("ERROR WRONGNODE " + i.id + "\r\n"))
		return
	}
	i.slots <- struct{}{}
	time.Sleep(handshakeTime)
	<-i.slots
	i.db.mu.Lock()
	if i.stopped || len(i.conns) >= i.db.w.site.maxConns {
		stopped := i.stopped
		i.db.mu.Unlock()
		if !stopped {
			_, _ = sock.Write([]byte("ERROR MAXCONN " + i.id + "\r\n"))
		}
		return
	}
	i.conns[sock] = true
	pos := i.position()
	i.db.mu.Unlock()
	defer func() {
		i.db.mu.Lock()
		delete(i.conns, sock)
		i.db.mu.Unlock()
	}()
	_, _ = sock.Write([]byte("READY I " + pos + "\r\n"))
	c := &dbConn{prepared: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		rest, ok := strings.CutPrefix(strings.TrimSuffix(line, "\r\n"), "QUERY ")
		if !ok {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if _, err := sock.Write([]byte(i.handle(c, id, text))); err != nil {
			return
		}
	}
}

func (i *instance) position() string { return fmt.Sprintf("%d.%d", i.term, i.applied()) }

// hasPosition reports whether the applied log has a position.
func (i *instance) hasPosition(p string) bool {
	t, n, _ := strings.Cut(p, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.Atoi(n)
	return i.term >= term && i.applied() >= number
}

func (i *instance) handle(c *dbConn, id, text string) string {
	after := ""
	if p, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(p, " ")
	}
	args := strings.SplitN(text, " ", 4)
	switch args[0] {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		i.slots <- struct{}{}
		time.Sleep(statementTime)
		defer func() { <-i.slots }()
	case "STATUS":
		i.slots <- struct{}{}
		time.Sleep(statusTime)
		defer func() { <-i.slots }()
	}
	i.db.mu.Lock()
	defer i.db.mu.Unlock()
	ready := func(s string) string {
		state := "I"
		if c.failed {
			state = "E"
		} else if c.inTx {
			state = "T"
		}
		return s + "\r\nREADY " + state + " " + i.position() + "\r\n"
	}
	fail := func(code string) string { return ready("ERROR " + code + " " + i.id) }
	switch args[0] {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return ready(i.control(args))
	case "RESET", "SET", "PREPARE", "DEALLOC":
		switch args[0] {
		case "PREPARE":
			c.prepared[args[1]] = args[2]
		case "DEALLOC":
			delete(c.prepared, args[1])
		case "RESET":
			clear(c.prepared)
		}
		return ready("COMPLETE -")
	case "ROLLBACK":
		*c = dbConn{prepared: c.prepared}
		return ready("COMPLETE -")
	case "BEGIN":
		if len(args) == 1 && !i.primary {
			return fail("READONLY")
		}
		if after != "" && !i.hasPosition(after) {
			return fail("LAGGING")
		}
		c.inTx, c.readOnly = true, len(args) > 1
		return ready("COMPLETE -")
	}
	writes := args[0] == "WRITE" || (args[0] == "EXECUTE" && c.prepared[args[1]] == "WRITE")
	switch {
	case c.failed && args[0] != "COMMIT":
		return fail("MALFORMED")
	case after != "" && !i.hasPosition(after):
		return fail("LAGGING")
	case !i.primary && (writes || (c.inTx && !c.readOnly && (args[0] != "COMMIT" || len(c.writes) > 0))):
		c.failed = c.inTx
		return fail("READONLY")
	case args[0] == "COMMIT":
		i.commitWrites(c.writes)
		*c = dbConn{prepared: c.prepared}
	case writes && c.inTx:
		c.writes = append(c.writes, id)
	case writes:
		i.commitWrites([]string{id})
	default:
		role := "replica"
		if i.primary {
			role = "primary"
		}
		i.db.runs[id] = run{instance: i.id, role: role, at: time.Now(), log: i.log[:i.applied()]}
	}
	return ready("DATAROW " + id + "\r\nCOMPLETE " + i.id + "/" + id)
}

// control runs STATUS, PAUSE, RESUME and STEPDOWN and returns the row.
func (i *instance) control(args []string) string {
	term := uint64(0)
	if len(args) > 1 {
		term, _ = strconv.ParseUint(args[1], 10, 64)
	}
	switch {
	case args[0] == "PAUSE" && !i.primary && term > i.term && term > i.held:
		i.paused, i.held = true, term
	case args[0] == "RESUME" && i.paused:
		i.paused, i.held = false, 0
		if p := i.db.currentPrimary(); p != nil && p.term >= i.term {
			i.term = p.term
			i.catchUp(p)
		}
	case args[0] == "STEPDOWN" && i.primary && term > i.term:
		i.primary = false
		i.register()
		i.db.w.rec.event("instance stepped down", "instance", i.id, "term", term)
	}
	role := "replica"
	if i.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d %d 0 %d %d\r\nCOMPLETE -", role, i.term, i.term, len(i.log), i.held, len(i.slots), len(i.conns))
}
