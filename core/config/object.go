package config

import (
	"fmt"

	"baobabfield.example/core/types"
)

// Kind is the type of an object.
type Kind uint8

// The kinds of object.
const (
	KindService Kind = iota + 1
	KindRank
	KindRetirement
	// KindPlan objects stay in the platform's store. Hosts do not distribute them.
	KindPlan
)

func (k Kind) String() string {
	switch k {
	case KindService:
		return "service"
	case KindRank:
		return "rank"
	case KindRetirement:
		return "retirement"
	case KindPlan:
		return "plan"
	}
	return "invalid"
}

// Version is the platform's version of an object. The platform assigns the
// versions of all objects from one increasing sequence. An object that is created
// again after its deletion therefore gets a higher version.
type Version uint64

// Key identifies an object.
type Key struct {
	Kind Kind
	Name string
}

// String formats the key as "kind/name".
func (k Key) String() string { return fmt.Sprintf("%s/%s", k.Kind, k.Name) }

// OperationID identifies the writes of one confirmed plan.
type OperationID string

// Body is the content of an object: ServiceObject, RankObject, Retirement or Plan.
type Body interface {
	// Key returns the key of the object that holds the body.
	Key() Key
}

// ServiceObject is the definition of a service.
type ServiceObject struct{ Spec types.ServiceSpec }

// RankObject is the definition of a rank.
type RankObject struct{ Spec types.RankSpec }

// Key returns the service's key.
func (s ServiceObject) Key() Key { return Key{Kind: KindService, Name: string(s.Spec.Name)} }

// Key returns the rank's key.
func (r RankObject) Key() Key { return Key{Kind: KindRank, Name: string(r.Spec.Name)} }

// Object is one version of an object. Bodies are immutable.
type Object struct {
	Key     Key
	Version Version
	// Body is nil in a tombstone, which records a deletion.
	Body Body
	// Operations lists the latest operations that wrote the object, the newest
	// last.
	Operations []OperationID
}

// Deleted reports whether the object is a tombstone.
func (o Object) Deleted() bool { return o.Body == nil }
