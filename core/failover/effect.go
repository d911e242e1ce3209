package failover

import "baobabfield.example/core/types"

// Effect is an output of Machine.Step.
type Effect interface{ effect() }

// QueryStatus requests an endpoint's status.
type QueryStatus struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	// RenewsAuthority says that the answer may support write authority at this host.
	RenewsAuthority bool
}

// Fence requests that an endpoint grant the term.
type Fence struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	Term      types.Term
}

// Promote requests that an endpoint become the primary of the term.
type Promote struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	Term      types.Term
}

// Follow requests that an endpoint replicate from the primary of the term.
type Follow struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	Primary   types.Endpoint
	Term      types.Term
}

// SendSuspicion sends the host's opinion of a primary to another owner.
type SendSuspicion struct {
	Host      types.Host
	Suspicion Suspicion
}

// RecordPrimary writes the primary of a term to the platform, if the platform's record
// names no higher term. The record informs hosts; it decides nothing.
type RecordPrimary struct {
	Term    types.Term
	Primary types.Endpoint
}

// ViewChanged reports a change of the term, the primary, or an endpoint's role
// or reachability.
type ViewChanged struct{ View View }

// HoldWrites asks that new writes stay in the queue, or that they go on. After
// Hold, WritesDrained is expected once no write is in flight.
type HoldWrites struct{ Hold bool }

// Reconnect asks for a new connection to the endpoint beside one that gives no
// answer. Later questions go over the new one once it is open.
type Reconnect struct{ Endpoint types.Endpoint }

// PlannedChangeEnded reports the end of a planned change. The outcome is Done only if
// the chosen endpoint was promoted.
type PlannedChangeEnded struct {
	To      types.Endpoint
	Term    types.Term
	Outcome types.Outcome
}

// SpecStale reports a term of a later endpoint set than the machine's: a newer
// description of the database exists.
type SpecStale struct{ Set uint32 }

// SetComplete reports that the endpoint set is in force and that the previous
// endpoints are needed no more. Until they are removed from the description,
// no further change of the set may be made.
type SetComplete struct{ Set uint32 }

// NoteKind classifies a Note.
type NoteKind string

// The kinds of notes.
const (
	NoteSuspected  NoteKind = "suspected"
	NoteCleared    NoteKind = "cleared"
	NoteCampaign   NoteKind = "campaign"
	NoteFenced     NoteKind = "fenced"
	NoteAbandoned  NoteKind = "abandoned"
	NotePromoted   NoteKind = "promoted"
	NoteAuthority  NoteKind = "authority"
	NoteWritesHeld NoteKind = "held"
	NoteWritesLost NoteKind = "lost tail"
	NoteSetChanged NoteKind = "set changed"
	NoteRefused    NoteKind = "refused"
)

// Note is an entry for the time line.
type Note struct {
	Kind NoteKind
	Term types.Term
	// Cause is the kind of the note that led to this one, or another event's name.
	Cause string
	Text  string
}

// ScheduleTick asks for a Tick at the time. It replaces any earlier ScheduleTick.
type ScheduleTick struct{ Time types.Time }

func (QueryStatus) effect()        {}
func (Fence) effect()              {}
func (Promote) effect()            {}
func (Follow) effect()             {}
func (SendSuspicion) effect()      {}
func (RecordPrimary) effect()      {}
func (ViewChanged) effect()        {}
func (HoldWrites) effect()         {}
func (Reconnect) effect()          {}
func (PlannedChangeEnded) effect() {}
func (SpecStale) effect()          {}
func (SetComplete) effect()        {}
func (Note) effect()               {}
func (ScheduleTick) effect()       {}
