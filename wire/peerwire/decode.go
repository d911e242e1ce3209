package peerwire

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
	"baobabfield.example/wire/meshpb"
)

// Decode returns the proxy message of a frame. It fails if the frame holds another kind of
// message, or if a field of the message is invalid.
func Decode(f *meshpb.Frame) (proxy.Message, error) {
	switch b := f.GetProxy().GetBody().(type) {
	case *meshpb.ProxyMessage_Hello:
		h := b.Hello
		return proxy.Hello{DataCentre: types.DataCentre(h.GetDataCentre()), MeshAddress: h.GetMeshAddress(), StartedUnixMs: h.GetStarted(), CPUMillicores: int(h.GetPower()), AuthorityRules: int(h.GetRules()), WorkspaceRules: int(h.GetWorkspaces())}, nil
	case *meshpb.ProxyMessage_Exec:
		return decodeExecRequest(b.Exec)
	case *meshpb.ProxyMessage_Done:
		return decodeExecResult(b.Done)
	case *meshpb.ProxyMessage_EndTx:
		return proxy.EndTx{Tx: proxy.TxID(b.EndTx)}, nil
	case *meshpb.ProxyMessage_AskPosition:
		q := b.AskPosition
		return proxy.PositionRequest{Seq: q.GetNumber(), Service: types.Service(q.GetService()), Endpoint: types.Endpoint(q.GetEndpoint())}, nil
	case *meshpb.ProxyMessage_Position:
		p := b.Position
		return proxy.PositionResponse{
			Seq: p.GetNumber(), Service: types.Service(p.GetService()), Endpoint: types.Endpoint(p.GetEndpoint()), Known: p.GetKnown(),
			Point: decodePoint(p.GetPoint()), Age: microseconds(p.GetAgeUs()),
		}, nil
	case *meshpb.ProxyMessage_Ping:
		return proxy.Ping{}, nil
	case *meshpb.ProxyMessage_Pong:
		return proxy.Pong{}, nil
	case *meshpb.ProxyMessage_Outstanding:
		return proxy.OutstandingRequests{IDs: convertIDs[proxy.RequestID](b.Outstanding.GetIds()), StartedUnixMs: b.Outstanding.GetStarted()}, nil
	case *meshpb.ProxyMessage_NotReceived:
		r := b.NotReceived
		return proxy.RequestsNotReceived{IDs: convertIDs[proxy.RequestID](r.GetIds()), NotReceived: convertIDs[proxy.RequestID](r.GetNotReceived())}, nil
	case *meshpb.ProxyMessage_ReopenLink:
		return proxy.ReopenLink{}, nil
	case *meshpb.ProxyMessage_Leaving:
		return proxy.Leaving{}, nil
	case *meshpb.ProxyMessage_Digest:
		return proxy.Digest{
			Revisions: decodeRevisions(b.Digest), NoReply: b.Digest.GetAnswer(),
			JustRead: feed.Kind(b.Digest.GetFresh()), ReadFailed: feed.Kind(b.Digest.GetTried()),
		}, nil
	case *meshpb.ProxyMessage_AskChanges:
		return proxy.ChangesRequest{Since: decodeRevisions(b.AskChanges)}, nil
	case *meshpb.ProxyMessage_Changes:
		kinds, err := decodeChanges(b.Changes)
		return proxy.ChangesResponse{Kinds: kinds}, err
	case *meshpb.ProxyMessage_AskReach, *meshpb.ProxyMessage_Reach, *meshpb.ProxyMessage_ReleasePrimary, *meshpb.ProxyMessage_AskMissing, *meshpb.ProxyMessage_Missing:
		return decodeEndpointMessage(f.GetProxy()), nil
	case *meshpb.ProxyMessage_LimitReport:
		return decodeLimitReport(b.LimitReport)
	case *meshpb.ProxyMessage_LimitGrant:
		return decodeLimitGrant(b.LimitGrant)
	}
	return nil, fmt.Errorf("frame holds %T, not a proxy message", f.GetBody())
}

// decodeEndpointMessage returns a message about the roles of endpoints, or about which there are.
func decodeEndpointMessage(p *meshpb.ProxyMessage) proxy.Message {
	switch b := p.GetBody().(type) {
	case *meshpb.ProxyMessage_AskReach:
		q := b.AskReach
		return proxy.ReachabilityRequest{Seq: q.GetNumber(), Service: types.Service(q.GetService()), Endpoint: types.Endpoint(q.GetEndpoint())}
	case *meshpb.ProxyMessage_Reach:
		r := b.Reach
		return proxy.ReachabilityResponse{Seq: r.GetNumber(), Service: types.Service(r.GetService()), Endpoint: types.Endpoint(r.GetEndpoint()), IsPrimary: r.GetPrimary()}
	case *meshpb.ProxyMessage_AskMissing:
		return proxy.MissingEndpointsRequest{}
	case *meshpb.ProxyMessage_Missing:
		return decodeMissingEndpoints(b.Missing)
	}
	r := p.GetReleasePrimary()
	return proxy.ReleasePrimary{Service: types.Service(r.GetService()), Endpoint: types.Endpoint(r.GetEndpoint()), Term: types.Term(r.GetTerm())}
}

// maxMissingUs bounds the time for which a record has been missing, in microseconds.
const maxMissingUs = uint64(time.Hour / time.Microsecond)

