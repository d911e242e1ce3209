package database

import (
	"context"
	"database/sql"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// result is the answer to one statement.
type result struct {
	columns []column
	rows    [][]any
	// hasRows is set if the statement answers with rows, be it none.
	hasRows bool
	tag     string
}

func textResult(tag string, names []string, rows ...[]any) *result {
	r := &result{hasRows: true, rows: rows, tag: tag}
	for _, n := range names {
		r.columns = append(r.columns, column{name: n, oid: typeOf("TEXT", nil)})
	}
	return r
}

// execute runs one statement of any kind.
func (c *connection) execute(query string, values []Value) (*result, error) {
	first := words(query, 3)
	if len(first) == 0 {
		return &result{}, nil
	}
	if err := c.checkUsable(first); err != nil {
		return nil, err
	}
	switch first[0] {
	case "BEGIN", "START":
		return c.begin(query)
	case "COMMIT", "END":
		return c.end()
	case "ROLLBACK", "ABORT":
		if containsAny(first, "TO") {
			return &result{tag: "ROLLBACK"}, c.savepoint(query, lastWord(query))
		}
		c.tx.rollback(c)
		return &result{tag: "ROLLBACK"}, nil
	case "SAVEPOINT", "RELEASE":
		return &result{tag: first[0]}, c.savepoint(query, lastWord(query))
	case "SET":
		return c.set(query, first)
	case "RESET":
		return c.reset(first)
	case "SHOW":
		name := strings.TrimSpace(query[len("SHOW"):])
		return textResult("SHOW", []string{name}, []any{c.settings[name]}), nil
	case "DISCARD":
		return c.discard()
	case "DEALLOCATE", "LISTEN", "UNLISTEN", "NOTIFY":
		return &result{tag: first[0]}, nil
	}
	if m := controlCall.FindStringSubmatch(query); m != nil {
		return c.control(strings.ToLower(m[1]), splitArguments(m[2]))
	}
	return c.run(query, values)
}

// checkUsable refuses statements other than the end of a failed transaction.
func (c *connection) checkUsable(first []string) error {
	if c.tx.revoked != nil && !containsAny(first[:1], "ROLLBACK", "ABORT", "COMMIT", "END") {
		err := c.tx.revoked
		c.tx.revoked = nil
		return err
	}
	if !c.tx.failed || containsAny(first[:1], "ROLLBACK", "ABORT", "COMMIT", "END") {
		return nil
	}
	return &Error{State: stateAborted, Message: "current transaction is aborted, commands ignored until end of transaction block"}
}

func lastWord(query string) string {
	fields := strings.Fields(query)
	return strings.ToLower(unquote(fields[len(fields)-1]))
}

func (c *connection) begin(query string) (*result, error) {
	if c.tx.open {
		return &result{tag: "BEGIN"}, nil
	}
	if err := c.checkTerm(); err != nil {
		return nil, err
	}
	modes := strings.ToUpper(strings.Join(strings.Fields(query), " "))
	c.tx.open = true
	c.tx.readOnly = strings.Contains(modes, "READ ONLY") ||
		(c.readOnlyByDefault() && !strings.Contains(modes, "READ WRITE"))
	return &result{tag: "BEGIN"}, nil
}

func (c *connection) end() (*result, error) {
	if c.tx.failed && c.tx.revoked == nil {
		c.tx.rollback(c)
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: "COMMIT"}, c.commit()
}

func (c *connection) set(query string, first []string) (*result, error) {
	modes := strings.ToUpper(strings.Join(strings.Fields(query), " "))
	switch {
	case containsAny(first[1:], "TRANSACTION"):
		c.tx.readOnly = c.tx.readOnly || strings.Contains(modes, "READ ONLY")
		return &result{tag: "SET"}, nil
	case strings.HasPrefix(modes, "SET SESSION CHARACTERISTICS"):
		readOnly := strings.Contains(modes, "READ ONLY")
		c.settings["default_transaction_read_only"] = strconv.FormatBool(readOnly)
		return &result{tag: "SET"}, nil
	}
	m := setStatement.FindStringSubmatch(query)
	if m == nil {
		return nil, &Error{State: stateSyntax, Message: "syntax error in " + strconv.Quote(query)}
	}
	name, value := strings.ToLower(m[1]), unquote(m[2])
	if name == "baobab.expected_term" && value != "" {
		if _, err := strconv.ParseUint(value, 10, 64); err != nil {
			return nil, &Error{State: stateInvalidParameter, Message: "invalid value for parameter \"" + name + "\": " + strconv.Quote(value)}
		}
	}
	c.settings[name] = value
	return &result{tag: "SET"}, nil
}

func (c *connection) reset(first []string) (*result, error) {
	if containsAny(first[1:], "ALL") {
		c.settings = map[string]string{}
		return &result{tag: "RESET"}, nil
	}
	delete(c.settings, strings.ToLower(strings.Join(first[1:], ".")))
	return &result{tag: "RESET"}, nil
}

func (c *connection) discard() (*result, error) {
	if c.tx.open {
		return nil, &Error{State: stateActiveTx, Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	c.settings = map[string]string{}
	c.statements = map[string]*prepared{}
	c.portals = map[string]*portal{}
	return &result{tag: "DISCARD ALL"}, nil
}

// run executes a statement in a slot.
func (c *connection) run(query string, values []Value) (*result, error) {
	if !c.tx.open && c.tx.claim == nil {
		if err := c.checkTerm(); err != nil {
			return nil, err
		}
	}
	ctx, stop := c.watch()
	defer stop()
	r, err := c.runInSlot(ctx, query, values)
	if err != nil && ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return r, err
}

func (c *connection) runInSlot(ctx context.Context, query string, values []Value) (*result, error) {
	write := writes(query)
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
		return nil, &Error{State: stateSystem, Message: "the endpoint fails every statement"}
	}
	if err := sleep(ctx, grant.serviceTime); err != nil {
		return nil, err
	}
	if m := sleepCall.FindStringSubmatch(query); m != nil {
		return pgSleep(ctx, m[1])
	}
	translated, parameters := toSQLite(query)
	if parameters > len(values) {
		return nil, &Error{State: stateProtocol, Message: "the statement needs " + strconv.Itoa(parameters) +
			" parameters but has " + strconv.Itoa(len(values))}
	}
	r, err := c.query(ctx, query, translated, values)
	if err == nil && write {
		c.tx.statements = append(c.tx.statements, Statement{SQL: translated, Values: values})
	}
	return r, err
}

func pgSleep(ctx context.Context, seconds string) (*result, error) {
	d, err := time.ParseDuration(seconds + "s")
	if err != nil {
		return nil, &Error{State: stateSyntax, Message: err.Error()}
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

func (c *connection) query(ctx context.Context, query, translated string, values []Value) (*result, error) {
	conn, err := c.conn()
	if err != nil {
		return nil, err
	}
	if !returnsRows(query) {
		done, err := conn.ExecContext(ctx, translated, arguments(values)...)
		if err != nil {
			return nil, err
		}
		affected, err := done.RowsAffected()
		return &result{tag: commandTag(query, affected)}, err
	}
	rows, err := conn.QueryContext(ctx, translated, arguments(values)...)
	if err != nil {
		return nil, err
	}
	r, err := collect(rows)
	if err != nil {
		return nil, err
	}
	r.tag = commandTag(query, int64(len(r.rows)))
	return r, nil
}

// collect reads all rows and finds the types of the columns.
func collect(rows *sql.Rows) (*result, error) {
	defer func() { _ = rows.Close() }()
	kinds, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	r := &result{hasRows: true}
	for rows.Next() {
		row := make([]any, len(kinds))
		targets := make([]any, len(kinds))
		for i := range row {
			targets[i] = &row[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, err
		}
		r.rows = append(r.rows, row)
	}
	for i, kind := range kinds {
		var sample any
		if len(r.rows) > 0 {
			sample = r.rows[0][i]
		}
		r.columns = append(r.columns, column{name: kind.Name(), oid: typeOf(kind.DatabaseTypeName(), sample)})
	}
	return r, rows.Err()
}

var errCanceled = &Error{State: stateCanceled, Message: "canceling statement due to user request"}

// watch returns a context that ends when the statement is canceled, when the
// right to write is taken back, or with the connection. The caller must stop it.
func (c *connection) watch() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	quit := make(chan struct{})
	revoked := make(chan error, 1)
	revocation := c.tx.revocation()
	go func() {
		defer close(revoked)
		select {
		case <-c.entry.cancel:
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

// describe returns the columns of a statement's answer, nil if it has none.
func (c *connection) describe(query string) ([]column, error) {
	if len(words(query, 1)) == 0 {
		return nil, nil
	}
	if m := controlCall.FindStringSubmatch(query); m != nil {
		return textResult("", controlColumns[strings.ToLower(m[1])]).columns, nil
	}
	if sleepCall.MatchString(query) {
		return textResult("", []string{"pg_sleep"}).columns, nil
	}
	first := words(query, 1)[0]
	if first == "SHOW" {
		return textResult("", []string{strings.TrimSpace(query[len("SHOW"):])}).columns, nil
	}
	source := probe(query)
	if source == "" {
		return nil, nil
	}
	conn, err := c.conn()
	if err != nil {
		return nil, err
	}
	translated, parameters := toSQLite(source)
	rows, err := conn.QueryContext(c.ctx, translated, make([]any, parameters)...)
	if err != nil {
		return nil, errors.Wrap(err, "describe")
	}
	r, err := collect(rows)
	if err != nil {
		return nil, err
	}
	return r.columns, nil
}
