package pgwire

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// MaxBatchBytes is the largest batch of front-end messages.
const MaxBatchBytes = 1 << 20

// maxPreparedStatements is the largest number of prepared statements in one session.
const maxPreparedStatements = 1024

// preparedStatement is a statement that the caller has prepared in its session.
type preparedStatement struct {
	sql           string
	parameterOIDs []uint32
}

// Batch is a sequence of front-end messages up to and including Sync or Query.
type Batch struct {
	// Messages are the encoded messages for an endpoint.
	Messages []byte
	// SQL holds the texts of the statements that the batch prepares, describes or runs.
	SQL []string
	// Simple is set if the batch is a Query of the simple protocol.
	Simple bool
	// ExpectedCompletions holds for each ParseComplete and CloseComplete in the answer,
	// in their order, whether the caller expects it. The caller does not expect those of
	// messages that the Batcher has added.
	ExpectedCompletions []bool
	// Describes is set if the batch describes a statement or portal, which only an
	// endpoint can do.
	Describes bool
}

// NeedsNoEndpoint reports whether the batch neither prepares, describes nor runs a
// statement.
func (b *Batch) NeedsNoEndpoint() bool { return len(b.SQL) == 0 && !b.Describes }

// Batcher groups a caller's messages into batches. It keeps the session's prepared
// statements. If a batch uses a statement that its connection may lack, the Batcher adds
// the messages that prepare it there.
type Batcher struct {
	statements map[string]preparedStatement
	portals    map[string]string
	// preparedOnStream holds the names of the statements that were prepared since the
	// last ResetStream.
	preparedOnStream map[string]bool
	batch            Batch
}

// NewBatcher returns a Batcher without prepared statements.
func NewBatcher() *Batcher {
	return &Batcher{
		statements:       map[string]preparedStatement{},
		portals:          map[string]string{},
		preparedOnStream: map[string]bool{},
	}
}

// ResetStream discards the record of the connection's portals and prepared statements, so
// that the Batcher prepares each statement again before its next use. It must be called
// before a batch runs on another connection. It must also be called after a failed batch,
// since some of its statements may not have been prepared.
func (b *Batcher) ResetStream() {
	clear(b.preparedOnStream)
	clear(b.portals)
}

// Add adds one message and reports whether it completes the batch. It fails for an
// unsupported message, an unknown prepared statement and an exceeded limit. After an error
// the batch must be discarded by ResetBatch.
func (b *Batcher) Add(msg pgproto3.FrontendMessage) (complete bool, err error) {
	switch m := msg.(type) {
	case *pgproto3.Query:
		b.batch.Simple = true
		b.batch.SQL = append(b.batch.SQL, m.String)
		return true, b.encodeMessage(m)
	case *pgproto3.Parse:
		return false, b.addParse(m)
	case *pgproto3.Bind:
		return false, b.addBind(m)
	case *pgproto3.Describe:
		return false, b.addDescribe(m)
	case *pgproto3.Execute:
		return false, b.addExecute(m)
	case *pgproto3.Close:
		return false, b.addClose(m)
	case *pgproto3.Sync:
		return true, b.encodeMessage(m)
	default:
		return false, fmt.Errorf("message %T is not supported", msg)
	}
}

// Take returns the current batch and starts a new one.
func (b *Batcher) Take() Batch {
	batch := b.batch
	b.batch = Batch{}
	return batch
}

// ResetBatch discards the current batch.
func (b *Batcher) ResetBatch() { b.batch = Batch{} }

// encodeMessage appends the encoded message to the batch.
func (b *Batcher) encodeMessage(m pgproto3.FrontendMessage) error {
	buf, err := m.Encode(b.batch.Messages)
	if err != nil {
		return fmt.Errorf("message %T does not encode: %w", m, err)
	}
	if len(buf) > MaxBatchBytes {
		return fmt.Errorf("batch of %d bytes exceeds the limit of %d bytes", len(buf), MaxBatchBytes)
	}
	b.batch.Messages = buf
	return nil
}

// addParse registers a prepared statement. On the endpoint's connection it replaces a
// statement of the same name that another session has left there.
func (b *Batcher) addParse(m *pgproto3.Parse) error {
	if len(b.statements) >= maxPreparedStatements {
		if _, ok := b.statements[m.Name]; !ok {
			return fmt.Errorf("prepared statement %q exceeds the limit of %d statements", m.Name, maxPreparedStatements)
		}
	}
	b.statements[m.Name] = preparedStatement{sql: m.Query, parameterOIDs: append([]uint32(nil), m.ParameterOIDs...)}
	if err := b.closeBeforePrepare(m.Name); err != nil {
		return err
	}
	b.preparedOnStream[m.Name] = true
	b.batch.ExpectedCompletions = append(b.batch.ExpectedCompletions, true)
	b.batch.SQL = append(b.batch.SQL, m.Query)
	return b.encodeMessage(m)
}

