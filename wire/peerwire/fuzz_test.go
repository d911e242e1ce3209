package peerwire_test

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
	"baobabfield.example/wire/meshpb"
	"baobabfield.example/wire/peerwire"
)

// fuzzStart is the time of the first step.
const fuzzStart = types.Time(time.Hour)

// fixedDecoder decodes an object by its kind.
type fixedDecoder struct{}

func (fixedDecoder) Decode(o feed.Object) (proxy.Change, error) {
	switch o.Kind {
	case proxy.KindConfig:
		return proxy.Change{Config: &catalog.Config{
			Version: o.Revision.Number(), Routes: []catalog.Route{{Database: "d", Service: "s", StatementTimeout: time.Second, TargetLatency: time.Second}},
			Services: []catalog.Service{{Name: "s", MaxConnections: 40}},
		}}, nil
	case proxy.KindEndpoints:
		return proxy.Change{Endpoint: &catalog.Endpoint{ID: types.Endpoint(o.Name), Service: "s", Address: "a", DataCentre: "a", Slots: 2, ClaimsPrimary: o.Name == "e"}}, nil
	case proxy.KindHosts:
		return proxy.Change{Host: &catalog.Host{ID: types.Host(o.Name), DataCentre: "a", MeshAddress: "b", StartedUnixMs: 1}}, nil
	}
	return proxy.Change{}, errors.New("kind is not known")
}

// newFuzzMachine returns a machine that knows a configuration, an endpoint and a peer, and has
// a caller's request outstanding at that peer or at itself.
func newFuzzMachine() *proxy.Machine {
	m := proxy.New(proxy.Settings{Host: "h", DataCentre: "a", MeshAddress: "m", StartedUnixMs: 1, Seed: 1, Decoder: fixedDecoder{}})
	for _, c := range []feed.Changes{
		{Kind: proxy.KindConfig, AsOf: 5, Full: true, Objects: []feed.Object{{Kind: proxy.KindConfig, Name: "main", Revision: 5}}},
		{Kind: proxy.KindEndpoints, AsOf: 6, Full: true, Objects: []feed.Object{{Kind: proxy.KindEndpoints, Name: "e", Revision: 6}}},
		{Kind: proxy.KindHosts, AsOf: 7, Full: true, Objects: []feed.Object{{Kind: proxy.KindHosts, Name: "h", Revision: 7}, {Kind: proxy.KindHosts, Name: "p", Revision: 7}}},
	} {
		m.Step(fuzzStart, proxy.StoreChanges{Changes: c})
	}
	m.Step(fuzzStart, proxy.CallerStarted{Session: 1, Database: "d"})
	m.Step(fuzzStart, proxy.CallerQuery{Session: 1, Query: newQuery(statement.KindWrite)})
	return m
}

// maxFuzzTicksPerSecond is far above the ticks that any state requests.
const maxFuzzTicksPerSecond = 200

// FuzzPeerFrames passes a frame of another host, which can be damaged or of another version, to
// a host. The host must not panic and must not become busy for good.
func FuzzPeerFrames(f *testing.F) {
	for _, msg := range []proxy.Message{
		proxy.Hello{DataCentre: "a", MeshAddress: "1.2.3.4:5", StartedUnixMs: 7, CPUMillicores: 272},
		proxy.ExecRequest{ID: 1, Service: "s", Endpoint: "e", RequirePrimary: true, Tx: 4, Begin: &pool.Query{ID: "b", Stmt: statement.Statement{Kind: statement.KindBegin}}, Query: newQuery(statement.KindWrite), Rank: 2, DueIn: time.Second, DeadlineIn: time.Second},
		proxy.ExecRequest{ID: 1, Service: "s", Endpoint: "e", Query: newQuery(statement.KindRead), DueIn: time.Second, DeadlineIn: time.Second, MaxStaleness: time.Second},
		proxy.ExecResult{ID: 1, MayHaveRun: true, Reason: types.ReasonLate, Reply: statement.Reply{Code: statement.CodeBusy}},
		proxy.PositionRequest{Seq: 2, Service: "s", Endpoint: "e"},
		proxy.PositionResponse{Seq: 1, Service: "s", Endpoint: "e", Known: true, Age: time.Millisecond},
		proxy.Digest{Revisions: []proxy.Revision{{Kind: proxy.KindConfig, Revision: 9}}, JustRead: proxy.KindEndpoints},
		proxy.ChangesRequest{Since: []proxy.Revision{{Kind: proxy.KindConfig, Revision: 1}}},
		proxy.ChangesResponse{Kinds: []feed.Changes{{Kind: proxy.KindConfig, AsOf: 7, Full: true, Objects: []feed.Object{{Kind: proxy.KindConfig, Name: "main", Revision: 7}}}}},
		proxy.ReachabilityRequest{Seq: 3, Service: "s", Endpoint: "e"},
		proxy.ReachabilityResponse{Seq: 3, Service: "s", Endpoint: "e", IsPrimary: true},
		proxy.Leaving{},
		proxy.Ping{},
		proxy.EndTx{Tx: 4},
	} {
		buf, err := proto.Marshal(peerwire.NewEncoder().Encode(msg))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(buf)
	}
	// A digest that names a kind of object which this version does not know.
	buf, err := proto.Marshal(peerwire.NewEncoder().Encode(proxy.Digest{Revisions: []proxy.Revision{{Kind: "unknown", Revision: 9}}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(buf)
	f.Fuzz(func(t *testing.T, buf []byte) {
		var frame meshpb.Frame
		if proto.Unmarshal(buf, &frame) != nil {
			return
		}
		msg, err := peerwire.Decode(&frame)
		if err != nil {
			return
		}
		m := newFuzzMachine()
		m.Step(fuzzStart, proxy.PeerMessage{From: "p", Message: msg})
		checkNotBusy(t, m)
	})
}

// checkNotBusy lets a minute pass without other events. The host's ticks must become rare,
// since nothing is outstanding any more.
func checkNotBusy(t *testing.T, m *proxy.Machine) {
	t.Helper()
	now, ticks := fuzzStart, 0
	lastSecond := fuzzStart.Add(59 * time.Second)
	for now.Before(fuzzStart.Add(time.Minute)) {
		now = max(m.NextWake(), now)
		m.Step(now, proxy.Tick{})
		if ticks++; ticks > 60*maxFuzzTicksPerSecond {
			t.Fatalf("host has requested %d ticks by %v", ticks, now.Sub(fuzzStart))
		}
		if now.Before(lastSecond) {
			ticks = 0
		}
	}
	if ticks > 20 {
		t.Fatalf("an idle host requests %d ticks a second", ticks)
	}
}
