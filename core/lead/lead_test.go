package lead_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

const startTime = types.Time(time.Second)

var replicas = []types.Endpoint{"b", "c"}

func TestAuthorityRequiresMajorityWithinLease(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas, true)
	a.RecordClaimFree(startTime)
	a.RecordUse(startTime)
	is.Equal(a.DueQueries(startTime), []types.Endpoint{"a"})
	a.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
	is.True(!a.Valid(startTime))
	queried := a.DueQueries(startTime)
	is.Equal(len(queried), 2) // the connections to the replicas are not known yet
	a.HandleStatus(queried[0], startTime, startTime, lead.Status{Term: 3})
	is.True(a.Valid(startTime.Add(lead.LeaseDuration - 1)))
	is.True(!a.Valid(startTime.Add(lead.LeaseDuration)))
}

// Without a read of the leadership record the lease needs all replicas: an instance that was
// connected to during a campaign may have restarted and lost the campaign's term.
func TestMajorityIsNotEnoughOnNewConnections(t *testing.T) {
	is := is.New(t)
	newAuthority := func() *lead.Authority {
		a := lead.NewAuthority("a", replicas, true)
		a.RecordUse(startTime)
		a.RequireConfirmedAfter(startTime)
		a.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
		a.HandleStatus("b", startTime, startTime, lead.Status{Term: 3})
		return a
	}
	a := newAuthority()
	is.True(!a.Valid(startTime))
	since, uncovered := a.UncoveredSince(startTime)
	is.True(uncovered && since == startTime)
	is.Equal(a.DueQueries(startTime), []types.Endpoint{"c"})
	a.RecordClaimFree(startTime.Add(-1))
	is.True(!a.Valid(startTime))

	a.HandleStatus("c", startTime, startTime, lead.Status{Term: 3})
	is.True(a.Valid(startTime))
	is.Equal(a.ConfirmedSince(), startTime)

	a = newAuthority()
	a.RecordClaimFree(startTime)
	is.True(a.Valid(startTime))
	is.Equal(a.ConfirmedSince(), startTime)
	_, uncovered = a.UncoveredSince(startTime)
	is.True(!uncovered)

	// A later connection to the primary is not covered by a majority before the next read.
	later := startTime.Add(10 * time.Millisecond)
	a.RequireConfirmedAfter(later)
	a.HandleStatus("b", later, startTime, lead.Status{Term: 3})
	is.True(a.Valid(later))
	is.Equal(a.ConfirmedSince(), startTime)
	a.RecordClaimFree(later)
	is.Equal(a.ConfirmedSince(), startTime) // the primary may have stepped down
	a.HandleStatus("a", later, startTime, lead.Status{Primary: true, Term: 3})
	is.Equal(a.ConfirmedSince(), later)
}

// Guards against an owner that takes the replicas it knows for all. One that it does not know may be
// the only one that a campaign has paused.
func TestIncompleteListNeedsCoveredReplica(t *testing.T) {
	is := is.New(t)
	alone := lead.NewAuthority("a", nil, false)
	alone.RecordUse(startTime)
	alone.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
	alone.RecordClaimFree(startTime)
	is.True(!alone.Valid(startTime))
	alone.SetReplicas(nil, true)
	is.True(alone.Valid(startTime))

	a := lead.NewAuthority("a", []types.Endpoint{"b"}, false)
	a.RecordUse(startTime)
	a.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", startTime, startTime, lead.Status{Term: 3})
	is.True(!a.Valid(startTime))
	is.Equal(a.ConfirmedSince(), types.Time(0))
	a.RecordClaimFree(startTime)
	is.True(a.Valid(startTime))
	is.Equal(a.ConfirmedSince(), startTime)
}

func TestPausedReplicaEndsAuthority(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas, true)
	a.RecordClaimFree(startTime)
	a.RecordUse(startTime)
	a.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", startTime, startTime, lead.Status{Term: 3})
	is.True(a.Valid(startTime))
	a.HandleStatus("c", startTime, startTime, lead.Status{Term: 3, FencedTerm: 4})
	is.True(a.Fenced())
	is.True(!a.Valid(startTime))
}

func TestAuthorityQueriesPrimaryAfterDiscard(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas, true)
	a.RecordClaimFree(startTime)
	a.RecordUse(startTime)
	a.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", startTime, startTime, lead.Status{Term: 3})
	is.True(a.Valid(startTime))
	a.DiscardConfirmations()
	is.True(!a.Valid(startTime))
	is.Equal(a.DueQueries(startTime), []types.Endpoint{"a"})
}

func opsByEndpoint(a lead.Actions) map[types.Endpoint]lead.Op {
	out := map[types.Endpoint]lead.Op{}
	for _, cmd := range a.Commands {
		out[cmd.Endpoint] = cmd.Op
	}
	return out
}

// resumed returns the endpoints whose pauses end.
func resumed(a lead.Actions) map[types.Endpoint]bool {
	out := map[types.Endpoint]bool{}
	for _, cmd := range a.Resumes {
		out[cmd.Endpoint] = cmd.Op == lead.OpResume
	}
	return out
}

// promoteAfterLease advances a campaign whose lease has expired: it has to query every replica
// whether it is still paused before it requests a promotion. It returns the candidate.
func promoteAfterLease(t *testing.T, c *lead.Campaign, at types.Time, received map[types.Endpoint]types.Position) types.Endpoint {
	t.Helper()
	is := is.New(t)
	a := c.Tick(at)
	is.Equal(a.Promote, types.Endpoint(""))
	for _, r := range replicas {
		is.Equal(a.Promote, types.Endpoint("")) // not before the last response
		a = c.HandleStatus(at, lead.Command{Endpoint: r}, lead.Status{Term: 3, FencedTerm: 4, Received: types.LogPoint{Term: 3, Position: received[r]}})
	}
	return a.Promote
}

