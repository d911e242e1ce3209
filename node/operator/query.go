package operator

import (
	"context"

	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
	"baobabfield.example/node/admin"
	"baobabfield.example/wire/meshpb"
	wire "baobabfield.example/wire/operator"
)

// hostResponse is the response of one host. The answer is nil if none arrived.
type hostResponse struct {
	member membership.Member
	answer *meshpb.HostAnswer
}

// queryAllHosts queries all hosts that are not dead, this host included. It returns their
// responses in the order of the members.
func (v requestView) queryAllHosts(ctx context.Context, q *meshpb.HostQuery) []hostResponse {
	members := v.queryableMembers()
	out := make([]hostResponse, len(members))
	semaphore := make(chan struct{}, maxConcurrentHostQueries)
	type indexedAnswer struct {
		i      int
		answer *meshpb.HostAnswer
	}
	answers := make(chan indexedAnswer, len(members))
	for i, m := range members {
		semaphore <- struct{}{}
		go func() {
			answers <- indexedAnswer{i: i, answer: v.queryHost(ctx, m.Host, q)}
			<-semaphore
		}()
	}
	for range members {
		a := <-answers
		out[a.i] = hostResponse{member: members[a.i], answer: a.answer}
	}
	return out
}

// queryableMembers returns the members that are not dead. It always includes this host.
func (v requestView) queryableMembers() []membership.Member {
	var out []membership.Member
	includesSelf := false
	for _, m := range v.members.Members() {
		if m.State == membership.Dead {
			continue
		}
		includesSelf = includesSelf || m.Host == v.Host
		out = append(out, m)
	}
	if !includesSelf {
		out = append(out, membership.Member{Host: v.Host, DataCentre: v.DataCentre})
	}
	return out
}

// queryHost queries one host. It returns nil if no answer arrives within hostQueryTimeout.
func (v requestView) queryHost(ctx context.Context, h types.Host, q *meshpb.HostQuery) *meshpb.HostAnswer {
	if h == v.Host {
		return v.answerHostQuery(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, hostQueryTimeout)
	defer cancel()
	request := &meshpb.Frame{Body: &meshpb.Frame_HostQuery{HostQuery: q}}
	return v.Mesh.QueryHost(ctx, h, request).GetHostAnswer()
}

// collectRollout collects the version of the configuration in force on each host.
func (v requestView) collectRollout(ctx context.Context) []admin.HostVersion {
	var out []admin.HostVersion
	for _, a := range v.queryAllHosts(ctx, &meshpb.HostQuery{}) {
		out = append(out, admin.HostVersion{
			Host: a.member.Host, DataCentre: a.member.DataCentre, Reachable: a.answer != nil,
			Version: config.Version(a.answer.GetConfigVersion()), Digest: a.answer.GetConfigDigest(),
		})
	}
	return out
}

// collectUses collects the use of services by callers through all hosts. Hosts without an
// answer are listed as missing.
func (v requestView) collectUses(ctx context.Context) admin.Uses {
	var out admin.Uses
	for _, a := range v.queryAllHosts(ctx, &meshpb.HostQuery{Uses: true}) {
		if a.answer == nil {
			out.Missing = append(out.Missing, a.member.Host)
			continue
		}
		out.Uses = append(out.Uses, wire.DecodeUses(a.answer.GetUses())...)
	}
	return out
}

// readTimeline reads this host's events, or the merged events of all hosts.
func (v requestView) readTimeline(ctx context.Context, r admin.TimelineRequest) admin.Events {
	if !r.AllHosts {
		return admin.Events{Events: v.localEvents(ctx, r.Filter)}
	}
	var out admin.Events
	var lists [][]timeline.Event
	for _, a := range v.queryAllHosts(ctx, &meshpb.HostQuery{Events: wire.EncodeFilter(r.Filter)}) {
		if a.answer == nil {
			out.Missing = append(out.Missing, a.member.Host)
			continue
		}
		lists = append(lists, wire.DecodeEvents(a.answer.GetEvents()))
	}
	out.Events = timeline.Merge(lists...)
	if limit := r.Filter.Limit; limit > 0 && len(out.Events) > limit {
		out.Events = out.Events[len(out.Events)-limit:]
	}
	return out
}
