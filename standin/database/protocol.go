package database

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is the result of a Parse message.
type preparedStatement struct {
	query      string
	parameters []uint32
	// columns are the described columns. They are nil before Describe and for a
	// statement without rows.
	columns   []column
	described bool
}

// portal is the result of a Bind message: a statement with its parameters.
type portal struct {
	statement *preparedStatement
	values    []Value
	formats   []int16
}

// handleMessage handles one message and reports whether the connection stays open.
func (c *connection) handleMessage(message pgproto3.FrontendMessage) bool {
	switch message := message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		c.skipUntilSync = false
		c.simpleQuery(message.String)
		return c.sendReady()
	case *pgproto3.Sync:
		c.skipUntilSync = false
		if err := c.finishImplicit(); err != nil {
			c.sendError(err)
		}
		return c.sendReady()
	case *pgproto3.Flush:
		return c.flush()
	}
	if c.skipUntilSync {
		return true
	}
	if err := c.handleExtended(message); err != nil {
		c.skipUntilSync = true
		c.tx.markFailed(c)
		c.sendError(err)
		return c.flush()
	}
	return true
}

func (c *connection) handleExtended(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		return c.handleParse(message)
	case *pgproto3.Bind:
		return c.handleBind(message)
	case *pgproto3.Describe:
		return c.handleDescribe(message)
	case *pgproto3.Execute:
		return c.executePortal(message.Portal)
	case *pgproto3.Close:
		if message.ObjectType == 'S' {
			delete(c.statements, message.Name)
		} else {
			delete(c.portals, message.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return &Error{SQLState: sqlStateProtocolViolation, Message: "the message is not supported"}
}

func (c *connection) sendReady() bool {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.tx.statusByte()})
	return c.flush()
}

func (c *connection) sendError(err error) { c.backend.Send(toError(err).response("ERROR")) }

// simpleQuery runs the statements of a Query message in one implicit transaction.
func (c *connection) simpleQuery(query string) {
	statements := splitStatements(query)
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, s := range statements {
		r, err := c.executeStatement(s, nil)
		if err == nil && i == len(statements)-1 {
			err = c.finishImplicit()
		}
		if err == nil {
			err = c.sendResult(r, nil, true)
		}
		if err != nil {
			c.tx.markFailed(c)
			c.sendError(err)
			return
		}
	}
}

func (c *connection) handleParse(message *pgproto3.Parse) error {
	statements := splitStatements(message.Query)
	if len(statements) > 1 {
		return &Error{SQLState: sqlStateSyntaxError, Message: "cannot insert multiple commands into a prepared statement"}
	}
	if _, exists := c.statements[message.Name]; exists && message.Name != "" {
		return &Error{SQLState: "42P05", Message: "prepared statement \"" + message.Name + "\" already exists"}
	}
	s := &preparedStatement{}
	if len(statements) == 1 {
		s.query = statements[0]
	}
	_, count := toSQLite(s.query)
	s.parameters = make([]uint32, max(count, len(message.ParameterOIDs)))
	copy(s.parameters, message.ParameterOIDs)
	c.statements[message.Name] = s
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *connection) handleBind(message *pgproto3.Bind) error {
	s := c.statements[message.PreparedStatement]
	if s == nil {
		return &Error{SQLState: sqlStateUndefinedStatement, Message: "prepared statement \"" + message.PreparedStatement + "\" does not exist"}
	}
	if len(message.Parameters) != len(s.parameters) {
		return &Error{SQLState: sqlStateProtocolViolation, Message: "bind message supplies " + formatInt(int64(len(message.Parameters))) +
			" parameters, but the statement requires " + formatInt(int64(len(s.parameters)))}
	}
	p := &portal{statement: s, formats: append([]int16(nil), message.ResultFormatCodes...)}
	for i, data := range message.Parameters {
		v, err := decodeParameter(c.typeMap, s.parameters[i], formatAt(message.ParameterFormatCodes, i), data)
		if err != nil {
			return err
		}
		p.values = append(p.values, v)
	}
	c.portals[message.DestinationPortal] = p
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// formatAt returns the format of item i. By the protocol, an empty list means text, and
// a single format applies to all items.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgproto3.TextFormat
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgproto3.TextFormat
}

func (c *connection) handleDescribe(message *pgproto3.Describe) error {
	if message.ObjectType == 'S' {
		s := c.statements[message.Name]
		if s == nil {
			return &Error{SQLState: sqlStateUndefinedStatement, Message: "prepared statement \"" + message.Name + "\" does not exist"}
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: s.parameters})
		return c.sendDescription(s, nil)
	}
	p := c.portals[message.Name]
	if p == nil {
		return &Error{SQLState: sqlStateUndefinedPortal, Message: "portal \"" + message.Name + "\" does not exist"}
	}
	return c.sendDescription(p.statement, p.formats)
}

func (c *connection) sendDescription(s *preparedStatement, formats []int16) error {
	if !s.described {
		columns, err := c.describeQuery(s.query)
		if err != nil {
			return err
		}
		s.columns, s.described = columns, true
	}
	if s.columns == nil {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.sendColumns(s.columns, formats)
	return nil
}

func (c *connection) executePortal(name string) error {
	p := c.portals[name]
	if p == nil {
		return &Error{SQLState: sqlStateUndefinedPortal, Message: "portal \"" + name + "\" does not exist"}
	}
	if p.statement.query == "" {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	r, err := c.executeStatement(p.statement.query, p.values)
	if err != nil {
		return err
	}
	if p.statement.columns != nil {
		r.columns = p.statement.columns
	}
	return c.sendResult(r, p.formats, false)
}

func (c *connection) sendColumns(columns []column, formats []int16) {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, col := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(col.name), DataTypeOID: col.oid, DataTypeSize: -1, TypeModifier: -1,
			Format: formatAt(formats, i),
		}
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

func (c *connection) sendResult(r *queryResult, formats []int16, describe bool) error {
	if r.hasRows && describe {
		c.sendColumns(r.columns, formats)
	}
	for _, row := range r.rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			data, err := encodeValue(c.typeMap, r.columns[i].oid, formatAt(formats, i), v)
			if err != nil {
				return err
			}
			values[i] = data
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}
