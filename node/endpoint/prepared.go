package endpoint

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"baobabfield.example/wire/pgwire"
)

// queryPreparedRow runs a query as a prepared statement and returns the columns of its last
// row. The statement is prepared on first use. Its answers carry no row description, so
// the caller passes the column names.
func (c *Conn) queryPreparedRow(sql string, columns []string) (map[string]string, error) {
	name, ok := c.preparedNames[sql]
	if !ok {
		name = "baobab" + strconv.Itoa(len(c.preparedNames))
		if err := c.exchangeMessages(nil, &pgproto3.Parse{Name: name, Query: sql}, &pgproto3.Sync{}); err != nil {
			return nil, err
		}
		c.preparedNames[sql] = name
	}
	fields := pgproto3.RowDescription{}
	for _, name := range columns {
		fields.Fields = append(fields.Fields, pgproto3.FieldDescription{Name: []byte(name)})
	}
	row := map[string]string{}
	handleRow := func(body []byte) error { return decodeRow(&fields, body, row) }
	err := c.exchangeMessages(handleRow, &pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}, &pgproto3.Sync{})
	return row, err
}

// exchangeMessages sends messages and reads the answer up to ReadyForQuery. It passes the
// body of each data row to handleRow.
func (c *Conn) exchangeMessages(handleRow func(body []byte) error, messages ...pgproto3.FrontendMessage) error {
	var buf []byte
	for _, m := range messages {
		var err error
		if buf, err = m.Encode(buf); err != nil {
			return errors.Wrap(err, "encode message")
		}
	}
	c.extendDeadline()
	if _, err := c.sock.Write(buf); err != nil {
		return errors.Wrapf(err, "send to endpoint %q", c.cfg.Endpoint)
	}
	var refused error
	for {
		m, err := c.readMessage()
		if err != nil {
			return errors.Wrapf(err, "read from endpoint %q", c.cfg.Endpoint)
		}
		switch m.Type {
		case 'D':
			if err := handleRow(m.Body); err != nil {
				return err
			}
		case pgwire.TypeErrorResponse:
			refused = c.refusedError(m.Body)
		case pgwire.TypeReadyForQuery:
			return refused
		}
	}
}
