package pgwire

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// MaxBatchBytes is the largest batch of front-end messages in bytes.
const MaxBatchBytes = 1 << 20

// maxPreparedStatements is the largest number of prepared statements of one session.
const maxPreparedStatements = 1024

// preparedStatement is a statement that the caller has preparedStatement in its session.
type preparedStatement struct {
	sql           string
	parameterOIDs []uint32
}

// Batch is a sequence of front-end messages that ends with Sync or Query.
type Batch struct {
	// Messages are the encoded messages for an endpoint.
	Messages []byte
	// SQL are the texts of the statements that the batch runs or describes.
	SQL []string
	// Simple is set for a simple query, which consists of one message.
	Simple bool
	// ExpectedCompletions says for each ParseComplete and CloseComplete of the answer, in
	// their order, whether the caller expects it.
	ExpectedCompletions []bool
	// Describes is set where the batch needs an endpoint at all.
	Describes bool
}

// NeedsNoEndpoint reports whether the batch holds nothing that an endpoint has to see.
func (b *Batch) NeedsNoEndpoint() bool { return len(b.SQL) == 0 && !b.Describes }

// Batcher gathers a caller's messages into batches. It keeps the session's
// prepared statements, and repeats their preparation in batches that use them
// on a connection that may not have them.
type Batcher struct {
	statements map[string]preparedStatement
	portals    map[string]string
	// preparedOnStream holds the names prepared since the last NewStream.
	preparedOnStream map[string]bool
	batch            Batch
}

// NewBatcher returns a batcher without prepared statements.
func NewBatcher() *Batcher {
	return &Batcher{
		statements:       map[string]preparedStatement{},
		portals:          map[string]string{},
		preparedOnStream: map[string]bool{},
	}
}

// ResetStream tells that the next batch runs on a connection that knows none of
// the session's prepared statements.
func (b *Batcher) ResetStream() {
	clear(b.preparedOnStream)
	clear(b.portals)
}

// Add takes one message and reports whether the batch is complete. A message
// that cannot be taken is an error that names it; the batch is then unusable
// until Reset.
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

// Take returns the gathered batch and starts a new one.
func (b *Batcher) Take() Batch {
	batch := b.batch
	b.batch = Batch{}
	return batch
}

// ResetBatch drops the batch that is being gathered.
func (b *Batcher) ResetBatch() { b.batch = Batch{} }

// encodeMessage encodes one message into the batch.
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

// addParse registers a prepared statement and replaces one of the same name that
// an earlier user of the endpoint's connection left there.
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

// closeBeforePrepare closes a named statement before it is prepared.
func (b *Batcher) closeBeforePrepare(name string) error {
	if name == "" {
		return nil
	}
	b.batch.ExpectedCompletions = append(b.batch.ExpectedCompletions, false)
	return b.encodeMessage(&pgproto3.Close{ObjectType: 'S', Name: name})
}

// ensurePrepared prepares a statement of the session on the stream's connection.
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

// addClose forgets a prepared statement; the endpoint's copy goes with it.
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

// CompletionFilter drops from an answer the completions that the caller does not expect.
type CompletionFilter struct {
	expected []bool
	// partial is the beginning of a message whose rest has not come yet.
	partial []byte
}

// NewCompletionFilter returns the filter for a batch's answer.
func NewCompletionFilter(b *Batch) *CompletionFilter {
	return &CompletionFilter{expected: b.ExpectedCompletions}
}

// Append appends to dst the messages of the answer that the caller expects.
// The chunk may end within a message; the rest then comes with the next one.
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

// messageSize returns the size of the first message in buf and whether buf holds
// all of it.
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

// takeExpected reports whether the caller takeExpected the next message.
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
