// Package node holds the packages that run the core in one process. Their tasks own
// sockets, timers and state, and communicate by messages.
//
// Package host assembles the tasks of "baobabd serve": mesh, member, reach, conf, events,
// router, caller, owner, operator and admin. The owner starts a watch for each database
// and connects to endpoints through package endpoint. Package gateway assembles the tasks
// of "baobabd platform" round the state machine of core/proxy. Both use mesh, netopt,
// clock and mailbox.
//
// Some words differ between these packages. A watch in packages watch and owner is the
// failover task of a database. In packages conf and gateway it is a call that waits for
// changes in the platform's store. A payload is a message of package conf that the mesh
// carries without decoding it.
package node
