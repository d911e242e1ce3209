package admission

import (
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// levelLifetime is the time after which a level expires unless the owner sends it
	// again.
	levelLifetime = 3 * time.Second
	// maxGateLevels bounds the number of levels that a Gate stores.
	maxGateLevels = 65536
)

// Gate applies the admission levels sent by owners at a frontend. It is not safe for
// concurrent use.
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
	// accumulated is the sum of the levels of past requests. A request is admitted each
	// time the sum reaches LevelFull.
	accumulated Level
}

// NewGate returns a gate without levels. The seed sets the phase at which each new level
// starts, so that hosts do not admit requests in lockstep.
func NewGate(seed uint64) *Gate {
	return &Gate{levels: map[gateKey]gateLevel{}, rng: random.New(seed)}
}

// SetLevel stores a level sent by the owner of an endpoint.
func (g *Gate) SetLevel(now types.Time, e types.Endpoint, notice LevelNotice) {
	key := gateKey{e, notice.Rank, flowKey{notice.Feature, notice.Job}}
	if notice.Level >= LevelFull {
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
		current.accumulated = Level(g.rng.IntN(int(LevelFull)))
	}
	current.level = notice.Level
	current.expiresAt = now.Add(levelLifetime)
	g.levels[key] = current
}

// Admit reports whether a request may be sent to the endpoint's owner. If not, the
// caller refuses it with types.ReasonShed.
func (g *Gate) Admit(now types.Time, rank types.Rank, feature types.Feature, job types.Job, e types.Endpoint) bool {
	if len(g.levels) == 0 {
		return true
	}
	key := gateKey{e, rank, flowKey{feature, job}}
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

// removeExpired removes the levels that have expired.
func (g *Gate) removeExpired(now types.Time) {
	for key, current := range g.levels {
		if now.After(current.expiresAt) {
			delete(g.levels, key)
		}
	}
}
