// Package admission decides which requests run at an endpoint, and when.
//
// A Queue belongs to the owner of an endpoint. It orders queued requests by rank, shares
// the slots of each rank fairly among features and jobs, reserves slot time for the
// floors of less urgent ranks, and refuses requests that cannot meet their target. Its
// inputs are events such as new and finished requests. Its effects start or refuse
// requests and send admission levels.
//
// A Gate belongs to each frontend. It applies the admission levels: the owner of an
// overloaded endpoint sends the share of requests that frontends forward, and the Gate
// decides for each request whether it is forwarded.
//
// A slot is the right to run one request at the endpoint. A flow is the sequence of
// requests of one feature or job within a rank. Package pool is the queue of "baobabd
// platform", which also assigns connections and has no features and jobs.
package admission
