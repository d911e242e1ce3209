// Package timeline records events of the hosts. The events are ordered by a hybrid
// logical clock, and each event names its cause.
//
// Each host keeps its newest events in a Ring. Merge combines the events of several
// hosts, Filter selects some of them, and CausalTree returns the events that an event
// led to. Packages such as failover and config report their events as notes, which the
// node records under the kinds of this package.
package timeline
