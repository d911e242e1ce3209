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
	// slots is the number of statements that an instance runs at a time.
	slots = 3
	// replicationLag is the time from a commit to its arrival at a replica.
	replicationLag = 15 * time.Millisecond
	// rejoinDelay is the time after which a new primary's replicas follow it.
	rejoinDelay = time.Second
)

// entry is one commit of a log.
type entry struct {
	term uint64
	ids  []string
}

// Instance is one database instance; the fleet's goroutine owns its state.
type Instance struct {
	f       *Fleet
	ID      string
	service string
	zone    string
	// address is the one in the entry, where a relay may stand.
	address  string
	listen   string
	alive    bool
	primary  bool
	paused   bool
	term     uint64
	held     uint64
	log      []entry
	running  int
	queue    []func()
	conns    map[*conn]bool
	listener net.Listener
	born     int64
	// loseAnswers is the share, in percent, of answers that are lost.
	loseAnswers int
}

// AddInstance starts an instance; relay returns the address that callers use for
// the one that it listens on.
func (f *Fleet) AddInstance(id, service, zone string, primary bool, relay func(string) string) (*Instance, error) {
	i := &Instance{f: f, ID: id, service: service, zone: zone, primary: primary, term: 1}
	if err := i.open("127.0.0.1:0"); err != nil {
		return nil, err
	}
	i.listen = i.listener.Addr().String()
	i.address = relay(i.listen)
	f.ask(func() {
		f.servers[id] = i
		i.register()
	})
	return i, nil
}

func (i *Instance) open(address string) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for instance %q", i.ID)
	}
	i.listener, i.alive, i.conns, i.born = l, true, map[*conn]bool{}, time.Now().UnixMilli()
	go i.accept(l)
	context.AfterFunc(i.f.ctx, func() { _ = l.Close() })
	return nil
}

// register writes the instance's entry.
func (i *Instance) register() {
	role := "replica"
	if i.primary {
		role = "primary"
	}
	i.f.store.Put("servers", i.ID, map[string]any{
		"service": i.service, "address": i.address, "zone": i.zone, "version": "v1", "capacity": slots,
		"state": "ready", "warmupLeftMs": 0, "dbRole": role, "seq": 1, "born": i.born,
	})
}

// Crash ends the instance; its log stays.
func (i *Instance) Crash() {
	i.f.ask(func() {
		if !i.alive {
			return
		}
		i.alive, i.running, i.queue = false, 0, nil
		_ = i.listener.Close()
		for c := range i.conns {
			_ = c.sock.Close()
		}
	})
}

// Restart brings a crashed instance back, as a replica if another leads.
func (i *Instance) Restart() error {
	var err error
	i.f.ask(func() {
		if i.alive {
			return
		}
		if err = i.open(i.listen); err != nil {
			return
		}
		i.paused, i.held = false, 0
		for _, other := range i.f.servers {
			if other != i && other.service == i.service && other.alive && other.primary && other.term > i.term {
				i.primary = false
				i.follow(other)
			}
		}
		i.register()
	})
	return err
}

// SetLoseAnswers sets the share, in percent, of answers that are lost.
func (i *Instance) SetLoseAnswers(percent int) { i.f.ask(func() { i.loseAnswers = percent }) }

func (i *Instance) follow(primary *Instance) {
	i.term = primary.term
	i.log = append([]entry(nil), primary.log...)
}

// lead makes the instance the primary of the next term with the log that it has.
func (i *Instance) lead() {
	if !i.alive || i.primary {
		return
	}
	for _, other := range i.f.servers {
		if other.service == i.service {
			i.term = max(i.term, other.term)
		}
	}
	i.term++
	i.primary, i.paused = true, false
	i.f.ledger.promoted(i)
	i.register()
	i.f.after(rejoinDelay, func() {
		for _, other := range i.f.servers {
			if other == i || other.service != i.service || !other.alive || other.term >= i.term {
				continue
			}
			demoted := other.primary
			other.primary = false
			other.follow(i)
			if demoted {
				other.register()
			}
		}
	})
}

// commit appends to the log and replicates.
func (i *Instance) commit(ids []string) {
	i.log = append(i.log, entry{term: i.term, ids: ids})
	i.f.ledger.committed(i, ids)
	log, term := append([]entry(nil), i.log...), i.term
	for _, other := range i.f.servers {
		if other == i || other.service != i.service {
			continue
		}
		i.f.after(replicationLag, func() {
			if other.alive && !other.paused && !other.primary && term >= other.term && (len(log) > len(other.log) || term > other.term) {
				other.term, other.log = term, append([]entry(nil), log...)
			}
		})
	}
}

func (i *Instance) position() string {
	term := uint64(0)
	if n := len(i.log); n > 0 {
		term = i.log[n-1].term
	}
	return fmt.Sprintf("%d.%d", term, len(i.log))
}

func (i *Instance) holds(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.Atoi(n)
	return number == 0 || (number <= len(i.log) && i.log[number-1].term == term)
}

// conn is one connection; the fleet's goroutine owns its session state.
type conn struct {
	sock   net.Conn
	out    chan string
	values map[string]string
	shapes map[string]string
	inTx   bool
	read   bool
	failed bool
	writes []string
}

func (i *Instance) accept(l net.Listener) {
	for {
		sock, err := l.Accept()
		if err != nil {
			return
		}
		go i.serve(sock)
	}
}

// serve reads lines and hands them to the owner.
func (i *Instance) serve(sock net.Conn) {
	defer func() { _ = sock.Close() }()
	c := &conn{sock: sock, out: make(chan string, 64), values: map[string]string{}, shapes: map[string]string{}}
	go func() {
		for text := range c.out {
			if _, err := sock.Write([]byte(text)); err != nil {
				_ = sock.Close()
			}
		}
	}()
	r := bufio.NewReader(sock)
	first, err := r.ReadString('\n')
	fields := strings.Fields(first)
	if err != nil || len(fields) < 4 || fields[0] != "STARTUP" || fields[1] != i.service || fields[3] != i.ID {
		_, _ = sock.Write([]byte("ERROR WRONGNODE " + i.ID + "\r\n"))
		close(c.out)
		return
	}
	i.f.ask(func() {
		i.conns[c] = true
		c.send("READY I " + i.position() + "\r\n")
	})
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			break
		}
		line = strings.TrimSuffix(line, "\r\n")
		i.f.tell(func() { i.take(c, line) })
	}
	i.f.ask(func() {
		delete(i.conns, c)
		close(c.out)
		c.out = nil
	})
}

func (c *conn) send(text string) {
	if c.out == nil {
		return
	}
	select {
	case c.out <- text:
	default:
		_ = c.sock.Close()
	}
}

// take runs a line, in a slot where it needs one.
func (i *Instance) take(c *conn, line string) {
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
	run := func() { c.send(i.run(c, id, verb, text, after)) }
	switch verb {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
	default:
		run()
		return
	}
	start := func() {
		i.running++
		i.f.after(time.Duration(2+i.f.rng.IntN(8))*time.Millisecond, func() {
			if !i.alive {
				return
			}
			answer := i.run(c, id, verb, text, after)
			if i.f.rng.IntN(100) >= i.loseAnswers {
				c.send(answer)
			}
			i.running--
			if len(i.queue) > 0 {
				next := i.queue[0]
				i.queue = i.queue[1:]
				next()
			}
		})
	}
	if i.running < slots {
		start()
		return
	}
	i.queue = append(i.queue, start)
}
