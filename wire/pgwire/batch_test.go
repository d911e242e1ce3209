package pgwire

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

// addMessages adds messages and returns the batch that they complete.
func addMessages(t *testing.T, b *Batcher, messages ...pgproto3.FrontendMessage) Batch {
	t.Helper()
	for i, m := range messages {
		complete, err := b.Add(m)
		if err != nil {
			t.Fatal(err)
		}
		if complete != (i == len(messages)-1) {
			t.Fatalf("message %d completes the batch: %v", i, complete)
		}
	}
	return b.Take()
}

// messageTypes returns the types of the messages in buf.
func messageTypes(t *testing.T, buf []byte) string {
	t.Helper()
	var out strings.Builder
	for len(buf) > 0 {
		size, complete, err := messageSize(buf)
		if err != nil || !complete {
			t.Fatalf("buffer holds an incomplete message: %v", err)
		}
		out.WriteByte(buf[0])
		buf = buf[size:]
	}
	return out.String()
}

// A prepared statement is prepared again on each new connection. The caller does not
// receive the completions of the added messages.
func TestStatementIsPreparedAgainOnNewStream(t *testing.T) {
	is := is.New(t)
	b := NewBatcher()
	first := addMessages(t, b, &pgproto3.Parse{Name: "s1", Query: "SELECT 1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s1"}, &pgproto3.Sync{})
	is.Equal(messageTypes(t, first.Messages), "CPDS")
	is.Equal(first.ExpectedCompletions, []bool{false, true})

	same := addMessages(t, b, &pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	is.Equal(messageTypes(t, same.Messages), "BES") // same connection

	b.ResetStream()
	other := addMessages(t, b, &pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	is.Equal(messageTypes(t, other.Messages), "CPBES")
	is.Equal(other.ExpectedCompletions, []bool{false, false})
	is.Equal(other.SQL, []string{"SELECT 1"})
}

func TestFilterDropsUnexpectedCompletions(t *testing.T) {
	is := is.New(t)
	b := Batch{ExpectedCompletions: []bool{false, false}}
	f := NewCompletionFilter(&b)
	var answer []byte
	for _, m := range []encoder{
		&pgproto3.CloseComplete{}, &pgproto3.ParseComplete{}, &pgproto3.BindComplete{},
		&pgproto3.DataRow{Values: [][]byte{[]byte("1")}}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		answer = appendMessage(answer, m)
	}
	var out []byte
	var err error
	for _, c := range answer { // in chunks of one byte
		out, err = f.Append(out, []byte{c})
		is.NoErr(err)
	}
	is.Equal(messageTypes(t, out), "2DZ")
}

func TestBatcherErrors(t *testing.T) {
	is := is.New(t)
	b := NewBatcher()
	_, err := b.Add(&pgproto3.Bind{PreparedStatement: "missing"})
	is.True(strings.Contains(err.Error(), `"missing"`))
	_, err = b.Add(&pgproto3.CopyData{})
	is.True(strings.Contains(err.Error(), "is not supported"))
	b.ResetBatch()
	_, err = b.Add(&pgproto3.Query{String: strings.Repeat("x", MaxBatchBytes)})
	is.True(strings.Contains(err.Error(), "exceeds the limit"))
}

func TestLocalAnswerInSimpleAndExtendedProtocol(t *testing.T) {
	is := is.New(t)
	l := LocalAnswer{Tag: "SHOW", Column: "baobab.rank", Value: "urgent"}
	b := NewBatcher()
	simple := addMessages(t, b, &pgproto3.Query{String: "SHOW baobab.rank"})
	is.Equal(messageTypes(t, l.Append(nil, &simple)), "TDCZ")
	prepare := addMessages(t, b, &pgproto3.Parse{Name: "s", Query: "SHOW baobab.rank"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
	is.Equal(messageTypes(t, l.Append(nil, &prepare)), "1tTZ")
	is.True(!prepare.Executes())
	b.ResetStream()
	run := addMessages(t, b, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
	is.Equal(messageTypes(t, l.Append(nil, &run)), "2TDCZ")
	is.True(run.Executes())
}

func TestOutcomesMapToSQLStates(t *testing.T) {
	tests := []struct {
		outcome types.Outcome
		state   string
		prefix  string
	}{
		{types.UnknownOutcome(types.ReasonBroken, "x"), "08007", "outcome unknown: "},
		{types.NotRunOutcome(types.ReasonQueueFull, ""), "53400", "not run: "},
		{types.NotRunOutcome(types.ReasonRetired, "r"), "0A000", "not run: "},
		{types.NotRunOutcome(types.ReasonNotPrimary, ""), "57P03", "not run: "},
		{types.NotRunOutcome(types.ReasonLeaving, ""), "57P01", "not run: "},
		{types.NotRunOutcome(types.ReasonLostWrite, ""), "40001", "not run: "},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(OutcomeSQLState(tt.outcome), tt.state)
		is.True(strings.HasPrefix(OutcomeMessage(tt.outcome), tt.prefix))
	}
}