// A replica that was resumed during the fence, by a restart or by a late command of another
// campaign, may have confirmed the old primary, so that the fence starts again.
func TestReplicaResumedDuringFenceRestartsFence(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonUnresponsive, "a", replicas, 3)
	advanceToClaim(c)
	for _, cmd := range c.HandleClaimResult(startTime, 1).Commands {
		c.HandleStatus(startTime, cmd, lead.Status{Term: 3, FencedTerm: 4})
	}
	expired := startTime.Add(lead.LeaseDuration)
	is.Equal(c.Tick(expired).Promote, types.Endpoint(""))
	c.HandleStatus(expired, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, FencedTerm: 4})
	a := c.HandleStatus(expired, lead.Command{Endpoint: "c"}, lead.Status{Term: 3})
	is.Equal(opsByEndpoint(a), map[types.Endpoint]lead.Op{"b": lead.OpPause, "c": lead.OpPause})
	for _, cmd := range a.Commands {
		c.HandleStatus(expired, cmd, lead.Status{Term: 3, FencedTerm: 4})
	}
	is.Equal(c.Tick(expired.Add(lead.LeaseDuration-1)).Promote, types.Endpoint(""))
	is.True(promoteAfterLease(t, c, expired.Add(lead.LeaseDuration), nil) != "")
}

// advanceToClaim lets all replicas respond, so that the campaign claims the token.
func advanceToClaim(c *lead.Campaign) lead.Actions {
	c.Start()
	var a lead.Actions
	for _, r := range replicas {
		a = c.HandleStatus(startTime, lead.Command{Endpoint: r}, lead.Status{Term: 3})
	}
	return a
}

func TestUnresponsivePrimaryIsReplacedAfterLeaseExpires(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonUnresponsive, "a", replicas, 3)
	is.True(advanceToClaim(c).ClaimToken)
	a := c.HandleClaimResult(startTime, 1)
	is.Equal(opsByEndpoint(a), map[types.Endpoint]lead.Op{"b": lead.OpPause, "c": lead.OpPause})
	is.Equal(a.Commands[0].Term, types.Term(4))
	c.HandleStatus(startTime, lead.Command{Endpoint: "b", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4, Received: types.LogPoint{Term: 3, Position: 7}})
	c.HandleStatus(startTime, lead.Command{Endpoint: "c", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4, Received: types.LogPoint{Term: 3, Position: 9}})
	is.Equal(c.Tick(startTime.Add(lead.LeaseDuration-1)).Promote, types.Endpoint(""))
	promoted := promoteAfterLease(t, c, startTime.Add(lead.LeaseDuration), map[types.Endpoint]types.Position{"b": 7, "c": 9})
	is.Equal(promoted, types.Endpoint("c")) // the longest log
}

// reportOldPrimaryAbsent reports that the old primary was absent for a command requested at
// requestedAt.
func reportOldPrimaryAbsent(c *lead.Campaign, requestedAt types.Time) lead.Actions {
	return c.HandleFailure(requestedAt, lead.Command{Endpoint: "a"}, requestedAt, true)
}

func TestAbsentPrimaryIsReplacedWithoutWaiting(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonAbsent, "a", replicas, 3)
	advanceToClaim(c)
	c.HandleClaimResult(startTime, 1)
	fencedAt := startTime.Add(time.Millisecond)
	c.HandleStatus(fencedAt, lead.Command{Endpoint: "b", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	a := c.HandleStatus(fencedAt, lead.Command{Endpoint: "c", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	is.Equal(a.Promote, types.Endpoint(""))
	is.Equal(opsByEndpoint(a)["a"], lead.OpQueryStatus)
	is.True(reportOldPrimaryAbsent(c, fencedAt).Promote != "")
}

// A primary that was absent only before the fence may have restarted since, so that its
// owner may hold a lease again.
func TestPrimaryAbsentBeforeFenceIsReplacedAfterLeaseExpires(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonAbsent, "a", replicas, 3)
	advanceToClaim(c)
	c.HandleClaimResult(startTime, 1)
	fencedAt := startTime.Add(time.Millisecond)
	for _, r := range replicas {
		c.HandleStatus(fencedAt, lead.Command{Endpoint: r, Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	}
	is.Equal(reportOldPrimaryAbsent(c, startTime).Promote, types.Endpoint(""))
	is.Equal(c.Tick(fencedAt.Add(lead.LeaseDuration-1)).Promote, types.Endpoint(""))
	is.True(promoteAfterLease(t, c, fencedAt.Add(lead.LeaseDuration), nil) != "")
}

// Guards against a new query to a busy replica for every request: the replica refuses each
// one, and each adds to its load.
func TestFailedQueryIsRetriedAfterDelay(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", []types.Endpoint{"b"}, true)
	a.RecordUse(startTime)
	a.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
	is.Equal(len(a.DueQueries(startTime)), 1)
	a.HandleQueryFailure(startTime, "b")
	is.Equal(len(a.DueQueries(startTime.Add(time.Millisecond))), 0)
	is.Equal(len(a.DueQueries(startTime.Add(50*time.Millisecond))), 1)
}

// A connection opened after the replicas were queried may lead to a primary that has
// restarted since, so it needs a new confirmation.
func TestConfirmationCoversOnlyEarlierConnections(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas, true)
	a.RecordClaimFree(startTime)
	a.RecordUse(startTime)
	a.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", startTime, startTime, lead.Status{Term: 3})
	is.Equal(a.ConfirmedSince(), startTime)
	is.Equal(len(a.DueQueries(startTime)), 0)
	later := startTime.Add(10 * time.Millisecond)
	a.RequireConfirmedAfter(later)
	a.RecordClaimFree(later)
	is.True(a.Valid(later))
	queried := a.DueQueries(later)
	is.Equal(len(queried), 2)
	is.Equal(queried[0], types.Endpoint("a"))
	is.Equal(a.ConfirmedSince(), startTime)
	a.HandleStatus("c", later, startTime, lead.Status{Term: 3})
	is.Equal(a.ConfirmedSince(), startTime)
	a.HandleStatus("a", later, startTime, lead.Status{Primary: true, Term: 3})
	is.Equal(a.ConfirmedSince(), later)
	alone := lead.NewAuthority("a", nil, true)
	is.True(alone.ConfirmedSince() < startTime)
	alone.HandleStatus("a", later, startTime, lead.Status{Primary: true, Term: 3})
	is.Equal(alone.ConfirmedSince(), later)
}

// A host that cannot reach a replica cannot replace the primary, and its claim would keep
// other hosts from it.
func TestNoClaimWithUnreachableReplica(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonUnresponsive, "a", replicas, 3)
	c.Start()
	c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3})
	a := c.Tick(startTime.Add(time.Second))
	is.True(a.Ended)
	is.True(!a.ClaimToken)
}

