package database

import (
	"context"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"baobabfield.example/core/types"
)

// transaction is the state of a connection's transaction. Until its first write, a
// read-write transaction holds no locks and each statement reads the newest state. A
// read-only transaction reads from one snapshot.
type transaction struct {
	// open is set between BEGIN and the end of the transaction.
	open     bool
	readOnly bool
	failed   bool
	// sqliteOpen is set while a transaction is open in SQLite.
	sqliteOpen bool
	claim      *writerClaim
	statements []Statement
	savepoints []savepoint
	// revokedErr is the error for the next statement after the right to write was revoked.
	revokedErr error
}

// savepoint is a savepoint's name and the number of statements that ran before it.
type savepoint struct {
	name           string
	statementCount int
}

func (t *transaction) statusByte() byte {
	switch {
	case t.open && t.failed:
		return 'E'
	case t.open:
		return 'T'
	}
	return 'I'
}

// revocation returns the channel that signals that the right to write is revoked. It is
// nil if the transaction has no such right.
func (t *transaction) revocation() chan error {
	if t.claim == nil {
		return nil
	}
	return t.claim.revoked
}

// revoke rolls back after the right to write was revoked.
func (t *transaction) revoke(c *connection, err error) {
	open := t.open
	t.rollback(c)
	t.open = open
	t.failed = open
	t.revokedErr = err
	if term, set := c.expectedTerm(); set {
		t.revokedErr = errWrongTerm(term, runOnLog(c.instance.log, c.instance.log.currentTerm))
	}
}

// rollback discards the transaction and releases its claim.
func (t *transaction) rollback(c *connection) {
	if t.sqliteOpen {
		_, _ = c.sqlite.ExecContext(context.Background(), "ROLLBACK")
	}
	if claim := t.claim; claim != nil {
		l := c.instance.log
		runOnLog(l, func() bool { l.releaseWriter(claim); return true })
	}
	*t = transaction{}
}

// markFailed marks an explicit transaction as failed and rolls back an implicit one.
func (t *transaction) markFailed(c *connection) {
	if t.open {
		t.failed = true
		return
	}
	t.rollback(c)
}

// expectedTerm returns the term that the client expects, and whether it has set one.
func (c *connection) expectedTerm() (types.Term, bool) {
	text := c.settings["baobab.expected_term"]
	term, err := strconv.ParseUint(text, 10, 64)
	return types.Term(term), text != "" && err == nil
}

// checkTerm returns an error if the client expects a term other than the current one.
func (c *connection) checkTerm() error {
	expected, set := c.expectedTerm()
	if !set {
		return nil
	}
	if actual := runOnLog(c.instance.log, c.instance.log.currentTerm); actual != expected {
		return errWrongTerm(expected, actual)
	}
	return nil
}

// prepareRead opens the snapshot of a read-only transaction.
func (c *connection) prepareRead() error {
	if c.tx.sqliteOpen || !c.tx.open || !c.tx.readOnly {
		return nil
	}
	return c.beginSQLite("BEGIN")
}

func (c *connection) beginSQLite(statement string) error {
	conn, err := c.sqliteConnection()
	if err != nil {
		return err
	}
	if _, err := conn.ExecContext(c.ctx, statement); err != nil {
		return err
	}
	c.tx.sqliteOpen = true
	return nil
}

// prepareWrite waits for the right to write and opens a write transaction in SQLite.
func (c *connection) prepareWrite(ctx context.Context) error {
	if c.tx.readOnly || (!c.tx.open && c.readOnlyByDefault()) {
		return &Error{SQLState: sqlStateReadOnly, Message: "cannot execute a writing statement in a read-only transaction"}
	}
	if c.tx.claim != nil {
		return nil
	}
	claim := newWriterClaim()
	l := c.instance.log
	runOnLog(l, func() bool { l.claimWriter(claim, false); return true })
	select {
	case err := <-claim.granted:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		runOnLog(l, func() bool { l.releaseWriter(claim); return true })
		return context.Cause(ctx)
	}
	c.tx.claim = claim
	return c.beginSQLite("BEGIN IMMEDIATE")
}

func (c *connection) readOnlyByDefault() bool {
	value := strings.ToLower(c.settings["default_transaction_read_only"])
	return value == "on" || value == "true" || value == "1"
}

// commit ends the transaction and sends the client the log point of its writes.
func (c *connection) commit() error {
	tx := c.tx
	if tx.revokedErr != nil {
		c.tx.rollback(c)
		return tx.revokedErr
	}
	if tx.claim == nil {
		c.tx.rollback(c)
		return nil
	}
	c.tx = transaction{}
	term, _ := c.expectedTerm()
	l := c.instance.log
	request := commitRequest{claim: tx.claim, term: term, conn: c.sqlite, statements: tx.statements}
	result := runOnLog(l, func() commitResult { return l.commit(request) })
	if result.err != nil {
		return result.err
	}
	if len(tx.statements) > 0 {
		c.backend.Send(&pgproto3.ParameterStatus{Name: "baobab.position", Value: formatPoint(result.point)})
	}
	return nil
}

// finishImplicit commits a transaction that was not opened by BEGIN.
func (c *connection) finishImplicit() error {
	if c.tx.open {
		return nil
	}
	return c.commit()
}

func (c *connection) executeSavepoint(query string, name string) error {
	keyword := firstWords(query, 1)[0]
	if !c.tx.open {
		return &Error{SQLState: "25P01", Message: keyword + " can only be used in transaction blocks"}
	}
	if keyword == "SAVEPOINT" {
		return c.setSavepoint(name)
	}
	index := len(c.tx.savepoints) - 1
	for index >= 0 && c.tx.savepoints[index].name != name {
		index--
	}
	if index < 0 {
		return &Error{SQLState: "3B001", Message: "savepoint \"" + name + "\" does not exist"}
	}
	if keyword == "RELEASE" {
		return c.releaseSavepoint(name, index)
	}
	return c.rollbackToSavepoint(name, index)
}

func (c *connection) setSavepoint(name string) error {
	if c.tx.readOnly {
		if err := c.prepareRead(); err != nil {
			return err
		}
	} else if err := c.prepareWrite(c.ctx); err != nil {
		return err
	}
	c.tx.savepoints = append(c.tx.savepoints, savepoint{name, len(c.tx.statements)})
	return c.execSQLite("SAVEPOINT " + quoteIdentifier(name))
}

func (c *connection) releaseSavepoint(name string, index int) error {
	c.tx.savepoints = c.tx.savepoints[:index]
	return c.execSQLite("RELEASE " + quoteIdentifier(name))
}

func (c *connection) rollbackToSavepoint(name string, index int) error {
	c.tx.statements = c.tx.statements[:c.tx.savepoints[index].statementCount]
	c.tx.savepoints = c.tx.savepoints[:index+1]
	c.tx.failed = false
	return c.execSQLite("ROLLBACK TO " + quoteIdentifier(name))
}

func (c *connection) execSQLite(statement string) error {
	_, err := c.sqlite.ExecContext(c.ctx, statement)
	return err
}
