package lead_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

const start = types.Time(time.Second)

var replicas = []types.Endpoint{"b", "c"}

func TestAuthorityRequiresMajorityWithinLease(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas)
	a.RecordUse(start)
	is.Equal(a.DueQueries(start), []types.Endpoint{"a"})
	a.HandleStatus("a", start, lead.Status{Primary: true, Term: 3})
	is.True(!a.Valid(start))
	queried := a.DueQueries(start)
	is.Equal(len(queried), 1)
	a.HandleStatus(queried[0], start, lead.Status{Term: 3})
	is.True(a.Valid(start.Add(lead.LeaseDuration - 1)))
	is.True(!a.Valid(start.Add(lead.LeaseDuration)))
}

func TestPausedReplicaEndsAuthority(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas)
	a.RecordUse(start)
	a.HandleStatus("a", start, lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", start, lead.Status{Term: 3})
	is.True(a.Valid(start))
	a.HandleStatus("c", start, lead.Status{Term: 3, FencedTerm: 4})
	is.True(a.Fenced())
	is.True(!a.Valid(start))
}

func TestAuthorityQueriesPrimaryAfterDiscard(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas)
	a.RecordUse(start)
	a.HandleStatus("a", start, lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", start, lead.Status{Term: 3})
	a.DiscardConfirmations()
	is.True(!a.Valid(start))
	is.Equal(a.DueQueries(start), []types.Endpoint{"a"})
}

func opsByEndpoint(a lead.Actions) map[types.Endpoint]lead.Op {
	out := map[types.Endpoint]lead.Op{}
	for _, o := range a.Commands {
		out[o.Endpoint] = o.Op
	}
	return out
}

// advanceToClaim lets all replicas answer, so that the campaign claims the token.
func advanceToClaim(c *lead.Campaign) lead.Actions {
	c.Start()
	var a lead.Actions
	for _, r := range replicas {
		a = c.HandleStatus(start, lead.Command{Endpoint: r}, lead.Status{Term: 3})
	}
	return a
}

func TestUnresponsivePrimaryIsReplacedAfterLeaseExpires(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonUnresponsive, "a", replicas, 3)
	is.True(advanceToClaim(c).ClaimToken)
	a := c.HandleClaimResult(start, 1)
	is.Equal(opsByEndpoint(a), map[types.Endpoint]lead.Op{"b": lead.OpPause, "c": lead.OpPause})
	is.Equal(a.Commands[0].Term, types.Term(4))
	c.HandleStatus(start, lead.Command{Endpoint: "b", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4, Received: types.LogPoint{Term: 3, Position: 7}})
	c.HandleStatus(start, lead.Command{Endpoint: "c", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4, Received: types.LogPoint{Term: 3, Position: 9}})
	is.Equal(c.Tick(start.Add(lead.LeaseDuration-1)).Promote, types.Endpoint(""))
	is.Equal(c.Tick(start.Add(lead.LeaseDuration)).Promote, types.Endpoint("c")) // the longest log
}

// refuseConnection reports that the old primary refused a connection attempted at
// sentAt.
func refuseConnection(c *lead.Campaign, sentAt types.Time) lead.Actions {
	return c.HandleFailure(sentAt, lead.Command{Endpoint: "a"}, sentAt, true)
}