func TestLostClaimEndsCampaign(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonUnresponsive, "a", replicas, 3)
	advanceToClaim(c)
	is.True(c.HandleClaimResult(startTime, 0).Ended)
}

func TestPlannedChangeLosesNoCommit(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonLeaving, "a", replicas, 3)
	advanceToClaim(c)
	c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	is.True(c.HandleClaimResult(startTime, 1).HoldNewWork)
	is.Equal(opsByEndpoint(c.HandleWritesDrained(startTime)), map[types.Endpoint]lead.Op{"a": lead.OpQueryStatus})
	a := c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	is.Equal(opsByEndpoint(a), map[types.Endpoint]lead.Op{"a": lead.OpStepDown})
	last := types.LogPoint{Term: 3, Position: 20}
	c.HandleStatus(startTime, lead.Command{Endpoint: "a", Op: lead.OpStepDown}, lead.Status{Term: 3, Received: last})
	a = c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 19}})
	is.Equal(a.Promote, types.Endpoint(""))
	a = c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: last})
	is.Equal(a.Promote, types.Endpoint("b"))
}

func TestStoppedCandidateIsReplaced(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonAbsent, "a", replicas, 3)
	advanceToClaim(c)
	c.HandleClaimResult(startTime, 1)
	c.HandleStatus(startTime, lead.Command{Endpoint: "b", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	c.HandleStatus(startTime, lead.Command{Endpoint: "c", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	first := reportOldPrimaryAbsent(c, startTime).Promote
	second := c.HandlePromotionResult(startTime, c.RecordPromotionRequest(first), lead.PromotionNotRunning).Promote
	is.True(second != "" && second != first)
}

// requestSyncPromotion advances a campaign against "a" that must lose no commit to a promotion of "b",
// which holds more of the log than "c".
func requestSyncPromotion(t *testing.T) *lead.Campaign {
	t.Helper()
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonAbsent, "a", replicas, 3)
	c.RequireAllReplicas()
	advanceToClaim(c)
	for _, cmd := range c.HandleClaimResult(startTime, 1).Commands {
		st := lead.Status{Term: 3, FencedTerm: 4, Received: types.LogPoint{Term: 3, Position: 7}}
		if cmd.Endpoint == "b" {
			st.Received.Position = 20
		}
		c.HandleStatus(startTime, cmd, st)
	}
	is.Equal(reportOldPrimaryAbsent(c, startTime).Promote, types.Endpoint("b"))
	is.Equal(c.RecordPromotionRequest("b"), uint64(firstRequest))
	return c
}

// Guards against the promotion of a replica without the acknowledged commits in place of a candidate that
// has crashed. The campaign ends, so that the candidate can return, or the old primary if the candidate
// cannot have led.
func TestCrashedCandidateIsWaitedFor(t *testing.T) {
	is := is.New(t)
	c := requestSyncPromotion(t)
	a := c.HandlePromotionResult(startTime, firstRequest, lead.PromotionNotRunning)
	is.True(a.Ended)
	is.Equal(a.NewPrimary, types.Endpoint(""))
	is.Equal(resumed(a), map[types.Endpoint]bool{"b": true, "c": true})
	is.True(!c.IsPromotionUnsettled())
	// After the platform has accepted a request, the candidate may have led for a moment.
	c = requestSyncPromotion(t)
	c.HandlePromotionResult(startTime, firstRequest, lead.PromotionAccepted)
	a = c.HandlePromotionResult(startTime, c.RecordPromotionRequest("b"), lead.PromotionNotRunning)
	is.True(a.Ended && len(a.Resumes) == 0)
	is.True(c.IsPromotionUnsettled())
	// One that is no longer waited for is replaced.
	c = requestSyncPromotion(t)
	c.RemoveReplica("b")
	is.Equal(c.HandlePromotionResult(startTime, firstRequest, lead.PromotionNotRunning).Promote, types.Endpoint("c"))
	// The old primary has what the lost candidate had.
	c = requestSyncPromotion(t)
	c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3, Received: types.LogPoint{Term: 3, Position: 21}})
	c.RemoveReplica("b")
	is.Equal(c.HandlePromotionResult(startTime, firstRequest, lead.PromotionNotRunning).Promote, types.Endpoint("a"))
}

// Guards against the promotion of a second candidate while the first one, which runs again, has been
// requested anew: the answer to the earlier request came late.
func TestLateAnswerDoesNotReplaceCandidate(t *testing.T) {
	is := is.New(t)
	c, first := requestPromotion(t)
	second := c.RecordPromotionRequest(first)
	a := c.HandlePromotionResult(startTime, firstRequest, lead.PromotionNotRunning)
	is.True(!a.Ended && a.Promote == "")
	is.Equal(c.Tick(startTime.Add(900*time.Millisecond)).Promote, types.Endpoint("")) // the later answer decides
	is.Equal(c.Tick(startTime.Add(1100*time.Millisecond)).Promote, first)
	c.HandlePromotionResult(startTime, second, lead.PromotionAccepted)
	is.Equal(c.HandleStatus(startTime.Add(2*time.Second), lead.Command{Endpoint: first}, lead.Status{Primary: true, Term: 4}).NewPrimary, first)
}

// Guards against a planned change that promotes a replica without the last commits after its candidate
// and the old primary have crashed. Whichever returns first has them.
func TestPlannedChangeAwaitsCrashedCandidate(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonLeaving, "a", replicas, 3)
	c.RequireAllReplicas()
	held := types.LogPoint{Term: 3, Position: 20}
	behind := types.LogPoint{Term: 3, Position: 7}
	c.Start()
	c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3, Received: held})
	c.HandleStatus(startTime, lead.Command{Endpoint: "c"}, lead.Status{Term: 3, Received: behind})
	is.True(c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: held}).ClaimToken)
	c.HandleClaimResult(startTime, 1)
	c.HandleWritesDrained(startTime)
	c.HandleStatus(startTime, lead.Command{Endpoint: "a", Op: lead.OpStepDown}, lead.Status{Term: 3, Received: held, Connections: 1})
	c.HandleStatus(startTime, lead.Command{Endpoint: "c"}, lead.Status{Term: 3, Received: behind})
	is.Equal(c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: held}).Promote, types.Endpoint("b"))
	is.Equal(c.HandlePromotionResult(startTime, c.RecordPromotionRequest("b"), lead.PromotionNotRunning).Promote, types.Endpoint(""))
	at := startTime
	for ; at.Before(startTime.Add(4 * time.Second)); at = at.Add(100 * time.Millisecond) {
		is.Equal(c.Tick(at).Promote, types.Endpoint(""))
	}
	at = at.Add(100 * time.Millisecond)
	is.Equal(c.Tick(at).Promote, types.Endpoint("a"))
	is.Equal(c.HandlePromotionResult(at, c.RecordPromotionRequest("a"), lead.PromotionNotRunning).Promote, types.Endpoint(""))
	for end := at.Add(10 * time.Second); at.Before(end); at = at.Add(100 * time.Millisecond) {
		is.Equal(c.Tick(at).Promote, types.Endpoint(""))
	}
	is.Equal(c.HandleStatus(at, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: held}).Promote, types.Endpoint("b"))
}

