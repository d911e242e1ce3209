package main

import (
	"fmt"
	"time"

	"baobabfield.example/core/intake"
	"baobabfield.example/core/proxy"
)

const (
	// assumedMemoryMB is the memory limit of a host whose settings name none.
	assumedMemoryMB = 256
	// messagePercent, replyPercent and sessionPercent divide the memory for callers. Each part is
	// separate, so that unread replies, for instance, don't delay messages.
	messagePercent = 40
	replyPercent   = 30
	sessionPercent = 30
	// minMessageBytes lets four of the largest messages be read at a time, and minReplyBytes is
	// more than one of the largest replies.
	minMessageBytes = 4 << 20
	minReplyBytes   = 8 << 20
	// minCallerKiB is the largest valid message.
	minCallerKiB = 1024
	// The limits of the settings.
	minCallerMemoryPercent = 5
	maxCallerMemoryPercent = 50
	minCallerTimeout       = 100 * time.Millisecond
	// unknownFilesCallers is the number of callers served if the settings name no limit of file
	// descriptors.
	unknownFilesCallers = 700
)

// check returns an error that names the first flag whose value is not valid.
func (f *platformFlags) check() error {
	switch {
	case f.MaxCallers < 0:
		return fmt.Errorf("--max-callers is %d, must be 0 or more", f.MaxCallers)
	case f.CallerMemoryPercent < minCallerMemoryPercent || f.CallerMemoryPercent > maxCallerMemoryPercent:
		return fmt.Errorf("--caller-memory-percent is %d, must be %d to %d", f.CallerMemoryPercent, minCallerMemoryPercent, maxCallerMemoryPercent)
	case f.CallerMessagesKiB < minCallerKiB:
		return fmt.Errorf("--caller-messages-kib is %d, must be %d or more", f.CallerMessagesKiB, minCallerKiB)
	case f.CallerRepliesKiB < 1:
		return fmt.Errorf("--caller-replies-kib is %d, must be 1 or more", f.CallerRepliesKiB)
	case f.CallerSessionKiB < minCallerKiB:
		return fmt.Errorf("--caller-session-kib is %d, must be %d or more", f.CallerSessionKiB, minCallerKiB)
	case f.MessageTimeout < minCallerTimeout:
		return fmt.Errorf("--message-timeout is %v, must be %v or more", f.MessageTimeout, minCallerTimeout)
	case f.ReplyTimeout < minCallerTimeout:
		return fmt.Errorf("--reply-timeout is %v, must be %v or more", f.ReplyTimeout, minCallerTimeout)
	}
	return nil
}

// maxCallers returns the number of callers that are served at a time. Of a limit of descriptors
// that is too low for reservedDescriptors, callers use half.
func (f *platformFlags) maxCallers(maxFiles int) int {
	switch {
	case f.MaxCallers > 0:
		return f.MaxCallers
	case maxFiles <= 0:
		return unknownFilesCallers
	}
	return max(maxFiles-reservedDescriptors, maxFiles/2, 1)
}

// memoryLimits divides the memory for callers.
func (f *platformFlags) memoryLimits(memoryMB int) (intake.Limits, proxy.MemoryLimits) {
	if memoryMB <= 0 {
		memoryMB = assumedMemoryMB
	}
	total := memoryMB << 20 / 100 * f.CallerMemoryPercent / 100
	messages := max(total*messagePercent, minMessageBytes)
	return intake.Limits{
		MessageBytes: messages, CallerMessageBytes: f.CallerMessagesKiB << 10,
		ReplyBytes: max(total*replyPercent, minReplyBytes), CallerReplyBytes: f.CallerRepliesKiB << 10,
	}, proxy.MemoryLimits{
		SessionBytes: f.CallerSessionKiB << 10, AllSessionsBytes: total * sessionPercent, ExecutionBytes: messages,
	}
}
