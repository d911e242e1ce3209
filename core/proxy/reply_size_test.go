package proxy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// A message that exceeds the limit of a frame would end the link to the caller's host, with the
// statements of its other callers.
func TestAnswerThatExceedsFrameIsRefusedAlone(t *testing.T) {
	const maxFrameBytes = 2 << 20
	is := is.New(t)
	sim := newSimulation(t, 62, 1)
	sim.callers.pauseFactor = servablePauses
	sim.isLost = func(_ types.Host, msg proxy.Message) bool {
		if res, ok := msg.(proxy.ExecResult); ok {
			size := 0
			for _, row := range res.Reply.Rows {
				size += len(row)
			}
			is.True(size < maxFrameBytes)
		}
		return false
	}
	sim.endpoints["e-a"].rowBytes = maxFrameBytes
	sim.callers.openSession("h-b0", "primary-db", "read")
	sim.callers.openSession("h-b0", "own-db", "write")
	sim.runFor(5 * time.Second)
	sim.reportViolations()
	is.True(sim.callers.unknown > 5)
	is.True(sim.now.Sub(sim.callers.lastWrite) < time.Second)
}
