package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	// replicationLag is the time from a commit to its arrival at a replica.
	replicationLag = 20 * time.Millisecond
	// promoteDelay is the time from a call of the promotion API to its effect.
	promoteDelay = 600 * time.Millisecond
	// demotionDelay is the time after which an old primary that reaches the new one follows it.
	demotionDelay = time.Second
	// connectDelay is the time that a new connection occupies a slot.
	connectDelay = 12 * time.Millisecond
	// statusWork is the time that STATUS occupies a slot.
	statusWork = time.Millisecond
)

// commit is one entry of an instance's log.
type commit struct {
	term uint64
	ids  []string
}

// instance is a stand-in for a database instance. The world's mutex guards its state.
type instance struct {
	w          *world
	id, zone   string
	address    string
	listener   net.Listener
	running    bool
	primary    bool
	draining   bool
	term       uint64
	fencedTerm uint64
	paused     bool
	log        []commit
	conns      map[*instanceConn]bool
	born       int64
	seq        int
	// said is what the entry in the store says, but for seq.
	said  string
	slots chan struct{}
	// work returns how long a statement takes.
	work func(verb, text string) time.Duration
	// runs are the statements that have run, in order.
	runs []run
}

// run is a statement that an instance has run.
type run struct {
	id, text string
	// shape is that of an EXECUTE's prepared statement.
	shape     string
	arrivedAt time.Time
	// committed is set if the run has committed a write.
	committed bool
}

// instanceConn is a connection to an instance.
type instanceConn struct {
	socket   net.Conn
	values   map[string]string
	prepared map[string]string
	inTx     bool
	readOnly bool
	failed   bool
	pending  []string
}

func (w *world) addInstance(id, zone string, primary bool) (*instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &instance{
		w: w, id: id, zone: zone, address: l.Addr().String(), listener: l, running: true, primary: primary, term: 1,
		conns: map[*instanceConn]bool{}, born: time.Now().UnixMilli(), slots: make(chan struct{}, 3),
		work: func(string, string) time.Duration { return 6 * time.Millisecond },
	}
	w.mu.Lock()
	w.instances = append(w.instances, i)
	w.mu.Unlock()
	go i.accept(l)
	i.beat()
	go func() {
		for ticker := time.NewTicker(beatInterval); ; {
			select {
			case <-w.ctx.Done():
				ticker.Stop()
				_ = l.Close()
				return
			case <-ticker.C:
				i.beat()
			}
		}
	}()
	return i, nil
}

// beat is a heartbeat. The entry in the store changes when more than seq changes.
func (i *instance) beat() {
	i.w.mu.Lock()
	if !i.running {
		i.w.mu.Unlock()
		return
	}
	i.seq++
	role, state := "replica", "ready"
	if i.primary {
		role = "primary"
	}
	if i.draining {
		state = "draining"
	}
	said := role + state + i.address
	if said == i.said {
		i.w.mu.Unlock()
		return
	}
	i.said = said
	entry := map[string]any{
		"service": serviceName, "address": i.address, "zone": i.zone, "version": "v1", "capacity": cap(i.slots), "state": state,
		"warmupLeftMs": 0, "dbRole": role, "seq": i.seq, "born": i.born,
	}
	i.w.mu.Unlock()
	i.w.store.put("servers", i.id, entry)
}

func (i *instance) accept(l net.Listener) {
	for {
		socket, err := l.Accept()
		if err != nil {
			return
		}
		go i.serve(socket)
	}
}

