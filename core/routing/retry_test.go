package routing

import (
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

func TestDecideRetry(t *testing.T) {
	is := is.New(t)
	read, write := Attempt{}, Attempt{Write: true}
	repeatable := Attempt{Write: true, Repeatable: true}
	is.Equal(DecideRetry(types.Outcome{}, read), GiveUp)
	is.Equal(DecideRetry(types.UnknownOutcome(types.ReasonBroken, ""), write), GiveUp) // may have run
	is.Equal(DecideRetry(types.UnknownOutcome(types.ReasonBroken, ""), repeatable), RetryAfterWait)
	is.Equal(DecideRetry(types.UnknownOutcome(types.ReasonBroken, ""), read), RetryElsewhere)
	is.Equal(DecideRetry(types.NotRunOutcome(types.ReasonNotPrimary, ""), write), RetryPrimary)
	is.Equal(DecideRetry(types.NotRunOutcome(types.ReasonReadOnly, ""), read), RetryPrimary)
	is.Equal(DecideRetry(types.NotRunOutcome(types.ReasonBehind, ""), read), RetryElsewhere)
	is.Equal(DecideRetry(types.NotRunOutcome(types.ReasonNoAuthority, ""), write), RetryAfterWait)
	is.Equal(DecideRetry(types.NotRunOutcome(types.ReasonUnreachable, ""), Attempt{InTransaction: true}), GiveUp)
	for _, final := range []types.Reason{
		types.ReasonShed, types.ReasonRetired, types.ReasonLostWrite, types.ReasonBadRequest,
	} {
		is.Equal(DecideRetry(types.NotRunOutcome(final, ""), read), GiveUp)
		is.Equal(DecideRetry(types.NotRunOutcome(final, ""), write), GiveUp)
	}
}

// TestWritesWithUnknownOutcomeAreNotRetried checks for all reasons that a write that may
// have run is not retried unless it is marked repeatable.
func TestWritesWithUnknownOutcomeAreNotRetried(t *testing.T) {
	is := is.New(t)
	for r := types.ReasonNone; r.Valid(); r++ {
		is.Equal(DecideRetry(types.UnknownOutcome(r, ""), Attempt{Write: true}), GiveUp)
	}
}

func TestRetryBudgetAllowsOneRetryPerTenAttempts(t *testing.T) {
	is := is.New(t)
	var b RetryBudget
	rng := random.New(7)
	first, retries := 0, 0
	for range 100_000 {
		if rng.IntN(3) > 0 {
			b.RecordFirstAttempt()
			first++
		} else if b.Allow() {
			retries++
		}
		is.True(retries*10 <= first)
	}
	is.True(retries*11 > first)
}

func TestClassify(t *testing.T) {
	is := is.New(t)
	for sql, want := range map[string]StatementKind{
		"select 1":                                       KindRead,
		"  -- note\n/* a /* b */ c */ SELECT":            KindRead,
		"(SELECT 1) UNION (SELECT 2);":                   KindRead,
		"SELECT 'insert into t; delete'":                 KindRead,
		`SELECT "update" FROM t`:                         KindRead,
		"SELECT $$ delete $$, $a$ ; $a$, $1":             KindRead,
		`SELECT E'it\'s; update'`:                        KindRead,
		"SELECT 'it''s; update'":                         KindRead,
		"SELECT 1; SELECT 2":                             KindRead,
		"EXPLAIN SELECT 1":                               KindRead,
		"SELECT * INTO t2 FROM t":                        KindWrite,
		"SELECT * FROM t FOR UPDATE":                     KindWrite,
		"EXPLAIN ANALYZE DELETE FROM t":                  KindWrite,
		"WITH a AS (SELECT 1) SELECT 1":                  KindRead,
		"WITH a AS (DELETE FROM t RETURNING 1) SELECT 1": KindWrite,
		"SELECT 1; DELETE FROM t":                        KindWrite,
		"insert into t values (1)":                       KindWrite,
		"COPY t FROM STDIN":                              KindWrite,
		"CALL p()":                                       KindWrite,
		"BEGIN":                                          KindBegin,
		"BEGIN; DELETE FROM t; COMMIT":                   KindWrite,
		"begin isolation level serializable read only":   KindBeginReadOnly,
		"START TRANSACTION READ WRITE":                   KindBegin,
		"COMMIT":                                         KindCommit,
		"END":                                            KindCommit,
		"COMMIT PREPARED 'x'":                            KindWrite,
		"ROLLBACK":                                       KindRollback,
		"ROLLBACK TO SAVEPOINT a":                        KindOther,
		"SET search_path = a":                            KindSet,
		"SAVEPOINT a":                                    KindOther,
		"":                                               KindOther,
		" ; -- nothing":                                  KindOther,
		"SELECT 'unterminated":                           KindRead,
		"averyveryverylongkeywordthatisnone":             KindWrite,
	} {
		if got := Classify(sql); got != want {
			t.Errorf("Classify(%q) is %d, want %d", sql, got, want)
		}
	}
	is.True(testing.AllocsPerRun(100, func() { Classify("WITH a AS (SELECT 1) SELECT 'x' FROM t") }) == 0)
}
