package endpoint

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"baobabfield.example/core/types"
	"baobabfield.example/node/netopt"
	"baobabfield.example/wire/pgwire"
)

// resetAfterBatches is the number of batches after which a connection's session state is
// discarded. The reset limits the number of prepared statements on the connection.
const resetAfterBatches = 256

// ChunkHandler handles a part of an answer. It must not retain the slice.
type ChunkHandler func(chunk []byte) error

// AnswerEnd is the end of a batch's answer.
type AnswerEnd struct {
	// Tail is the part of the answer that was not passed to the ChunkHandler. It ends
	// with ReadyForQuery.
	Tail []byte
	// ChunkHandled reports whether a part of the answer was passed to the ChunkHandler.
	ChunkHandled bool
	// Status is the transaction status: pgwire.StatusIdle, StatusInTx or StatusFailed.
	Status byte
	// Committed is the log point of the batch's commit. Zero if there is none.
	Committed types.LogPoint
	// FirstError is the SQLSTATE of the first error. Empty if there is none.
	FirstError string
	// ErrorBeforeExecution is set if no statement of the batch ran before the first
	// error.
	ErrorBeforeExecution bool
}

// PrepareTransaction sets the term that the endpoint must be in for the next transaction
// and whether the transaction is read-only. Term 0 stands for any term. It discards the
// session state after resetAfterBatches.
func (c *Conn) PrepareTransaction(term types.Term, readOnly bool) error {
	if c.batchesSinceReset >= resetAfterBatches {
		if err := c.runCommand("DISCARD ALL"); err != nil {
			return err
		}
		c.batchesSinceReset, c.term, c.readOnly = 0, 0, false
		clear(c.preparedNames)
	}
	if c.readOnly != readOnly {
		if err := c.setParameter("default_transaction_read_only", formatOnOff(readOnly)); err != nil {
			return err
		}
		c.readOnly = readOnly
	}
	if c.term == term {
		return nil
	}
	value := ""
	if term != 0 {
		value = strconv.FormatUint(uint64(term), 10)
	}
	if err := c.setParameter("baobab.expected_term", value); err != nil {
		return err
	}
	c.term = term
	return nil
}

// setParameter sets a run-time parameter of the connection.
func (c *Conn) setParameter(name, value string) error {
	return c.runCommand("SET " + name + " = '" + value + "'")
}

// formatOnOff formats the value of a boolean parameter.
func formatOnOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

// RunBatch sends a batch and reads its answer up to ReadyForQuery. After an error the
// connection is unusable, and sent reports whether a part of the batch may have reached
// the endpoint.
func (c *Conn) RunBatch(batch []byte, handleChunk ChunkHandler) (answer AnswerEnd, sent bool, err error) {
	c.batchesSinceReset++
	c.extendDeadline()
	if n, err := c.sock.Write(batch); err != nil {
		return AnswerEnd{}, n > 0, errors.Wrapf(err, "send to endpoint %q", c.cfg.Endpoint)
	}
	answer, err = c.readAnswer(handleChunk)
	return answer, true, err
}

// readAnswer reads the answer to a batch up to ReadyForQuery.
func (c *Conn) readAnswer(handleChunk ChunkHandler) (AnswerEnd, error) {
	var answer AnswerEnd
	beforeExecution := true
	for {
		c.extendDeadline()
		kind, size, err := pgwire.ReadHeader(c.reader)
		if err != nil {
			return answer, errors.Wrapf(err, "read from endpoint %q", c.cfg.Endpoint)
		}
		start := len(answer.Tail)
		answer.Tail = pgwire.AppendHeader(answer.Tail, kind, size)
		bodyStart := len(answer.Tail)
		answer.Tail = append(answer.Tail, make([]byte, size)...)
		if err := c.readFull(answer.Tail[bodyStart:]); err != nil {
			return answer, errors.Wrapf(err, "read from endpoint %q", c.cfg.Endpoint)
		}
		m := pgwire.Message{Type: kind, Body: answer.Tail[bodyStart:]}
		keep, end, err := c.inspectMessage(&answer, m, beforeExecution)
		if err != nil {
			return answer, err
		}
		if !keep {
			answer.Tail = answer.Tail[:start]
		}
		if end {
			return answer, nil
		}
		beforeExecution = beforeExecution && !impliesExecution(kind)
		if len(answer.Tail) >= answerChunkBytes && kind == 'D' {
			if err := handleChunk(answer.Tail); err != nil {
				return answer, err
			}
			answer.ChunkHandled = true
			answer.Tail = answer.Tail[:0]
		}
	}
}

// impliesExecution reports whether a message of this type implies that a statement has
// started to run.
func impliesExecution(kind byte) bool {
	switch kind {
	case 'D', 'C', 'I', 's':
		return true
	}
	return false
}