// Requests are repeated, so that the platform can still answer one for a candidate that has been
// replaced. The answer says nothing about the next candidate.
func TestAnswerAboutEarlierCandidateDoesNotExcludeNext(t *testing.T) {
	is := is.New(t)
	c, first := requestPromotion(t)
	later := c.RecordPromotionRequest(first)
	second := c.HandlePromotionResult(startTime, later, lead.PromotionNotRunning).Promote
	c.RecordPromotionRequest(second)
	a := c.HandlePromotionResult(startTime, firstRequest, lead.PromotionNotRunning)
	is.True(!a.Ended && a.Promote == "")
	is.True(c.IsPromotionUnsettled())
	a = c.HandleStatus(startTime, lead.Command{Endpoint: second}, lead.Status{Primary: true, Term: 4})
	is.Equal(a.NewPrimary, second)
}

// requestPromotion advances a new campaign against "a" until it requests a promotion, and
// returns the campaign and the candidate.
func requestPromotion(t *testing.T) (*lead.Campaign, types.Endpoint) {
	t.Helper()
	c := lead.NewCampaign(startTime, "s", lead.ReasonAbsent, "a", replicas, 3)
	advanceToClaim(c)
	for _, cmd := range c.HandleClaimResult(startTime, 1).Commands {
		c.HandleStatus(startTime, cmd, lead.Status{Term: 3, FencedTerm: 4})
	}
	candidate := reportOldPrimaryAbsent(c, startTime).Promote
	c.RecordPromotionRequest(candidate)
	return c, candidate
}

// firstRequest is the number of the first promotion request of a campaign.
const firstRequest = 1

// The platform may carry out a request that it has not answered at any later time, so that the
// replicas must not confirm the old primary again.
func TestUnansweredPromotionIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	c, candidate := requestPromotion(t)
	c.HandlePromotionResult(startTime, firstRequest, lead.PromotionUnknown)
	requests := 0
	for at := startTime; at.Before(startTime.Add(20 * time.Second)); at = at.Add(40 * time.Millisecond) {
		a := c.Tick(at)
		is.True(!a.Ended)
		if a.Promote != "" {
			is.Equal(a.Promote, candidate)
			requests++
		}
	}
	is.True(requests > 10 && requests < 40)
	a := c.Abandon()
	is.True(a.Ended && len(a.Commands) == 0 && len(a.Resumes) == 0 && c.IsPromotionUnsettled())
}

// A request that the platform has refused has no effect later, so that the campaign may end
// and resume the replicas.
func TestRefusedPromotionIsGivenUp(t *testing.T) {
	is := is.New(t)
	c, _ := requestPromotion(t)
	c.HandlePromotionResult(startTime, firstRequest, lead.PromotionRefused)
	a := c.Tick(startTime.Add(3100 * time.Millisecond))
	is.True(a.Ended && a.NewPrimary == "")
	is.Equal(resumed(a), map[types.Endpoint]bool{"b": true, "c": true})
	is.Equal(len(a.Commands), 0)
	is.Equal(c.LastPhase(), lead.PhasePromoting)
}

// A campaign that inherits a promotion chooses the same candidate, even if another replica
// holds more of the log and the old primary responds.
func TestInheritedPromotionIsFinished(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonUnfinishedPromotion, "a", replicas, 3)
	c.FinishPromotion("b")
	advanceToClaim(c)
	commands := c.HandleClaimResult(startTime, 2).Commands
	is.True(!c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3}).Ended)
	for _, cmd := range commands {
		st := lead.Status{Term: 3, FencedTerm: 4}
		if cmd.Endpoint == "c" {
			st.Received = types.LogPoint{Term: 3, Position: 50}
		}
		c.HandleStatus(startTime, cmd, st)
	}
	is.Equal(promoteAfterLease(t, c, startTime.Add(lead.LeaseDuration), map[types.Endpoint]types.Position{"c": 50}), types.Endpoint("b"))
}

// An inherited promotion that has taken effect only needs to be recorded.
func TestInheritedPromotionThatTookEffectIsRecorded(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonUnfinishedPromotion, "a", replicas, 3)
	c.FinishPromotion("b")
	c.Start()
	is.True(c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Primary: true, Term: 4}).ClaimToken)
	a := c.HandleClaimResult(startTime, 2)
	is.True(a.Ended)
	is.Equal(a.NewPrimary, types.Endpoint("b"))
}

// A planned change that must not lose a commit waits until every replica has responded, and
// then chooses the longest log although no replica holds the old primary's last commits, which
// were not acknowledged.
func TestPlannedChangeEndsAlthoughNoReplicaCatchesUp(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonLeaving, "a", replicas, 3)
	c.RequireAllReplicas()
	advanceToClaim(c)
	c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	c.HandleClaimResult(startTime, 1)
	c.HandleWritesDrained(startTime)
	c.HandleStatus(startTime, lead.Command{Endpoint: "a", Op: lead.OpStepDown}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 20}})
	c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 19}})
	late := startTime.Add(3 * time.Second)
	is.Equal(c.Tick(late).Promote, types.Endpoint(""))
	c.HandleStatus(late, lead.Command{Endpoint: "c"}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 18}})
	is.Equal(c.Tick(late).Promote, types.Endpoint("b"))
}

