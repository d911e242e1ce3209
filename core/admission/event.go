package admission

import (
	"time"

	"baobabfield.example/core/types"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of Event.
const (
	// EventTick reports that time has passed.
	EventTick EventKind = iota
	// EventSubmit adds a new request.
	EventSubmit
	// EventFinish reports that a started request has released its slot.
	EventFinish
	// EventCancel removes a queued request. A started request keeps its slot until its
	// EventFinish.
	EventCancel
	// EventHoldWrites keeps writes queued during a planned change of the primary.
	EventHoldWrites
	// EventReleaseWrites ends EventHoldWrites.
	EventReleaseWrites
	// EventDrain refuses all queued and new requests. Started ones continue.
	EventDrain
)

// Event is an input of Queue.Step. Fields that do not apply to the kind are ignored.
type Event struct {
	Kind EventKind
	// ID identifies the request of a submit, finish or cancel event.
	ID types.RequestID
	// Rank, Feature and Job describe a submitted request.
	Rank    types.Rank
	Feature types.Feature
	Job     types.Job
	// Deadline is the caller's deadline. Zero means none.
	Deadline types.Time
	// Age is the time since the frontend received the submitted request. It counts
	// towards the rank's target.
	Age time.Duration
	// Write marks a submitted request that may write.
	Write bool
	// Completed reports whether a finished request received its complete response.
	Completed bool
	// ServiceTime is the time for which a finished request held its slot.
	ServiceTime time.Duration
}

// EffectKind is the kind of an Effect, which is the action that the caller of Step
// takes.
type EffectKind uint8

// Kinds of Effect.
const (
	// EffectStart runs the request, which holds a slot until its EventFinish.
	EffectStart EffectKind = iota + 1
	// EffectRefuse returns the request as not run, with Reason.
	EffectRefuse
	// EffectLevel sends the admission level of a flow to the frontends.
	EffectLevel
	// EffectSlots reports that the number of usable slots has changed to Slots.
	EffectSlots
)

// Effect is an output of Queue.Step. Fields that do not apply to the kind are zero.
type Effect struct {
	Kind   EffectKind
	ID     types.RequestID
	Reason types.Reason
	Level  LevelNotice
	Slots  int
}

// Level is the share of requests that a frontend forwards, in units of 1/LevelFull.
type Level uint16

// LevelFull is the level at which every request is forwarded.
const LevelFull Level = 1024

// LevelNotice is the admission level of one feature or job within a rank. A notice with
// neither feature nor job applies to all features and jobs of the rank that have no
// notice of their own.
type LevelNotice struct {
	Rank    types.Rank
	Feature types.Feature
	Job     types.Job
	Level   Level
}
