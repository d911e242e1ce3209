package caller

import (
	"context"
	"fmt"

	"baobabfield.example/core/attributes"
	"baobabfield.example/core/routing"
	"baobabfield.example/wire/pgwire"
)

// batchProperties holds the properties of a batch's statements that the router and
// the owner need.
type batchProperties struct {
	write     bool
	canCommit bool
	begins    bool
}

// runBatch runs one batch. It reports whether the session continues.
func (s *sessionTask) runBatch(ctx context.Context, b *pgwire.Batch) bool {
	keepOpen := s.dispatchBatch(ctx, b)
	if s.stream == nil {
		s.batcher.ResetStream()
	}
	return keepOpen
}

// dispatchBatch runs a batch in the open transaction, locally, or at an endpoint. It
// reports whether the session continues.
func (s *sessionTask) dispatchBatch(ctx context.Context, b *pgwire.Batch) bool {
	if s.stream != nil {
		return s.continueTransaction(ctx, b)
	}
	if answer, ok := s.answerLocally(ctx, b); ok {
		return s.writeAndFlush(answer)
	}
	return s.execute(ctx, b, s.classifyBatch(b))
}

// classifyBatch derives the properties of a batch from its statements.
func (s *sessionTask) classifyBatch(b *pgwire.Batch) batchProperties {
	p := batchProperties{write: !s.attrs.ReadOnly}
	readOnly := len(b.SQL) > 0
	for _, sql := range b.SQL {
		kind := routing.Classify(sql)
		switch kind {
		case routing.KindRead, routing.KindBeginReadOnly:
		default:
			readOnly = false
		}
		p.begins = len(b.SQL) == 1 && (kind == routing.KindBegin || kind == routing.KindBeginReadOnly)
		p.canCommit = p.canCommit || routing.MayEndTransaction(sql)
	}
	if readOnly {
		p.write = false
	}
	return p
}

// answerLocally answers a batch that needs no endpoint. ok is false if the batch
// needs one.
func (s *sessionTask) answerLocally(ctx context.Context, b *pgwire.Batch) (answer []byte, ok bool) {
	if b.NeedsNoEndpoint() {
		return s.encodeCloseCompletes(b), true
	}
	sql := b.SQL[0]
	for _, other := range b.SQL[1:] {
		if other != sql {
			return nil, false
		}
	}
	switch routing.Classify(sql) {
	case routing.KindSet:
		return s.handleSet(ctx, b, sql), true
	case routing.KindCommit:
		return (&pgwire.LocalAnswer{Tag: "COMMIT"}).Append(nil, b), true
	case routing.KindRollback:
		return (&pgwire.LocalAnswer{Tag: "ROLLBACK"}).Append(nil, b), true
	case routing.KindRead:
		if verb, name, _, ok := attributes.ParseSettingStatement(sql); ok && verb == "SHOW" && attributes.IsAttribute(name) {
			return s.encodeShow(b, name), true
		}
	}
	return nil, false
}

// encodeCloseCompletes encodes the answer to a batch that executes nothing and only
// closes statements.
func (s *sessionTask) encodeCloseCompletes(b *pgwire.Batch) []byte {
	var buf []byte
	for _, expected := range b.ExpectedCompletions {
		if expected {
			buf = pgwire.AppendCloseComplete(buf)
		}
	}
	return pgwire.AppendReady(buf, pgwire.StatusIdle)
}

// handleSet sets an attribute of the session and returns the encoded answer.
func (s *sessionTask) handleSet(ctx context.Context, b *pgwire.Batch, sql string) []byte {
	verb, name, value, ok := attributes.ParseSettingStatement(sql)
	if !ok || !attributes.IsAttribute(name) {
		return s.encodeSetError(sql)
	}
	if b.Executes() {
		if err := s.setAttribute(ctx, name, value); err != nil {
			buf := pgwire.AppendError(nil, "ERROR", sqlState(err), "not run: "+err.Error())
			return pgwire.AppendReady(buf, pgwire.StatusIdle)
		}
	}
	var buf []byte
	if name == attributes.Session {
		buf = pgwire.AppendParameter(buf, attributes.Session, s.tokenText())
	}
	return (&pgwire.LocalAnswer{Tag: verb}).Append(buf, b)
}

// encodeSetError encodes the refusal of a SET whose effect would persist on a shared
// connection.
func (s *sessionTask) encodeSetError(sql string) []byte {
	const shown = 60
	text := fmt.Sprintf("not run: %q: only %s* settings are supported outside of a transaction, since connections are shared", sql[:min(len(sql), shown)], attributes.Prefix)
	buf := pgwire.AppendError(nil, "ERROR", pgwire.SQLStateNotSupported, text)
	return pgwire.AppendReady(buf, pgwire.StatusIdle)
}

// encodeShow encodes the answer to SHOW for an attribute.
func (s *sessionTask) encodeShow(b *pgwire.Batch, name string) []byte {
	value := s.attrs.Value(name)
	if name == attributes.Session {
		value = s.tokenText()
	}
	return (&pgwire.LocalAnswer{Tag: "SHOW", Column: name, Value: value}).Append(nil, b)
}
