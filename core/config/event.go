package config

import "baobabfield.example/core/types"

// Event is an input of the distributor: Tick, Peers, PlatformObjects, Written or
// PeerMessage.
type Event interface{ isEvent() }

// Tick tells the distributor that its deadline has passed.
type Tick struct{}

// PeerGroup lists the live hosts of one data centre.
type PeerGroup struct {
	DataCentre types.DataCentre
	Hosts      []types.Host
}

// Peers tells the distributor the live hosts, from the membership snapshot.
type Peers struct{ Groups []PeerGroup }

// PlatformObjects is a list or a watch result from the platform.
type PlatformObjects struct {
	Objects []Object
	// FullList is set for the answer to a ListPlatform, which holds all objects.
	FullList bool
	// Revision is the version up to which a whole list is current.
	Revision Version
}

// PlatformFailed reports that a ListPlatform or the watch failed.
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

// Send asks for a message to be sent to a host.
type Send struct {
	To   types.Host
	Body PeerBody
}

// ListPlatform asks for a whole list of the objects from the platform.
type ListPlatform struct{}

// WatchPlatform asks for the changes after a version; it replaces the watch in
// progress, if any.
type WatchPlatform struct{ After Version }

// StopWatch ends the watch.
type StopWatch struct{}

// Changed reports the objects that changed and the new snapshot. The host may serve
// once the snapshot is complete.
type Changed struct {
	Objects  []Object
	Snapshot Snapshot
}

// NoteKind says what a Note reports.
type NoteKind uint8

// The kinds of note.
const (
	// NoteReady: the host has the whole configuration.
	NoteReady NoteKind = iota
	// NoteRelayStarted and NoteRelayStopped: the host begins or ends watching the platform.
	NoteRelayStarted
	NoteRelayStopped
	// NotePlatformUnreachable and NotePlatformFound: the relay's access to the platform changed.
	NotePlatformUnreachable
	NotePlatformReachable
)

// Note reports a change worth an entry of the time line.
type Note struct{ Kind NoteKind }

func (Send) isEffect()          {}
func (ListPlatform) isEffect()  {}
func (WatchPlatform) isEffect() {}
func (StopWatch) isEffect()     {}
func (Changed) isEffect()       {}
func (Note) isEffect()          {}
