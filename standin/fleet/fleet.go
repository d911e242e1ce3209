// Package fleet is a stand-in for the users' platform and its databases. It contains
// the object store, promotions, and replicated instances that speak the line
// protocol. It records the statements that callers send and instances run, and
// reports violations of the consistency guarantees.
//
// One goroutine owns all state; connections and HTTP handlers post functions to it.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"baobabfield.example/standin/platform"
)

// promotionDelay is the time between the request of a promotion and its effect.
const promotionDelay = 300 * time.Millisecond

// Fleet is one running stand-in of the platform with its database instances.
type Fleet struct {
	ctx        context.Context
	stop       context.CancelFunc
	inbox      chan func()
	rng        *rand.Rand
	store      *platform.Server
	instances  map[string]*Instance
	operations operationLog
	// highestTokens is the highest fencing token that each service's promotions had.
	highestTokens map[string]uint64
	violations    []string
}

// Start listens on the loopback interface and serves until Close.
func Start(seed uint64) (*Fleet, error) {
	ctx, stop := context.WithCancel(context.Background())
	f := &Fleet{
		ctx: ctx, stop: stop, inbox: make(chan func(), 1024), rng: rand.New(rand.NewPCG(seed, 1)),
		instances: map[string]*Instance{}, operations: newOperationLog(), highestTokens: map[string]uint64{},
	}
	var err error
	if f.store, err = platform.Start(ctx, "127.0.0.1:0", f.promotionHandler()); err != nil {
		stop()
		return nil, err
	}
	context.AfterFunc(ctx, f.store.Close)
	go f.run()
	return f, nil
}

// Store returns the object store. Promotions are served at the same address.
func (f *Fleet) Store() *platform.Server { return f.store }

// Close stops the store and all instances.
func (f *Fleet) Close() { f.stop() }

func (f *Fleet) run() {
	for {
		select {
		case <-f.ctx.Done():
			return
		case task := <-f.inbox:
			task()
		}
	}
}

// postToFleet queues a function for the fleet's goroutine without waiting for its end.
func (f *Fleet) postToFleet(task func()) {
	select {
	case f.inbox <- task:
	case <-f.ctx.Done():
	}
}

// runOnFleet runs a function on the fleet's goroutine and waits for it.
func (f *Fleet) runOnFleet(task func()) {
	done := make(chan struct{})
	f.postToFleet(func() { task(); close(done) })
	select {
	case <-done:
	case <-f.ctx.Done():
	}
}

// postAfter posts a function to the fleet's goroutine after a delay.
func (f *Fleet) postAfter(d time.Duration, task func()) {
	time.AfterFunc(d, func() { f.postToFleet(task) })
}

// recordViolation records a violated guarantee.
func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// Violations returns the guarantees that were violated so far.
func (f *Fleet) Violations() (out []string) {
	f.runOnFleet(func() { out = append(out, f.violations...) })
	return out
}
