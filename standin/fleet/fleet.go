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

// promoteTime is the time from a promotion to its effect.
const promoteTime = 300 * time.Millisecond

// Fleet is one running stand-in.
type Fleet struct {
	ctx     context.Context
	stop    context.CancelFunc
	do      chan func()
	rng     *rand.Rand
	store   *platform.Server
	servers map[string]*Instance
	ledger  ledger
	// tokens holds the highest token seen by service.
	tokens map[string]uint64
	faults []string
}

// Start listens on loopback and runs until Close.
func Start(seed uint64) (*Fleet, error) {
	ctx, stop := context.WithCancel(context.Background())
	f := &Fleet{
		ctx: ctx, stop: stop, do: make(chan func(), 1024), rng: rand.New(rand.NewPCG(seed, 1)),
		servers: map[string]*Instance{}, ledger: newLedger(), tokens: map[string]uint64{},
	}
	var err error
	if f.store, err = platform.Start(ctx, "127.0.0.1:0", f.promotions()); err != nil {
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
		case do := <-f.do:
			do()
		}
	}
}

// tell runs a function in the owner's goroutine, later.
func (f *Fleet) tell(do func()) {
	select {
	case f.do <- do:
	case <-f.ctx.Done():
	}
}

// ask runs a function in the owner's goroutine and waits for it.
func (f *Fleet) ask(do func()) {
	done := make(chan struct{})
	f.tell(func() { do(); close(done) })
	select {
	case <-done:
	case <-f.ctx.Done():
	}
}

// after runs a function in the owner's goroutine after a time.
func (f *Fleet) after(d time.Duration, do func()) {
	time.AfterFunc(d, func() { f.tell(do) })
}

// fault notes a broken promise.
func (f *Fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// Faults returns the promises that were broken.
func (f *Fleet) Faults() (out []string) {
	f.ask(func() { out = append(out, f.faults...) })
	return out
}
