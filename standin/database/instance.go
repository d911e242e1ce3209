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
	registry  *connectionRegistry
	log       *replicatedLog
	scheduler *scheduler
	// stop ends the ledger and the scheduler.
	stop       context.CancelFunc
	logStopped chan struct{}
}

// New returns an instance that has not been started.
func New(c Config) (*Instance, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Instance{config: c, logStopped: make(chan struct{})}, nil
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
	i.registry = newConnectionRegistry(i.config)
	i.log = newReplicatedLog(inner, i.config, storage)
	i.scheduler = newScheduler(i.config)
	go i.registry.run()
	go i.scheduler.run(inner)
	go func() {
		i.log.run()
		close(i.logStopped)
	}()
	go i.acceptConnections()
	return nil
}

func (i *Instance) acceptConnections() {
	for {
		socket, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serveConnection(socket)
	}
}

func (i *Instance) newCancelSecret() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

// Close ends all connections and removes the storage.
func (i *Instance) Close() {
	_ = i.listener.Close()
	i.registry.drain()
	<-i.registry.drained
	i.stop()
	<-i.logStopped
	i.storage.close()
}

// ID returns the endpoint's name.
func (i *Instance) ID() types.Endpoint { return i.config.ID }

// Address returns the host:port that the instance listens on.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// Status returns what baobab_status tells.
func (i *Instance) Status() Status { return runOnLog(i.log, i.log.status) }

// Fence raises the term and reports whether it was granted.
func (i *Instance) Fence(t types.Term) bool {
	return runOnLog(i.log, func() bool { return i.log.fence(t) })
}

// Promote makes the instance the primary of a term that it has granted.
func (i *Instance) Promote(t types.Term) bool {
	return runOnLog(i.log, func() bool { return i.log.promote(t) })
}

// Follow makes the instance a replica of the primary of a term.
func (i *Instance) Follow(primary types.Endpoint, address string, t types.Term) bool {
	target := primaryTarget{id: primary, address: address}
	return runOnLog(i.log, func() bool { return i.log.follow(target, t) })
}

// WaitReplicated waits until a majority holds a position, or for the context.
func (i *Instance) WaitReplicated(ctx context.Context, p types.Position) error {
	return i.waitUntil(ctx, func() bool { return i.log.replicatedPosition() >= p })
}

func (i *Instance) waitUntil(ctx context.Context, ready func() bool) error {
	l := i.log
	for {
		wake := runOnLog(l, func() chan struct{} { return l.addWaiter(ready) })
		select {
		case <-wake:
		case <-ctx.Done():
			runOnLog(l, func() bool { l.removeWaiter(wake); return true })
			return ctx.Err()
		case <-l.ctx.Done():
			return errors.Errorf("endpoint %q is closed", i.config.ID)
		}
		if runOnLog(l, ready) {
			return nil
		}
	}
}

// Kill ends all connections and takes no new ones, as a crash of the process
// does. The log, the term and the tables stay.
func (i *Instance) Kill() {
	i.registry.setKilled(true)
	runOnLog(i.log, func() bool {
		i.log.halted = true
		i.log.stopFollowing()
		return true
	})
}

// Revive ends the effect of Kill.
func (i *Instance) Revive() {
	runOnLog(i.log, func() bool {
		i.log.halted = false
		i.log.clearQueries()
		i.log.startFollower()
		return true
	})
	i.registry.setKilled(false)
}

// Cut adds a cut to those in force.
func (i *Instance) Cut(c Cut) { i.registry.addCut(c) }

// Heal removes all cuts.
func (i *Instance) Heal() { i.registry.removeCuts() }

// Silence makes one connection silent for good, without closing it. It
// reports whether the connection exists.
func (i *Instance) Silence(id uint32) bool { return i.registry.silence(id) }

// Connections lists the open connections.
func (i *Instance) Connections() []ConnectionInfo { return i.registry.list() }

// SetLag changes the replication lag of the instance as a replica.
func (i *Instance) SetLag(d time.Duration) {
	runOnLog(i.log, func() bool { i.log.setReplicationLag(d); return true })
}

// SetServiceTime changes the time that is added to each statement.
func (i *Instance) SetServiceTime(d time.Duration) {
	i.scheduler.changes <- func(s *scheduler) { s.serviceTime = d }
}

// SetFailing makes every statement fail at once, or ends that.
func (i *Instance) SetFailing(failing bool) {
	i.scheduler.changes <- func(s *scheduler) { s.failing = failing }
}
