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

func TestAuthorityNeedsAMajorityInTime(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas)
	a.Use(start)
	is.Equal(a.Questions(start), []types.Endpoint{"a"})
	a.Answered("a", start, lead.Status{Primary: true, Term: 3})
	is.True(!a.Valid(start))
	asked := a.Questions(start)
	is.Equal(len(asked), 1)
	a.Answered(asked[0], start, lead.Status{Term: 3})
	is.True(a.Valid(start.Add(lead.Window - 1)))
	is.True(!a.Valid(start.Add(lead.Window)))
}

func TestPausedReplicaEndsAuthority(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas)
	a.Use(start)
	a.Answered("a", start, lead.Status{Primary: true, Term: 3})
	a.Answered("b", start, lead.Status{Term: 3})
	is.True(a.Valid(start))
	a.Answered("c", start, lead.Status{Term: 3, FencedTerm: 4})
	is.True(a.Fenced())
	is.True(!a.Valid(start))
}

func TestUnconfirmedAuthorityAsksAgain(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas)
	a.Use(start)
	a.Answered("a", start, lead.Status{Primary: true, Term: 3})
	a.Answered("b", start, lead.Status{Term: 3})
	a.Unconfirm()
	is.True(!a.Valid(start))
	is.Equal(a.Questions(start), []types.Endpoint{"a"})
}

// orders returns the operations by endpoint.
func orders(a lead.Actions) map[types.Endpoint]lead.Op {
	out := map[types.Endpoint]lead.Op{}
	for _, o := range a.Orders {
		out[o.Endpoint] = o.Op
	}
	return out
}

// reach brings a campaign to its claim.
func reach(c *lead.Campaign) lead.Actions {
	c.Begin()
	var a lead.Actions
	for _, r := range replicas {
		a = c.Answered(start, lead.Order{Endpoint: r}, lead.Status{Term: 3})
	}
	return a
}

func TestSilentPrimaryIsReplacedOnlyAfterTheWindow(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Silent, "a", replicas, 3)
	is.True(reach(c).Claim)
	a := c.Claimed(start, 1)
	is.Equal(orders(a), map[types.Endpoint]lead.Op{"b": lead.Pause, "c": lead.Pause})
	is.Equal(a.Orders[0].Term, types.Term(4))
	c.Answered(start, lead.Order{Endpoint: "b", Op: lead.Pause}, lead.Status{Term: 3, FencedTerm: 4, Received: types.LogPoint{Term: 3, Position: 7}})
	c.Answered(start, lead.Order{Endpoint: "c", Op: lead.Pause}, lead.Status{Term: 3, FencedTerm: 4, Received: types.LogPoint{Term: 3, Position: 9}})
	is.Equal(c.Tick(start.Add(lead.Window-1)).Promote, types.Endpoint(""))
	is.Equal(c.Tick(start.Add(lead.Window)).Promote, types.Endpoint("c")) // the longest log
}

// refuse has the old primary refuse a connection that was asked for at a time.
func refuse(c *lead.Campaign, askedAt types.Time) lead.Actions {
	return c.Failed(askedAt, lead.Order{Endpoint: "a"}, askedAt, true)
}

func TestGonePrimaryIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Gone, "a", replicas, 3)
	reach(c)
	c.Claimed(start, 1)
	fenced := start.Add(time.Millisecond)
	c.Answered(fenced, lead.Order{Endpoint: "b", Op: lead.Pause}, lead.Status{Term: 3, FencedTerm: 4})
	a := c.Answered(fenced, lead.Order{Endpoint: "c", Op: lead.Pause}, lead.Status{Term: 3, FencedTerm: 4})
	is.Equal(a.Promote, types.Endpoint(""))
	is.Equal(orders(a)["a"], lead.AskStatus)
	is.True(refuse(c, fenced).Promote != "")
}

// A primary that refused connections only before the fence may be back since.
func TestPrimaryThatMayBeBackIsReplacedOnlyAfterTheWindow(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Gone, "a", replicas, 3)
	reach(c)
	c.Claimed(start, 1)
	fenced := start.Add(time.Millisecond)
	for _, r := range replicas {
		c.Answered(fenced, lead.Order{Endpoint: r, Op: lead.Pause}, lead.Status{Term: 3, FencedTerm: 4})
	}
	is.Equal(refuse(c, start).Promote, types.Endpoint(""))
	is.Equal(c.Tick(fenced.Add(lead.Window-1)).Promote, types.Endpoint(""))
	is.True(c.Tick(fenced.Add(lead.Window)).Promote != "")
}