func TestDownPrimaryIsReplacedWithoutWaiting(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonDown, "a", replicas, 3)
	advanceToClaim(c)
	c.HandleClaimResult(start, 1)
	fenced := start.Add(time.Millisecond)
	c.HandleStatus(fenced, lead.Command{Endpoint: "b", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	a := c.HandleStatus(fenced, lead.Command{Endpoint: "c", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	is.Equal(a.Promote, types.Endpoint(""))
	is.Equal(opsByEndpoint(a)["a"], lead.OpQueryStatus)
	is.True(refuseConnection(c, fenced).Promote != "")
}

// A primary that refused connections only before the fence may have restarted since,
// so that its owner may hold a lease again.
func TestPrimaryRefusingBeforeFenceIsReplacedAfterLeaseExpires(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonDown, "a", replicas, 3)
	advanceToClaim(c)
	c.HandleClaimResult(start, 1)
	fenced := start.Add(time.Millisecond)
	for _, r := range replicas {
		c.HandleStatus(fenced, lead.Command{Endpoint: r, Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	}
	is.Equal(refuseConnection(c, start).Promote, types.Endpoint(""))
	is.Equal(c.Tick(fenced.Add(lead.LeaseDuration-1)).Promote, types.Endpoint(""))
	is.True(c.Tick(fenced.Add(lead.LeaseDuration)).Promote != "")
}

// Guards against a query to a busy replica with every request.
func TestFailedQueryIsRetriedAfterDelay(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", []types.Endpoint{"b"})
	a.RecordUse(start)
	a.HandleStatus("a", start, lead.Status{Primary: true, Term: 3})
	is.Equal(len(a.DueQueries(start)), 1)
	a.HandleQueryFailure(start, "b")
	is.Equal(len(a.DueQueries(start.Add(time.Millisecond))), 0)
	is.Equal(len(a.DueQueries(start.Add(50*time.Millisecond))), 1)
}

// A connection opened after the replicas were queried may lead to a primary that has
// restarted since, so it needs a new confirmation.
func TestConfirmationCoversOnlyEarlierConnections(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas)
	a.RecordUse(start)
	a.HandleStatus("a", start, lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", start, lead.Status{Term: 3})
	is.Equal(a.ConfirmedSince(start), start)
	is.Equal(len(a.DueQueries(start)), 0)
	later := start.Add(10 * time.Millisecond)
	a.RequireConfirmedAfter(later)
	is.True(a.Valid(later))
	is.Equal(len(a.DueQueries(later)), 1)
	a.HandleStatus("c", later, lead.Status{Term: 3})
	is.Equal(a.ConfirmedSince(later), later)
	is.Equal(lead.NewAuthority("a", nil).ConfirmedSince(later), later)
}

func TestNoClaimWithUnreachableReplica(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonUnresponsive, "a", replicas, 3)
	c.Start()
	c.HandleStatus(start, lead.Command{Endpoint: "b"}, lead.Status{Term: 3})
	a := c.Tick(start.Add(time.Second))
	is.True(a.Ended)
	is.True(!a.ClaimToken)
}

func TestLostClaimEndsCampaign(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonUnresponsive, "a", replicas, 3)
	advanceToClaim(c)
	is.True(c.HandleClaimResult(start, 0).Ended)
}

func TestPlannedChangeLosesNoCommit(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonLeaving, "a", replicas, 3)
	advanceToClaim(c)
	is.True(c.HandleClaimResult(start, 1).HoldWrites)
	is.Equal(opsByEndpoint(c.HandleWritesDrained(start)), map[types.Endpoint]lead.Op{"a": lead.OpQueryStatus})
	a := c.HandleStatus(start, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	is.Equal(opsByEndpoint(a), map[types.Endpoint]lead.Op{"a": lead.OpStepDown})
	last := types.LogPoint{Term: 3, Position: 20}
	c.HandleStatus(start, lead.Command{Endpoint: "a", Op: lead.OpStepDown}, lead.Status{Term: 3, Received: last})
	a = c.HandleStatus(start, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 19}})
	is.Equal(a.Promote, types.Endpoint(""))
	a = c.HandleStatus(start, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, Received: last})
	is.Equal(a.Promote, types.Endpoint("b"))
}

