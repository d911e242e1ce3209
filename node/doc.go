// Package node runs the core in one process: tasks that own sockets, timers
// and state, and talk by messages.
package node
