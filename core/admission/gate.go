package admission

import (
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// levelLifetime is the time for which a level that is not told again holds.
	levelLifetime = 3 * time.Second
	// gateLimit bounds the levels that a Gate remembers.
	gateLimit = 65536
)

// Gate applies the admission levels told by owners at an entry host. It is not
// safe for concurrent use.
type Gate struct {
	levels map[gateKey]gateLevel
	rng    random.Source
}

type gateKey struct {
	endpoint types.Endpoint
	rank     types.Rank
	flow     flowKey
}

type gateLevel struct {
	level Level
	until types.Time
	// sum accumulates the level; a request passes each time it reaches LevelFull.
	sum Level
}

// NewGate returns a gate without levels. The seed sets the phase at which each
// new level starts, so that hosts do not admit in step.
func NewGate(seed uint64) *Gate {
	return &Gate{levels: map[gateKey]gateLevel{}, rng: random.New(seed)}
}

// Tell records a level told by the owner of an endpoint.
func (g *Gate) Tell(now types.Time, e types.Endpoint, n LevelNotice) {
	key := gateKey{e, n.Rank, flowKey{n.Feature, n.Job}}
	if n.Level >= LevelFull {
		delete(g.levels, key)
		return
	}
	entry, ok := g.levels[key]
	if !ok {
		if len(g.levels) >= gateLimit {
			g.expire(now)
		}
		if len(g.levels) >= gateLimit {
			return
		}
		entry.sum = Level(g.rng.IntN(int(LevelFull)))
	}
	entry.level = n.Level
	entry.until = now.Add(levelLifetime)
	g.levels[key] = entry
}

// Admit reports whether a request may go to the endpoint's owner. The caller
// refuses it with types.ReasonShed if not.
func (g *Gate) Admit(now types.Time, rank types.Rank, f types.Feature, j types.Job, e types.Endpoint) bool {
	if len(g.levels) == 0 {
		return true
	}
	key := gateKey{e, rank, flowKey{f, j}}
	entry, ok := g.levels[key]
	if !ok {
		key.flow = flowKey{}
		entry, ok = g.levels[key]
	}
	if !ok || now.After(entry.until) {
		return true
	}
	entry.sum += entry.level
	pass := entry.sum >= LevelFull
	if pass {
		entry.sum -= LevelFull
	}
	g.levels[key] = entry
	return pass
}

// expire forgets the levels that no longer hold.
func (g *Gate) expire(now types.Time) {
	for key, entry := range g.levels {
		if now.After(entry.until) {
			delete(g.levels, key)
		}
	}
}
