package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/types"
)

func endpointIDs(c *catalog.Catalog, s types.Service) []types.Endpoint {
	out := []types.Endpoint{}
	for _, e := range c.EndpointsOf(s) {
		out = append(out, e.ID)
	}
	return out
}

func TestEndpointsOfServiceFollowChanges(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	is.Equal(endpointIDs(c, "s"), []types.Endpoint{})
	c.SetEndpoint(catalog.Endpoint{ID: "e2", Service: "s"})
	c.SetEndpoint(catalog.Endpoint{ID: "e1", Service: "s"})
	c.SetEndpoint(catalog.Endpoint{ID: "other", Service: "t"})
	is.Equal(endpointIDs(c, "s"), []types.Endpoint{"e1", "e2"})
	c.SetEndpoint(catalog.Endpoint{ID: "e1", Service: "s", Leaving: true})
	is.True(c.EndpointsOf("s")[0].Leaving)
	c.SetEndpoint(catalog.Endpoint{ID: "e1", Service: "t"}) // changes its service
	is.Equal(endpointIDs(c, "s"), []types.Endpoint{"e2"})
	is.Equal(endpointIDs(c, "t"), []types.Endpoint{"e1", "other"})
	now := types.Time(time.Second)
	c.NoteMissing(now, "e2")
	is.Equal(endpointIDs(c, "s"), []types.Endpoint{"e2"}) // kept during the grace period
	is.True(!c.IsListed("e2"))
	is.Equal(c.RemoveGoneEndpoints(now.Add(time.Minute)), []types.Endpoint{"e2"})
	is.Equal(endpointIDs(c, "s"), []types.Endpoint{})
}

// Guards against the removal of endpoints by a host that cannot learn that their records are back.
func TestMissingEndpointIsRemovedByCurrentList(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	for _, id := range []types.Endpoint{"e1", "e2", "e3"} {
		c.SetEndpoint(catalog.Endpoint{ID: id, Service: "s", Address: "address of " + string(id)})
	}
	now := types.Time(time.Minute)
	for _, id := range []types.Endpoint{"e1", "e2", "e3"} {
		c.NoteMissing(now, id)
	}
	due, needed := c.ListNeededAt()
	is.True(needed)
	is.Equal(due, now.Add(catalog.RemovalGracePeriod))
	is.Equal(len(c.RemoveGoneEndpoints(due-1)), 0)
	c.SetEndpoint(catalog.Endpoint{ID: "e1", Service: "s"}) // its record is back
	// An endpoint whose address belongs to another one has ended.
	c.SetEndpoint(catalog.Endpoint{ID: "e4", Service: "t", Address: "address of e2"})
	is.Equal(c.RemoveGoneEndpoints(now), []types.Endpoint{"e2"})
	is.Equal(c.RemoveGoneEndpoints(due), []types.Endpoint{"e3"})
	is.Equal(len(c.InstancesOf("s")), 1)
	_, needed = c.ListNeededAt()
	is.True(!needed)
}

// Guards against a copy that is forgotten while another one of its service is still waited for: either
// may be the only one with the last commits.
func TestCopiesOfServiceAreLostTogether(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	is.True(c.SetConfig(catalog.Config{Version: 1, Services: []catalog.Service{{Name: "s", SyncReplicas: 1}}}))
	for _, id := range []types.Endpoint{"e1", "e2", "e3"} {
		c.SetEndpoint(catalog.Endpoint{ID: id, Service: "s", Leaving: id == "e3"})
	}
	first := types.Time(time.Minute)
	second := first.Add(6 * time.Second)
	c.NoteMissing(first, "e1")
	c.NoteMissing(first, "e3")
	is.Equal(len(c.RemoveGoneEndpoints(first.Add(5*time.Second))), 2)
	is.Equal(endpointIDs(c, "s"), []types.Endpoint{"e2"})
	is.Equal(len(c.InstancesOf("s")), 2) // not the one that has ended as announced
	c.NoteMissing(second, "e2")
	is.Equal(len(c.RemoveLostCopies(second.Add(9*time.Second))), 0)
	c.RemoveGoneEndpoints(second.Add(9 * time.Second))
	is.Equal(len(c.RemoveLostCopies(second.Add(10*time.Second))), 2)
	is.Equal(len(c.InstancesOf("s")), 0)
}

