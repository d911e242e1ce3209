package failover

import "baobabfield.example/core/types"

// Effect is an output of Machine.Step.
type Effect interface{ effect() }

// Ask requests an endpoint's status.
type Ask struct {
	Question QuestionID
	Endpoint types.Endpoint
	// Authority says that the answer may support write authority at this host.
	Authority bool
}

// Fence requests that an endpoint grant the term.
type Fence struct {
	Question QuestionID
	Endpoint types.Endpoint
	Term     types.Term
}

// Promote requests that an endpoint become the primary of the term.
type Promote struct {
	Question QuestionID
	Endpoint types.Endpoint
	Term     types.Term
}

// Follow requests that an endpoint replicate from the primary of the term.
type Follow struct {
	Question QuestionID
	Endpoint types.Endpoint
	Primary  types.Endpoint
	Term     types.Term
}

// TellPeer sends the host's opinion of a primary to another owner.
type TellPeer struct {
	Host      types.Host
	Suspicion Suspicion
}

// Record writes the primary of a term to the platform, if the platform's record
// names no higher term. The record informs hosts; it decides nothing.
type Record struct {
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

// PlannedEnded reports the end of a planned change. The outcome is Done only if
// the chosen endpoint was promoted.
type PlannedEnded struct {
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
	NoteHeld       NoteKind = "held"
	NoteLostTail   NoteKind = "lost tail"
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

// WakeAt asks for a Tick at the time. It replaces any earlier WakeAt.
type WakeAt struct{ Time types.Time }

func (Ask) effect()          {}
func (Fence) effect()        {}
func (Promote) effect()      {}
func (Follow) effect()       {}
func (TellPeer) effect()     {}
func (Record) effect()       {}
func (ViewChanged) effect()  {}
func (HoldWrites) effect()   {}
func (Reconnect) effect()    {}
func (PlannedEnded) effect() {}
func (SpecStale) effect()    {}
func (SetComplete) effect()  {}
func (Note) effect()         {}
func (WakeAt) effect()       {}
