// Package capacity measures what the roles of a host cost at several sizes of
// the fleet. It drives the state machines of core in virtual time and compares
// their messages, processor time, memory and platform calls with the budgets.
package capacity
