package config

import (
	"fmt"
	"slices"
)

const (
	// maxAttempts bounds the attempts at each request of a confirmation.
	maxAttempts = 3
	// maxOperationsPerObject is the number of operations that are stored with an
	// object.
	maxOperationsPerObject = 16
)

// Write is a conditional update of one object.
type Write struct {
	Key Key
	// IfVersion is the version that the object must have. 0 means that the object
	// must not exist.
	IfVersion Version
	// Body is the new content. Nil stores a tombstone, which keeps the operations.
	Body Body
	// Operations are the operations to store with the object.
	Operations []OperationID
}

// ConfirmWrites returns the conditional updates that carry out a plan, in order.
func ConfirmWrites(p Plan) []Write {
	var writes []Write
	for _, u := range p.Updates {
		precondition := p.precondition(u.Key)
		writes = append(writes, Write{
			Key:        u.Key,
			IfVersion:  precondition.Version,
			Body:       u.Body,
			Operations: addOperation(precondition.Operations, p.Operation),
		})
	}
	return writes
}

// addOperation returns the operations with op appended, limited to the newest
// maxOperationsPerObject.
func addOperation(operations []OperationID, op OperationID) []OperationID {
	all := append(slices.Clone(operations), op)
	return all[max(len(all)-maxOperationsPerObject, 0):]
}

// ProposeWrite returns the write that stores a new plan.
func ProposeWrite(p Plan) Write {
	return Write{Key: p.Key(), Body: p, Operations: []OperationID{p.Operation}}
}

// WithdrawWrite returns the write that withdraws a stored plan. It returns an error
// if the plan is neither proposed nor stale.
func WithdrawWrite(stored Object) (Write, error) {
	p, ok := stored.Body.(Plan)
	if !ok {
		return Write{}, fmt.Errorf("object %q is not a plan", stored.Key)
	}
	if p.State != PlanProposed && p.State != PlanStale {
		return Write{}, fmt.Errorf("plan %q is %s, not %s or %s", p.ID, p.State, PlanProposed, PlanStale)
	}
	return planWrite(stored, p, PlanWithdrawn), nil
}

// planWrite returns the write that changes the state of a stored plan.
func planWrite(stored Object, p Plan, state PlanState) Write {
	p.State = state
	return Write{Key: stored.Key, IfVersion: stored.Version, Body: p, Operations: stored.Operations}
}

// PutResult is the result of a Write.
type PutResult uint8

// The results of a Write.
const (
	// PutApplied means that the write took effect.
	PutApplied PutResult = iota
	// PutConflict means that the object has another version than IfVersion. The
	// write did not take effect.
	PutConflict
	// PutUnknown means that no response arrived. The write may have taken effect.
	PutUnknown
)

// ConfirmState is the result of a confirmation.
type ConfirmState uint8

// The results of a confirmation.
const (
	// ConfirmAccepted means that the plan's changes are stored.
	ConfirmAccepted ConfirmState = iota + 1
	// ConfirmRefused means that the plan does not exist, is stale or has been
	// withdrawn. Nothing was changed except the objects in Confirmed.Written.
	ConfirmRefused
	// ConfirmNotYetKnown means that the result could not be determined, for instance
	// because the platform did not respond. Confirming again is safe and returns
	// the result.
	ConfirmNotYetKnown
)

func (s ConfirmState) String() string {
	switch s {
	case ConfirmAccepted:
		return "accepted"
	case ConfirmRefused:
		return "refused"
	case ConfirmNotYetKnown:
		return "not yet known"
	}
	return "invalid"
}

// ConfirmEvent is an input of a Confirmation: PutResponse, ReadResponse or ReadFailed.
type ConfirmEvent interface{ isConfirmEvent() }

// PutResponse is the response to a PutObject. Version is set if the write was
// applied.
type PutResponse struct {
	Result  PutResult
	Version Version
}

// ReadResponse is the response to a ReadObject. The object's version is 0 if the
// object does not exist.
type ReadResponse struct{ Object Object }

// ReadFailed reports that a ReadObject got no response.
type ReadFailed struct{}

func (PutResponse) isConfirmEvent()  {}
func (ReadResponse) isConfirmEvent() {}
func (ReadFailed) isConfirmEvent()   {}

// ConfirmEffect is an output of a Confirmation: PutObject, ReadObject or Confirmed.
type ConfirmEffect interface{ isConfirmEffect() }

// PutObject requests a conditional update.
type PutObject struct{ Write Write }

// ReadObject requests the current version of an object.
type ReadObject struct{ Key Key }

