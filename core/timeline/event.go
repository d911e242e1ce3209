package timeline

import (
	"fmt"

	"baobabfield.example/core/types"
)

// EventID identifies an event among all hosts. The zero value means no event.
type EventID struct {
	Host types.Host
	// Counter grows with each event of the host, also across restarts.
	Counter uint64
}

// IsZero reports whether the id names no event.
func (id EventID) IsZero() bool { return id == EventID{} }

// String formats the id as "host/counter".
func (id EventID) String() string { return fmt.Sprintf("%s/%d", id.Host, id.Counter) }

// Kind is the type of an event.
type Kind string

// The kinds of event.
const (
	KindHostStarted           Kind = "host started"
	KindHostJoined            Kind = "host joined"
	KindHostSuspected         Kind = "host suspected"
	KindHostRefuted           Kind = "host refuted"
	KindHostLeaving           Kind = "host leaving"
	KindHostListedLeaving     Kind = "host listed as leaving"
	KindDataCentreUnreachable Kind = "data centre silent"
	KindDataCentreReachable   Kind = "data centre back"
	KindRelayStarted          Kind = "relay started"
	KindRelayStopped          Kind = "relay stopped"
	KindHostDead              Kind = "host dead"
	KindHostStopped           Kind = "host stopped"
	KindConfigApplied         Kind = "configuration applied"
	KindConfigReady           Kind = "configuration ready"
	KindPlatformUnreachable   Kind = "platform lost"
	KindPlatformReachable     Kind = "platform found"
	KindPlanProposed          Kind = "plan proposed"
	KindPlanConfirmed         Kind = "plan confirmed"
	KindPlanWithdrawn         Kind = "plan withdrawn"
	KindPlanStale             Kind = "plan stale"
	KindRetirementPhase       Kind = "retirement phase"
	KindRetiredUseRefused     Kind = "retired use refused"
	KindEndpointLeaving       Kind = "endpoint leaving"
	KindEndpointSuspected     Kind = "endpoint suspected"
	KindEndpointRecovered     Kind = "endpoint back"
	KindOwnerChanged          Kind = "owner changed"
	KindCampaign              Kind = "campaign"
	KindFenced                Kind = "fenced"
	KindPromoted              Kind = "promoted"
	KindAuthorityLost         Kind = "authority lost"
	KindAuthorityGained       Kind = "authority gained"
	KindWritesLost            Kind = "writes lost"
	KindFloodStarted          Kind = "flood started"
	KindFloodEnded            Kind = "flood ended"
	KindAdminCall             Kind = "admin call"
)

// Count is a named number that belongs to an event.
type Count struct {
	Name  string
	Value int64
}

// Event is one entry of the time line.
type Event struct {
	ID    EventID
	Stamp Stamp
	Host  types.Host
	Kind  Kind
	// Object names the subject of the event, for instance an endpoint or a plan.
	Object string
	// Cause is the event that led to this one; zero for none.
	Cause EventID
	// Author is the operator who requested the action; empty for none.
	Author string
	Text   string
	Counts []Count
}
