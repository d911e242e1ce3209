package gateway

import (
	"context"

	"github.com/pkg/errors"

	api "baobabfield.example/api/host"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/mailbox"
)

// explainRequest queries where the machine would send a request.
type explainRequest struct {
	request proxy.ExplainRequest
	reply   chan proxy.Explanation
}

// ExplainRequest returns where this host would send a request now, and why. It returns an error if
// the gateway's task does not reply within taskReplyTimeout.
func (h hostAPIServer) ExplainRequest(ctx context.Context, params api.ExplainRequestParams) (*api.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, taskReplyTimeout)
	defer cancel()
	req := explainRequest{
		request: proxy.ExplainRequest{
			Database: types.Database(params.Database), Workspace: types.Workspace(params.Workspace.Or("")), Writes: params.Writes.Or(false),
		},
		reply: make(chan proxy.Explanation, 1),
	}
	h.g.post(req)
	explanation, answered := mailbox.Await(ctx, h.g.stopped, req.reply)
	if !answered {
		return nil, errors.Errorf("host %q did not answer within %v", h.g.settings.Host, taskReplyTimeout)
	}
	return h.g.encodeExplanation(&explanation), nil
}

// replyExplanation sends an explanation. Only the gateway's task may call it.
func (g *Gateway) replyExplanation(req explainRequest) {
	req.reply <- g.machine.Explain(clock.Now(), req.request)
}

func (g *Gateway) encodeExplanation(e *proxy.Explanation) *api.Explanation {
	out := &api.Explanation{
		Host: string(g.settings.Host), DataCentre: string(g.settings.DataCentre), Refused: e.Refused,
		Service: string(e.Route.Service), Consistency: e.Route.Consistency.String(), Rank: e.Route.Rank, Objective: e.Route.TargetLatency,
		NeedsPrimary: e.NeedsPrimary, Endpoint: string(e.Endpoint), Owner: string(e.Owner), Reason: e.Reason, Share: e.Share,
		Candidates: []api.Candidate{},
	}
	for _, c := range e.Candidates {
		out.Candidates = append(out.Candidates, api.Candidate{
			Endpoint: string(c.ID), DataCentre: string(c.DataCentre), Owner: string(c.Owner), Primary: c.IsPrimary, RuledOut: c.RuledOut,
			Cost: c.Cost, FaultCost: c.FaultCost, Preference: c.Preference, InFlight: c.InFlight, Load: c.Load, ServiceTime: c.ServiceTime,
		})
	}
	if e.HasLimit {
		out.Limit = api.NewOptWorkspaceLimit(api.WorkspaceLimit{
			Rate: e.Limit.Limit, Tokens: e.Limit.Tokens, Grant: e.Limit.Share, GrantAge: e.Limit.GrantAge, Allocator: string(e.Limit.Allocator),
		})
	}
	return out
}
