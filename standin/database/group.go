package database

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"baobabfield.example/core/types"
)

// Group consists of the instances of one replicated database.
type Group struct {
	Database  types.Database
	Instances []*Instance
}

// FirstTerm is the term in which the first instance of a new group is primary.
var FirstTerm = types.MakeTerm(1, 1)

// StartGroup starts an instance for each ID with the settings of base and promotes the
// first one. The others follow it.
func StartGroup(ctx context.Context, base Config, ids ...types.Endpoint) (*Group, error) {
	if len(ids) == 0 {
		return nil, errors.Errorf("database %q has no endpoints", base.Database)
	}
	g := &Group{Database: base.Database}
	for n, id := range ids {
		config := base
		config.ID = id
		config.Peers = append(append([]types.Endpoint{}, ids[:n]...), ids[n+1:]...)
		instance, err := New(config)
		if err == nil {
			err = instance.Start(ctx)
		}
		if err != nil {
			g.Close()
			return nil, err
		}
		g.Instances = append(g.Instances, instance)
	}
	return g, g.promoteFirst()
}

func (g *Group) promoteFirst() error {
	primary := g.Instances[0]
	for _, i := range g.Instances {
		if !i.Fence(FirstTerm) {
			return fmt.Errorf("endpoint %q did not grant term %d", i.ID(), FirstTerm)
		}
	}
	if !primary.Promote(FirstTerm) {
		return fmt.Errorf("endpoint %q was not promoted in term %d", primary.ID(), FirstTerm)
	}
	for _, i := range g.Instances[1:] {
		if !i.Follow(primary.ID(), primary.Address(), FirstTerm) {
			return fmt.Errorf("endpoint %q did not follow %q", i.ID(), primary.ID())
		}
	}
	return nil
}

// Instance returns the instance with an ID, or nil if there is none.
func (g *Group) Instance(id types.Endpoint) *Instance {
	for _, i := range g.Instances {
		if i.ID() == id {
			return i
		}
	}
	return nil
}

// Close closes all instances.
func (g *Group) Close() {
	for _, i := range g.Instances {
		i.Close()
	}
}
