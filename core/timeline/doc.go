// Package timeline records what happened on the hosts as events that are
// ordered by a hybrid logical clock and linked to their causes.
package timeline
