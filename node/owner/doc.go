// Package owner runs statements at the endpoints that a host owns. The registry task owns
// the set of the other tasks and replaces them when the configuration or the membership
// changes. Each endpoint has a task with its queue and its idle connections. Each database
// has a watch and an acknowledgement task.
//
// Each statement or transaction runs in a task that owns the stream to the frontend. It
// requests a connection from the endpoint's task, runs the batches, and returns the
// connection. The frontend gets the answer, the outcome, and the current state of the
// endpoint.
package owner
