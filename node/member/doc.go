// Package member runs the task that owns the gossip socket and the membership state
// machine.
package member
