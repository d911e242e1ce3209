package admission

import (
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// levelLifetime is the time for which a level that is not told again holds.
	levelLifetime = 3 * time.Second
	// maxGateLevels bounds the levels that a Gate remembers.
	maxGateLevels = 65536
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
	level     Level
	expiresAt types.Time
	// accumulated accumulates the level; a request passes each time it reaches LevelFull.
	accumulated Level
}

// NewGate returns a gate without levels. The seed sets the phase at which each
// new level starts, so that hosts do not admit in step.
func NewGate(seed uint64) *Gate {
	return &Gate{levels: map[gateKey]gateLevel{}, rng: random.New(seed)}
}

// SetLevel records a level told by the owner of an endpoint.
func (g *Gate) SetLevel(now types.Time, e types.Endpoint, n LevelNotice) {
	key := gateKey{e, n.Rank, flowKey{n.Feature, n.Job}}
	if n.Level >= LevelFull {
		delete(g.levels, key)
		return
	}
	current, ok := g.levels[key]
	if !ok {
		if len(g.levels) >= maxGateLevels {
			g.removeExpired(now)
		}
		if len(g.levels) >= maxGateLevels {
			return
		}
		current.accumulated = Level(g.rng.Below(int(LevelFull)))
	}
	current.level = n.Level
	current.expiresAt = now.Add(levelLifetime)
	g.levels[key] = current
}

// Admit reports whether a request may go to the endpoint's owner. The caller
// refuses it with types.ReasonShed if not.
func (g *Gate) Admit(now types.Time, rank types.Rank, f types.Feature, j types.Job, e types.Endpoint) bool {
	if len(g.levels) == 0 {
		return true
	}
	key := gateKey{e, rank, flowKey{f, j}}
	current, ok := g.levels[key]
	if !ok {
		key.flow = flowKey{}
		current, ok = g.levels[key]
	}
	if !ok || now.After(current.expiresAt) {
		return true
	}
	current.accumulated += current.level
	admitted := current.accumulated >= LevelFull
	if admitted {
		current.accumulated -= LevelFull
	}
	g.levels[key] = current
	return admitted
}

// removeExpired forgets the levels that no longer hold.
func (g *Gate) removeExpired(now types.Time) {
	for key, current := range g.levels {
		if now.After(current.expiresAt) {
			delete(g.levels, key)
		}
	}
}