// Confirmed ends the confirmation.
type Confirmed struct {
	State ConfirmState
	// ChangedObject names the object that made the plan stale.
	ChangedObject Key
	// Text states why the plan was refused or what is not known.
	Text string
	// Written are the stored objects, for distribution.
	Written []Object
}

func (PutObject) isConfirmEffect()  {}
func (ReadObject) isConfirmEffect() {}
func (Confirmed) isConfirmEffect()  {}

// Confirmation carries out a plan with one request at a time. It reads the plan,
// checks the preconditions on objects that the plan does not update, marks the plan
// as confirmed, and stores the updates. After a write without a response, it reads
// the object to determine whether the write took effect. Every step is idempotent,
// also if another host repeats it.
type Confirmation struct {
	planKey    Key
	storedPlan Object
	plan       Plan
	// pendingChecks are the preconditions still to be checked. They are on objects
	// that the plan does not update.
	pendingChecks []Precondition
	pendingWrites []Write
	stage         stage
	attempts      int
	// planRereads counts the reads of the plan after a failed change of its state.
	planRereads int
	// cannotSucceed is set when an object was found changed by another operation. No
	// other confirmation of the plan can then succeed.
	cannotSucceed bool
	// staleRefusal is returned after the plan has been marked as stale.
	staleRefusal Confirmed
	written      []Object
}

// stage identifies the request that a confirmation has in flight.
type stage uint8

const (
	stageReadPlan stage = iota
	stageCheck
	stageMarkPlan
	stagePut
	stageReadBack
	stageMarkStale
)

// NewConfirmation returns a confirmation of the plan with the given id.
func NewConfirmation(planID string) *Confirmation {
	return &Confirmation{planKey: Key{Kind: KindPlan, Name: planID}}
}

// Start returns the first request.
func (c *Confirmation) Start() ConfirmEffect { return ReadObject{Key: c.planKey} }

// Step applies the response to the last request. It returns the next request, or
// Confirmed at the end.
func (c *Confirmation) Step(ev ConfirmEvent) ConfirmEffect {
	switch ev := ev.(type) {
	case ReadResponse:
		return c.handleRead(ev.Object)
	case ReadFailed:
		return c.retry(ReadObject{Key: c.currentKey()})
	case PutResponse:
		return c.handlePut(ev)
	}
	return nil
}

// currentKey returns the key of the object that the current stage reads or writes.
func (c *Confirmation) currentKey() Key {
	switch c.stage {
	case stageCheck:
		return c.pendingChecks[0].Key
	case stagePut, stageReadBack:
		return c.pendingWrites[0].Key
	case stageReadPlan, stageMarkPlan, stageMarkStale:
	}
	return c.planKey
}

func (c *Confirmation) handleRead(o Object) ConfirmEffect {
	switch c.stage {
	case stageReadPlan:
		return c.handlePlan(o)
	case stageCheck:
		return c.checkPrecondition(o)
	case stageReadBack:
		return c.resolveWrite(o)
	case stageMarkPlan, stagePut, stageMarkStale:
	}
	return nil
}

// handlePlan continues according to the state of the stored plan.
func (c *Confirmation) handlePlan(o Object) ConfirmEffect {
	p, ok := o.Body.(Plan)
	if !ok {
		return Confirmed{State: ConfirmRefused, Text: fmt.Sprintf("plan %q does not exist", c.planKey.Name)}
	}
	c.storedPlan = o
	c.plan = p
	c.pendingWrites = ConfirmWrites(p)
	switch p.State {
	case PlanProposed:
		c.pendingChecks = slices.DeleteFunc(slices.Clone(p.Preconditions), func(b Precondition) bool { return p.hasUpdate(b.Key) })
		return c.nextCheck()
	case PlanConfirmed:
		return c.nextWrite()
	case PlanStale:
		return Confirmed{State: ConfirmRefused, Text: fmt.Sprintf("plan %q is stale: %s has changed", p.ID, p.ChangedObject)}
	case PlanWithdrawn:
	}
	return Confirmed{State: ConfirmRefused, Text: fmt.Sprintf("plan %q is %s", p.ID, p.State)}
}

// nextCheck reads the object of the next pending check. After the last check, it
// marks the plan as confirmed.
func (c *Confirmation) nextCheck() ConfirmEffect {
	if len(c.pendingChecks) > 0 {
		c.enterStage(stageCheck)
		return ReadObject{Key: c.pendingChecks[0].Key}
	}
	c.enterStage(stageMarkPlan)
	return PutObject{Write: planWrite(c.storedPlan, c.plan, PlanConfirmed)}
}

func (c *Confirmation) checkPrecondition(o Object) ConfirmEffect {
	if o.Version != c.pendingChecks[0].Version {
		return c.refuseAsStale(c.pendingChecks[0].Key)
	}
	c.pendingChecks = c.pendingChecks[1:]
	return c.nextCheck()
}

