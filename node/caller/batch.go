package caller

import (
	"context"
	"fmt"

	"baobabfield.example/core/attributes"
	"baobabfield.example/core/routing"
	"baobabfield.example/wire/pgwire"
)

// plan is what a batch's statements ask for.
type plan struct {
	write     bool
	canCommit bool
	begins    bool
}

// runBatch runs one batch; it reports whether the session goes on.
func (s *sessionTask) runBatch(ctx context.Context, b *pgwire.Batch) bool {
	goOn := s.dispatch(ctx, b)
	if s.stream == nil {
		s.batcher.ResetStream()
	}
	return goOn
}

// dispatch runs a batch in the open transaction, locally, or at an endpoint.
func (s *sessionTask) dispatch(ctx context.Context, b *pgwire.Batch) bool {
	if s.stream != nil {
		return s.continueTransaction(ctx, b)
	}
	if answer, ok := s.local(ctx, b); ok {
		return s.flush(answer)
	}
	return s.execute(ctx, b, s.plan(b))
}

// plan classifies the batch's statements.
func (s *sessionTask) plan(b *pgwire.Batch) plan {
	p := plan{write: !s.attrs.ReadOnly}
	reads := len(b.SQL) > 0
	for _, sql := range b.SQL {
		kind := routing.Classify(sql)
		switch kind {
		case routing.KindRead, routing.KindBeginReadOnly:
		default:
			reads = false
		}
		p.begins = len(b.SQL) == 1 && (kind == routing.KindBegin || kind == routing.KindBeginReadOnly)
		p.canCommit = p.canCommit || routing.MayEndTransaction(sql)
	}
	if reads {
		p.write = false
	}
	return p
}

// local answers a batch that needs no endpoint.
func (s *sessionTask) local(ctx context.Context, b *pgwire.Batch) (answer []byte, ok bool) {
	if b.NeedsNoEndpoint() {
		return s.completions(b), true
	}
	sql := b.SQL[0]
	for _, other := range b.SQL[1:] {
		if other != sql {
			return nil, false
		}
	}
	switch routing.Classify(sql) {
	case routing.KindSet:
		return s.runSet(ctx, b, sql), true
	case routing.KindCommit:
		return (&pgwire.LocalReply{Tag: "COMMIT"}).Append(nil, b), true
	case routing.KindRollback:
		return (&pgwire.LocalReply{Tag: "ROLLBACK"}).Append(nil, b), true
	case routing.KindRead:
		if verb, name, _, ok := attributes.ParseSettingStatement(sql); ok && verb == "SHOW" && attributes.IsAttribute(name) {
			return s.show(b, name), true
		}
	}
	return nil, false
}

// completions answers a batch that only closes statements.
func (s *sessionTask) completions(b *pgwire.Batch) []byte {
	var buf []byte
	for _, wanted := range b.ExpectedCompletions {
		if wanted {
			buf = pgwire.AppendCloseComplete(buf)
		}
	}
	return pgwire.AppendReady(buf, pgwire.StatusIdle)
}

// runSet changes an attribute of the session.
func (s *sessionTask) runSet(ctx context.Context, b *pgwire.Batch, sql string) []byte {
	verb, name, value, ok := attributes.ParseSettingStatement(sql)
	if !ok || !attributes.IsAttribute(name) {
		return s.refuseSet(sql)
	}
	if b.Executes() {
		if err := s.setAttribute(ctx, name, value); err != nil {
			buf := pgwire.AppendError(nil, "ERROR", checkState(err), "not run: "+err.Error())
			return pgwire.AppendReady(buf, pgwire.StatusIdle)
		}
	}
	var buf []byte
	if name == attributes.Session {
		buf = pgwire.AppendParameter(buf, attributes.Session, s.tokenText())
	}
	return (&pgwire.LocalReply{Tag: verb}).Append(buf, b)
}

// refuseSet answers a SET that would stay on a shared connection.
func (s *sessionTask) refuseSet(sql string) []byte {
	const shown = 60
	text := fmt.Sprintf("not run: %q: only %s* settings are supported outside of a transaction, since connections are shared", sql[:min(len(sql), shown)], attributes.Prefix)
	buf := pgwire.AppendError(nil, "ERROR", pgwire.StateNotSupported, text)
	return pgwire.AppendReady(buf, pgwire.StatusIdle)
}

// show answers SHOW for an attribute.
func (s *sessionTask) show(b *pgwire.Batch, name string) []byte {
	value := s.attrs.Value(name)
	if name == attributes.Session {
		value = s.tokenText()
	}
	return (&pgwire.LocalReply{Tag: "SHOW", Column: name, Value: value}).Append(nil, b)
}
