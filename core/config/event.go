package config

import "baobabfield.example/core/types"

// Event is an input of the distributor: Tick, Peers, PlatformObjects,
// PlatformFailed, ObjectsWritten or PeerMessage.
type Event interface{ isEvent() }

// Tick reports that the distributor's deadline has passed.
type Tick struct{}

// PeerGroup lists the live hosts of one data centre.
type PeerGroup struct {
	DataCentre types.DataCentre
	Hosts      []types.Host
}

// Peers reports the live hosts of the current membership snapshot.
type Peers struct{ Groups []PeerGroup }

// PlatformObjects is the response to a list request or an event of a watch.
type PlatformObjects struct {
	Objects []Object
	// FullList is set for the response to a ListPlatform, which holds all objects.
	FullList bool
	// Version is the version up to which a full list is current.
	Version Version
}

// PlatformFailed reports that a list request or the watch failed.
type PlatformFailed struct{}

// ObjectsWritten reports objects that this host wrote to the platform.
type ObjectsWritten struct{ Objects []Object }

// PeerMessage is a message from another host.
type PeerMessage struct {
	From types.Host
	Body PeerBody
}

func (Tick) isEvent()            {}
func (Peers) isEvent()           {}
func (PlatformObjects) isEvent() {}
func (PlatformFailed) isEvent()  {}
func (ObjectsWritten) isEvent()  {}
func (PeerMessage) isEvent()     {}

// Effect is an output of the distributor: Send, ListPlatform, WatchPlatform,
// StopWatch, Changed or Note.
type Effect interface{ isEffect() }

// Send requests the sending of a message to a host.
type Send struct {
	To   types.Host
	Body PeerBody
}

// ListPlatform requests a full list of the objects from the platform.
type ListPlatform struct{}

// WatchPlatform requests a watch for changes after a version. It replaces the
// current watch, if any.
type WatchPlatform struct{ After Version }

// StopWatch stops the watch.
type StopWatch struct{}

// Changed reports the changed objects and the new snapshot. A host must not serve
// callers until the snapshot is complete.
type Changed struct {
	Objects  []Object
	Snapshot Snapshot
}

// NoteKind is the type of a Note.
type NoteKind uint8

// The kinds of note.
const (
	// NoteReady means that the host has the complete configuration.
	NoteReady NoteKind = iota
	// NoteRelayStarted means that the host starts to watch the platform as a relay.
	NoteRelayStarted
	// NoteRelayStopped means that the host stops watching the platform.
	NoteRelayStopped
	// NotePlatformUnreachable means that a request to the platform or the watch failed.
	NotePlatformUnreachable
	// NotePlatformReachable means that the platform responds again.
	NotePlatformReachable
)

// Note reports an event for the time line.
type Note struct{ Kind NoteKind }

func (Send) isEffect()          {}
func (ListPlatform) isEffect()  {}
func (WatchPlatform) isEffect() {}
func (StopWatch) isEffect()     {}
func (Changed) isEffect()       {}
func (Note) isEffect()          {}
