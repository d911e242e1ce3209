// Package operator converts the data that hosts exchange for operators' requests to and
// from protobuf: uses of services, and events of the time line.
package operator

import (
	"baobabfield.example/core/config"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
	"baobabfield.example/wire/meshpb"
)

// EncodeUses converts uses to protobuf.
func EncodeUses(uses []config.Use) []*meshpb.Use {
	out := make([]*meshpb.Use, 0, len(uses))
	for _, u := range uses {
		out = append(out, &meshpb.Use{
			Service: string(u.Service), Feature: string(u.Feature), Job: string(u.Job), Rank: string(u.Rank),
			Endpoint: string(u.Endpoint), Caller: u.Caller, Host: string(u.Host),
			Calls: u.Calls, Refused: u.Refused, FirstSeen: u.FirstSeen, LastSeen: u.LastSeen,
		})
	}
	return out
}

// DecodeUses converts uses from protobuf.
func DecodeUses(list []*meshpb.Use) []config.Use {
	out := make([]config.Use, 0, len(list))
	for _, m := range list {
		out = append(out, config.Use{
			UseKey: config.UseKey{
				Service: types.Service(m.GetService()), Feature: types.Feature(m.GetFeature()), Job: types.Job(m.GetJob()),
				Rank: types.Rank(m.GetRank()), Endpoint: types.Endpoint(m.GetEndpoint()), Caller: m.GetCaller(),
			},
			Host: types.Host(m.GetHost()), Calls: m.GetCalls(), Refused: m.GetRefused(),
			FirstSeen: m.GetFirstSeen(), LastSeen: m.GetLastSeen(),
		})
	}
	return out
}

// EncodeEvents converts events to protobuf.
func EncodeEvents(events []timeline.Event) []*meshpb.Event {
	out := make([]*meshpb.Event, 0, len(events))
	for _, e := range events {
		m := &meshpb.Event{
			Id: encodeID(e.ID), Stamp: encodeStamp(e.Stamp), Kind: string(e.Kind),
			Object: e.Object, Cause: encodeID(e.Cause), Author: e.Author, Text: e.Text,
		}
		for _, c := range e.Counts {
			m.Counts = append(m.Counts, &meshpb.Count{Name: c.Name, Value: c.Value})
		}
		out = append(out, m)
	}
	return out
}

// DecodeEvents converts events from protobuf.
func DecodeEvents(list []*meshpb.Event) []timeline.Event {
	out := make([]timeline.Event, 0, len(list))
	for _, m := range list {
		id := decodeID(m.GetId())
		e := timeline.Event{
			ID: id, Stamp: decodeStamp(m.GetStamp()), Host: id.Host, Kind: timeline.Kind(m.GetKind()),
			Object: m.GetObject(), Cause: decodeID(m.GetCause()), Author: m.GetAuthor(), Text: m.GetText(),
		}
		for _, c := range m.GetCounts() {
			e.Counts = append(e.Counts, timeline.Count{Name: c.GetName(), Value: c.GetValue()})
		}
		out = append(out, e)
	}
	return out
}

// EncodeFilter converts a filter to protobuf. A negative limit becomes 0.
func EncodeFilter(f timeline.Filter) *meshpb.EventFilter {
	m := &meshpb.EventFilter{
		Since: encodeStamp(f.Since), Until: encodeStamp(f.Until), Object: f.Object, Limit: uint32(max(0, f.Limit)),
	}
	for _, k := range f.Kinds {
		m.Kinds = append(m.Kinds, string(k))
	}
	return m
}

// DecodeFilter converts a filter from protobuf.
func DecodeFilter(m *meshpb.EventFilter) timeline.Filter {
	f := timeline.Filter{
		Since: decodeStamp(m.GetSince()), Until: decodeStamp(m.GetUntil()), Object: m.GetObject(), Limit: int(m.GetLimit()),
	}
	for _, k := range m.GetKinds() {
		f.Kinds = append(f.Kinds, timeline.Kind(k))
	}
	return f
}

func encodeID(id timeline.EventID) *meshpb.EventID {
	return &meshpb.EventID{Host: string(id.Host), Counter: id.Counter}
}

func decodeID(m *meshpb.EventID) timeline.EventID {
	return timeline.EventID{Host: types.Host(m.GetHost()), Counter: m.GetCounter()}
}

func encodeStamp(s timeline.Stamp) *meshpb.Stamp {
	return &meshpb.Stamp{Wall: s.Wall, Logical: s.Logical}
}

func decodeStamp(m *meshpb.Stamp) timeline.Stamp {
	return timeline.Stamp{Wall: m.GetWall(), Logical: m.GetLogical()}
}