func decodeMissingEndpoints(m *meshpb.MissingEndpoints) proxy.Message {
	var out proxy.MissingEndpointsResponse
	for _, e := range m.GetEndpoints() {
		out.Endpoints = append(out.Endpoints, proxy.MissingEndpoint{
			Endpoint: catalog.Endpoint{
				ID: types.Endpoint(e.GetId()), Service: types.Service(e.GetService()), Address: e.GetAddress(), DataCentre: types.DataCentre(e.GetDataCentre()),
				Slots: int(e.GetSlots()), Leaving: e.GetLeaving(), StartedUnixMs: e.GetStarted(),
			},
			MissingFor: microseconds(min(e.GetMissingUs(), maxMissingUs)),
		})
	}
	return out
}

func decodePoint(p *meshpb.LogPoint) types.LogPoint {
	return types.LogPoint{Term: types.Term(p.GetTerm()), Position: types.Position(p.GetPosition())}
}

func decodeStatement(s *meshpb.Statement) (pool.Query, error) {
	if s == nil || !isStatementKind(s.GetKind()) {
		return pool.Query{}, fmt.Errorf("statement is missing or has invalid kind %d", s.GetKind())
	}
	return pool.Query{ID: string(s.GetId()), Stmt: statement.Statement{
		Kind: statement.Kind(s.GetKind()), Text: string(s.GetText()), Name: string(s.GetName()), Value: string(s.GetValue()),
		Template: statement.Template{Text: string(s.GetShape()), Writes: s.GetShapeWrites()},
	}}, nil
}

func decodeExecRequest(e *meshpb.Exec) (proxy.Message, error) {
	out := proxy.ExecRequest{
		ID: proxy.RequestID(e.GetId()), Service: types.Service(e.GetService()), Endpoint: types.Endpoint(e.GetEndpoint()),
		RequirePrimary: e.GetPrimary(), Tx: proxy.TxID(e.GetTx()), Rank: int(e.GetRank()), DueIn: microseconds(e.GetDueUs()),
		DeadlineIn: microseconds(e.GetDeadlineUs()), MaxStaleness: microseconds(e.GetMaxAgeUs()), After: decodePoint(e.GetAfter()),
		Workspace: types.Workspace(e.GetWorkspace()), Public: e.GetPublic(), Retry: e.GetRetry(),
		WayTime: microseconds(e.GetWayUs()),
	}
	var err error
	if out.Query, err = decodeStatement(e.GetStatement()); err != nil {
		return nil, errors.Wrapf(err, "decode request %d", e.GetId())
	}
	if e.GetBegin() != nil {
		begin, err := decodeStatement(e.GetBegin())
		if err != nil {
			return nil, errors.Wrapf(err, "decode BEGIN of request %d", e.GetId())
		}
		out.Begin = &begin
	}
	for _, v := range e.GetValues() {
		out.Variables = append(out.Variables, statement.SessionVariable{Name: string(v.GetName()), Value: string(v.GetValue())})
	}
	return out, nil
}

func decodeExecResult(d *meshpb.Done) (proxy.Message, error) {
	reason, code, state := types.Reason(d.GetReason()), statement.Code(d.GetCode()), statement.TransactionState(d.GetState())
	if !reason.Valid() || !code.Valid() || state > statement.StateFailed {
		return nil, fmt.Errorf("result of request %d has invalid reason %d, code %d or state %d", d.GetId(), d.GetReason(), d.GetCode(), d.GetState())
	}
	var rows []string
	for _, row := range d.GetRows() {
		rows = append(rows, string(row))
	}
	return proxy.ExecResult{
		ID: proxy.RequestID(d.GetId()), MayHaveRun: d.GetRan(), Reason: reason,
		Reply: statement.Reply{
			Code: code, Text: string(d.GetText()), Rows: rows, Signature: string(d.GetSignature()), State: state, Position: decodePoint(d.GetPosition()),
		},
		TxOpen: d.GetTxOpen(), Load: int(d.GetLoad()), QueueTime: microseconds(d.GetWaitedUs()), ServiceTime: microseconds(d.GetServedUs()),
		RetryAfter: microseconds(d.GetRetryAfterUs()),
	}, nil
}

func decodeRevisions(r *meshpb.Revisions) []proxy.Revision {
	var out []proxy.Revision
	for _, k := range r.GetKinds() {
		out = append(out, proxy.Revision{Kind: feed.Kind(k.GetKind()), Revision: types.Revision(k.GetRevision())})
	}
	return out
}

func decodeChanges(c *meshpb.ObjectChanges) ([]feed.Changes, error) {
	var out []feed.Changes
	for _, k := range c.GetKinds() {
		changes := feed.Changes{Kind: feed.Kind(k.GetKind()), AsOf: types.Revision(k.GetAsOf()), Full: k.GetFull()}
		for _, o := range k.GetObjects() {
			data := o.GetData()
			if len(o.GetDeflated()) > 0 {
				var err error
				if data, err = decompress(o.GetName(), o.GetDeflated()); err != nil {
					return nil, err
				}
			}
			changes.Objects = append(changes.Objects, feed.Object{
				Kind: changes.Kind, Name: o.GetName(), Revision: types.Revision(o.GetRevision()), Deleted: o.GetDeleted(), Data: data,
			})
		}
		out = append(out, changes)
	}
	return out, nil
}
