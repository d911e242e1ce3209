// Package locality decides when a read is served in another data centre, for how much of the
// load, and which hosts own the endpoints of a data centre.
//
// Its inputs are what one frontend observes: the load that replies report, the frontend's own
// requests in flight, time in the queue, service time and round trip. It sends nothing and
// keeps no state outside the frontend, so each frontend decides alone. All functions take the
// time as an argument.
package locality
