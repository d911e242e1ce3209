package gateway

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	api "baobabfield.example/api/host"
	"baobabfield.example/core/proxy"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/mailbox"
)

// debugStateRequest queries the machine's debug state.
type debugStateRequest struct{ reply chan proxy.DebugState }

// hostAPIServer implements the host API; each call sends a message to the gateway's
// task.
type hostAPIServer struct{ g *Gateway }

// newDiagnosticsHandler returns a handler that serves the host API at /beliefs and
// /explain, and the metrics at every other path.
func (g *Gateway) newDiagnosticsHandler() (http.Handler, error) {
	apiServer, err := api.NewServer(hostAPIServer{g: g})
	if err != nil {
		return nil, errors.Wrap(err, "create host API server")
	}
	mux := http.NewServeMux()
	mux.Handle("/beliefs", apiServer)
	mux.Handle("/explain", apiServer)
	mux.HandleFunc("/", serveMetrics)
	return mux, nil
}

// GetBeliefs returns the host's current debug state. It returns an error if the
// gateway's task does not reply within taskReplyTimeout.
func (h hostAPIServer) GetBeliefs(ctx context.Context) (*api.Beliefs, error) {
	ctx, cancel := context.WithTimeout(ctx, taskReplyTimeout)
	defer cancel()
	req := debugStateRequest{reply: make(chan proxy.DebugState, 1)}
	h.g.post(req)
	state, answered := mailbox.Await(ctx, h.g.stopped, req.reply)
	if !answered {
		return nil, errors.Errorf("host %q did not answer within %v", h.g.settings.Host, taskReplyTimeout)
	}
	return h.g.encodeDebugState(&state), nil
}

// NewError converts an error to the API's error response.
func (h hostAPIServer) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	return &api.ErrorStatusCode{StatusCode: http.StatusServiceUnavailable, Response: api.Error{Message: err.Error()}}
}

// replyDebugState sends the machine's current debug state. Only the gateway's task may
// call it.
func (g *Gateway) replyDebugState(req debugStateRequest) {
	req.reply <- g.machine.DebugState(clock.Now())
}

func (g *Gateway) encodeDebugState(state *proxy.DebugState) *api.Beliefs {
	out := &api.Beliefs{
		Host: string(g.settings.Host), DataCentre: string(g.settings.DataCentre), Ready: state.NotReady == "", NotReady: state.NotReady,
		Sessions: state.Sessions, Waiting: state.Waiting, Objects: []api.Objects{}, Services: []api.Service{}, Hosts: []api.Host{},
		Configuration: api.Configuration{Version: state.Version, Routes: []api.DatabaseRoute{}},
	}
	for _, o := range state.Objects {
		out.Objects = append(out.Objects, api.Objects{Kind: string(o.Kind), Revision: o.Revision.Number(), Age: o.Age})
	}
	for _, r := range state.Routes {
		out.Configuration.Routes = append(out.Configuration.Routes, api.DatabaseRoute{
			Database: string(r.Database), Service: string(r.Service), Consistency: r.Consistency.String(),
			MaxAge: r.MaxStaleness, Timeout: r.StatementTimeout, Objective: r.TargetLatency, Rank: r.Rank,
		})
	}
	for i := range state.Services {
		out.Services = append(out.Services, encodeService(&state.Services[i]))
	}
	for _, h := range state.Hosts {
		out.Hosts = append(out.Hosts, api.Host{
			ID: string(h.ID), DataCentre: string(h.DataCentre), Address: h.MeshAddress, Usable: h.Usable,
		})
	}
	return out
}

func encodeService(s *proxy.ServiceDebug) api.Service {
	out := api.Service{
		Name: string(s.Leadership.Service), Primary: string(s.Primary), Token: s.Leadership.FencingToken,
		Holder: string(s.Leadership.Holder), Campaign: s.Campaign, Endpoints: []api.Endpoint{},
	}
	for _, e := range s.Endpoints {
		out.Endpoints = append(out.Endpoints, api.Endpoint{
			ID: string(e.ID), DataCentre: string(e.DataCentre), Address: e.Address, Slots: e.Slots,
			Draining: e.Leaving, ClaimsPrimary: e.ClaimsPrimary, Listed: e.Listed, Owner: string(e.Owner),
			Owned: e.Owned, Authority: e.HasAuthority, Waiting: e.Waiting, Running: e.Running, Connections: e.Connections,
		})
	}
	return out
}