// inspectMessage records a message's effect on the answer. It returns keep as false for
// messages that are meant for the host and not for the caller, and end as true for
// ReadyForQuery.
func (c *Conn) inspectMessage(answer *AnswerEnd, m pgwire.Message, beforeExecution bool) (keep, end bool, err error) {
	switch m.Type {
	case pgwire.TypeReadyForQuery:
		if len(m.Body) != 1 {
			return false, false, fmt.Errorf("endpoint %q sent a ReadyForQuery of %d bytes", c.cfg.Endpoint, len(m.Body))
		}
		answer.Status = m.Body[0]
		return true, true, nil
	case pgwire.TypeParameterStatus:
		return false, false, recordCommit(answer, m.Body)
	case pgwire.TypeErrorResponse:
		if answer.FirstError == "" {
			answer.FirstError = pgwire.ErrorSQLState(m.Body)
			answer.ErrorBeforeExecution = beforeExecution
		}
	case pgwire.TypeCopyIn, pgwire.TypeCopyOut, pgwire.TypeCopyBoth:
		return false, false, fmt.Errorf("endpoint %q started COPY, which is not supported", c.cfg.Endpoint)
	}
	return true, false, nil
}

// recordCommit records the log point of a commit if a ParameterStatus body carries it.
func recordCommit(answer *AnswerEnd, body []byte) error {
	name, value, err := pgwire.ParameterStatus(body)
	if err != nil || name != "baobab.position" {
		return err
	}
	answer.Committed, err = parseLogPoint(value)
	return err
}

// extendDeadline sets the read and write deadline to InactivityTimeout from now.
func (c *Conn) extendDeadline() { _ = c.sock.SetDeadline(time.Now().Add(c.cfg.InactivityTimeout)) }

// runCommand runs a simple query and ignores its rows.
func (c *Conn) runCommand(sql string) error {
	_, err := c.queryRow(sql)
	return err
}

// queryRow runs a simple query and returns the columns of its last row by name.
func (c *Conn) queryRow(sql string) (map[string]string, error) {
	buf, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode query")
	}
	c.extendDeadline()
	if _, err := c.sock.Write(buf); err != nil {
		return nil, errors.Wrapf(err, "send to endpoint %q", c.cfg.Endpoint)
	}
	var refused error
	var fields pgproto3.RowDescription
	row := map[string]string{}
	for {
		m, err := c.readMessage()
		if err != nil {
			return nil, errors.Wrapf(err, "read from endpoint %q", c.cfg.Endpoint)
		}
		switch m.Type {
		case 'T':
			if err := fields.Decode(m.Body); err != nil {
				return nil, errors.Wrap(err, "decode row description")
			}
		case 'D':
			if err := decodeRow(&fields, m.Body, row); err != nil {
				return nil, err
			}
		case pgwire.TypeErrorResponse:
			refused = c.refusedError(m.Body)
		case pgwire.TypeReadyForQuery:
			return row, refused
		}
	}
}

// decodeRow stores the columns of a data row in row by name.
func decodeRow(fields *pgproto3.RowDescription, body []byte, row map[string]string) error {
	var data pgproto3.DataRow
	if err := data.Decode(body); err != nil {
		return errors.Wrap(err, "decode data row")
	}
	if len(data.Values) != len(fields.Fields) {
		return fmt.Errorf("data row has %d columns, its description %d", len(data.Values), len(fields.Fields))
	}
	for i, v := range data.Values {
		row[string(fields.Fields[i].Name)] = string(v)
	}
	return nil
}

// Cancel requests the cancellation of the statement that runs on the connection. It sends
// the request over a separate connection.
func (c *Conn) Cancel(ctx context.Context) error {
	sock, err := netopt.Dial(ctx, c.cfg.Address)
	if err != nil {
		return errors.Wrapf(err, "connect to endpoint %q", c.cfg.Endpoint)
	}
	defer func() { _ = sock.Close() }()
	msg := pgproto3.CancelRequest{ProcessID: c.cancelKey.processID, SecretKey: c.cancelKey.secret}
	buf, err := msg.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode cancel request")
	}
	_, err = sock.Write(buf)
	return errors.Wrapf(err, "send cancel request to endpoint %q", c.cfg.Endpoint)
}

// InsertRequestKey stores a request key in the open transaction. If the key already
// exists, it returns a *RefusedError with SQLSTATE 23505.
func (c *Conn) InsertRequestKey(key string) error {
	return c.runCommand("INSERT INTO baobab_request_keys (key) VALUES ('" + strings.ReplaceAll(key, "'", "''") + "')")
}

// Begin opens a transaction.
func (c *Conn) Begin() error { return c.runCommand("BEGIN") }

// Rollback rolls back the open transaction.
func (c *Conn) Rollback() error { return c.runCommand("ROLLBACK") }

// commitMessage is the encoded simple query COMMIT.
var commitMessage = mustEncode(&pgproto3.Query{String: "COMMIT"})

// Commit commits the open transaction and returns the end of the answer to COMMIT. After an
// error the transaction may have committed.
func (c *Conn) Commit() (AnswerEnd, error) {
	answer, _, err := c.RunBatch(commitMessage, func([]byte) error { return nil })
	return answer, err
}

// mustEncode encodes a constant message. It panics on an error.
func mustEncode(m pgproto3.FrontendMessage) []byte {
	buf, err := m.Encode(nil)
	if err != nil {
		panic("constant message does not encode: " + err.Error())
	}
	return buf
}