func TestReplicasAreResumedAfterOldPrimaryStepsDown(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonAbsent, "a", replicas, 3)
	advanceToClaim(c)
	c.HandleClaimResult(startTime, 1)
	c.HandleStatus(startTime, lead.Command{Endpoint: "b", Op: lead.OpPause, Term: 4}, lead.Status{Term: 3, FencedTerm: 4})
	c.HandleStatus(startTime, lead.Command{Endpoint: "c", Op: lead.OpPause, Term: 4}, lead.Status{Term: 3, FencedTerm: 4})
	promoted := reportOldPrimaryAbsent(c, startTime).Promote
	a := c.HandleStatus(startTime, lead.Command{Endpoint: promoted}, lead.Status{Primary: true, Term: 4})
	is.Equal(a.NewPrimary, promoted)
	// The old primary steps down at once. The replica stays paused until that is done,
	// since it holds no term after it is resumed.
	is.Equal(a.Commands, []lead.Command{{Endpoint: "a", Op: lead.OpStepDown, Term: 4}})
	is.Equal(len(a.Resumes), 1)
	is.Equal(a.Resumes[0].Term, types.Term(4)) // a later pause is not ended
	is.Equal(a.Resumes[0].Op, lead.OpResume)
	is.True(a.Resumes[0].Endpoint != promoted)
}

// Guards against a promotion while a replica could still confirm the old primary: a pause
// counts only if the replica then holds the campaign's term.
func TestPauseWithoutHeldTermDoesNotFence(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonAbsent, "a", replicas, 3)
	advanceToClaim(c)
	pause := c.HandleClaimResult(startTime, 1).Commands
	c.HandleStatus(startTime, pause[0], lead.Status{Term: 3, FencedTerm: 4})
	is.Equal(c.HandleStatus(startTime, pause[1], lead.Status{Term: 3, FencedTerm: 0}).Promote, types.Endpoint(""))
	is.Equal(reportOldPrimaryAbsent(c, startTime).Promote, types.Endpoint(""))
}

// Guards against a lease that misses a campaign: after a replica has held a later term,
// another replica's confirmation alone is not enough.
func TestRequiredReplicaMustConfirm(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas, true)
	a.RecordClaimFree(startTime.Add(-1))
	a.RequireReplica(startTime, "c")
	a.RecordUse(startTime)
	a.HandleStatus("a", startTime, startTime.Add(-1), lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", startTime, startTime.Add(-1), lead.Status{Term: 3})
	is.True(!a.Valid(startTime))
	is.Equal(a.DueQueries(startTime)[0], types.Endpoint("c"))
	a.HandleStatus("c", startTime, startTime.Add(-1), lead.Status{Term: 3})
	is.True(a.Valid(startTime))
	// A later confirmation of b does not cover connections that c has not confirmed.
	a.HandleStatus("b", startTime.Add(time.Millisecond), startTime.Add(-1), lead.Status{Term: 3})
	is.Equal(a.ConfirmedSince(), startTime)
}

// The replica that held a later term may be silent for long. Its confirmation is not needed once
// a read shows that the campaign is over.
func TestReplicaIsNotRequiredAfterCampaign(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas, true)
	a.RequireReplica(startTime, "c")
	a.RecordUse(startTime)
	a.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", startTime, startTime, lead.Status{Term: 3})
	a.RecordClaimFree(startTime.Add(-1))
	is.True(!a.Valid(startTime))
	a.RecordClaimFree(startTime)
	is.True(a.Valid(startTime))
}

// A primary that responds before its successor is chosen stays the primary.
func TestPrimaryThatRespondsAgainIsKept(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonUnresponsive, "a", replicas, 3)
	advanceToClaim(c)
	pause := c.HandleClaimResult(startTime, 1).Commands
	for _, cmd := range pause {
		c.HandleStatus(startTime, cmd, lead.Status{Term: 3, FencedTerm: 4})
	}
	is.Equal(opsByEndpoint(c.Tick(startTime.Add(lead.LeaseDuration / 2)))["a"], lead.OpQueryStatus)
	a := c.HandleStatus(startTime.Add(lead.LeaseDuration/2), lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	is.True(a.Ended)
	is.Equal(a.NewPrimary, types.Endpoint(""))
	is.Equal(resumed(a), map[types.Endpoint]bool{"b": true, "c": true})
	is.Equal(len(a.Commands), 0)
}

// Replicas that an interrupted campaign has left paused are resumed with a new token.
func TestLeftoverPausesAreResumed(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonReplicasPaused, "a", replicas, 3)
	c.Start()
	c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, FencedTerm: 4})
	c.HandleStatus(startTime, lead.Command{Endpoint: "c"}, lead.Status{Term: 3})
	a := c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	is.True(a.ClaimToken)
	a = c.HandleClaimResult(startTime, 2)
	is.Equal(resumed(a), map[types.Endpoint]bool{"b": true, "c": true})
	is.Equal(len(a.Commands), 0)
}

// If another endpoint is the primary already, the campaign only records it.
func TestUnrecordedPrimaryIsRecorded(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonReplicasPaused, "a", replicas, 3)
	c.Start()
	is.True(c.HandleStatus(startTime, lead.Command{Endpoint: "c"}, lead.Status{Primary: true, Term: 4}).ClaimToken)
	a := c.HandleClaimResult(startTime, 2)
	is.Equal(a.NewPrimary, types.Endpoint("c"))
	is.Equal(a.Promote, types.Endpoint(""))
}

// The timeout for the candidate to become the primary starts at the platform's response,
// which may itself take long.
func TestPromotionTimeoutStartsWhenAccepted(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonAbsent, "a", replicas, 3)
	advanceToClaim(c)
	for _, cmd := range c.HandleClaimResult(startTime, 1).Commands {
		c.HandleStatus(startTime, cmd, lead.Status{Term: 3, FencedTerm: 4})
	}
	candidate := reportOldPrimaryAbsent(c, startTime).Promote
	c.HandlePromotionResult(startTime.Add(2900*time.Millisecond), c.RecordPromotionRequest(candidate), lead.PromotionAccepted)
	is.True(!c.Tick(startTime.Add(3500 * time.Millisecond)).Ended)
}

// If commits are acknowledged once some replica holds them, no replica may be left
// out, since it may be the only one that holds a commit.
func TestRequiredReplicaIsNotExcluded(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonAbsent, "a", replicas, 3)
	c.RequireAllReplicas()
	c.Start()
	c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3})
	a := c.HandleFailure(startTime, lead.Command{Endpoint: "c"}, startTime, true)
	is.True(!a.ClaimToken && !a.Ended)
	is.True(c.Tick(startTime.Add(time.Second)).Ended)
}

