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

// hostAnswer is a host's answer; it is nil if none came.
type hostAnswer struct {
	member membership.Member
	answer *meshpb.HostAnswer
}

// askAll asks all hosts that are not dead, this one included, and returns
// their answers in the order of the hosts.
func (v view) askAll(ctx context.Context, q *meshpb.HostQuery) []hostAnswer {
	members := v.askable()
	out := make([]hostAnswer, len(members))
	slots := make(chan struct{}, askedAtOnce)
	type indexed struct {
		i      int
		answer *meshpb.HostAnswer
	}
	answers := make(chan indexed, len(members))
	for i, m := range members {
		slots <- struct{}{}
		go func() {
			answers <- indexed{i: i, answer: v.askHost(ctx, m.Host, q)}
			<-slots
		}()
	}
	for range members {
		a := <-answers
		out[a.i] = hostAnswer{member: members[a.i], answer: a.answer}
	}
	return out
}

// askable returns the members to ask; this host is one of them in any case.
func (v view) askable() []membership.Member {
	var out []membership.Member
	self := false
	for _, m := range v.members.Members() {
		if m.State == membership.Dead {
			continue
		}
		self = self || m.Host == v.Host
		out = append(out, m)
	}
	if !self {
		out = append(out, membership.Member{Host: v.Host, DataCentre: v.DataCentre})
	}
	return out
}

// askHost asks one host; it returns nil if no answer comes.
func (v view) askHost(ctx context.Context, h types.Host, q *meshpb.HostQuery) *meshpb.HostAnswer {
	if h == v.Host {
		return v.answer(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	question := &meshpb.Frame{Body: &meshpb.Frame_HostQuery{HostQuery: q}}
	return v.Mesh.Ask(ctx, h, question).GetHostAnswer()
}

// rollout tells the configuration in force on each host.
func (v view) rollout(ctx context.Context) []admin.HostVersion {
	var out []admin.HostVersion
	for _, a := range v.askAll(ctx, &meshpb.HostQuery{}) {
		out = append(out, admin.HostVersion{
			Host: a.member.Host, DataCentre: a.member.DataCentre, Reachable: a.answer != nil,
			Version: config.Version(a.answer.GetConfigVersion()), Digest: a.answer.GetConfigDigest(),
		})
	}
	return out
}

// uses collects who uses which service through any host.
func (v view) uses(ctx context.Context) admin.Uses {
	var out admin.Uses
	for _, a := range v.askAll(ctx, &meshpb.HostQuery{Uses: true}) {
		if a.answer == nil {
			out.Missing = append(out.Missing, a.member.Host)
			continue
		}
		out.Uses = append(out.Uses, wire.DecodeUses(a.answer.GetUses())...)
	}
	return out
}

// timeline reads this host's events or the merged events of all hosts.
func (v view) timeline(ctx context.Context, r admin.TimelineRequest) admin.Events {
	if !r.AllHosts {
		return admin.Events{Events: v.ownEvents(ctx, r.Filter)}
	}
	var out admin.Events
	var lists [][]timeline.Event
	for _, a := range v.askAll(ctx, &meshpb.HostQuery{Events: wire.EncodeFilter(r.Filter)}) {
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