func (c *Confirmation) enterStage(s stage) {
	c.stage = s
	c.attempts = 0
}

func (c *Confirmation) handlePut(ev PutResponse) ConfirmEffect {
	switch {
	case c.stage == stageMarkStale && (ev.Result == PutApplied || c.cannotSucceed):
		return c.staleRefusal
	case c.stage == stageMarkPlan && ev.Result == PutApplied:
		c.storedPlan.Version = ev.Version
		return c.nextWrite()
	case c.stage == stageMarkPlan || c.stage == stageMarkStale:
		return c.rereadPlan()
	case ev.Result == PutApplied:
		return c.recordWrite(ev.Version)
	}
	c.stage = stageReadBack
	return ReadObject{Key: c.pendingWrites[0].Key}
}

// rereadPlan reads the plan after a change of its state was not acknowledged. The
// stored state shows whether the change took effect or which other change did.
func (c *Confirmation) rereadPlan() ConfirmEffect {
	c.stage = stageReadPlan
	c.planRereads++
	if c.planRereads >= maxAttempts {
		return c.endNotYetKnown(fmt.Sprintf("the platform did not answer about %s", c.planKey))
	}
	return ReadObject{Key: c.planKey}
}

// nextWrite stores the next update. After the last one, it ends the confirmation.
func (c *Confirmation) nextWrite() ConfirmEffect {
	if len(c.pendingWrites) == 0 {
		return Confirmed{State: ConfirmAccepted, Written: c.written}
	}
	c.enterStage(stagePut)
	return PutObject{Write: c.pendingWrites[0]}
}

// recordWrite records an acknowledged update and continues with the next one.
func (c *Confirmation) recordWrite(v Version) ConfirmEffect {
	w := c.pendingWrites[0]
	c.written = append(c.written, Object{Key: w.Key, Version: v, Body: w.Body, Operations: w.Operations})
	c.pendingWrites = c.pendingWrites[1:]
	return c.nextWrite()
}

// resolveWrite determines from the stored object whether the current update took
// effect.
func (c *Confirmation) resolveWrite(o Object) ConfirmEffect {
	w := c.pendingWrites[0]
	switch {
	case slices.Contains(o.Operations, c.plan.Operation):
		return c.recordFoundWrite(o)
	case o.Version == w.IfVersion:
		c.stage = stagePut
		return c.retry(PutObject{Write: w})
	case len(o.Operations) == maxOperationsPerObject && !hasOperationsSince(o, c.plan.precondition(w.Key)):
		return c.endNotYetKnown(fmt.Sprintf("%s has changed too often to tell whether plan %q changed it", w.Key, c.plan.ID))
	}
	c.cannotSucceed = true
	return c.refuseAsStale(w.Key)
}

// hasOperationsSince reports whether the object's operations include all those since
// the version of the precondition. They then also include the plan's operation if
// it took effect.
func hasOperationsSince(o Object, precondition Precondition) bool {
	if len(precondition.Operations) == 0 {
		return false
	}
	return slices.Contains(o.Operations, precondition.Operations[len(precondition.Operations)-1])
}

// recordFoundWrite records an update that was found stored and continues with the
// next one.
func (c *Confirmation) recordFoundWrite(o Object) ConfirmEffect {
	c.written = append(c.written, o)
	c.pendingWrites = c.pendingWrites[1:]
	return c.nextWrite()
}

// retry returns the request again. After maxAttempts attempts, it ends the
// confirmation without a known result.
func (c *Confirmation) retry(request ConfirmEffect) ConfirmEffect {
	c.attempts++
	if c.attempts < maxAttempts {
		return request
	}
	return c.endNotYetKnown(fmt.Sprintf("the platform did not answer about %s", c.currentKey()))
}

func (c *Confirmation) endNotYetKnown(why string) ConfirmEffect {
	return Confirmed{
		State:   ConfirmNotYetKnown,
		Text:    why + "; confirm again to find out",
		Written: c.written,
	}
}

// refuseAsStale marks the plan as stale. The confirmation ends with a refusal after
// that.
func (c *Confirmation) refuseAsStale(changed Key) ConfirmEffect {
	c.staleRefusal = Confirmed{
		State:         ConfirmRefused,
		ChangedObject: changed,
		Text:          fmt.Sprintf("plan %q is stale: %s has changed", c.plan.ID, changed),
		Written:       c.written,
	}
	p := c.plan
	p.ChangedObject = changed.String()
	c.enterStage(stageMarkStale)
	return PutObject{Write: planWrite(c.storedPlan, p, PlanStale)}
}
