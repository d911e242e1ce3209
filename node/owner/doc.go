// Package owner runs the endpoints that a host owns: for each a task with the
// endpoint's queue and connections, for each of their databases a watch, and
// for each transaction a task that carries it out.
package owner