// A replica that is too busy to answer is not asked again with every request.
func TestBusyReplicaIsAskedAgainAfterAPause(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", []types.Endpoint{"b"})
	a.Use(start)
	a.Answered("a", start, lead.Status{Primary: true, Term: 3})
	is.Equal(len(a.Questions(start)), 1)
	a.Unanswered(start, "b")
	is.Equal(len(a.Questions(start.Add(time.Millisecond))), 0)
	is.Equal(len(a.Questions(start.Add(50*time.Millisecond))), 1)
}

// A connection that was opened after the replicas had been asked may lead to a primary
// that has restarted since.
func TestAuthorityCoversConnectionsOpenedBefore(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas)
	a.Use(start)
	a.Answered("a", start, lead.Status{Primary: true, Term: 3})
	a.Answered("b", start, lead.Status{Term: 3})
	is.Equal(a.Since(start), start)
	is.Equal(len(a.Questions(start)), 0)
	later := start.Add(10 * time.Millisecond)
	a.Require(later)
	is.True(a.Valid(later))
	is.Equal(len(a.Questions(later)), 1)
	a.Answered("c", later, lead.Status{Term: 3})
	is.Equal(a.Since(later), later)
	is.Equal(lead.NewAuthority("a", nil).Since(later), later)
}

func TestUnreachableReplicasGetNoClaim(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Silent, "a", replicas, 3)
	c.Begin()
	c.Answered(start, lead.Order{Endpoint: "b"}, lead.Status{Term: 3})
	a := c.Tick(start.Add(time.Second))
	is.True(a.Ended)
	is.True(!a.Claim)
}

func TestLostClaimEndsTheCampaign(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Silent, "a", replicas, 3)
	reach(c)
	is.True(c.Claimed(start, 0).Ended)
}

func TestLeavingPrimaryLosesNothing(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Leaving, "a", replicas, 3)
	reach(c)
	is.True(c.Claimed(start, 1).HoldWrites)
	is.Equal(orders(c.Quiet(start)), map[types.Endpoint]lead.Op{"a": lead.AskStatus})
	a := c.Answered(start, lead.Order{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	is.Equal(orders(a), map[types.Endpoint]lead.Op{"a": lead.StepDown})
	last := types.LogPoint{Term: 3, Position: 20}
	c.Answered(start, lead.Order{Endpoint: "a", Op: lead.StepDown}, lead.Status{Term: 3, Received: last})
	a = c.Answered(start, lead.Order{Endpoint: "b"}, lead.Status{Term: 3, Received: types.LogPoint{Term: 3, Position: 19}})
	is.Equal(a.Promote, types.Endpoint(""))
	a = c.Answered(start, lead.Order{Endpoint: "b"}, lead.Status{Term: 3, Received: last})
	is.Equal(a.Promote, types.Endpoint("b"))
}

func TestCandidateThatDoesNotRunIsReplaced(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Gone, "a", replicas, 3)
	reach(c)
	c.Claimed(start, 1)
	c.Answered(start, lead.Order{Endpoint: "b", Op: lead.Pause}, lead.Status{Term: 3, FencedTerm: 4})
	c.Answered(start, lead.Order{Endpoint: "c", Op: lead.Pause}, lead.Status{Term: 3, FencedTerm: 4})
	first := refuse(c, start).Promote
	second := c.PromoteAnswered(start, false, true).Promote
	is.True(second != "" && second != first)
}

func TestEndedCampaignResumesTheReplicas(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Gone, "a", replicas, 3)
	reach(c)
	c.Claimed(start, 1)
	c.Answered(start, lead.Order{Endpoint: "b", Op: lead.Pause}, lead.Status{Term: 3, FencedTerm: 4})
	c.Answered(start, lead.Order{Endpoint: "c", Op: lead.Pause}, lead.Status{Term: 3, FencedTerm: 4})
	won := refuse(c, start).Promote
	a := c.Answered(start, lead.Order{Endpoint: won}, lead.Status{Primary: true, Term: 4})
	is.Equal(a.Won, won)
	// The old primary steps down at once; the replica stays paused until it has had
	// the time to, since it holds no term of its own afterwards.
	is.Equal(a.Orders, []lead.Order{{Endpoint: "a", Op: lead.StepDown, Term: 4}})
	is.Equal(len(a.Settle), 1)
	is.Equal(a.Settle[0].Op, lead.Resume)
	is.True(a.Settle[0].Endpoint != won)
}

