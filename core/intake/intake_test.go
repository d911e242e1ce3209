package intake_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/intake"
)

const large = 100 << 10

var limits = intake.Limits{MessageBytes: 3 * large, CallerMessageBytes: 2 * large, ReplyBytes: 4 * large, CallerReplyBytes: large}

// newMachine returns a machine with the callers 1 to n.
func newMachine(n int) *intake.Machine {
	m := intake.New(limits)
	for i := range n {
		m.Open(intake.Caller(i + 1))
	}
	return m
}

// read returns the decision that lets a caller read on.
func read(id intake.Caller) intake.Decision {
	return intake.Decision{Caller: id, Action: intake.Read}
}

// Guards against large messages that exceed the memory for all callers, and against callers that
// are overtaken for ever.
func TestLargeMessagesWaitInOrder(t *testing.T) {
	is := is.New(t)
	m := newMachine(5)
	for id := range intake.Caller(5) {
		m.Reserve(id+1, large)
	}
	is.Equal(m.TakeDecisions(), []intake.Decision{read(1), read(2), read(3)})
	m.Arrive(2, large/2)
	is.Equal(len(m.TakeDecisions()), 0) // half of a message is free
	m.ReaderDone(1)
	is.Equal(m.TakeDecisions(), []intake.Decision{read(4)})
	is.Equal(m.MessageBytes(), 2*large+large/2)
	m.Answer(2)
	is.Equal(m.TakeDecisions(), []intake.Decision{read(5)})
}

// Guards against callers that wait for each reply and are held up by those who use up the memory.
func TestOrdinaryMessageDoesNotWait(t *testing.T) {
	is := is.New(t)
	m := newMachine(5)
	for id := range intake.Caller(4) {
		m.Reserve(id+1, large)
	}
	m.TakeDecisions()
	m.Arrive(5, intake.OrdinaryBytes)
	m.Reserve(5, intake.OrdinaryBytes)
	is.Equal(m.TakeDecisions(), []intake.Decision{read(5)})
	m.Arrive(5, 1)
	m.Reserve(5, intake.OrdinaryBytes) // more than an ordinary caller sends ahead
	is.Equal(len(m.TakeDecisions()), 0)
	m.Answer(5)
	is.Equal(m.TakeDecisions(), []intake.Decision{read(5)})
}

// Guards against one caller that uses up the memory of all, and against its wait holding up the
// others.
func TestCallerWaitsForItsOwnStatements(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	m.Reserve(1, large)
	m.Arrive(1, large)
	m.Reserve(1, large)
	m.Arrive(1, large)
	m.TakeDecisions()
	m.Reserve(1, large)
	m.Reserve(2, large)
	is.Equal(m.TakeDecisions(), []intake.Decision{read(2)})
	m.ReaderDone(2)
	m.Answer(1)
	is.Equal(m.TakeDecisions(), []intake.Decision{read(1)})
}

// Guards against statements that run for a caller which does not read the replies.
func TestCallerIsBlockedWhileRepliesWait(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	m.QueueReply(1, large)
	is.Equal(len(m.TakeDecisions()), 0)
	m.QueueReply(1, large)
	is.Equal(m.TakeDecisions(), []intake.Decision{{Caller: 1, Action: intake.Block}})
	m.WriteReply(1, large)
	is.Equal(len(m.TakeDecisions()), 0)
	m.WriteReply(1, large)
	is.Equal(m.TakeDecisions(), []intake.Decision{{Caller: 1, Action: intake.Unblock}})
	is.Equal(m.ReplyBytes(), 0)
}

// Guards against replies that exceed the memory for all callers: only the largest user is closed.
func TestLargestUserOfReplyMemoryIsClosed(t *testing.T) {
	is := is.New(t)
	m := newMachine(4)
	m.QueueReply(1, large/2)
	m.QueueReply(2, large)
	m.QueueReply(3, large)
	m.QueueReply(4, large)
	is.Equal(len(m.TakeDecisions()), 0)
	m.QueueReply(1, large)
	is.Equal(m.TakeDecisions(), []intake.Decision{{Caller: 1, Action: intake.Block}, {Caller: 1, Action: intake.Close, Bytes: large * 3 / 2}})
	m.QueueReply(1, large) // no longer counted
	m.QueueReply(2, large)
	is.Equal(m.ReplyBytes(), 4*large)
}

// Guards against statements that are read, and never answered, while the last replies are written
// to a caller that is being closed.
func TestClosingCallerIsNotRead(t *testing.T) {
	is := is.New(t)
	m := newMachine(5)
	for id := range intake.Caller(4) {
		m.Reserve(id+1, large)
	}
	m.TakeDecisions()
	m.Release(4) // while it waits
	m.Arrive(1, large)
	m.Release(1)
	m.Arrive(1, large) // was on its way
	is.Equal(m.MessageBytes(), 2*large)
	is.True(!m.Reserve(1, large))
	is.True(m.Reserve(5, large))
	is.Equal(m.TakeDecisions(), []intake.Decision{read(5)})
}

// Guards against idle sessions that keep the memory of a large startup message.
func TestStartupMessageIsReleased(t *testing.T) {
	is := is.New(t)
	m := newMachine(4)
	for id := range intake.Caller(4) {
		m.Reserve(id+1, large)
	}
	is.Equal(len(m.TakeDecisions()), 3)
	m.Start(1)
	is.Equal(m.TakeDecisions(), []intake.Decision{read(4)})
	is.Equal(m.MessageBytes(), 3*large)
}

// Guards against sums that drift, and against readers that wait although nothing is used.
func TestNothingIsLeftAfterRandomCalls(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	m := newMachine(9)
	reading := map[intake.Caller]bool{} // the reader has been allowed to read on
	waits := map[intake.Caller]bool{}
	apply := func() {
		for _, d := range m.TakeDecisions() {
			if d.Action == intake.Read {
				is.True(waits[d.Caller])
				waits[d.Caller], reading[d.Caller] = false, true
			}
		}
		is.True(m.MessageBytes() <= limits.MessageBytes+9*2*intake.OrdinaryBytes)
		is.True(m.ReplyBytes() <= limits.ReplyBytes)
	}
	for range 20000 {
		id := intake.Caller(1 + rng.IntN(9))
		switch rng.IntN(4) {
		case 0:
			if !waits[id] && !reading[id] {
				waits[id] = true
				m.Reserve(id, []int{intake.OrdinaryBytes, large}[rng.IntN(2)])
			}
		case 1:
			if reading[id] {
				reading[id] = false
				m.Arrive(id, 1+rng.IntN(intake.OrdinaryBytes))
			}
		case 2:
			m.Answer(id)
		case 3:
			m.QueueReply(id, large/4)
			m.WriteReply(id, large/4)
		}
		apply()
	}
	for id := range intake.Caller(9) {
		m.ReaderDone(id + 1)
		m.WriterDone(id + 1)
	}
	is.Equal(m.MessageBytes(), 0)
	is.Equal(m.ReplyBytes(), 0)
}