func TestPrimaryOfPrefersRecordedPrimary(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	_, known := c.PrimaryOf("s")
	is.True(!known)
	c.SetEndpoint(catalog.Endpoint{ID: "e1", Service: "s"})
	c.SetEndpoint(catalog.Endpoint{ID: "e2", Service: "s", ClaimsPrimary: true})
	c.SetEndpoint(catalog.Endpoint{ID: "e3", Service: "s", ClaimsPrimary: true})
	primary, _ := c.PrimaryOf("s")
	is.Equal(primary, types.Endpoint("e2"))
	is.True(c.SetLeadership(catalog.Leadership{Service: "s", Primary: "e1", Candidate: "e3", Revision: 2}))
	primary, _ = c.PrimaryOf("s")
	is.Equal(primary, types.Endpoint("e3")) // the candidate already claims to be primary
	is.True(!c.SetLeadership(catalog.Leadership{Service: "s", Primary: "e2", Revision: 1}))
	is.True(c.SetLeadership(catalog.Leadership{Service: "s", Primary: "e1", Revision: 3}))
	primary, _ = c.PrimaryOf("s")
	is.Equal(primary, types.Endpoint("e1"))
}

func TestOlderConfigurationsAndHostsAreIgnored(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	is.True(c.SetConfig(catalog.Config{Version: 4, Services: []catalog.Service{{Name: "t"}, {Name: "s"}, {Name: "t"}}}))
	is.Equal(c.Services(), []types.Service{"s", "t"})
	is.True(!c.SetConfig(catalog.Config{Version: 3}))
	is.Equal(len(c.Services()), 2)
	c.SetHost(catalog.Host{ID: "h", StartedUnixMs: 7})
	c.SetHost(catalog.Host{ID: "h", StartedUnixMs: 6, Leaving: true})
	h, _ := c.Host("h")
	is.True(!h.Leaving)
	// The revision orders records of the store, whatever the clock was at the start.
	c.SetHost(catalog.Host{ID: "h", StartedUnixMs: 7, Leaving: true, Revision: 20})
	c.SetHost(catalog.Host{ID: "h", StartedUnixMs: 5, Revision: 21})
	c.SetHost(catalog.Host{ID: "h", StartedUnixMs: 7, Leaving: true, Revision: 20})
	h, _ = c.Host("h")
	is.Equal(h.StartedUnixMs, int64(5))
	is.True(!h.Leaving)
	// A restored store has the record of an earlier process.
	c.SetHost(catalog.Host{ID: "h", StartedUnixMs: 4, Leaving: true, Revision: types.EraStart(1) + 3})
	h, _ = c.Host("h")
	is.Equal(h.StartedUnixMs, int64(5))
}

func TestLeadershipOfRestoredStoreDoesNotReplaceLaterOne(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	known := catalog.Leadership{Service: "s", FencingToken: 5, Primary: "e2", Revision: types.EraStart(1) + 40}
	is.True(c.SetLeadership(known))
	restored := catalog.Leadership{Service: "s", FencingToken: 4, Primary: "e1", Revision: types.EraStart(2) + 30}
	is.True(!c.SetLeadership(restored))
	is.True(c.IsLeadershipLost("s"))
	is.Equal(c.Leadership("s").Primary, types.Endpoint("e2"))
	is.Equal(c.Leadership("s").Revision, restored.Revision) // the condition of the next claim
	is.True(!c.SetLeadership(catalog.Leadership{Service: "s", Revision: types.EraStart(3)}))
	is.Equal(c.Leadership("s").FencingToken, uint64(5))
	next := catalog.Leadership{Service: "s", FencingToken: catalog.NextToken(5, 3), CampaignOpen: true, Revision: types.EraStart(3) + 31}
	is.True(c.SetLeadership(next))
	is.True(!c.IsLeadershipLost("s"))
	is.Equal(catalog.TokenEra(next.FencingToken), uint64(3))
}