// plannedChange returns a planned change from "a", which holds entry 20, to replicas of which "c"
// does not respond, when it is about to step down the old primary.
func plannedChange(t *testing.T) *lead.Campaign {
	t.Helper()
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonLeaving, "a", replicas, 3)
	c.Start()
	held := types.LogPoint{Term: 3, Position: 20}
	c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3, Received: held})
	a := c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: held})
	is.True(!a.ClaimToken) // the other replica may still respond
	is.True(c.Tick(startTime.Add(400 * time.Millisecond)).ClaimToken)
	is.True(c.HandleClaimResult(startTime, 1).HoldNewWork)
	c.HandleWritesDrained(startTime)
	return c
}

// A replica that is cut off must not keep a leaving primary in use. The one that holds its whole
// log is enough.
func TestLeavingPrimaryIsReplacedWithoutSilentReplica(t *testing.T) {
	is := is.New(t)
	c := plannedChange(t)
	last := types.LogPoint{Term: 3, Position: 25}
	c.HandleStatus(startTime, lead.Command{Endpoint: "a", Op: lead.OpStepDown}, lead.Status{Term: 3, Received: last})
	is.Equal(c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 24}}).Promote, types.Endpoint(""))
	is.Equal(c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: last}).Promote, types.Endpoint("b"))
}

// If the only replica that responds stops receiving after the old primary has stepped down, the
// silent one may hold commits that it lacks. The old primary holds all.
func TestPlannedChangeReturnsToOldPrimaryRatherThanLoseCommits(t *testing.T) {
	is := is.New(t)
	c := plannedChange(t)
	c.HandleStatus(startTime, lead.Command{Endpoint: "a", Op: lead.OpStepDown}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 25}})
	c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 24}})
	is.Equal(c.Tick(startTime.Add(3*time.Second)).Promote, types.Endpoint(""))
	late := startTime.Add(4100 * time.Millisecond)
	is.Equal(c.Tick(late).Promote, types.Endpoint("a"))
	a := c.HandleStatus(late, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 4})
	is.Equal(a.NewPrimary, types.Endpoint("a"))
}

// The old primary would be held up, and step down, for nothing while no replica receives.
func TestPlannedChangeWaitsForReplicaThatReceives(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonLeaving, "a", replicas, 3)
	c.Start()
	c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3, Received: types.LogPoint{Term: 3, Position: 20}})
	for _, r := range replicas {
		is.True(!c.HandleStatus(startTime, lead.Command{Endpoint: r}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 7}}).ClaimToken)
	}
	later := startTime.Add(200 * time.Millisecond)
	is.Equal(len(c.Tick(later).Commands), 2) // asks again
	is.True(c.HandleStatus(later, lead.Command{Endpoint: "c"}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 20}}).ClaimToken)
}

// absentPrimary returns a campaign against an absent primary, some time after it has sent the
// pauses; "c" does not respond.
func absentPrimary(t *testing.T, prepare func(*lead.Campaign)) (*lead.Campaign, types.Time) {
	t.Helper()
	c := lead.NewCampaign(startTime, "s", lead.ReasonAbsent, "a", replicas, 3)
	prepare(c)
	c.Start()
	c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3})
	claimed := startTime.Add(400 * time.Millisecond)
	if !c.Tick(claimed).ClaimToken {
		return c, claimed
	}
	for _, cmd := range c.HandleClaimResult(claimed, 1).Commands {
		if cmd.Endpoint == "b" {
			c.HandleStatus(claimed, cmd, lead.Status{Term: 3, FencedTerm: 4})
		}
	}
	return c, claimed
}

// A silent replica must not keep a crashed primary from being replaced. Whoever connects to the
// primary after its restart needs the paused replica, or a read that shows the claim.
func TestCrashedPrimaryIsReplacedWithoutSilentReplica(t *testing.T) {
	is := is.New(t)
	c, claimed := absentPrimary(t, (*lead.Campaign).LeaveOutSilentReplicas)
	fenced := claimed.Add(400 * time.Millisecond)
	is.Equal(reportOldPrimaryAbsent(c, claimed).Promote, types.Endpoint("")) // the silent one may still respond
	a := c.Tick(fenced)
	is.Equal(opsByEndpoint(a)["a"], lead.OpQueryStatus)
	is.Equal(reportOldPrimaryAbsent(c, claimed).Promote, types.Endpoint("")) // absent before the fence proves nothing
	is.Equal(reportOldPrimaryAbsent(c, fenced).Promote, types.Endpoint("b"))
}

// If the primary answers after all, the silent replica may confirm it for as long as it likes.
func TestLeaseExpiryIsNoProofWithoutSilentReplica(t *testing.T) {
	is := is.New(t)
	c, claimed := absentPrimary(t, (*lead.Campaign).LeaveOutSilentReplicas)
	for at := claimed; at.Before(claimed.Add(1900 * time.Millisecond)); at = at.Add(50 * time.Millisecond) {
		is.Equal(c.Tick(at).Promote, types.Endpoint(""))
		is.Equal(c.HandleStatus(at, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, FencedTerm: 4}).Promote, types.Endpoint(""))
		is.Equal(c.HandleStatus(at, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3}).Promote, types.Endpoint(""))
	}
	is.True(c.Tick(claimed.Add(3 * time.Second)).Ended)
}

// Hosts of an earlier build use a primary with a majority on any connection. A commit that one
// replica has acknowledged may be held by the silent one alone.
func TestSilentReplicaIsNotLeftOut(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*lead.Campaign)
	}{
		{"hosts of an earlier build", func(*lead.Campaign) {}},
		{"synchronous replicas", func(c *lead.Campaign) { c.LeaveOutSilentReplicas(); c.RequireAllReplicas() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			campaign, at := absentPrimary(t, c.prepare)
			is.Equal(campaign.Phase(), lead.PhaseQueryingReplicas)
			is.True(campaign.Tick(at.Add(time.Second)).Ended)
		})
	}
}

