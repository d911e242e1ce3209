package database

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"time"

	"github.com/pkg/errors"

	"baobabfield.example/core/types"
)

// Instance is one running endpoint.
type Instance struct {
	config    Config
	storage   *storage
	listener  net.Listener
	gate      *gate
	ledger    *ledger
	scheduler *scheduler
	// stop ends the ledger and the scheduler.
	stop    context.CancelFunc
	stopped chan struct{}
}

// New returns an instance that has not been started.
func New(c Config) (*Instance, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Instance{config: c, stopped: make(chan struct{})}, nil
}

// Start opens the storage and listens.
func (i *Instance) Start(ctx context.Context) error {
	storage, err := openStorage(ctx)
	if err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", i.config.Address)
	if err != nil {
		storage.close()
		return errors.Wrapf(err, "endpoint %q", i.config.ID)
	}
	inner, stop := context.WithCancel(context.Background())
	i.storage, i.listener, i.stop = storage, listener, stop
	i.gate = newGate(i.config)
	i.ledger = newLedger(inner, i.config, storage)
	i.scheduler = newScheduler(i.config)
	go i.gate.run()
	go i.scheduler.run(inner)
	go func() {
		i.ledger.run()
		close(i.stopped)
	}()
	go i.listen()
	return nil
}

func (i *Instance) listen() {
	for {
		socket, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.accept(socket)
	}
}

func (i *Instance) newSecret() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

// Close ends all connections and removes the storage.
func (i *Instance) Close() {
	_ = i.listener.Close()
	i.gate.close()
	<-i.gate.empty
	i.stop()
	<-i.stopped
	i.storage.close()
}

// ID returns the endpoint's name.
func (i *Instance) ID() types.Endpoint { return i.config.ID }

// Address returns the host:port that the instance listens on.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// Status returns what baobab_status tells.
func (i *Instance) Status() Status { return ask(i.ledger, i.ledger.status) }

// Fence raises the term and reports whether it was granted.
func (i *Instance) Fence(t types.Term) bool {
	return ask(i.ledger, func() bool { return i.ledger.fence(t) })
}

// Promote makes the instance the primary of a term that it has granted.
func (i *Instance) Promote(t types.Term) bool {
	return ask(i.ledger, func() bool { return i.ledger.promote(t) })
}

// Follow makes the instance a replica of the primary of a term.
func (i *Instance) Follow(primary types.Endpoint, address string, t types.Term) bool {
	target := followTarget{id: primary, address: address}
	return ask(i.ledger, func() bool { return i.ledger.startFollowing(target, t) })
}

// WaitReplicated waits until a majority holds a position, or for the context.
func (i *Instance) WaitReplicated(ctx context.Context, p types.Position) error {
	return i.await(ctx, func() bool { return i.ledger.replicated() >= p })
}

func (i *Instance) await(ctx context.Context, ready func() bool) error {
	l := i.ledger
	for {
		wake := ask(l, func() chan struct{} { return l.await(ready) })
		select {
		case <-wake:
		case <-ctx.Done():
			ask(l, func() bool { l.forget(wake); return true })
			return ctx.Err()
		case <-l.ctx.Done():
			return errors.Errorf("endpoint %q is closed", i.config.ID)
		}
		if ask(l, ready) {
			return nil
		}
	}
}

// Kill ends all connections and takes no new ones, as a crash of the process
// does. The log, the term and the tables stay.
func (i *Instance) Kill() {
	i.gate.setKilled(true)
	ask(i.ledger, func() bool {
		i.ledger.halted = true
		i.ledger.stopFollowing()
		return true
	})
}

// Revive ends the effect of Kill.
func (i *Instance) Revive() {
	ask(i.ledger, func() bool {
		i.ledger.halted = false
		i.ledger.forgetQuestions()
		i.ledger.startFollower()
		return true
	})
	i.gate.setKilled(false)
}

// Cut adds a cut to those in force.
func (i *Instance) Cut(c Cut) { i.gate.addCut(c) }

// Heal removes all cuts.
func (i *Instance) Heal() { i.gate.heal() }

// Silence makes one connection silent for good, without closing it. It
// reports whether the connection exists.
func (i *Instance) Silence(id uint32) bool { return i.gate.silence(id) }

// Connections lists the open connections.
func (i *Instance) Connections() []ConnectionInfo { return i.gate.list() }

// SetLag changes the replication lag of the instance as a replica.
func (i *Instance) SetLag(d time.Duration) {
	ask(i.ledger, func() bool { i.ledger.setLag(d); return true })
}

// SetServiceTime changes the time that is added to each statement.
func (i *Instance) SetServiceTime(d time.Duration) {
	i.scheduler.changes <- func(s *scheduler) { s.serviceTime = d }
}

// SetFailing makes every statement fail at once, or ends that.
func (i *Instance) SetFailing(failing bool) {
	i.scheduler.changes <- func(s *scheduler) { s.failing = failing }
}