// closeBeforePrepare adds a Close of a named statement that is to be prepared. The unnamed
// statement needs none.
func (b *Batcher) closeBeforePrepare(name string) error {
	if name == "" {
		return nil
	}
	b.batch.ExpectedCompletions = append(b.batch.ExpectedCompletions, false)
	return b.encodeMessage(&pgproto3.Close{ObjectType: 'S', Name: name})
}

// ensurePrepared adds the messages that prepare a statement of the session, unless the
// stream's connection already has it.
func (b *Batcher) ensurePrepared(name string) error {
	p, ok := b.statements[name]
	if !ok {
		return fmt.Errorf("prepared statement %q does not exist", name)
	}
	if b.preparedOnStream[name] {
		return nil
	}
	if err := b.closeBeforePrepare(name); err != nil {
		return err
	}
	b.preparedOnStream[name] = true
	b.batch.ExpectedCompletions = append(b.batch.ExpectedCompletions, false)
	return b.encodeMessage(&pgproto3.Parse{Name: name, Query: p.sql, ParameterOIDs: p.parameterOIDs})
}

func (b *Batcher) addBind(m *pgproto3.Bind) error {
	if err := b.ensurePrepared(m.PreparedStatement); err != nil {
		return err
	}
	b.portals[m.DestinationPortal] = m.PreparedStatement
	return b.encodeMessage(m)
}

func (b *Batcher) addDescribe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		if err := b.ensurePrepared(m.Name); err != nil {
			return err
		}
		b.batch.SQL = append(b.batch.SQL, b.statements[m.Name].sql)
	}
	b.batch.Describes = true
	return b.encodeMessage(m)
}

func (b *Batcher) addExecute(m *pgproto3.Execute) error {
	name := b.portals[m.Portal]
	b.batch.SQL = append(b.batch.SQL, b.statements[name].sql)
	return b.encodeMessage(m)
}

// addClose removes a prepared statement or portal. The endpoint removes it too, since the
// message is passed on.
func (b *Batcher) addClose(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		delete(b.statements, m.Name)
		delete(b.preparedOnStream, m.Name)
	} else {
		delete(b.portals, m.Name)
	}
	b.batch.ExpectedCompletions = append(b.batch.ExpectedCompletions, true)
	return b.encodeMessage(m)
}

// CompletionFilter removes from an answer the completions that the caller does not expect.
type CompletionFilter struct {
	expected []bool
	// partial holds the received part of an incomplete message.
	partial []byte
}

// NewCompletionFilter returns the filter for the answer to a batch.
func NewCompletionFilter(b *Batch) *CompletionFilter {
	return &CompletionFilter{expected: b.ExpectedCompletions}
}

// Append appends the messages of the answer's next chunk to dst, without the completions
// that the caller does not expect. An incomplete message at the end of the chunk is kept
// until the next call.
func (f *CompletionFilter) Append(dst, chunk []byte) ([]byte, error) {
	if len(f.expected) == 0 && len(f.partial) == 0 {
		return append(dst, chunk...), nil
	}
	buf := append(f.partial, chunk...)
	for {
		size, complete, err := messageSize(buf)
		if err != nil {
			return dst, err
		}
		if !complete {
			f.partial = buf
			return dst, nil
		}
		if f.takeExpected(buf[0]) {
			dst = append(dst, buf[:size]...)
		}
		buf = buf[size:]
	}
}

// messageSize returns the size of the first message in buf, and whether buf contains all
// of it.
func messageSize(buf []byte) (size int, complete bool, err error) {
	if len(buf) < HeaderBytes {
		return 0, false, nil
	}
	n := binary.BigEndian.Uint32(buf[1:])
	if n < lengthBytes || n > MaxMessageBytes {
		return 0, false, fmt.Errorf("message %q has length %d, outside 4 to %d", buf[0], n, MaxMessageBytes)
	}
	size = 1 + int(n)
	return size, len(buf) >= size, nil
}

// takeExpected reports whether the caller expects the next message of the answer, which has
// the given type.
func (f *CompletionFilter) takeExpected(kind byte) bool {
	if kind != TypeParseComplete && kind != TypeCloseComplete {
		return true
	}
	if len(f.expected) == 0 {
		return true
	}
	wanted := f.expected[0]
	f.expected = f.expected[1:]
	return wanted
}