func TestStoppedCandidateIsReplaced(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonDown, "a", replicas, 3)
	advanceToClaim(c)
	c.HandleClaimResult(start, 1)
	c.HandleStatus(start, lead.Command{Endpoint: "b", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	c.HandleStatus(start, lead.Command{Endpoint: "c", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	first := refuseConnection(c, start).Promote
	second := c.HandlePromotionResult(start, false, true).Promote
	is.True(second != "" && second != first)
}

func TestReplicasAreResumedAfterOldPrimaryStepsDown(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonDown, "a", replicas, 3)
	advanceToClaim(c)
	c.HandleClaimResult(start, 1)
	c.HandleStatus(start, lead.Command{Endpoint: "b", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	c.HandleStatus(start, lead.Command{Endpoint: "c", Op: lead.OpPause}, lead.Status{Term: 3, FencedTerm: 4})
	won := refuseConnection(c, start).Promote
	a := c.HandleStatus(start, lead.Command{Endpoint: won}, lead.Status{Primary: true, Term: 4})
	is.Equal(a.NewPrimary, won)
	// The old primary steps down at once. The replica stays paused until that is done,
	// since it holds no term after it is resumed.
	is.Equal(a.Commands, []lead.Command{{Endpoint: "a", Op: lead.OpStepDown, Term: 4}})
	is.Equal(len(a.CommandsAfterDemotion), 1)
	is.Equal(a.CommandsAfterDemotion[0].Op, lead.OpResume)
	is.True(a.CommandsAfterDemotion[0].Endpoint != won)
}

// A pause counts only if the replica then holds the campaign's term.
func TestPauseWithoutHeldTermDoesNotFence(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonDown, "a", replicas, 3)
	advanceToClaim(c)
	pause := c.HandleClaimResult(start, 1).Commands
	c.HandleStatus(start, pause[0], lead.Status{Term: 3, FencedTerm: 4})
	is.Equal(c.HandleStatus(start, pause[1], lead.Status{Term: 3, FencedTerm: 0}).Promote, types.Endpoint(""))
	is.Equal(refuseConnection(c, start).Promote, types.Endpoint(""))
}

// After a replica has held a later term, another replica's confirmation alone is not
// enough.
func TestSuspectReplicaMustConfirm(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas)
	a.Suspect("c")
	a.RecordUse(start)
	a.HandleStatus("a", start, lead.Status{Primary: true, Term: 3})
	a.HandleStatus("b", start, lead.Status{Term: 3})
	is.True(!a.Valid(start))
	is.Equal(a.DueQueries(start)[0], types.Endpoint("c"))
	a.HandleStatus("c", start, lead.Status{Term: 3})
	is.True(a.Valid(start))
	// A later confirmation of b does not cover connections that c has not confirmed.
	a.HandleStatus("b", start.Add(time.Millisecond), lead.Status{Term: 3})
	is.Equal(a.ConfirmedSince(start.Add(time.Millisecond)), start)
}

// A primary that answers before its successor is chosen stays the primary.
func TestPrimaryThatAnswersAgainIsKept(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonUnresponsive, "a", replicas, 3)
	advanceToClaim(c)
	pause := c.HandleClaimResult(start, 1).Commands
	for _, o := range pause {
		c.HandleStatus(start, o, lead.Status{Term: 3, FencedTerm: 4})
	}
	is.Equal(opsByEndpoint(c.Tick(start.Add(lead.LeaseDuration / 2)))["a"], lead.OpQueryStatus)
	a := c.HandleStatus(start.Add(lead.LeaseDuration/2), lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	is.True(a.Ended)
	is.Equal(a.NewPrimary, types.Endpoint(""))
	is.Equal(opsByEndpoint(a), map[types.Endpoint]lead.Op{"b": lead.OpResume, "c": lead.OpResume})
}

// Replicas that an interrupted campaign has left paused are resumed with a new token.
func TestLeftoverPausesAreResumed(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonReplicasPaused, "a", replicas, 3)
	c.Start()
	c.HandleStatus(start, lead.Command{Endpoint: "b"}, lead.Status{Term: 3, FencedTerm: 4})
	c.HandleStatus(start, lead.Command{Endpoint: "c"}, lead.Status{Term: 3})
	a := c.HandleStatus(start, lead.Command{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	is.True(a.ClaimToken)
	is.Equal(opsByEndpoint(c.HandleClaimResult(start, 2)), map[types.Endpoint]lead.Op{"b": lead.OpResume, "c": lead.OpResume})
}

// If another endpoint is the primary already, the campaign only records it.
func TestUnrecordedPrimaryIsRecorded(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonReplicasPaused, "a", replicas, 3)
	c.Start()
	is.True(c.HandleStatus(start, lead.Command{Endpoint: "c"}, lead.Status{Primary: true, Term: 4}).ClaimToken)
	a := c.HandleClaimResult(start, 2)
	is.Equal(a.NewPrimary, types.Endpoint("c"))
	is.Equal(a.Promote, types.Endpoint(""))
}

// The timeout for the candidate to become the primary starts at the platform's answer,
// which may itself take long.
func TestPromotionTimeoutStartsWhenAccepted(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonDown, "a", replicas, 3)
	advanceToClaim(c)
	for _, o := range c.HandleClaimResult(start, 1).Commands {
		c.HandleStatus(start, o, lead.Status{Term: 3, FencedTerm: 4})
	}
	refuseConnection(c, start)
	c.HandlePromotionResult(start.Add(2900*time.Millisecond), true, false)
	is.True(!c.Tick(start.Add(3500 * time.Millisecond)).Ended)
}

// If commits are acknowledged once some replica holds them, no replica may be left
// out, since it may be the only one that holds a commit.
func TestRequiredReplicaIsNotExcluded(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.ReasonDown, "a", replicas, 3)
	c.RequireAllReplicas()
	c.Start()
	c.HandleStatus(start, lead.Command{Endpoint: "b"}, lead.Status{Term: 3})
	a := c.HandleFailure(start, lead.Command{Endpoint: "c"}, start, true)
	is.True(!a.ClaimToken && !a.Ended)
	is.True(c.Tick(start.Add(time.Second)).Ended)
}
