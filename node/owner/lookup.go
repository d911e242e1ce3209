package owner

import (
	"slices"

	"baobabfield.example/core/types"
	"baobabfield.example/node/mesh"
	"baobabfield.example/node/watch"
	"baobabfield.example/wire/meshpb"
)

// lookup asks for the tasks that serve an endpoint.
type lookup struct {
	endpoint types.Endpoint
	database types.Database
	reply    chan lookupReply
}

type lookupReply struct {
	id      types.RequestID
	ep      *endpointTask
	tasks   databaseTasks
	promise types.Durability
}

// databaseRequest asks for the tasks of all owned endpoints of a database.
type databaseRequest struct {
	db    types.Database
	reply chan databaseReply
}

type databaseReply struct {
	watch     *watch.Task
	endpoints []types.Endpoint
}

// allRequest asks for all endpoint tasks.
type allRequest struct{ reply chan []*endpointTask }

func (r *Registry) lookup(m lookup) lookupReply {
	r.requests++
	reply := lookupReply{id: r.requests}
	h, owned := r.endpoints[m.endpoint]
	d, watched := r.databases[m.database]
	if owned && watched && h.db == m.database {
		reply.ep = h.task
		reply.tasks = d.databaseTasks
		reply.promise = h.promise
	}
	return reply
}

func (r *Registry) database(db types.Database) databaseReply {
	reply := databaseReply{}
	if d, ok := r.databases[db]; ok {
		reply.watch = d.watch
	}
	for id, h := range r.endpoints {
		if h.db == db {
			reply.endpoints = append(reply.endpoints, id)
		}
	}
	slices.Sort(reply.endpoints)
	return reply
}

// watches returns the watches of all databases.
func (r *Registry) watches() map[types.Database]*watch.Task {
	out := make(map[types.Database]*watch.Task, len(r.databases))
	for id, d := range r.databases {
		out[id] = d.watch
	}
	return out
}

// all returns the tasks of the owned endpoints, and those of former ones that
// still run transactions.
func (r *Registry) all() []*endpointTask {
	r.former = slices.DeleteFunc(r.former, (*endpointTask).ended)
	out := slices.Clone(r.former)
	for _, h := range r.endpoints {
		out = append(out, h.task)
	}
	return out
}

// Serve carries out the statement or transaction that another host opens on a
// stream; it reports whether the stream can carry another one.
func (r *Registry) Serve(s *mesh.Stream, open *meshpb.Open) bool {
	m := lookup{
		endpoint: types.Endpoint(open.GetEndpoint()),
		database: types.Database(open.GetDatabase()),
		reply:    make(chan lookupReply, 1),
	}
	if !r.post(m) {
		return false
	}
	found := <-m.reply
	x := &txn{stream: s, open: open, ep: found.ep, tasks: found.tasks, promise: found.promise, id: found.id}
	if found.ep == nil {
		x.sendResult(types.RefusedOutcome(types.ReasonNotOwner, open.GetEndpoint()), 'I', types.LogPoint{})
		return x.ended
	}
	x.run(r.work)
	return x.ended
}
