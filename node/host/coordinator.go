package host

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"baobabfield.example/core/config"
	"baobabfield.example/core/failover"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
	"baobabfield.example/node/conf"
	"baobabfield.example/node/mesh"
	"baobabfield.example/node/watch"
	"baobabfield.example/wire/meshpb"
)

const (
	// firstFrameTimeout bounds the wait for the first frame of a stream.
	firstFrameTimeout = 10 * time.Second
	// peerSendTimeout bounds the sending of a message to another host.
	peerSendTimeout = 2 * time.Second
)

// coordinator forwards membership and configuration changes to the tasks that
// depend on them.
type coordinator struct{ host *Host }

func (c *coordinator) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.host.memberChanges:
			c.forwardMembers(ctx, m.Snapshot)
		case v := <-c.host.memberViews:
			c.forwardView(ctx, v)
		case m := <-c.host.confChanges:
			c.forwardConfig(ctx, m)
		}
	}
}

// forwardMembers sends the addresses and data centres of the known hosts to the
// tasks that communicate with other hosts. Dead hosts get no address.
func (c *coordinator) forwardMembers(ctx context.Context, s membership.Snapshot) {
	h := c.host
	addresses := map[types.Host]string{}
	hosts := []types.Host{}
	for _, m := range s.Members() {
		if m.State != membership.Dead {
			addresses[m.Host] = m.MeshAddress
			hosts = append(hosts, m.Host)
		}
	}
	h.mesh.SetAddresses(addresses)
	h.callers.SetPeers(hosts)
	h.reach.SetMembers(ctx, s)
	peers := config.Peers{}
	for _, dc := range s.DataCentres() {
		peers.Groups = append(peers.Groups, config.PeerGroup{DataCentre: dc, Hosts: s.Live(dc)})
	}
	select {
	case h.conf.Peers() <- peers:
	case <-ctx.Done():
	}
}

// forwardView sends a new membership view to the tasks that derive the owners of
// endpoints from it.
func (c *coordinator) forwardView(ctx context.Context, v membership.View) {
	c.host.router.SetMembers(v)
	c.host.registry.SetMembers(v)
	c.host.operator.SetMembers(ctx, v)
}

// forwardConfig sends a new configuration to the operator, the router and the
// registry of owned endpoints.
func (c *coordinator) forwardConfig(ctx context.Context, m config.Changed) {
	c.host.operator.SetConfig(ctx, m.Snapshot)
	c.host.router.SetConfig(m.Snapshot)
	c.host.registry.SetConfig(m.Snapshot)
}

// serveStreams serves each stream that another host opens in its own goroutine.
func (h *Host) serveStreams(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-h.mesh.Inbound():
			go h.serveStream(ctx, s)
		}
	}
}

