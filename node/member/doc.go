// Package member runs the task that owns the gossip socket and the membership machine.
package member