// A replica that was absent before the claim may have restarted and confirm the primary on a
// connection that is older than the claim.
func TestReplicaAbsentBeforeClaimIsPausedAgain(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonUnresponsive, "a", replicas, 3)
	c.Start()
	c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3})
	is.True(c.HandleFailure(startTime, lead.Command{Endpoint: "c"}, startTime, true).ClaimToken)
	claimed := startTime.Add(time.Millisecond)
	a := c.HandleClaimResult(claimed, 1)
	is.Equal(opsByEndpoint(a), map[types.Endpoint]lead.Op{"b": lead.OpPause, "c": lead.OpPause})
	c.HandleStatus(claimed, a.Commands[0], lead.Status{Term: 3, FencedTerm: 4})
	is.Equal(c.Tick(claimed.Add(lead.LeaseDuration)).Promote, types.Endpoint(""))
	c.HandleFailure(claimed, a.Commands[1], claimed, true)
	c.Tick(claimed.Add(2 * lead.LeaseDuration))
	is.Equal(c.HandleStatus(claimed.Add(2*lead.LeaseDuration), lead.Command{Endpoint: "b"}, lead.Status{Term: 3, FencedTerm: 4}).Promote, types.Endpoint("b"))
}

// The replica that was left out may have renewed the lease until it was paused.
func TestLeaseExpiresAfterLastReplicaIsPaused(t *testing.T) {
	is := is.New(t)
	c, claimed := absentPrimary(t, (*lead.Campaign).LeaveOutSilentReplicas)
	c.Tick(claimed.Add(400 * time.Millisecond))
	paused := claimed.Add(700 * time.Millisecond)
	c.HandleStatus(paused, lead.Command{Endpoint: "c", Op: lead.OpPause, Term: 4}, lead.Status{Term: 3, FencedTerm: 4})
	early := claimed.Add(400*time.Millisecond + lead.LeaseDuration)
	is.Equal(c.Tick(early).Promote, types.Endpoint(""))
	for _, r := range replicas {
		is.Equal(c.HandleStatus(early, lead.Command{Endpoint: r}, lead.Status{Term: 3, FencedTerm: 4}).Promote, types.Endpoint(""))
	}
	is.True(promoteAfterLease(t, c, paused.Add(lead.LeaseDuration), nil) != "")
}

// Endpoints that leave together must not become the primary by turns. The one that stays is chosen,
// even if it responds last, and one that leaves only if it does so after the old primary.
func TestPlannedChangeChoosesReplicaThatStays(t *testing.T) {
	held := types.LogPoint{Term: 3, Position: 20}
	for _, c := range []struct {
		name                   string
		staysResponds, isLater bool
		want                   types.Endpoint
	}{
		{"one stays", true, false, "c"},
		{"the one that stays is silent, the other left before", false, false, ""},
		{"the one that stays is silent, the other leaves later", false, true, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			campaign := lead.NewCampaign(startTime, "s", lead.ReasonLeaving, "a", replicas, 3)
			campaign.AvoidCandidate("b", c.isLater)
			campaign.Start()
			campaign.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3, Received: held})
			is.True(!campaign.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: held}).ClaimToken)
			if c.staysResponds {
				is.True(campaign.HandleStatus(startTime, lead.Command{Endpoint: "c"}, lead.Status{Term: 3, Received: held}).ClaimToken)
			}
			claimed := startTime.Add(600 * time.Millisecond)
			if campaign.Tick(claimed); campaign.Phase() != lead.PhaseClaiming {
				is.Equal(c.want, types.Endpoint(""))
				is.True(campaign.Tick(startTime.Add(time.Second)).Ended)
				return
			}
			campaign.HandleClaimResult(claimed, 1)
			campaign.HandleWritesDrained(claimed)
			campaign.HandleStatus(claimed, lead.Command{Endpoint: "a", Op: lead.OpStepDown}, lead.Status{Term: 3, Received: held})
			is.Equal(campaign.HandleStatus(claimed, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: held}).Promote, types.Endpoint(""))
			promoted := campaign.Tick(claimed.Add(600 * time.Millisecond)).Promote
			if c.staysResponds {
				is.Equal(promoted, types.Endpoint(""))
				promoted = campaign.HandleStatus(claimed, lead.Command{Endpoint: "c"}, lead.Status{Term: 3, Received: held}).Promote
			}
			is.Equal(promoted, c.want)
		})
	}
}

// Replicas of a planned change are not paused, so that their confirmations say nothing of it: only
// the primary's own replies show that it has not stepped down.
func TestAuthorityEndsWithoutReplyOfPrimary(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas, true)
	a.RecordClaimFree(startTime)
	a.RecordUse(startTime)
	a.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
	end := startTime.Add(lead.LeaseDuration)
	for at := startTime; at.Before(end); at = at.Add(50 * time.Millisecond) {
		a.HandleStatus("b", at, startTime, lead.Status{Term: 3})
		is.True(a.Valid(at))
	}
	a.HandleStatus("b", end, startTime, lead.Status{Term: 3})
	is.True(!a.Valid(end))
	// A late reply counts from the time of its query.
	a.HandleStatus("a", startTime.Add(time.Millisecond), startTime, lead.Status{Primary: true, Term: 3})
	is.True(!a.Valid(end.Add(time.Millisecond)))
	a.RecordPrimaryReply(end)
	is.True(a.Valid(end.Add(time.Millisecond)))
}

// stepDown advances a planned change against "a" until it has stepped down with a number of
// connections open, and both replicas hold its log. It returns the campaign and the candidate.
func stepDown(t *testing.T, connections int) (*lead.Campaign, types.Endpoint) {
	t.Helper()
	c := plannedChange(t)
	last := types.LogPoint{Term: 3, Position: 25}
	c.HandleStatus(startTime, lead.Command{Endpoint: "a", Op: lead.OpStepDown}, lead.Status{Term: 3, Received: last, Connections: connections})
	var candidate types.Endpoint
	for _, r := range replicas {
		candidate = max(candidate, c.HandleStatus(startTime, lead.Command{Endpoint: r}, lead.Status{Term: 3, Received: last}).Promote)
	}
	return c, candidate
}

// An owner that does not hear of a planned change must have stopped reading at the old primary
// before another endpoint is promoted.
func TestPlannedChangeAwaitsOwnersOfOldPrimary(t *testing.T) {
	is := is.New(t)
	expired := startTime.Add(lead.LeaseDuration)
	for _, connections := range []int{0, 2} { // 0 is unknown
		c, candidate := stepDown(t, connections)
		is.True(candidate != "")
		is.True(!c.MayPromote(expired.Add(-1)))
		is.True(c.IsOldPrimaryInUse(expired.Add(-1)))
		is.True(c.MayPromote(expired))
	}
	c, _ := stepDown(t, 1)
	is.True(c.MayPromote(startTime))

	// The other connections are closed meanwhile.
	c, _ = stepDown(t, 3)
	soon := startTime.Add(100 * time.Millisecond)
	is.Equal(opsByEndpoint(c.Tick(soon)), map[types.Endpoint]lead.Op{"a": lead.OpQueryStatus})
	c.HandleStatus(soon, lead.Command{Endpoint: "a"}, lead.Status{Term: 3, Connections: 2})
	is.True(!c.MayPromote(soon))
	c.HandleStatus(soon, lead.Command{Endpoint: "a"}, lead.Status{Term: 3, Connections: 1})
	is.True(c.MayPromote(soon))
}

