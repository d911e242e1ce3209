// Package events runs the task that owns the host's part of the time line.
package events
