package pgwire

import "github.com/jackc/pgx/v5/pgproto3"

// Types of the front-end messages in a batch of the extended protocol.
const (
	frontendParse    = 'P'
	frontendBind     = 'B'
	frontendDescribe = 'D'
	frontendExecute  = 'E'
	frontendClose    = 'C'
	frontendSync     = 'S'
)

// LocalAnswer is the answer to a statement that the proxy runs itself, without an endpoint.
// It has a command tag and, if Column is set, one row.
type LocalAnswer struct {
	Tag    string
	Column string
	Value  string
}

// Append appends the answer to a batch that prepares, describes or runs the statement.
func (l *LocalAnswer) Append(buf []byte, b *Batch) []byte {
	if b.Simple {
		buf = l.appendDescription(buf)
		return AppendReady(l.appendResult(buf), StatusIdle)
	}
	expected := b.ExpectedCompletions
	for rest := b.Messages; len(rest) >= HeaderBytes; {
		size, complete, err := messageSize(rest)
		if err != nil || !complete {
			panic("pgwire: batch holds an incomplete message")
		}
		buf = l.appendAnswerTo(buf, rest[:size], &expected)
		rest = rest[size:]
	}
	return buf
}

// appendAnswerTo appends the answer to one message of the extended protocol.
func (l *LocalAnswer) appendAnswerTo(buf, m []byte, expected *[]bool) []byte {
	switch m[0] {
	case frontendParse, frontendClose:
		wanted := (*expected)[0]
		*expected = (*expected)[1:]
		if wanted && m[0] == frontendParse {
			return appendMessage(buf, &pgproto3.ParseComplete{})
		}
		if wanted {
			return AppendCloseComplete(buf)
		}
	case frontendBind:
		return appendMessage(buf, &pgproto3.BindComplete{})
	case frontendDescribe:
		if m[HeaderBytes] == 'S' {
			buf = appendMessage(buf, &pgproto3.ParameterDescription{})
		}
		if l.Column == "" {
			return appendMessage(buf, &pgproto3.NoData{})
		}
		return l.appendDescription(buf)
	case frontendExecute:
		return l.appendResult(buf)
	case frontendSync:
		return AppendReady(buf, StatusIdle)
	}
	return buf
}

// appendDescription appends the RowDescription if the answer has a row.
func (l *LocalAnswer) appendDescription(buf []byte) []byte {
	if l.Column == "" {
		return buf
	}
	field := pgproto3.FieldDescription{Name: []byte(l.Column), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	return appendMessage(buf, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}})
}

// appendResult appends the DataRow, if any, and the CommandComplete.
func (l *LocalAnswer) appendResult(buf []byte) []byte {
	if l.Column != "" {
		buf = appendMessage(buf, &pgproto3.DataRow{Values: [][]byte{[]byte(l.Value)}})
	}
	return AppendComplete(buf, l.Tag)
}

// Executes reports whether the batch runs a statement, as opposed to only preparing or
// describing it.
func (b *Batch) Executes() bool {
	if b.Simple {
		return true
	}
	for rest := b.Messages; len(rest) >= HeaderBytes; {
		size, complete, err := messageSize(rest)
		if err != nil || !complete {
			return false
		}
		if rest[0] == frontendExecute {
			return true
		}
		rest = rest[size:]
	}
	return false
}