// A pause counts only if the replica holds its term.
func TestRefusedPauseIsNoFence(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Gone, "a", replicas, 3)
	reach(c)
	pause := c.Claimed(start, 1).Orders
	c.Answered(start, pause[0], lead.Status{Term: 3, FencedTerm: 4})
	is.Equal(c.Answered(start, pause[1], lead.Status{Term: 3, FencedTerm: 0}).Promote, types.Endpoint(""))
	is.Equal(refuse(c, start).Promote, types.Endpoint(""))
}

// After a fence, the confirmation of another replica alone is not enough.
func TestFenceIsRememberedAgainstOtherReplicas(t *testing.T) {
	is := is.New(t)
	a := lead.NewAuthority("a", replicas)
	a.Doubt("c")
	a.Use(start)
	a.Answered("a", start, lead.Status{Primary: true, Term: 3})
	a.Answered("b", start, lead.Status{Term: 3})
	is.True(!a.Valid(start))
	is.Equal(a.Questions(start)[0], types.Endpoint("c"))
	a.Answered("c", start, lead.Status{Term: 3})
	is.True(a.Valid(start))
	// Nor does it cover connections that the doubted one has not confirmed.
	a.Answered("b", start.Add(time.Millisecond), lead.Status{Term: 3})
	is.Equal(a.Since(start.Add(time.Millisecond)), start)
}

// A primary that answers before its successor is chosen stays the primary.
func TestPrimaryWithinReachAgainIsKept(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Silent, "a", replicas, 3)
	reach(c)
	pause := c.Claimed(start, 1).Orders
	for _, o := range pause {
		c.Answered(start, o, lead.Status{Term: 3, FencedTerm: 4})
	}
	is.Equal(orders(c.Tick(start.Add(lead.Window / 2)))["a"], lead.AskStatus)
	a := c.Answered(start.Add(lead.Window/2), lead.Order{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	is.True(a.Ended)
	is.Equal(a.Won, types.Endpoint(""))
	is.Equal(orders(a), map[types.Endpoint]lead.Op{"b": lead.Resume, "c": lead.Resume})
}

// Replicas that a dead campaign has left paused are resumed under a new token.
func TestReplicasThatStayedPausedAreResumed(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Stuck, "a", replicas, 3)
	c.Begin()
	c.Answered(start, lead.Order{Endpoint: "b"}, lead.Status{Term: 3, FencedTerm: 4})
	c.Answered(start, lead.Order{Endpoint: "c"}, lead.Status{Term: 3})
	a := c.Answered(start, lead.Order{Endpoint: "a"}, lead.Status{Primary: true, Term: 3})
	is.True(a.Claim)
	is.Equal(orders(c.Claimed(start, 2)), map[types.Endpoint]lead.Op{"b": lead.Resume, "c": lead.Resume})
}

// Where another endpoint leads already, only the record is brought up to date.
func TestPrimaryThatIsNotRecordedIsFound(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Stuck, "a", replicas, 3)
	c.Begin()
	is.True(c.Answered(start, lead.Order{Endpoint: "c"}, lead.Status{Primary: true, Term: 4}).Claim)
	a := c.Claimed(start, 2)
	is.Equal(a.Won, types.Endpoint("c"))
	is.Equal(a.Promote, types.Endpoint(""))
}

// The time for the candidate to lead counts from the platform's answer.
func TestSlowPromotionIsAwaited(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Gone, "a", replicas, 3)
	reach(c)
	for _, o := range c.Claimed(start, 1).Orders {
		c.Answered(start, o, lead.Status{Term: 3, FencedTerm: 4})
	}
	refuse(c, start)
	c.PromoteAnswered(start.Add(2900*time.Millisecond), true, false)
	is.True(!c.Tick(start.Add(3500 * time.Millisecond)).Ended)
}

// Where commits are promised to be on a replica, none of them may be left out.
func TestReplicaThatMayHoldCommitsIsAwaited(t *testing.T) {
	is := is.New(t)
	c := lead.NewCampaign(start, "s", lead.Gone, "a", replicas, 3)
	c.KeepAll()
	c.Begin()
	c.Answered(start, lead.Order{Endpoint: "b"}, lead.Status{Term: 3})
	a := c.Failed(start, lead.Order{Endpoint: "c"}, start, true)
	is.True(!a.Claim && !a.Ended)
	is.True(c.Tick(start.Add(time.Second)).Ended)
}
