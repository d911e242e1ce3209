package failover

import "baobabfield.example/core/types"

// Effect is an output of Machine.Step.
type Effect interface{ effect() }

// QueryStatus requests an endpoint's status.
type QueryStatus struct {
	RequestID RequestID
	Endpoint  types.Endpoint
	// RenewsAuthority is true if the response may support this host's authority.
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

// SendSuspicion sends this host's suspicion to another owner.
type SendSuspicion struct {
	Host      types.Host
	Suspicion Suspicion
}

// RecordPrimary writes the primary of a term to the platform, unless the
// platform's record has a higher term. The record is a hint for other hosts and
// no decision depends on it.
type RecordPrimary struct {
	Term    types.Term
	Primary types.Endpoint
}

// ViewChanged reports a change of the term, the primary, or an endpoint's role
// or reachability.
type ViewChanged struct{ View View }

// HoldWrites requests that new writes stay in the queue, or that they are sent
// again if Hold is false. Reads continue. If Hold is true, WritesDrained must follow
// once no write is in flight.
type HoldWrites struct{ Hold bool }

// Reconnect requests a new connection to an endpoint whose open connection does
// not respond. Queries use the new connection once it is open.
type Reconnect struct{ Endpoint types.Endpoint }

// PlannedChangeEnded reports the end of a planned change. The outcome is Done
// only if the endpoint To is the primary.
type PlannedChangeEnded struct {
	To      types.Endpoint
	Term    types.Term
	Outcome types.Outcome
}

// SpecStale reports that a term of a later endpoint set than the machine's was
// observed, which means that a newer specification of the database exists.
type SpecStale struct{ Set uint32 }

// SetComplete reports that the endpoint set is in force and that the previous
// endpoints are no longer needed. The set must not change again until they are
// removed from the specification.
type SetComplete struct{ Set uint32 }

// NoteKind classifies a Note.
type NoteKind string

// Kinds of notes.
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
	// Cause is the kind of the note that led to this one, or the name of another
	// event.
	Cause string
	Text  string
}

// ScheduleTick requests a Tick at the time. It replaces any earlier ScheduleTick.
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
