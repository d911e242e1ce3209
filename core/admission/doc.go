// Package admission decides which requests run at an endpoint, and when.
//
// A Queue stands at the owner of an endpoint. It orders waiting requests by
// rank, shares each rank fairly among features and jobs, guarantees floors to
// the lower ranks and refuses requests that cannot meet their target. A Gate
// stands at each entry host and applies the admission levels that queues tell.
package admission
