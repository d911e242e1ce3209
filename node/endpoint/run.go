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

// resetAfter is the number of batches after which a connection's session state
// is discarded, so that prepared statements do not pile up.
const resetAfter = 256

// Emit takes a part of an answer, which it must not keep.
type Emit func(chunk []byte) error

// Done is the end of a batch's answer.
type Done struct {
	// Tail is the rest of the answer that was not emitted, ReadyForQuery included.
	Tail []byte
	// Emitted reports whether a part of the answer has been emitted.
	Emitted bool
	// Status is the transaction status.
	Status byte
	// Committed is the log point of a commit that the batch made; zero for none.
	Committed types.LogPoint
	// FirstError is the SQLSTATE of the first error; empty for none.
	FirstError string
	// ErrorFirst is set where no statement of the batch had run before the error.
	ErrorFirst bool
}

// Prepare sets the term that the endpoint must be in for the next transaction,
// makes the transaction read-only where asked, and discards old session state.
// Term 0 expects none.
func (c *Conn) Prepare(term types.Term, readOnly bool) error {
	if c.used >= resetAfter {
		if err := c.command("DISCARD ALL"); err != nil {
			return err
		}
		c.used, c.term, c.readOnly = 0, 0, false
		clear(c.prepared)
	}
	if c.readOnly != readOnly {
		if err := c.set("default_transaction_read_only", onOff(readOnly)); err != nil {
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
	if err := c.set("baobab.expected_term", value); err != nil {
		return err
	}
	c.term = term
	return nil
}

// set changes a setting of the connection.
func (c *Conn) set(name, value string) error { return c.command("SET " + name + " = '" + value + "'") }

// onOff formats a boolean setting.
func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

// Run sends a batch and reads its answer up to ReadyForQuery. An error means
// that the connection is unusable; sent then reports whether a part of the
// batch may have reached the endpoint.
func (c *Conn) Run(batch []byte, emit Emit) (done Done, sent bool, err error) {
	c.used++
	c.extend()
	if n, err := c.sock.Write(batch); err != nil {
		return Done{}, n > 0, errors.Wrapf(err, "send to endpoint %q", c.cfg.Endpoint)
	}
	done, err = c.answer(emit)
	return done, true, err
}

// answer reads messages up to ReadyForQuery.
func (c *Conn) answer(emit Emit) (Done, error) {
	var d Done
	first := true
	for {
		c.extend()
		kind, size, err := pgwire.ReadHeader(c.r)
		if err != nil {
			return d, errors.Wrapf(err, "read from endpoint %q", c.cfg.Endpoint)
		}
		start := len(d.Tail)
		d.Tail = pgwire.AppendHeader(d.Tail, kind, size)
		bodyStart := len(d.Tail)
		d.Tail = append(d.Tail, make([]byte, size)...)
		if err := c.readFull(d.Tail[bodyStart:]); err != nil {
			return d, errors.Wrapf(err, "read from endpoint %q", c.cfg.Endpoint)
		}
		m := pgwire.Message{Type: kind, Body: d.Tail[bodyStart:]}
		keep, end, err := c.inspect(&d, m, first)
		if err != nil {
			return d, err
		}
		if !keep {
			d.Tail = d.Tail[:start]
		}
		if end {
			return d, nil
		}
		first = first && !runs(kind)
		if len(d.Tail) >= chunkSize && kind == 'D' {
			if err := emit(d.Tail); err != nil {
				return d, err
			}
			d.Emitted = true
			d.Tail = d.Tail[:0]
		}
	}
}

// runs reports whether a message says that a statement has run or is running.
func runs(kind byte) bool {
	switch kind {
	case 'D', 'C', 'I', 's':
		return true
	}
	return false
}

// inspect notes what a message says; keep is false for messages that concern
// the host and not the caller.
func (c *Conn) inspect(d *Done, m pgwire.Message, first bool) (keep, end bool, err error) {
	switch m.Type {
	case pgwire.TypeReadyForQuery:
		if len(m.Body) != 1 {
			return false, false, fmt.Errorf("endpoint %q sent a ReadyForQuery of %d bytes", c.cfg.Endpoint, len(m.Body))
		}
		d.Status = m.Body[0]
		return true, true, nil
	case pgwire.TypeParameterStatus:
		return false, false, notePosition(d, m.Body)
	case pgwire.TypeErrorResponse:
		if d.FirstError == "" {
			d.FirstError = pgwire.ErrorSQLState(m.Body)
			d.ErrorFirst = first
		}
	case pgwire.TypeCopyIn, pgwire.TypeCopyOut, pgwire.TypeCopyBoth:
		return false, false, fmt.Errorf("endpoint %q started COPY, which is not supported", c.cfg.Endpoint)
	}
	return true, false, nil
}

// notePosition takes the commit's log point from a ParameterStatus.
func notePosition(d *Done, body []byte) error {
	name, value, err := pgwire.ParameterStatus(body)
	if err != nil || name != "baobab.position" {
		return err
	}
	d.Committed, err = parsePoint(value)
	return err
}

// extend moves the read and write deadlines on by the silence bound.
func (c *Conn) extend() { _ = c.sock.SetDeadline(time.Now().Add(c.cfg.SilenceBound)) }

// command runs a simple query and ignores its rows.
func (c *Conn) command(sql string) error {
	_, err := c.row(sql)
	return err
}

// row runs a simple query and returns the columns of its last row.
func (c *Conn) row(sql string) (map[string]string, error) {
	buf, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode query")
	}
	c.extend()
	if _, err := c.sock.Write(buf); err != nil {
		return nil, errors.Wrapf(err, "send to endpoint %q", c.cfg.Endpoint)
	}
	var refusal error
	var fields pgproto3.RowDescription
	row := map[string]string{}
	for {
		m, err := c.next()
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
			refusal = c.refused(m.Body)
		case pgwire.TypeReadyForQuery:
			return row, refusal
		}
	}
}

