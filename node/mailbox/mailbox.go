// Package mailbox sends messages to tasks and awaits their replies. Its functions do
// not block on a task that has ended.
package mailbox

import "context"

// Post sends a message to a task's inbox. It reports false if the task has ended.
func Post(inbox chan<- any, stopped <-chan struct{}, msg any) bool {
	select {
	case inbox <- msg:
		return true
	case <-stopped:
		return false
	}
}

// Await waits for a reply. It reports false if the context or the task ends first.
func Await[T any](ctx context.Context, stopped <-chan struct{}, reply <-chan T) (answer T, ok bool) {
	select {
	case answer = <-reply:
		return answer, true
	case <-ctx.Done():
	case <-stopped:
	}
	return answer, false
}
