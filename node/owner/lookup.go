package owner

import (
	"slices"

	"baobabfield.example/core/types"
	"baobabfield.example/node/mesh"
	"baobabfield.example/node/watch"
	"baobabfield.example/wire/meshpb"
)

// lookupRequest requests the tasks that serve an endpoint from the registry.
type lookupRequest struct {
	endpoint types.Endpoint
	database types.Database
	reply    chan lookupReply
}

type lookupReply struct {
	requestID  types.RequestID
	task       *endpointTask
	database   databaseTasks
	durability types.Durability
}

// databaseRequest requests a database's watch and the owned endpoints of the database.
type databaseRequest struct {
	db    types.Database
	reply chan databaseReply
}

type databaseReply struct {
	watch     *watch.Task
	endpoints []types.Endpoint
}

// endpointTasksRequest requests all endpoint tasks, former ones included.
type endpointTasksRequest struct{ reply chan []*endpointTask }

func (r *Registry) lookupEndpoint(m lookupRequest) lookupReply {
	r.lastRequestID++
	reply := lookupReply{requestID: r.lastRequestID}
	h, owned := r.endpoints[m.endpoint]
	db, watched := r.databases[m.database]
	if owned && watched && h.db == m.database {
		reply.task = h.task
		reply.database = db.databaseTasks
		reply.durability = h.durability
	}
	return reply
}

func (r *Registry) lookupDatabase(db types.Database) databaseReply {
	reply := databaseReply{}
	if handle, ok := r.databases[db]; ok {
		reply.watch = handle.watch
	}
	for id, h := range r.endpoints {
		if h.db == db {
			reply.endpoints = append(reply.endpoints, id)
		}
	}
	slices.Sort(reply.endpoints)
	return reply
}

// databaseWatches returns the watches of all databases.
func (r *Registry) databaseWatches() map[types.Database]*watch.Task {
	out := make(map[types.Database]*watch.Task, len(r.databases))
	for id, handle := range r.databases {
		out[id] = handle.watch
	}
	return out
}

// endpointTasks returns the tasks of the owned endpoints, and the tasks of formerly owned
// endpoints that still run transactions.
func (r *Registry) endpointTasks() []*endpointTask {
	r.formerTasks = slices.DeleteFunc(r.formerTasks, (*endpointTask).hasEnded)
	out := slices.Clone(r.formerTasks)
	for _, h := range r.endpoints {
		out = append(out, h.task)
	}
	return out
}

// ServeRequest executes the statement or transaction that a frontend opened on a stream.
// If the host does not own the endpoint, it refuses the request. It reports whether the
// stream can be reused for another request.
func (r *Registry) ServeRequest(s *mesh.Stream, request *meshpb.Open) bool {
	m := lookupRequest{
		endpoint: types.Endpoint(request.GetEndpoint()),
		database: types.Database(request.GetDatabase()),
		reply:    make(chan lookupReply, 1),
	}
	if !r.post(m) {
		return false
	}
	found := <-m.reply
	x := &txn{stream: s, request: request, task: found.task, database: found.database, durability: found.durability, requestID: found.requestID}
	if found.task == nil {
		x.sendResult(types.NotRunOutcome(types.ReasonNotOwner, request.GetEndpoint()), 'I', types.LogPoint{})
		return x.endSent
	}
	x.run(r.txnContext)
	return x.endSent
}