// serveStream serves the successive exchanges on a stream. The first frame of an
// exchange determines its kind.
func (h *Host) serveStream(ctx context.Context, s *mesh.Stream) {
	defer s.Close()
	timer := time.NewTimer(firstFrameTimeout)
	defer timer.Stop()
	select {
	case f, ok := <-s.Frames():
		timer.Stop()
		for ok && h.serveFrame(ctx, s, f) {
			f, ok = <-s.Frames()
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serveFrame handles the first frame of an exchange. It returns true if the
// stream can be used for another exchange.
func (h *Host) serveFrame(ctx context.Context, s *mesh.Stream, f *meshpb.Frame) bool {
	if open := f.GetOpen(); open != nil {
		return h.registry.ServeRequest(s, open)
	}
	h.serveMessage(ctx, s, f)
	return false
}

// serveMessage handles a query, to which it sends the answer, or a one-way message.
func (h *Host) serveMessage(ctx context.Context, s *mesh.Stream, f *meshpb.Frame) {
	switch body := f.GetBody().(type) {
	case *meshpb.Frame_StateRequest:
		answer := h.registry.DatabaseState(ctx, types.Database(body.StateRequest.GetDatabase()))
		_ = s.Send(&meshpb.Frame{Body: &meshpb.Frame_StateAnswer{StateAnswer: answer}})
	case *meshpb.Frame_Cancel:
		h.callers.Cancel(body.Cancel.GetProcess(), body.Cancel.GetSecret())
	case *meshpb.Frame_Suspicion:
		h.forwardSuspicion(s.Peer, body.Suspicion)
	case *meshpb.Frame_HostQuery:
		answer := h.operator.AnswerHostQuery(ctx, body.HostQuery)
		_ = s.Send(&meshpb.Frame{Body: &meshpb.Frame_HostAnswer{HostAnswer: answer}})
	case *meshpb.Frame_Payload:
		h.forwardPayload(ctx, s.Peer, body.Payload)
	}
}

// forwardSuspicion passes another owner's suspicion of a primary to the registry.
func (h *Host) forwardSuspicion(from types.Host, m *meshpb.Suspicion) {
	h.registry.AddPeerSuspicion(types.Database(m.GetDatabase()), failover.PeerSuspicion{
		From: from,
		Suspicion: failover.Suspicion{
			Term: types.Term(m.GetTerm()), Primary: types.Endpoint(m.GetPrimary()), Suspected: m.GetSuspected(),
		},
	})
}

// forwardPayload passes a configuration message to the configuration task.
func (h *Host) forwardPayload(ctx context.Context, from types.Host, m *meshpb.Payload) {
	select {
	case h.conf.Payloads() <- conf.Payload{From: from, Data: m.GetBody()}:
	case <-ctx.Done():
	}
}

// failoverConfig returns the failover settings with the seed of this host.
func (h *Host) failoverConfig() failover.Config {
	cfg := h.settings.Failover
	cfg.Seed = seedFor(h.settings.Host)
	return cfg
}

// watchEffects returns the functions by which a watch reaches the other tasks.
// Those that may block run in their own goroutine.
func (h *Host) watchEffects(ctx context.Context) watch.Effects {
	return watch.Effects{
		PublishView: func(db types.Database, v failover.View) {
			h.router.UpdateState(&meshpb.DatabaseView{Database: string(db), Term: uint64(v.Term), Primary: string(v.Primary)}, nil)
		},
		SendSuspicion: func(db types.Database, m failover.SendSuspicion) { go h.sendSuspicion(ctx, db, m) },
		RecordPrimary: func(db types.Database, m failover.RecordPrimary) {
			h.notes.enqueuePrimary(db, m)
			go h.recordPrimary(ctx, db, m)
		},
		RecordNote:               func(db types.Database, n failover.Note) { h.notes.enqueue(db, n) },
		ReportPlannedChangeEnded: func(db types.Database, m failover.PlannedChangeEnded) { h.notes.enqueuePlannedChange(db, m) },
		ReportEndpointSetComplete: func(db types.Database, m failover.SetComplete) {
			go h.operator.ReportEndpointSetComplete(ctx, db, m.Set)
		},
	}
}

// recordPrimary writes a new primary to the platform. A failure is only logged,
// because the record is a hint and no decision depends on it.
func (h *Host) recordPrimary(ctx context.Context, db types.Database, m failover.RecordPrimary) {
	if err := h.platform.RecordPrimary(ctx, db, m.Term, m.Primary); err != nil {
		h.log.Info("could not record the primary at the platform", zap.String("database", string(db)), zap.Error(err))
	}
}

// sendSuspicion sends this host's suspicion of a primary to another owner.
func (h *Host) sendSuspicion(ctx context.Context, db types.Database, m failover.SendSuspicion) {
	ctx, cancel := context.WithTimeout(ctx, peerSendTimeout)
	defer cancel()
	f := &meshpb.Frame{Body: &meshpb.Frame_Suspicion{Suspicion: &meshpb.Suspicion{
		Database: string(db), Term: uint64(m.Suspicion.Term), Primary: string(m.Suspicion.Primary),
		Suspected: m.Suspicion.Suspected, Host: string(h.settings.Host),
	}}}
	_ = h.mesh.Send(ctx, m.Host, f)
}

// syncWithPlatform writes this host's record to the platform until that succeeds.
// At every HostListInterval it reads the recorded hosts and leaving endpoints.
func (h *Host) syncWithPlatform(ctx context.Context) {
	recorded := false
	for ctx.Err() == nil {
		if !recorded {
			recorded = h.storeOwnRecord(ctx, false)
		}
		if hosts, err := h.platform.Members(ctx); err != nil {
			h.log.Info("could not read the list of hosts from the platform", zap.Error(err))
		} else {
			select {
			case h.member.Input() <- membership.PlatformHosts{Hosts: hosts}:
			case <-ctx.Done():
			}
		}
		if leaving, err := h.platform.LeavingEndpoints(ctx); err != nil {
			h.log.Info("could not read the leaving endpoints from the platform", zap.Error(err))
		} else {
			h.operator.ReportLeavingEndpoints(ctx, leaving)
		}
		sleep(ctx, h.settings.HostListInterval)
	}
}

// storeOwnRecord writes this host's record to the platform and reports whether
// that succeeded.
func (h *Host) storeOwnRecord(ctx context.Context, leaving bool) bool {
	err := h.platform.PutMember(ctx, membership.PlatformHost{
		Host: h.settings.Host, DataCentre: h.settings.DataCentre,
		MeshAddress:   cmp.Or(h.settings.MeshAdvertise, h.mesh.Address()),
		GossipAddress: cmp.Or(h.settings.GossipAdvertise, h.GossipAddress()),
		Leaving:       leaving,
	})
	if err != nil {
		h.log.Info("could not store the record of this host at the platform", zap.Bool("leaving", leaving), zap.Error(err))
	}
	return err == nil
}
