package router

import (
	"context"
	"fmt"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
)

// validateRequest requests the validation of a database and a rank.
type validateRequest struct {
	db    types.Database
	rank  types.Rank
	reply chan error
}

// ValidateNames returns an error if the database does not exist, or if the rank is
// not empty and does not exist.
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

// UnknownDatabaseError is returned for a database that no service has.
type UnknownDatabaseError struct{ Database types.Database }

// Error returns a message that names the database.
func (e *UnknownDatabaseError) Error() string {
	return fmt.Sprintf("database %q does not exist", e.Database)
}

// UnknownRankError is returned for a rank that is not configured.
type UnknownRankError struct{ Rank types.Rank }

// Error returns a message that names the rank.
func (e *UnknownRankError) Error() string { return fmt.Sprintf("rank %q does not exist", e.Rank) }

// StartingError is returned while the host has no complete configuration.
type StartingError struct{ Host types.Host }

// Error returns a message that names the host.
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
