// Package node runs the core in one process. Its tasks own sockets, timers and
// state, and communicate by messages.
package node