// decodeRow fills row with a data row's columns by name.
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

// Cancel asks the endpoint to cancel what the connection runs; it uses a
// connection of its own.
func (c *Conn) Cancel(ctx context.Context) error {
	sock, err := netopt.Dial(ctx, c.cfg.Address)
	if err != nil {
		return errors.Wrapf(err, "connect to endpoint %q", c.cfg.Endpoint)
	}
	defer func() { _ = sock.Close() }()
	msg := pgproto3.CancelRequest{ProcessID: c.key.process, SecretKey: c.key.secret}
	buf, err := msg.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode cancel request")
	}
	_, err = sock.Write(buf)
	return errors.Wrapf(err, "send cancel request to endpoint %q", c.cfg.Endpoint)
}

// RequestKey stores a request key in the open transaction. A key that is
// stored already is a *RefusedError with SQLSTATE 23505.
func (c *Conn) RequestKey(key string) error {
	return c.command("INSERT INTO baobab_request_keys (key) VALUES ('" + strings.ReplaceAll(key, "'", "''") + "')")
}

// Begin opens a transaction.
func (c *Conn) Begin() error { return c.command("BEGIN") }

// Rollback rolls the open transaction back.
func (c *Conn) Rollback() error { return c.command("ROLLBACK") }

// commitMessage is the encoded simple query that commits.
var commitMessage = mustEncode(&pgproto3.Query{String: "COMMIT"})

// Commit commits the open transaction and returns the end of its answer.
func (c *Conn) Commit() (Done, error) {
	done, _, err := c.Run(commitMessage, func([]byte) error { return nil })
	return done, err
}

// mustEncode encodes a constant message.
func mustEncode(m pgproto3.FrontendMessage) []byte {
	buf, err := m.Encode(nil)
	if err != nil {
		panic("constant message does not encode: " + err.Error())
	}
	return buf
}