// The old primary crashes after it has stepped down, and restarts as a primary since none has
// been promoted. Its commits from then on would be lost.
func TestOldPrimaryThatRestartsStepsDownAgain(t *testing.T) {
	is := is.New(t)
	c, _ := stepDown(t, 2)
	restarted := lead.Status{Primary: true, Term: 3, Received: types.LogPoint{Term: 3, Position: 25}, Connections: 1}
	a := c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, restarted)
	is.Equal(opsByEndpoint(a), map[types.Endpoint]lead.Op{"a": lead.OpStepDown})
	is.True(!c.MayPromote(startTime.Add(lead.LeaseDuration)))
	last := types.LogPoint{Term: 3, Position: 27}
	c.HandleStatus(startTime, lead.Command{Endpoint: "a", Op: lead.OpStepDown}, lead.Status{Term: 3, Received: last, Connections: 1})
	is.Equal(c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 25}}).Promote, types.Endpoint(""))
	is.Equal(c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: last}).Promote, types.Endpoint("b"))
}

// A reply to a command that was sent before the old primary was asked to step down may tell of the
// time before it became the primary.
func TestEarlierReplyDoesNotShowThatOldPrimaryHasSteppedDown(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonLeaving, "a", replicas, 3)
	advanceToClaim(c)
	c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	c.HandleClaimResult(startTime, 1)
	drained := startTime.Add(5 * time.Millisecond)
	c.HandleWritesDrained(drained)
	replica := lead.Status{Term: 3}
	is.True(c.IsOutdated("a", drained.Add(-1), replica))
	is.True(!c.IsOutdated("a", drained, replica))
	is.True(!c.IsOutdated("a", drained.Add(-1), lead.Status{Primary: true, Term: 3})) // it has to step down
	is.True(!c.IsOutdated("b", drained.Add(-1), replica))
}

// The record may be older than a change that has taken effect, for instance after a restore of the
// store. A planned change that went on would promote a second primary beside the present one.
func TestPlannedChangeRecordsPrimaryOfLaterTerm(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(startTime, "s", lead.ReasonLeaving, "a", replicas, 3)
	c.Start()
	is.True(!c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Primary: true, Term: 4}).ClaimToken)
	is.True(c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Term: 3}).ClaimToken)
	is.Equal(c.HandleClaimResult(startTime, 1).NewPrimary, types.Endpoint("b"))

	// A replica that was cut off still takes itself for the primary of an earlier term.
	c = lead.NewCampaign(startTime, "s", lead.ReasonLeaving, "a", replicas, 0)
	c.Start()
	c.HandleStatus(startTime, lead.Command{Endpoint: "b"}, lead.Status{Primary: true, Term: 2})
	c.HandleStatus(startTime, lead.Command{Endpoint: "c"}, lead.Status{Term: 3})
	is.True(c.HandleStatus(startTime, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3}).ClaimToken)
	is.True(c.HandleClaimResult(startTime, 1).HoldNewWork)
}

// newWatchedAuthority returns an authority that replica "b" has confirmed since the last read
// without a campaign. Replica "c" is silent.
func newWatchedAuthority() *lead.Authority {
	a := lead.NewAuthority("a", replicas, true)
	a.RecordUse(startTime)
	a.HandleStatus("a", startTime, startTime, lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", startTime, startTime, lead.Status{Term: 3})
	a.RecordClaimFree(startTime)
	return a
}

// A campaign may have paused and resumed a replica while it was not watched: the replica, which holds
// no later term any more, is no proof that no other primary is in use.
func TestReplicaThatWasNotWatchedIsNotEnough(t *testing.T) {
	is := is.New(t)
	shortest := lead.LeaseDuration + lead.DemotionDelay // of a pause
	confirm := func(a *lead.Authority, at types.Time) {
		a.RecordUse(at)
		a.HandleStatus("a", at, startTime, lead.Status{Primary: true, Term: 3})
		a.HandleStatus("b", at, startTime, lead.Status{Term: 3})
	}
	a := newWatchedAuthority()
	for at := startTime; at.Before(startTime.Add(10 * time.Second)); at = at.Add(time.Second) {
		confirm(a, at)
		is.True(a.Valid(at))
	}

	// The last query before the pause may be answered at once, the one after it half a second late.
	a = newWatchedAuthority()
	later := startTime.Add(shortest - 500*time.Millisecond)
	confirm(a, later)
	is.True(!a.Valid(later))
	since, uncovered := a.UncoveredSince(later)
	is.True(uncovered && since == later)
	a.DiscardConfirmations()
	confirm(a, later.Add(time.Millisecond))
	is.True(!a.Valid(later.Add(time.Millisecond)))
	a.RecordClaimFree(later)
	is.True(a.Valid(later.Add(time.Millisecond)))

	// All replicas are enough without a read.
	a = newWatchedAuthority()
	confirm(a, later)
	a.HandleStatus("c", later, startTime, lead.Status{Term: 3})
	is.True(a.Valid(later))
}

// A replica that has fallen silent must not keep the owner from reading the record, which the
// confirmation of the other one needs.
func TestSilentReplicaDoesNotDelayReadOfRecord(t *testing.T) {
	is := is.New(t)
	a := newWatchedAuthority()
	later := startTime.Add(300 * time.Millisecond)
	a.HandleQueryFailure(later, "b")
	a.HandleStatus("c", later, later, lead.Status{Term: 3})
	end := startTime.Add(lead.LeaseDuration)
	a.HandleStatus("a", end, startTime, lead.Status{Primary: true, Term: 3})
	is.True(!a.Valid(end))
	since, uncovered := a.UncoveredSince(end)
	is.True(uncovered && since == later)
	a.RecordClaimFree(later)
	is.True(a.Valid(end))
}
