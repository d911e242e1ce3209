package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

// ownerOfPrimary returns a machine at the owner of e1, which is the primary of
// the term, and the questions that the machine asks at the given time.
func ownerOfPrimary(t *testing.T, term types.Term, spec types.DatabaseSpec) (*failover.Machine, func(at types.Time) map[types.Endpoint]failover.QuestionID) {
	t.Helper()
	m := failover.New(failover.Config{Host: "h1", Database: spec, Owners: homes}, 0)
	ask := func(at types.Time) map[types.Endpoint]failover.QuestionID {
		questions := map[types.Endpoint]failover.QuestionID{}
		for _, eff := range m.Step(at, failover.Tick{}) {
			if a, ok := eff.(failover.Ask); ok {
				questions[a.Endpoint] = a.Question
			}
		}
		return questions
	}
	first := ask(0)
	m.Step(0, answerOf(first, "e1", term))
	return m, ask
}

func answerOf(questions map[types.Endpoint]failover.QuestionID, e types.Endpoint, term types.Term) failover.Answer {
	role := failover.RoleReplica
	if e == "e1" {
		role = failover.RolePrimary
	}
	return failover.Answer{Question: questions[e], Endpoint: e, Status: failover.Status{Role: role, Term: term}}
}

var set1 = types.DatabaseSpec{ID: "db", EndpointSet: 1, Endpoints: specsOf("e1", "e2", "e3")}

func TestAuthorityCountsFromTheQuestion(t *testing.T) {
	is := is.New(t)
	term := types.MakeTerm(1, 1)
	m, ask := ownerOfPrimary(t, term, set1)
	sent := types.Time(125 * time.Millisecond)
	questions := ask(sent)
	late := sent.Add(100 * time.Millisecond)
	m.Step(late, answerOf(questions, "e1", term))
	is.True(!m.MaySend(late, term)) // one endpoint is no majority
	m.Step(late, answerOf(questions, "e2", term))
	is.True(m.MaySend(late, term))
	is.True(m.MaySend(sent.Add(failover.DefaultW-1), term))
	is.True(!m.MaySend(sent.Add(failover.DefaultW), term))
	is.True(!m.MayAck(sent.Add(failover.DefaultW), term))
}

func TestLateAnswerGivesNoAuthority(t *testing.T) {
	is := is.New(t)
	term := types.MakeTerm(1, 1)
	m, ask := ownerOfPrimary(t, term, set1)
	sent := types.Time(125 * time.Millisecond)
	questions := ask(sent)
	var late types.Time
	for late = sent; late < sent.Add(failover.DefaultW); late = late.Add(100 * time.Millisecond) {
		ask(late)
	}
	m.Step(late, answerOf(questions, "e1", term))
	m.Step(late, answerOf(questions, "e2", term))
	is.True(!m.MaySend(late, term))
}

func TestNoAuthorityInTermOfUnknownSet(t *testing.T) {
	is := is.New(t)
	term := types.MakeTerm(2, 1)
	m, ask := ownerOfPrimary(t, term, set1)
	now := types.Time(125 * time.Millisecond)
	questions := ask(now)
	for _, e := range []types.Endpoint{"e1", "e2", "e3"} {
		m.Step(now, answerOf(questions, e, term))
	}
	is.True(!m.MaySend(now, term))
	is.True(!m.MayAck(now, term))
	m.Step(now, failover.SpecChanged{Spec: types.DatabaseSpec{ID: "db", EndpointSet: 2, Endpoints: set1.Endpoints}})
	is.True(m.MaySend(now, term))
}

func TestHigherTermEndsAuthority(t *testing.T) {
	is := is.New(t)
	term := types.MakeTerm(1, 1)
	m, ask := ownerOfPrimary(t, term, set1)
	now := types.Time(125 * time.Millisecond)
	questions := ask(now)
	m.Step(now, answerOf(questions, "e1", term))
	m.Step(now, answerOf(questions, "e2", term))
	is.True(m.MayAck(now, term))
	now = now.Add(125 * time.Millisecond)
	questions = ask(now)
	m.Step(now, answerOf(questions, "e2", term+1))
	is.True(!m.MayAck(now, term))
	m.Step(now, answerOf(questions, "e2", term)) // a duplicate does not restore it
	is.True(!m.MayAck(now, term))
}