// serve answers the messages of one connection, one after the other.
func (i *instance) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	c := &instanceConn{socket: socket, values: map[string]string{}, prepared: map[string]string{}}
	r := bufio.NewReaderSize(socket, 64<<10)
	line, err := r.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != serviceName || (len(fields) > 3 && fields[3] != i.id) {
		_, _ = socket.Write([]byte("ERROR WRONGNODE " + i.id + "\r\n"))
		return
	}
	i.inSlot(connectDelay)
	i.w.mu.Lock()
	i.conns[c] = true
	ready := i.readyLine(c)
	i.w.mu.Unlock()
	defer func() {
		i.w.mu.Lock()
		delete(i.conns, c)
		i.w.mu.Unlock()
	}()
	if _, err := socket.Write([]byte(ready)); err != nil {
		return
	}
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
		if _, err := socket.Write([]byte(i.answer(c, id, text))); err != nil {
			return
		}
	}
}

// inSlot occupies a slot for some time.
func (i *instance) inSlot(d time.Duration) {
	i.slots <- struct{}{}
	time.Sleep(d)
	<-i.slots
}

// answer runs a statement and returns the whole answer.
func (i *instance) answer(c *instanceConn, id, text string) string {
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	verb, _, _ := strings.Cut(text, " ")
	arrivedAt := time.Now()
	switch verb {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		// A statement takes its time in a slot and takes effect at the end of it.
		i.inSlot(i.work(verb, text))
	case "STATUS":
		i.inSlot(statusWork)
	}
	i.w.mu.Lock()
	defer i.w.mu.Unlock()
	before := len(i.runs)
	out := i.execute(c, id, verb, text, after)
	if len(i.runs) > before {
		i.runs[before].arrivedAt = arrivedAt
	}
	return out
}

func (i *instance) execute(c *instanceConn, id, verb, text, after string) string {
	args := strings.SplitN(text, " ", 4)
	ok := func() string { return "COMPLETE -\r\n" + i.readyLine(c) }
	refuse := func(code string) string {
		c.failed = c.inTx
		return "ERROR " + code + " " + i.id + "\r\n" + i.readyLine(c)
	}
	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return refuse("MALFORMED")
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return i.control(verb, args)
	case "BEGIN":
		if len(args) == 1 && !i.primary {
			return "ERROR READONLY " + i.id + "\r\n" + i.readyLine(c)
		}
		if after != "" && !i.holds(after) {
			return "ERROR LAGGING " + i.id + "\r\n" + i.readyLine(c)
		}
		c.inTx, c.readOnly, c.pending = true, len(args) > 1, nil
		return ok()
	case "ROLLBACK":
		c.inTx, c.failed, c.pending = false, false, nil
		return ok()
	case "RESET":
		clear(c.values)
		clear(c.prepared)
		return ok()
	case "SET":
		_, rest, _ := strings.Cut(text, " ")
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return ok()
	case "PREPARE":
		c.prepared[args[1]] = args[2] + " " + args[3]
		return ok()
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return i.executeInSlot(c, id, verb, text, args, after, refuse)
	}
	return "ERROR MALFORMED " + i.id + "\r\n" + i.readyLine(c)
}

// executeInSlot runs a read, a write or a commit.
func (i *instance) executeInSlot(c *instanceConn, id, verb, text string, args []string, after string, refuse func(string) string) string {
	if verb == "COMMIT" && c.failed {
		c.inTx, c.failed, c.pending = false, false, nil
		return "ERROR ABORTED " + i.id + "\r\n" + i.readyLine(c)
	}
	writes, shape := verb == "WRITE", ""
	if verb == "EXECUTE" {
		var known bool
		if shape, known = c.prepared[args[1]]; !known {
			return refuse("NOSTMT")
		}
		writes = strings.HasPrefix(shape, "WRITE ")
	}
	if after != "" && !i.holds(after) {
		return refuse("LAGGING")
	}
	needsLead := writes || (c.inTx && !c.readOnly && (verb != "COMMIT" || len(c.pending) > 0))
	if needsLead && !i.primary {
		return refuse("READONLY")
	}
	committed := false
	switch {
	case verb == "COMMIT":
		if len(c.pending) > 0 {
			committed = true
			i.append(c.pending)
		}
		c.inTx, c.pending = false, nil
	case writes && c.inTx:
		c.pending = append(c.pending, id)
	case writes:
		committed = true
		i.append([]string{id})
	}
	i.runs = append(i.runs, run{id: id, text: text, shape: shape, committed: committed})
	i.w.record.add("instance %s: ran %s %s%s", i.id, id, text, noteShape(shape))
	row := ""
	if !writes && verb != "COMMIT" {
		row = "DATAROW row-of-" + id + "\r\n"
	}
	return row + "COMPLETE " + signature(i.id, id) + "\r\n" + i.readyLine(c)
}

