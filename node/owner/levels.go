package owner

import (
	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
)

// restoredLevel is a notice that a level is full again.
type restoredLevel struct {
	notice admission.LevelNotice
	until  types.Time
}

// noteLevel keeps a level for the entries.
func (t *endpointTask) noteLevel(n admission.LevelNotice) {
	now := clock.Now()
	t.restored = dropExpired(t.restored, now)
	if n.Level == admission.LevelFull {
		t.restored = append(t.restored, restoredLevel{notice: n, until: now.Add(restoredLifetime)})
	}
	t.levels = nil
}

func dropExpired(list []restoredLevel, now types.Time) []restoredLevel {
	kept := list[:0]
	for _, r := range list {
		if now.Before(r.until) {
			kept = append(kept, r)
		}
	}
	return kept
}

// currentLevels returns the notices to pass on; the result is not modified later.
func (t *endpointTask) currentLevels() []admission.LevelNotice {
	if t.levels == nil {
		t.levels = t.queue.Levels(nil)
		for _, r := range t.restored {
			t.levels = append(t.levels, r.notice)
		}
	}
	return t.levels
}

func (t *endpointTask) status() Status {
	s := Status{
		Endpoint:   t.cfg.Endpoint,
		Database:   t.cfg.Database,
		Slots:      t.queue.Slots(),
		SlotsInUse: t.queue.SlotsInUse(),
		Open:       t.open,
		Draining:   t.queue.Draining(),
		Levels:     t.currentLevels(),
	}
	for _, r := range t.qcfg.Ranks {
		s.Depth = append(s.Depth, RankDepth{Rank: r.Name, Depth: t.queue.Depth(r.Name)})
	}
	return s
}
