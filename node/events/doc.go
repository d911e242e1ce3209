// Package events runs the task that owns the host's part of the time line: a ring of
// events and a hybrid logical clock. Other tasks send it events through recorders,
// queries, and the stamps that they receive from other hosts. The task replies to queries
// and to requests of the current stamp on the channels that these carry.
package events
