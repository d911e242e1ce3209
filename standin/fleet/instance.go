package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// slotCount is the number of statements that an instance runs concurrently.
	slotCount = 3
	// replicationLag is the time between a commit and its arrival at a replica.
	replicationLag = 15 * time.Millisecond
	// rejoinDelay is the time between a promotion and the other instances' adoption
	// of the new primary's log.
	rejoinDelay = time.Second
)

// logEntry is one commit in an instance's log.
type logEntry struct {
	term     uint64
	writeIDs []string
}

// Instance is one database instance. The fleet's goroutine owns its state.
type Instance struct {
	fleet   *Fleet
	ID      string
	service string
	zone    string
	// advertisedAddress is the address in the store's record, which may be a relay's.
	advertisedAddress string
	listenAddress     string
	alive             bool
	primary           bool
	// paused is set from PAUSE to RESUME. A paused replica applies no replicated
	// commits.
	paused bool
	term   uint64
	// fencedTerm is the term for which PAUSE or STEPDOWN stopped the instance; 0 for none.
	fencedTerm        uint64
	log               []logEntry
	runningStatements int
	waitingStatements []func()
	connections       map[*connection]bool
	listener          net.Listener
	startedAtMs       int64
	// responseLossPercent is the percentage of responses that are dropped.
	responseLossPercent int
	// readRowBytes is the size of a second row that each READ returns; 0 for none.
	readRowBytes int
}

// AddInstance starts an instance. relay maps the listening address to the address
// that clients use.
func (f *Fleet) AddInstance(id, service, zone string, primary bool, relay func(string) string) (*Instance, error) {
	i := &Instance{fleet: f, ID: id, service: service, zone: zone, primary: primary, term: 1}
	if err := i.openListener("127.0.0.1:0"); err != nil {
		return nil, err
	}
	i.listenAddress = i.listener.Addr().String()
	i.advertisedAddress = relay(i.listenAddress)
	f.runOnFleet(func() {
		f.instances[id] = i
		i.writeRecord()
	})
	return i, nil
}

func (i *Instance) openListener(address string) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for instance %q", i.ID)
	}
	i.listener, i.alive, i.connections, i.startedAtMs = l, true, map[*connection]bool{}, time.Now().UnixMilli()
	go i.acceptConnections(l)
	context.AfterFunc(i.fleet.ctx, func() { _ = l.Close() })
	return nil
}

// writeRecord stores the instance's record in the object store.
func (i *Instance) writeRecord() {
	role := "replica"
	if i.primary {
		role = "primary"
	}
	i.fleet.store.Put("servers", i.ID, map[string]any{
		"service": i.service, "address": i.advertisedAddress, "zone": i.zone, "version": "v1", "capacity": slotCount,
		"state": "ready", "warmupLeftMs": 0, "dbRole": role, "seq": 1, "born": i.startedAtMs,
	})
}

// Crash stops the instance and closes its connections. Its log is kept.
func (i *Instance) Crash() {
	i.fleet.runOnFleet(func() {
		if !i.alive {
			return
		}
		i.alive, i.runningStatements, i.waitingStatements = false, 0, nil
		_ = i.listener.Close()
		for c := range i.connections {
			_ = c.socket.Close()
		}
	})
}

// Restart starts a crashed instance. It becomes a replica if there is a primary of a
// later term.
func (i *Instance) Restart() error {
	var err error
	i.fleet.runOnFleet(func() {
		if i.alive {
			return
		}
		if err = i.openListener(i.listenAddress); err != nil {
			return
		}
		i.paused, i.fencedTerm = false, 0
		for _, other := range i.fleet.instances {
			if other != i && other.service == i.service && other.alive && other.primary && other.term > i.term {
				i.primary = false
				i.copyLogOf(other)
			}
		}
		i.writeRecord()
	})
	return err
}

// SetResponseLoss sets the percentage of responses that are dropped.
func (i *Instance) SetResponseLoss(percent int) {
	i.fleet.runOnFleet(func() { i.responseLossPercent = percent })
}

// SetReadRowBytes sets the size of a second row that each READ returns; 0 for none.
func (i *Instance) SetReadRowBytes(size int) {
	i.fleet.runOnFleet(func() { i.readRowBytes = size })
}

func (i *Instance) copyLogOf(primary *Instance) {
	i.term = primary.term
	i.log = append([]logEntry(nil), primary.log...)
}

// becomePrimary makes the instance the primary of the next term. The instance keeps
// its log; after rejoinDelay the other instances copy it.
func (i *Instance) becomePrimary() {
	if !i.alive || i.primary {
		return
	}
	for _, other := range i.fleet.instances {
		if other.service == i.service {
			i.term = max(i.term, other.term)
		}
	}
	i.term++
	i.primary, i.paused = true, false
	i.fleet.operations.recordPromotion(i)
	i.writeRecord()
	i.fleet.postAfter(rejoinDelay, func() {
		for _, other := range i.fleet.instances {
			if other == i || other.service != i.service || !other.alive || other.term >= i.term {
				continue
			}
			demoted := other.primary
			other.primary = false
			other.copyLogOf(i)
			if demoted {
				other.writeRecord()
			}
		}
	})
}

