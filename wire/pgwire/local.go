package pgwire

import "github.com/jackc/pgx/v5/pgproto3"

// Types of front-end messages that a locally answered batch may hold.
const (
	frontParse    = 'P'
	frontBind     = 'B'
	frontDescribe = 'D'
	frontExecute  = 'E'
	frontClose    = 'C'
	frontSync     = 'S'
)

// Local is the answer to a statement that needs no endpoint: a command tag, and
// one row where Column is set.
type Local struct {
	Tag    string
	Column string
	Value  string
}

// Append appends the answer to a batch that runs or describes the statement.
func (l *Local) Append(buf []byte, b *Batch) []byte {
	if b.Simple {
		buf = l.appendDescription(buf)
		return AppendReady(l.appendResult(buf), StatusIdle)
	}
	answers := b.Answers
	for rest := b.Messages; len(rest) >= HeaderSize; {
		size, whole, err := nextSize(rest)
		if err != nil || !whole {
			panic("batch of encoded messages does not split")
		}
		buf = l.appendStep(buf, rest[:size], &answers)
		rest = rest[size:]
	}
	return buf
}

// appendStep appends the answer to one message of the extended protocol.
func (l *Local) appendStep(buf, m []byte, answers *[]bool) []byte {
	switch m[0] {
	case frontParse, frontClose:
		wanted := (*answers)[0]
		*answers = (*answers)[1:]
		if wanted && m[0] == frontParse {
			return appendMessage(buf, &pgproto3.ParseComplete{})
		}
		if wanted {
			return AppendCloseComplete(buf)
		}
	case frontBind:
		return appendMessage(buf, &pgproto3.BindComplete{})
	case frontDescribe:
		if m[HeaderSize] == 'S' {
			buf = appendMessage(buf, &pgproto3.ParameterDescription{})
		}
		if l.Column == "" {
			return appendMessage(buf, &pgproto3.NoData{})
		}
		return l.appendDescription(buf)
	case frontExecute:
		return l.appendResult(buf)
	case frontSync:
		return AppendReady(buf, StatusIdle)
	}
	return buf
}

// appendDescription appends the row's description, if there is a row.
func (l *Local) appendDescription(buf []byte) []byte {
	if l.Column == "" {
		return buf
	}
	field := pgproto3.FieldDescription{Name: []byte(l.Column), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	return appendMessage(buf, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}})
}

// appendResult appends the row and the command's completion.
func (l *Local) appendResult(buf []byte) []byte {
	if l.Column != "" {
		buf = appendMessage(buf, &pgproto3.DataRow{Values: [][]byte{[]byte(l.Value)}})
	}
	return AppendComplete(buf, l.Tag)
}

// Executes reports whether the batch runs a statement, and does not only
// describe one.
func (b *Batch) Executes() bool {
	if b.Simple {
		return true
	}
	for rest := b.Messages; len(rest) >= HeaderSize; {
		size, whole, err := nextSize(rest)
		if err != nil || !whole {
			return false
		}
		if rest[0] == frontExecute {
			return true
		}
		rest = rest[size:]
	}
	return false
}
