// Package timeline records events of the hosts. The events are ordered by a hybrid
// logical clock, and each event names its cause.
package timeline