func noteShape(shape string) string {
	if shape == "" {
		return ""
	}
	return fmt.Sprintf(" (shape %q)", shape)
}

// signature is an instance's signature for a statement.
func signature(instance, id string) string { return instance + "." + id }

func (i *instance) readyLine(c *instanceConn) string {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.inTx:
		state = "T"
	}
	return "READY " + state + " " + i.position() + "\r\n"
}

func (i *instance) position() string {
	term := uint64(1)
	if n := len(i.log); n > 0 {
		term = i.log[n-1].term
	}
	return fmt.Sprintf("%d.%d", term, len(i.log))
}

// holds reports whether the log contains a position.
func (i *instance) holds(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.Atoi(n)
	return number == 0 || (number <= len(i.log) && i.log[number-1].term == term) || (len(i.log) > 0 && i.log[len(i.log)-1].term > term && number <= len(i.log))
}

// append commits writes and sends them to the replicas.
func (i *instance) append(ids []string) {
	i.log = append(i.log, commit{term: i.term, ids: ids})
	i.replicate()
}

// replicate sends the log to the replicas that receive.
func (i *instance) replicate() {
	log, term := append([]commit(nil), i.log...), i.term
	time.AfterFunc(replicationLag, func() {
		i.w.mu.Lock()
		defer i.w.mu.Unlock()
		for _, other := range i.w.instances {
			if other == i || other.primary || other.paused || !other.running || term < other.term {
				continue
			}
			if term > other.term || len(log) > len(other.log) {
				other.term, other.log = term, append([]commit(nil), log...)
			}
		}
	})
}

// promote makes the instance the primary of the next term.
func (i *instance) promote() {
	i.w.mu.Lock()
	if i.primary || !i.running {
		i.w.mu.Unlock()
		return
	}
	for _, other := range i.w.instances {
		i.term = max(i.term, other.term)
	}
	i.term++
	i.primary, i.paused, i.fencedTerm = true, false, 0
	i.w.record.add("instance %s: leads term %d with position %s", i.id, i.term, i.position())
	for _, other := range i.w.instances {
		if !other.primary {
			other.paused = false
		}
	}
	i.replicate()
	i.w.mu.Unlock()
	i.beat()
	time.AfterFunc(demotionDelay, func() {
		i.w.mu.Lock()
		for _, other := range i.w.instances {
			if other != i && other.primary && other.term < i.term && other.running {
				other.primary = false
				other.term, other.log = i.term, append([]commit(nil), i.log...)
				i.w.record.add("instance %s: follows %s", other.id, i.id)
			}
		}
		i.w.mu.Unlock()
		for _, other := range i.w.instances {
			other.beat()
		}
	})
}

// control runs a command that reads or changes the role.
func (i *instance) control(verb string, args []string) string {
	term := uint64(0)
	if len(args) > 1 {
		term, _ = strconv.ParseUint(args[1], 10, 64)
	}
	switch {
	case verb == "PAUSE" && !i.primary && term > i.term:
		i.paused, i.fencedTerm = true, max(i.fencedTerm, term)
	case verb == "RESUME":
		i.paused, i.fencedTerm = false, 0
	case verb == "STEPDOWN" && i.primary && term > i.term:
		i.primary, i.fencedTerm = false, term
	}
	role := "replica"
	if i.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d\r\nCOMPLETE -\r\nREADY I %s\r\n",
		role, i.term, i.position(), i.fencedTerm, len(i.slots), len(i.conns), i.position())
}
