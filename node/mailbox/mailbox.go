// Package mailbox sends messages to tasks and waits for their answers without
// waiting for a task that has ended.
package mailbox

import "context"

// Post sends a message to a task's inbox; it reports false if the task has ended.
func Post(inbox chan<- any, stopped <-chan struct{}, msg any) bool {
	select {
	case inbox <- msg:
		return true
	case <-stopped:
		return false
	}
}

// Await waits for an answer; it reports false if the context or the task has
// ended before.
func Await[T any](ctx context.Context, stopped <-chan struct{}, reply <-chan T) (answer T, ok bool) {
	select {
	case answer = <-reply:
		return answer, true
	case <-ctx.Done():
	case <-stopped:
	}
	return answer, false
}