// commitWrites appends a commit to the log and replicates it.
func (i *Instance) commitWrites(ids []string) {
	i.log = append(i.log, logEntry{term: i.term, writeIDs: ids})
	i.fleet.operations.recordCommit(i, ids)
	logCopy, term := append([]logEntry(nil), i.log...), i.term
	for _, other := range i.fleet.instances {
		if other == i || other.service != i.service {
			continue
		}
		i.fleet.postAfter(replicationLag, func() {
			if other.alive && !other.paused && !other.primary && term >= other.term && (len(logCopy) > len(other.log) || term > other.term) {
				other.term, other.log = term, append([]logEntry(nil), logCopy...)
			}
		})
	}
}

func (i *Instance) logPosition() string {
	term := uint64(0)
	if n := len(i.log); n > 0 {
		term = i.log[n-1].term
	}
	return fmt.Sprintf("%d.%d", term, len(i.log))
}

func (i *Instance) hasPosition(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.Atoi(n)
	return number == 0 || (number <= len(i.log) && i.log[number-1].term == term)
}

// connection is one client connection. The fleet's goroutine owns its session state.
type connection struct {
	socket             net.Conn
	outbox             chan string
	settings           map[string]string
	preparedStatements map[string]string
	inTransaction      bool
	readOnly           bool
	failed             bool
	pendingWrites      []string
	// workspace is the second field of STARTUP.
	workspace string
}

func (i *Instance) acceptConnections(l net.Listener) {
	for {
		socket, err := l.Accept()
		if err != nil {
			return
		}
		go i.serveConnection(socket)
	}
}

// serveConnection reads lines from a socket and posts them to the fleet's goroutine.
func (i *Instance) serveConnection(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	c := &connection{socket: socket, outbox: make(chan string, 64), settings: map[string]string{}, preparedStatements: map[string]string{}}
	go func() {
		for text := range c.outbox {
			if _, err := socket.Write([]byte(text)); err != nil {
				_ = socket.Close()
			}
		}
	}()
	r := bufio.NewReader(socket)
	first, err := r.ReadString('\n')
	fields := strings.Fields(first)
	if err != nil || len(fields) < 4 || fields[0] != "STARTUP" || fields[1] != i.service || fields[3] != i.ID {
		_, _ = socket.Write([]byte("ERROR WRONGNODE " + i.ID + "\r\n"))
		close(c.outbox)
		return
	}
	c.workspace = fields[2]
	i.fleet.runOnFleet(func() {
		i.fleet.operations.checkLine(i, first)
		i.connections[c] = true
		c.send("READY I " + i.logPosition() + "\r\n")
	})
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			break
		}
		line = strings.TrimSuffix(line, "\r\n")
		i.fleet.postToFleet(func() { i.handleLine(c, line) })
	}
	i.fleet.runOnFleet(func() {
		delete(i.connections, c)
		close(c.outbox)
		c.outbox = nil
	})
}

func (c *connection) send(text string) {
	if c.outbox == nil {
		return
	}
	select {
	case c.outbox <- text:
	default:
		_ = c.socket.Close()
	}
}

// handleLine executes a request line, in a slot if its statement needs one.
func (i *Instance) handleLine(c *connection, line string) {
	i.fleet.operations.checkLine(i, line)
	rest, ok := strings.CutPrefix(line, "QUERY ")
	if !ok || !i.alive {
		return
	}
	id, text, _ := strings.Cut(rest, " ")
	after := ""
	if position, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(position, " ")
	}
	verb, _, _ := strings.Cut(text, " ")
	respond := func() { c.send(i.execute(c, id, verb, text, after)) }
	switch verb {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
	default:
		respond()
		return
	}
	startInSlot := func() {
		i.runningStatements++
		i.fleet.postAfter(time.Duration(2+i.fleet.rng.IntN(8))*time.Millisecond, func() {
			if !i.alive {
				return
			}
			response := i.execute(c, id, verb, text, after)
			if i.fleet.rng.IntN(100) >= i.responseLossPercent {
				c.send(response)
			}
			i.runningStatements--
			if len(i.waitingStatements) > 0 {
				next := i.waitingStatements[0]
				i.waitingStatements = i.waitingStatements[1:]
				next()
			}
		})
	}
	if i.runningStatements < slotCount {
		startInSlot()
		return
	}
	i.waitingStatements = append(i.waitingStatements, startInSlot)
}
