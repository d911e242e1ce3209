package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

// newPrimaryOwner returns a machine on the owner of e1, which is the primary of the
// term. The returned function makes a step at a time and returns the IDs of the
// machine's status queries.
func newPrimaryOwner(t *testing.T, term types.Term, spec types.DatabaseSpec) (*failover.Machine, func(at types.Time) map[types.Endpoint]failover.RequestID) {
	t.Helper()
	m := failover.New(failover.Config{Host: "h1", Database: spec, Owners: defaultOwners}, 0)
	query := func(at types.Time) map[types.Endpoint]failover.RequestID {
		requests := map[types.Endpoint]failover.RequestID{}
		for _, eff := range m.Step(at, failover.Tick{}) {
			if status, ok := eff.(failover.QueryStatus); ok {
				requests[status.Endpoint] = status.RequestID
			}
		}
		return requests
	}
	firstRequests := query(0)
	m.Step(0, statusResponse(firstRequests, "e1", term))
	return m, query
}

func statusResponse(requests map[types.Endpoint]failover.RequestID, e types.Endpoint, term types.Term) failover.StatusResponse {
	role := failover.RoleReplica
	if e == "e1" {
		role = failover.RolePrimary
	}
	return failover.StatusResponse{RequestID: requests[e], Endpoint: e, Status: failover.EndpointStatus{Role: role, Term: term}}
}

var specOfSet1 = types.DatabaseSpec{ID: "db", EndpointSet: 1, Endpoints: endpointSpecs("e1", "e2", "e3")}

func TestAuthorityWindowStartsWhenQueryIsSent(t *testing.T) {
	is := is.New(t)
	term := types.MakeTerm(1, 1)
	m, query := newPrimaryOwner(t, term, specOfSet1)
	sentAt := types.Time(125 * time.Millisecond)
	requests := query(sentAt)
	receivedAt := sentAt.Add(100 * time.Millisecond)
	m.Step(receivedAt, statusResponse(requests, "e1", term))
	is.True(!m.MaySendWrite(receivedAt, term)) // one of three endpoints is no majority
	m.Step(receivedAt, statusResponse(requests, "e2", term))
	is.True(m.MaySendWrite(receivedAt, term))
	is.True(m.MaySendWrite(sentAt.Add(failover.DefaultAuthorityWindow-1), term))
	is.True(!m.MaySendWrite(sentAt.Add(failover.DefaultAuthorityWindow), term))
	is.True(!m.MayAcknowledgeWrite(sentAt.Add(failover.DefaultAuthorityWindow), term))
}

func TestLateResponseGivesNoAuthority(t *testing.T) {
	is := is.New(t)
	term := types.MakeTerm(1, 1)
	m, query := newPrimaryOwner(t, term, specOfSet1)
	sentAt := types.Time(125 * time.Millisecond)
	requests := query(sentAt)
	var now types.Time
	for now = sentAt; now < sentAt.Add(failover.DefaultAuthorityWindow); now = now.Add(100 * time.Millisecond) {
		query(now)
	}
	m.Step(now, statusResponse(requests, "e1", term))
	m.Step(now, statusResponse(requests, "e2", term))
	is.True(!m.MaySendWrite(now, term))
}

func TestNoAuthorityInTermOfUnknownSet(t *testing.T) {
	is := is.New(t)
	term := types.MakeTerm(2, 1)
	m, query := newPrimaryOwner(t, term, specOfSet1)
	now := types.Time(125 * time.Millisecond)
	requests := query(now)
	for _, e := range []types.Endpoint{"e1", "e2", "e3"} {
		m.Step(now, statusResponse(requests, e, term))
	}
	is.True(!m.MaySendWrite(now, term))
	is.True(!m.MayAcknowledgeWrite(now, term))
	m.Step(now, failover.SpecChanged{Spec: types.DatabaseSpec{ID: "db", EndpointSet: 2, Endpoints: specOfSet1.Endpoints}})
	is.True(m.MaySendWrite(now, term))
}

func TestHigherTermEndsAuthority(t *testing.T) {
	is := is.New(t)
	term := types.MakeTerm(1, 1)
	m, query := newPrimaryOwner(t, term, specOfSet1)
	now := types.Time(125 * time.Millisecond)
	requests := query(now)
	m.Step(now, statusResponse(requests, "e1", term))
	m.Step(now, statusResponse(requests, "e2", term))
	is.True(m.MayAcknowledgeWrite(now, term))
	now = now.Add(125 * time.Millisecond)
	requests = query(now)
	m.Step(now, statusResponse(requests, "e2", term+1))
	is.True(!m.MayAcknowledgeWrite(now, term))
	m.Step(now, statusResponse(requests, "e2", term)) // a duplicate response does not restore authority
	is.True(!m.MayAcknowledgeWrite(now, term))
}
