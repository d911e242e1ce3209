// Package admission decides which requests run at an endpoint, and when.
//
// A Queue belongs to the owner of an endpoint. It orders queued requests by rank, shares
// the slots of each rank fairly among features and jobs, reserves slot time for the
// floors of less urgent ranks, and refuses requests that cannot meet their target. A
// Gate belongs to each frontend and applies the admission levels that the queues send.
package admission
