package config

// Write is a conditional update of one object.
type Write struct {
	Key Key
	// IfVersion is the version that the object must have; 0 means that it must
	// not exist.
	IfVersion Version
	// Body is the new content; nil deletes the object.
	Body Body
	// Operations is the list to store with the object.
	Operations []OperationID
}

// ConfirmWrites returns the conditional updates that carry out a plan, in order.
// plan is the plan's stored object and current the objects that it rests on.
func ConfirmWrites(_ Object, _ Snapshot) ([]Write, error) { return nil, nil }

// PutResult is the platform's answer to a Write.
type PutResult uint8

// The answers to a Write.
const (
	// PutApplied: the write took effect.
	PutApplied PutResult = iota
	// PutConflict: the object has another version; the write did not take effect.
	PutConflict
	// PutUnknown: no answer came; the write may have taken effect.
	PutUnknown
)

// ConfirmState is what is known about a confirmation.
type ConfirmState uint8

// The states of a confirmation.
const (
	ConfirmRunning ConfirmState = iota
	// ConfirmAccepted: the plan's changes are stored.
	ConfirmAccepted
	// ConfirmRefused: the plan is stale or withdrawn; nothing was changed.
	ConfirmRefused
	// ConfirmNotYetKnown: the platform did not answer; confirming again is safe.
	ConfirmNotYetKnown
)

// ConfirmEvent is an input of a Confirmation: PutAnswered, ReadAnswered or ReadFailed.
type ConfirmEvent interface{ isConfirmEvent() }

// PutAnswered is the answer to a PutObject; Version is set if it was applied.
type PutAnswered struct {
	Result  PutResult
	Version Version
}

// ReadAnswered is the answer to a ReadObject; Version is 0 if there is no object.
type ReadAnswered struct{ Object Object }

// ReadFailed reports that a ReadObject got no answer.
type ReadFailed struct{}

func (PutAnswered) isConfirmEvent()  {}
func (ReadAnswered) isConfirmEvent() {}
func (ReadFailed) isConfirmEvent()   {}

// ConfirmEffect is an output of a Confirmation: PutObject, ReadObject or Confirmed.
type ConfirmEffect interface{ isConfirmEffect() }

// PutObject asks for a conditional update.
type PutObject struct{ Write Write }

// ReadObject asks for the current version of an object.
type ReadObject struct{ Key Key }

// Confirmed ends the confirmation.
type Confirmed struct {
	State ConfirmState
	// Moved names the object that made the plan stale.
	Moved Key
	// Text says why the plan was refused or how to find out.
	Text string
	// Written are the objects stored, for distribution.
	Written []Object
}

func (PutObject) isConfirmEffect()  {}
func (ReadObject) isConfirmEffect() {}
func (Confirmed) isConfirmEffect()  {}

// Confirmation carries out a plan. It performs one request at a time.
type Confirmation struct{}

// NewConfirmation returns the confirmation of the plan with the given id.
func NewConfirmation(_ string) *Confirmation { return &Confirmation{} }

// Start returns the first request.
func (c *Confirmation) Start() ConfirmEffect { return nil }

// Step applies an answer and returns the next request or the end.
func (c *Confirmation) Step(_ ConfirmEvent) ConfirmEffect { return nil }
