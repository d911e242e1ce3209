// Package object encodes the objects of the configuration as the JSON that the
// platform's store keeps. The JSON also holds the ids of the operations that wrote the
// object. A deleted object stays in the store as a tombstone, which keeps these ids.
package object

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
)

// storedObject is the JSON form of an object's content. Exactly one of Service, Rank,
// Retirement and Plan is set, in a tombstone none.
type storedObject struct {
	Deleted    bool                 `json:"deleted,omitempty"`
	Operations []config.OperationID `json:"operations,omitempty"`
	Service    *types.ServiceSpec   `json:"service,omitempty"`
	Rank       *types.RankSpec      `json:"rank,omitempty"`
	Retirement *config.Retirement   `json:"retirement,omitempty"`
	Plan       *storedPlan          `json:"plan,omitempty"`
}

// storedPlan is the JSON form of a plan.
type storedPlan struct {
	ID            string                `json:"id"`
	Author        string                `json:"author"`
	Intent        storedIntent          `json:"intent"`
	Preconditions []config.Precondition `json:"rests"`
	Updates       []storedUpdate        `json:"updates"`
	Changes       []string              `json:"changes"`
	Stops         []string              `json:"stops"`
	Uses          []config.Use          `json:"uses"`
	Warnings      []config.Warning      `json:"warnings"`
	Operation     config.OperationID    `json:"operation"`
	State         config.PlanState      `json:"state"`
	ChangedObject string                `json:"moved,omitempty"`
}

// storedUpdate is the JSON form of an update of a plan. An update without content deletes
// the object.
type storedUpdate struct {
	Key     config.Key    `json:"key"`
	Content *storedObject `json:"content,omitempty"`
}

// storedIntent is the JSON form of an intent. Exactly one field is set.
type storedIntent struct {
	PutService       *config.PutService       `json:"put_service,omitempty"`
	RemoveService    *config.RemoveService    `json:"remove_service,omitempty"`
	PutRank          *config.PutRank          `json:"put_rank,omitempty"`
	RemoveRank       *config.RemoveRank       `json:"remove_rank,omitempty"`
	Retire           *config.Retire           `json:"retire,omitempty"`
	CancelRetirement *config.CancelRetirement `json:"cancel_retirement,omitempty"`
	CompleteSet      *config.CompleteSet      `json:"complete_set,omitempty"`
}

// Encode returns the JSON form of an object with the body and operations. A nil body gives
// a tombstone.
func Encode(body config.Body, operations []config.OperationID) ([]byte, error) {
	v, err := encodeBody(body)
	if err != nil {
		return nil, err
	}
	v.Deleted, v.Operations = body == nil, operations
	buf, err := json.Marshal(v)
	return buf, errors.Wrap(err, "encode object")
}

// Decode returns the object with the key and version whose content has the JSON form buf.
// It fails if the content belongs to another key.
func Decode(key config.Key, version config.Version, buf []byte) (config.Object, error) {
	var v storedObject
	if err := json.Unmarshal(buf, &v); err != nil {
		return config.Object{}, errors.Wrapf(err, "decode object %q", key)
	}
	o := config.Object{Key: key, Version: version, Operations: v.Operations}
	if v.Deleted {
		return o, nil
	}
	o.Body = v.toBody()
	if o.Body == nil || o.Body.Key() != key {
		return config.Object{}, fmt.Errorf("content of object %q has another kind or name", key)
	}
	return o, nil
}

// encodeBody converts a body to its JSON form.
func encodeBody(body config.Body) (storedObject, error) {
	switch b := body.(type) {
	case nil:
		return storedObject{}, nil
	case config.ServiceObject:
		return storedObject{Service: &b.Spec}, nil
	case config.RankObject:
		return storedObject{Rank: &b.Spec}, nil
	case config.Retirement:
		return storedObject{Retirement: &b}, nil
	case config.Plan:
		p, err := encodePlan(b)
		return storedObject{Plan: p}, err
	}
	return storedObject{}, fmt.Errorf("object of type %T has no encoding", body)
}

// toBody returns the body; nil if none is set.
func (v *storedObject) toBody() config.Body {
	switch {
	case v.Service != nil:
		return config.ServiceObject{Spec: *v.Service}
	case v.Rank != nil:
		return config.RankObject{Spec: *v.Rank}
	case v.Retirement != nil:
		return *v.Retirement
	case v.Plan != nil:
		return v.Plan.decode()
	}
	return nil
}

func encodePlan(p config.Plan) (*storedPlan, error) {
	out := &storedPlan{
		ID: p.ID, Author: p.Author, Intent: encodeIntent(p.Intent), Preconditions: p.Preconditions,
		Changes: p.Changes, Stops: p.Stops, Uses: p.Uses, Warnings: p.Warnings,
		Operation: p.Operation, State: p.State, ChangedObject: p.ChangedObject,
	}
	for _, u := range p.Updates {
		next := storedUpdate{Key: u.Key}
		if u.Body != nil {
			content, err := encodeBody(u.Body)
			if err != nil {
				return nil, err
			}
			next.Content = &content
		}
		out.Updates = append(out.Updates, next)
	}
	return out, nil
}

func (p *storedPlan) decode() config.Plan {
	out := config.Plan{
		ID: p.ID, Author: p.Author, Intent: p.Intent.decode(), Preconditions: p.Preconditions,
		Changes: p.Changes, Stops: p.Stops, Uses: p.Uses, Warnings: p.Warnings,
		Operation: p.Operation, State: p.State, ChangedObject: p.ChangedObject,
	}
	for _, u := range p.Updates {
		next := config.Update{Key: u.Key}
		if u.Content != nil {
			next.Body = u.Content.toBody()
		}
		out.Updates = append(out.Updates, next)
	}
	return out
}

func encodeIntent(i config.Intent) storedIntent {
	switch i := i.(type) {
	case config.PutService:
		return storedIntent{PutService: &i}
	case config.RemoveService:
		return storedIntent{RemoveService: &i}
	case config.PutRank:
		return storedIntent{PutRank: &i}
	case config.RemoveRank:
		return storedIntent{RemoveRank: &i}
	case config.Retire:
		return storedIntent{Retire: &i}
	case config.CancelRetirement:
		return storedIntent{CancelRetirement: &i}
	case config.CompleteSet:
		return storedIntent{CompleteSet: &i}
	}
	return storedIntent{}
}

func (i *storedIntent) decode() config.Intent {
	switch {
	case i.PutService != nil:
		return *i.PutService
	case i.RemoveService != nil:
		return *i.RemoveService
	case i.PutRank != nil:
		return *i.PutRank
	case i.RemoveRank != nil:
		return *i.RemoveRank
	case i.Retire != nil:
		return *i.Retire
	case i.CancelRetirement != nil:
		return *i.CancelRetirement
	case i.CompleteSet != nil:
		return *i.CompleteSet
	}
	return nil
}
