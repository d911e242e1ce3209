package pgwire

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// MaxBatch is the largest batch of front-end messages in bytes.
const MaxBatch = 1 << 20

// maxPrepared is the largest number of prepared statements of one session.
const maxPrepared = 1024

// prepared is a statement that the caller has prepared in its session.
type prepared struct {
	sql  string
	oids []uint32
}

// Batch is a sequence of front-end messages that ends with Sync or Query.
type Batch struct {
	// Messages are the encoded messages for an endpoint.
	Messages []byte
	// SQL are the texts of the statements that the batch runs or describes.
	SQL []string
	// Simple is set for a simple query, which consists of one message.
	Simple bool
	// Answers says for each ParseComplete and CloseComplete of the answer, in
	// their order, whether the caller expects it.
	Answers []bool
	// Prepares is set where the batch needs an endpoint at all.
	Prepares bool
}

// Empty reports whether the batch holds nothing that an endpoint has to see.
func (b *Batch) Empty() bool { return len(b.SQL) == 0 && !b.Prepares }

// Batcher gathers a caller's messages into batches. It keeps the session's
// prepared statements, and repeats their preparation in batches that use them
// on a connection that may not have them.
type Batcher struct {
	statements map[string]prepared
	portals    map[string]string
	// onStream holds the names prepared since the last NewStream.
	onStream map[string]bool
	batch    Batch
}

// NewBatcher returns a batcher without prepared statements.
func NewBatcher() *Batcher {
	return &Batcher{
		statements: map[string]prepared{},
		portals:    map[string]string{},
		onStream:   map[string]bool{},
	}
}

// NewStream tells that the next batch runs on a connection that knows none of
// the session's prepared statements.
func (b *Batcher) NewStream() {
	clear(b.onStream)
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
		return true, b.append(m)
	case *pgproto3.Parse:
		return false, b.parse(m)
	case *pgproto3.Bind:
		return false, b.bind(m)
	case *pgproto3.Describe:
		return false, b.describe(m)
	case *pgproto3.Execute:
		return false, b.execute(m)
	case *pgproto3.Close:
		return false, b.close(m)
	case *pgproto3.Sync:
		return true, b.append(m)
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

// Reset drops the batch that is being gathered.
func (b *Batcher) Reset() { b.batch = Batch{} }

// append encodes one message into the batch.
func (b *Batcher) append(m pgproto3.FrontendMessage) error {
	buf, err := m.Encode(b.batch.Messages)
	if err != nil {
		return fmt.Errorf("message %T does not encode: %w", m, err)
	}
	if len(buf) > MaxBatch {
		return fmt.Errorf("batch of %d bytes exceeds the limit of %d bytes", len(buf), MaxBatch)
	}
	b.batch.Messages = buf
	return nil
}

// parse registers a prepared statement and replaces one of the same name that
// an earlier user of the endpoint's connection left there.
func (b *Batcher) parse(m *pgproto3.Parse) error {
	if len(b.statements) >= maxPrepared {
		if _, ok := b.statements[m.Name]; !ok {
			return fmt.Errorf("prepared statement %q exceeds the limit of %d statements", m.Name, maxPrepared)
		}
	}
	b.statements[m.Name] = prepared{sql: m.Query, oids: append([]uint32(nil), m.ParameterOIDs...)}
	if err := b.closeStale(m.Name); err != nil {
		return err
	}
	b.onStream[m.Name] = true
	b.batch.Answers = append(b.batch.Answers, true)
	b.batch.SQL = append(b.batch.SQL, m.Query)
	return b.append(m)
}

// closeStale closes a named statement before it is prepared.
func (b *Batcher) closeStale(name string) error {
	if name == "" {
		return nil
	}
	b.batch.Answers = append(b.batch.Answers, false)
	return b.append(&pgproto3.Close{ObjectType: 'S', Name: name})
}

// need prepares a statement of the session on the stream's connection.
func (b *Batcher) need(name string) error {
	p, ok := b.statements[name]
	if !ok {
		return fmt.Errorf("prepared statement %q does not exist", name)
	}
	if b.onStream[name] {
		return nil
	}
	if err := b.closeStale(name); err != nil {
		return err
	}
	b.onStream[name] = true
	b.batch.Answers = append(b.batch.Answers, false)
	return b.append(&pgproto3.Parse{Name: name, Query: p.sql, ParameterOIDs: p.oids})
}

func (b *Batcher) bind(m *pgproto3.Bind) error {
	if err := b.need(m.PreparedStatement); err != nil {
		return err
	}
	b.portals[m.DestinationPortal] = m.PreparedStatement
	return b.append(m)
}

func (b *Batcher) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		if err := b.need(m.Name); err != nil {
			return err
		}
		b.batch.SQL = append(b.batch.SQL, b.statements[m.Name].sql)
	}
	b.batch.Prepares = true
	return b.append(m)
}

func (b *Batcher) execute(m *pgproto3.Execute) error {
	name := b.portals[m.Portal]
	b.batch.SQL = append(b.batch.SQL, b.statements[name].sql)
	return b.append(m)
}

// close forgets a prepared statement; the endpoint's copy goes with it.
func (b *Batcher) close(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		delete(b.statements, m.Name)
		delete(b.onStream, m.Name)
	} else {
		delete(b.portals, m.Name)
	}
	b.batch.Answers = append(b.batch.Answers, true)
	return b.append(m)
}

// Filter drops from an answer the completions that the caller does not expect.
type Filter struct {
	answers []bool
	// partial is the beginning of a message whose rest has not come yet.
	partial []byte
}

// NewFilter returns the filter for a batch's answer.
func NewFilter(b *Batch) *Filter { return &Filter{answers: b.Answers} }

// Append appends to dst the messages of the answer that the caller expects.
// The chunk may end within a message; the rest then comes with the next one.
func (f *Filter) Append(dst, chunk []byte) ([]byte, error) {
	if len(f.answers) == 0 && len(f.partial) == 0 {
		return append(dst, chunk...), nil
	}
	buf := append(f.partial, chunk...)
	for {
		size, whole, err := nextSize(buf)
		if err != nil {
			return dst, err
		}
		if !whole {
			f.partial = buf
			return dst, nil
		}
		if f.expects(buf[0]) {
			dst = append(dst, buf[:size]...)
		}
		buf = buf[size:]
	}
}

// nextSize returns the size of the first message in buf and whether buf holds
// all of it.
func nextSize(buf []byte) (size int, whole bool, err error) {
	if len(buf) < HeaderSize {
		return 0, false, nil
	}
	n := binary.BigEndian.Uint32(buf[1:])
	if n < lengthSize || n > MaxMessage {
		return 0, false, fmt.Errorf("message %q has length %d, outside 4 to %d", buf[0], n, MaxMessage)
	}
	size = 1 + int(n)
	return size, len(buf) >= size, nil
}

// expects reports whether the caller expects the next message.
func (f *Filter) expects(kind byte) bool {
	if kind != TypeParseComplete && kind != TypeCloseComplete {
		return true
	}
	if len(f.answers) == 0 {
		return true
	}
	wanted := f.answers[0]
	f.answers = f.answers[1:]
	return wanted
}
