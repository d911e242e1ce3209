package owner

import (
	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
)

// restoredLevel is the notice of a level that is back at LevelFull.
type restoredLevel struct {
	notice    admission.LevelNotice
	expiresAt types.Time
}

// recordLevel handles a changed level. The queue no longer lists a level that is back at
// LevelFull, so its notice is kept for restoredLevelLifetime.
func (t *endpointTask) recordLevel(notice admission.LevelNotice) {
	now := clock.Now()
	t.restoredLevels = removeExpired(t.restoredLevels, now)
	if notice.Level == admission.LevelFull {
		t.restoredLevels = append(t.restoredLevels, restoredLevel{notice: notice, expiresAt: now.Add(restoredLevelLifetime)})
	}
	t.cachedLevels = nil
}

func removeExpired(list []restoredLevel, now types.Time) []restoredLevel {
	kept := list[:0]
	for _, r := range list {
		if now.Before(r.expiresAt) {
			kept = append(kept, r)
		}
	}
	return kept
}

// currentLevels returns the notices for frontends. The returned slice is never modified.
func (t *endpointTask) currentLevels() []admission.LevelNotice {
	if t.cachedLevels == nil {
		t.cachedLevels = t.queue.Levels(nil)
		for _, r := range t.restoredLevels {
			t.cachedLevels = append(t.cachedLevels, r.notice)
		}
	}
	return t.cachedLevels
}

func (t *endpointTask) currentStatus() EndpointStatus {
	s := EndpointStatus{
		Endpoint:        t.cfg.Endpoint,
		Database:        t.cfg.Database,
		Slots:           t.queue.Slots(),
		SlotsInUse:      t.queue.SlotsInUse(),
		OpenConnections: t.openConnCount,
		Draining:        t.queue.Draining(),
		Levels:          t.currentLevels(),
	}
	for _, r := range t.queueConfig.Ranks {
		s.QueueDepths = append(s.QueueDepths, RankDepth{Rank: r.Name, Depth: t.queue.Depth(r.Name)})
	}
	return s
}
