package database

import (
	"context"
	"database/sql"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// queryResult is the result of one statement.
type queryResult struct {
	columns []column
	rows    [][]any
	// hasRows is set if the statement returns a row set, which may be empty.
	hasRows bool
	tag     string
}

func textResult(tag string, names []string, rows ...[]any) *queryResult {
	r := &queryResult{hasRows: true, rows: rows, tag: tag}
	for _, n := range names {
		r.columns = append(r.columns, column{name: n, oid: postgresType("TEXT", nil)})
	}
	return r
}

// executeStatement runs one statement: transaction control, a session setting, a control
// function or SQL.
func (c *connection) executeStatement(query string, values []Value) (*queryResult, error) {
	keywords := firstWords(query, 3)
	if len(keywords) == 0 {
		return &queryResult{}, nil
	}
	if err := c.checkTransactionUsable(keywords); err != nil {
		return nil, err
	}
	switch keywords[0] {
	case "BEGIN", "START":
		return c.beginTransaction(query)
	case "COMMIT", "END":
		return c.endTransaction()
	case "ROLLBACK", "ABORT":
		if containsAny(keywords, "TO") {
			return &queryResult{tag: "ROLLBACK"}, c.executeSavepoint(query, lastWord(query))
		}
		c.tx.rollback(c)
		return &queryResult{tag: "ROLLBACK"}, nil
	case "SAVEPOINT", "RELEASE":
		return &queryResult{tag: keywords[0]}, c.executeSavepoint(query, lastWord(query))
	case "SET":
		return c.changeSetting(query, keywords)
	case "RESET":
		return c.resetSetting(keywords)
	case "SHOW":
		name := strings.TrimSpace(query[len("SHOW"):])
		return textResult("SHOW", []string{name}, []any{c.settings[name]}), nil
	case "DISCARD":
		return c.discardAll()
	case "DEALLOCATE", "LISTEN", "UNLISTEN", "NOTIFY":
		return &queryResult{tag: keywords[0]}, nil
	}
	if m := controlCall.FindStringSubmatch(query); m != nil {
		return c.executeControl(strings.ToLower(m[1]), splitArguments(m[2]))
	}
	return c.runStatement(query, values)
}

// checkTransactionUsable rejects statements in a failed transaction, except those that
// end it.
func (c *connection) checkTransactionUsable(keywords []string) error {
	if c.tx.revokedErr != nil && !containsAny(keywords[:1], "ROLLBACK", "ABORT", "COMMIT", "END") {
		err := c.tx.revokedErr
		c.tx.revokedErr = nil
		return err
	}
	if !c.tx.failed || containsAny(keywords[:1], "ROLLBACK", "ABORT", "COMMIT", "END") {
		return nil
	}
	return &Error{SQLState: sqlStateInFailedTransaction, Message: "current transaction is aborted, commands ignored until end of transaction block"}
}

func lastWord(query string) string {
	fields := strings.Fields(query)
	return strings.ToLower(unquote(fields[len(fields)-1]))
}

func (c *connection) beginTransaction(query string) (*queryResult, error) {
	if c.tx.open {
		return &queryResult{tag: "BEGIN"}, nil
	}
	if err := c.checkTerm(); err != nil {
		return nil, err
	}
	modes := strings.ToUpper(strings.Join(strings.Fields(query), " "))
	c.tx.open = true
	c.tx.readOnly = strings.Contains(modes, "READ ONLY") ||
		(c.readOnlyByDefault() && !strings.Contains(modes, "READ WRITE"))
	return &queryResult{tag: "BEGIN"}, nil
}

func (c *connection) endTransaction() (*queryResult, error) {
	if c.tx.failed && c.tx.revokedErr == nil {
		c.tx.rollback(c)
		return &queryResult{tag: "ROLLBACK"}, nil
	}
	return &queryResult{tag: "COMMIT"}, c.commit()
}

func (c *connection) changeSetting(query string, keywords []string) (*queryResult, error) {
	modes := strings.ToUpper(strings.Join(strings.Fields(query), " "))
	switch {
	case containsAny(keywords[1:], "TRANSACTION"):
		c.tx.readOnly = c.tx.readOnly || strings.Contains(modes, "READ ONLY")
		return &queryResult{tag: "SET"}, nil
	case strings.HasPrefix(modes, "SET SESSION CHARACTERISTICS"):
		readOnly := strings.Contains(modes, "READ ONLY")
		c.settings["default_transaction_read_only"] = strconv.FormatBool(readOnly)
		return &queryResult{tag: "SET"}, nil
	}
	m := setStatement.FindStringSubmatch(query)
	if m == nil {
		return nil, &Error{SQLState: sqlStateSyntaxError, Message: "syntax error in " + strconv.Quote(query)}
	}
	name, value := strings.ToLower(m[1]), unquote(m[2])
	if name == "baobab.expected_term" && value != "" {
		if _, err := strconv.ParseUint(value, 10, 64); err != nil {
			return nil, &Error{SQLState: sqlStateInvalidParameterValue, Message: "invalid value for parameter \"" + name + "\": " + strconv.Quote(value)}
		}
	}
	c.settings[name] = value
	return &queryResult{tag: "SET"}, nil
}

func (c *connection) resetSetting(keywords []string) (*queryResult, error) {
	if containsAny(keywords[1:], "ALL") {
		c.settings = map[string]string{}
		return &queryResult{tag: "RESET"}, nil
	}
	delete(c.settings, strings.ToLower(strings.Join(keywords[1:], ".")))
	return &queryResult{tag: "RESET"}, nil
}

func (c *connection) discardAll() (*queryResult, error) {
	if c.tx.open {
		return nil, &Error{SQLState: sqlStateActiveTransaction, Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	c.settings = map[string]string{}
	c.statements = map[string]*preparedStatement{}
	c.portals = map[string]*portal{}
	return &queryResult{tag: "DISCARD ALL"}, nil
}

// runStatement runs an SQL statement. If it is canceled, the error is the cause.
func (c *connection) runStatement(query string, values []Value) (*queryResult, error) {
	if !c.tx.open && c.tx.claim == nil {
		if err := c.checkTerm(); err != nil {
			return nil, err
		}
	}
	ctx, stop := c.watchStatement()
	defer stop()
	r, err := c.runStatementInSlot(ctx, query, values)
	if err != nil && ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return r, err
}

func (c *connection) runStatementInSlot(ctx context.Context, query string, values []Value) (*queryResult, error) {
	write := isWrite(query)
	if write {
		if err := c.prepareWrite(ctx); err != nil {
			return nil, err
		}
	} else if err := c.prepareRead(); err != nil {
		return nil, err
	}
	grant, err := c.instance.scheduler.acquire(ctx)
	if err != nil {
		return nil, err
	}
	defer c.instance.scheduler.release()
	if grant.failing {
		return nil, &Error{SQLState: sqlStateSystemError, Message: "the endpoint fails every statement"}
	}
	if err := sleep(ctx, grant.serviceTime); err != nil {
		return nil, err
	}
	if m := sleepCall.FindStringSubmatch(query); m != nil {
		return pgSleep(ctx, m[1])
	}
	translated, parameters := toSQLite(query)
	if parameters > len(values) {
		return nil, &Error{SQLState: sqlStateProtocolViolation, Message: "the statement needs " + strconv.Itoa(parameters) +
			" parameters but has " + strconv.Itoa(len(values))}
	}
	r, err := c.queryStorage(ctx, query, translated, values)
	if err == nil && write {
		c.tx.statements = append(c.tx.statements, Statement{SQL: translated, Values: values})
	}
	return r, err
}

func pgSleep(ctx context.Context, seconds string) (*queryResult, error) {
	d, err := time.ParseDuration(seconds + "s")
	if err != nil {
		return nil, &Error{SQLState: sqlStateSyntaxError, Message: err.Error()}
	}
	if err := sleep(ctx, d); err != nil {
		return nil, err
	}
	return textResult("SELECT 1", []string{"pg_sleep"}, []any{""}), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *connection) queryStorage(ctx context.Context, query, translated string, values []Value) (*queryResult, error) {
	conn, err := c.sqliteConnection()
	if err != nil {
		return nil, err
	}
	if !returnsRows(query) {
		executed, err := conn.ExecContext(ctx, translated, arguments(values)...)
		if err != nil {
			return nil, err
		}
		affected, err := executed.RowsAffected()
		return &queryResult{tag: commandTag(query, affected)}, err
	}
	rows, err := conn.QueryContext(ctx, translated, arguments(values)...)
	if err != nil {
		return nil, err
	}
	r, err := collectRows(rows)
	if err != nil {
		return nil, err
	}
	r.tag = commandTag(query, int64(len(r.rows)))
	return r, nil
}

// collectRows reads all rows and determines the column types.
func collectRows(rows *sql.Rows) (*queryResult, error) {
	defer func() { _ = rows.Close() }()
	columnTypes, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	r := &queryResult{hasRows: true}
	for rows.Next() {
		row := make([]any, len(columnTypes))
		targets := make([]any, len(columnTypes))
		for i := range row {
			targets[i] = &row[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, err
		}
		r.rows = append(r.rows, row)
	}
	for i, kind := range columnTypes {
		var sample any
		if len(r.rows) > 0 {
			sample = r.rows[0][i]
		}
		r.columns = append(r.columns, column{name: kind.Name(), oid: postgresType(kind.DatabaseTypeName(), sample)})
	}
	return r, rows.Err()
}

var errCanceled = &Error{SQLState: sqlStateQueryCanceled, Message: "canceling statement due to user request"}

// watchStatement returns a context that ends when the statement is canceled, the right to
// write is revoked, or the connection ends. The caller must call the returned function.
func (c *connection) watchStatement() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	quit := make(chan struct{})
	revoked := make(chan error, 1)
	revocation := c.tx.revocation()
	go func() {
		defer close(revoked)
		select {
		case <-c.registration.cancel:
			cancel(errCanceled)
		case err := <-revocation:
			revoked <- err
			cancel(err)
		case <-quit:
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		close(quit)
		if err := <-revoked; err != nil {
			c.tx.revoke(c, err)
		}
		cancel(nil)
	}
}

// describeQuery returns the result columns of a statement, or nil if it returns no rows.
func (c *connection) describeQuery(query string) ([]column, error) {
	if len(firstWords(query, 1)) == 0 {
		return nil, nil
	}
	if m := controlCall.FindStringSubmatch(query); m != nil {
		return textResult("", controlColumns[strings.ToLower(m[1])]).columns, nil
	}
	if sleepCall.MatchString(query) {
		return textResult("", []string{"pg_sleep"}).columns, nil
	}
	keyword := firstWords(query, 1)[0]
	if keyword == "SHOW" {
		return textResult("", []string{strings.TrimSpace(query[len("SHOW"):])}).columns, nil
	}
	probeQuery := columnProbe(query)
	if probeQuery == "" {
		return nil, nil
	}
	conn, err := c.sqliteConnection()
	if err != nil {
		return nil, err
	}
	translated, parameters := toSQLite(probeQuery)
	rows, err := conn.QueryContext(c.ctx, translated, make([]any, parameters)...)
	if err != nil {
		return nil, errors.Wrap(err, "describe")
	}
	r, err := collectRows(rows)
	if err != nil {
		return nil, err
	}
	return r.columns, nil
}
