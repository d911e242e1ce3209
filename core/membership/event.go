package membership

import "baobabfield.example/core/types"

// Event is an input of the machine: Tick, Message, Join, Leave or PlatformHosts.
type Event interface{ isEvent() }

// Tick notifies the machine that its deadline has passed.
type Tick struct{}

// Message is a message from another host.
type Message struct {
	// From is the sender's description of itself.
	From Member
	Body Body
}

// Join contains the gossip addresses of hosts to contact.
type Join struct{ Seeds []string }

// Leave notifies the machine that its host is leaving.
type Leave struct{}

// PlatformHost is one entry of the platform's list of hosts.
type PlatformHost struct {
	Host          types.Host
	DataCentre    types.DataCentre
	MeshAddress   string
	GossipAddress string
	Leaving       bool
}

// PlatformHosts is the platform's list of hosts, which may be outdated.
type PlatformHosts struct{ Hosts []PlatformHost }

func (Tick) isEvent()          {}
func (Message) isEvent()       {}
func (Join) isEvent()          {}
func (Leave) isEvent()         {}
func (PlatformHosts) isEvent() {}

// Effect is an output of the machine: Send, Changed or Note.
type Effect interface{ isEffect() }

// Send requests that a message is sent to a gossip address.
type Send struct {
	Address string
	Message Message
}

// Changed reports the members whose description changed and the new snapshot.
type Changed struct {
	Members  []Member
	Snapshot Snapshot
}

// NoteKind is the type of a Note.
type NoteKind uint8

// The kinds of note.
const (
	NoteJoined NoteKind = iota
	NoteSuspected
	NoteRefuted
	NoteLeaving
	NoteDead
	// NoteSelfListedLeaving: the platform lists this host as leaving.
	NoteSelfListedLeaving
	// NoteDataCentreUnreachable: this relay no longer receives messages from the data
	// centre.
	NoteDataCentreUnreachable
	// NoteDataCentreReachable: an unreachable data centre has sent a message again.
	NoteDataCentreReachable
)

// Note reports a change that is recorded on the time line.
type Note struct {
	Kind       NoteKind
	Host       types.Host
	DataCentre types.DataCentre
}

func (Send) isEffect()    {}
func (Changed) isEffect() {}
func (Note) isEffect()    {}
