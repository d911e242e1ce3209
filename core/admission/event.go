package admission

import (
	"time"

	"baobabfield.example/core/types"
)

// EventKind says what happened.
type EventKind uint8

// The kinds of Event.
const (
	// EventTick reports that time has passed.
	EventTick EventKind = iota
	// EventSubmit brings a new request.
	EventSubmit
	// EventFinish reports that a started request has released its slot.
	EventFinish
	// EventCancel withdraws a queued request, or marks a started one as abandoned.
	EventCancel
	// EventHoldWrites keeps writes queued, for a planned change of primary.
	EventHoldWrites
	// EventReleaseWrites ends EventHoldWrites.
	EventReleaseWrites
	// EventDrain refuses all new and queued requests; started ones go on.
	EventDrain
)

// Event is an input of Queue.Step. Fields that the kind does not name are ignored.
type Event struct {
	Kind EventKind
	// ID names the request of a submit, finish or cancel.
	ID types.RequestID
	// Rank, Feature and Job describe a submitted request.
	Rank    types.Rank
	Feature types.Feature
	Job     types.Job
	// Deadline is the caller's deadline; zero for none.
	Deadline types.Time
	// Age is the time since the entry host received the submitted request; it
	// counts towards the rank's target.
	Age time.Duration
	// Write marks a submitted request that may write.
	Write bool
	// OK reports whether a finished request got its whole answer.
	OK bool
	// ServiceTime is the time for which a finished request held its slot.
	ServiceTime time.Duration
}

// EffectKind says what the caller of Step has to do.
type EffectKind uint8

// The kinds of Effect.
const (
	// EffectStart: run the request; it holds a slot until its EventFinish.
	EffectStart EffectKind = iota + 1
	// EffectRefuse: answer the request as not run, with Reason.
	EffectRefuse
	// EffectLevel: tell the entry hosts the admission level of a rank.
	EffectLevel
	// EffectSlots: the number of usable slots has changed to Slots.
	EffectSlots
)

// Effect is an output of Queue.Step. Fields that the kind does not name are zero.
type Effect struct {
	Kind   EffectKind
	ID     types.RequestID
	Reason types.Reason
	Level  LevelNotice
	Slots  int
}

// Level is the share of requests that an entry host forwards, in units of
// 1/LevelFull.
type Level uint16

// LevelFull admits every request.
const LevelFull Level = 1024

// LevelNotice tells entry hosts the level of one feature or job within a
// rank. A notice with neither feature nor job is for all those of the rank
// that have no notice of their own.
type LevelNotice struct {
	Rank    types.Rank
	Feature types.Feature
	Job     types.Job
	Level   Level
}
