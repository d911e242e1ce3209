// Package fleet is a stand-in for the users' platform with its databases: the store of
// objects, promotions, and replicated instances that speak the line protocol. It keeps a
// ledger of what ran, by which the promises to callers can be checked.
//
// One goroutine owns all state; connections and calls hand it functions to run.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"baobabfield.example/standin/platform"
)

// promotionDelay is the time from a promotion to its effect.
const promotionDelay = 300 * time.Millisecond

// Fleet is one running stand-in.
type Fleet struct {
	ctx        context.Context
	stop       context.CancelFunc
	inbox      chan func()
	rng        *rand.Rand
	store      *platform.Server
	instances  map[string]*Instance
	operations operationLog
	// highestTokens holds the highest token seen by service.
	highestTokens map[string]uint64
	violations    []string
}

// Start listens on loopback and runs until Close.
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

// Store is the store of objects; promotions are called at the same address.
func (f *Fleet) Store() *platform.Server { return f.store }

// Close ends everything.
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

// postToFleet runs a function in the owner's goroutine, later.
func (f *Fleet) postToFleet(task func()) {
	select {
	case f.inbox <- task:
	case <-f.ctx.Done():
	}
}

// runOnFleet runs a function in the owner's goroutine and waits for it.
func (f *Fleet) runOnFleet(task func()) {
	done := make(chan struct{})
	f.postToFleet(func() { task(); close(done) })
	select {
	case <-done:
	case <-f.ctx.Done():
	}
}

// postAfter runs a function in the owner's goroutine postAfter a time.
func (f *Fleet) postAfter(d time.Duration, task func()) {
	time.AfterFunc(d, func() { f.postToFleet(task) })
}

// recordViolation notes a broken promise.
func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// Violations returns the promises that were broken.
func (f *Fleet) Violations() (out []string) {
	f.runOnFleet(func() { out = append(out, f.violations...) })
	return out
}
