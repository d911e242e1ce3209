package router

import (
	"context"
	"fmt"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
)

// validateRequest asks whether a database and a rank exist.
type validateRequest struct {
	db    types.Database
	rank  types.Rank
	reply chan error
}

// ValidateNames reports whether a database, and a rank unless it is empty, exist.
func (t *Task) ValidateNames(ctx context.Context, db types.Database, rank types.Rank) error {
	m := validateRequest{db: db, rank: rank, reply: make(chan error, 1)}
	if !t.post(m) {
		return fmt.Errorf("host %q is stopping", t.settings.Host)
	}
	select {
	case err := <-m.reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// UnknownDatabaseError says that no service has the database.
type UnknownDatabaseError struct{ Database types.Database }

// Error names the database.
func (e *UnknownDatabaseError) Error() string {
	return fmt.Sprintf("database %q does not exist", e.Database)
}

// UnknownRankError says that no rank has the name.
type UnknownRankError struct{ Rank types.Rank }

// Error names the rank.
func (e *UnknownRankError) Error() string { return fmt.Sprintf("rank %q does not exist", e.Rank) }

// StartingError says that the host has no whole configuration yet.
type StartingError struct{ Host types.Host }

// Error names the host.
func (e *StartingError) Error() string {
	return fmt.Sprintf("host %q is starting: it has no configuration yet", e.Host)
}

func (t *Task) validateNames(m validateRequest) error {
	if !t.config.Complete() {
		return &StartingError{Host: t.settings.Host}
	}
	if _, ok := t.databases[m.db]; !ok {
		return &UnknownDatabaseError{Database: m.db}
	}
	if m.rank == "" {
		return nil
	}
	ranks, _ := admission.RanksOrDefault(t.config.Ranks())
	for _, r := range ranks {
		if r.Name == m.rank {
			return nil
		}
	}
	return &UnknownRankError{Rank: m.rank}
}
