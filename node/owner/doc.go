// Package owner runs the endpoints that a host owns. Each endpoint has a task with its
// queue and its connections. Each database has a watch and an acknowledgement task, and
// each transaction runs in a task of its own.
package owner
