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
	if s.stream != nil {
		return s.continueTransaction(ctx, b)
	}
	if answer, ok := s.local(ctx, b); ok {
		return s.flush(answer)
	}
	p := s.plan(b)
	return s.execute(ctx, b, p)
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
	if b.Empty() {
		return s.completions(b), true
	}
	if len(b.SQL) != 1 {
		return nil, false
	}
	sql := b.SQL[0]
	switch routing.Classify(sql) {
	case routing.KindSet:
		if b.Simple {
			return s.runSet(ctx, sql), true
		}
		return s.refuseSet(sql), true
	case routing.KindCommit:
		if b.Simple {
			return pgwire.AppendReady(pgwire.AppendComplete(nil, "COMMIT"), pgwire.StatusIdle), true
		}
	case routing.KindRollback:
		if b.Simple {
			return pgwire.AppendReady(pgwire.AppendComplete(nil, "ROLLBACK"), pgwire.StatusIdle), true
		}
	case routing.KindRead:
		if verb, name, _, ok := attributes.ParseSet(sql); ok && verb == "SHOW" && b.Simple && attributes.Known(name) {
			return s.show(name), true
		}
	}
	return nil, false
}

// completions answers a batch that only closes statements.
func (s *sessionTask) completions(b *pgwire.Batch) []byte {
	var buf []byte
	for _, wanted := range b.Answers {
		if wanted {
			buf = pgwire.AppendCloseComplete(buf)
		}
	}
	return pgwire.AppendReady(buf, pgwire.StatusIdle)
}

// runSet changes an attribute of the session.
func (s *sessionTask) runSet(ctx context.Context, sql string) []byte {
	verb, name, value, ok := attributes.ParseSet(sql)
	if !ok || !attributes.Known(name) {
		return s.refuseSet(sql)
	}
	if err := s.setAttribute(ctx, name, value); err != nil {
		buf := pgwire.AppendError(nil, "ERROR", checkState(err), "not run: "+err.Error())
		return pgwire.AppendReady(buf, pgwire.StatusIdle)
	}
	var buf []byte
	if name == attributes.Session {
		buf = pgwire.AppendParameter(buf, attributes.Session, s.tokenText())
	}
	return pgwire.AppendReady(pgwire.AppendComplete(buf, verb), pgwire.StatusIdle)
}

// refuseSet answers a SET that would stay on a shared connection.
func (s *sessionTask) refuseSet(sql string) []byte {
	const shown = 60
	text := fmt.Sprintf("not run: %q: only %s* settings, in a simple query, are supported outside of a transaction, since connections are shared", sql[:min(len(sql), shown)], attributes.Prefix)
	buf := pgwire.AppendError(nil, "ERROR", pgwire.StateNotSupported, text)
	return pgwire.AppendReady(buf, pgwire.StatusIdle)
}

// show answers SHOW for an attribute.
func (s *sessionTask) show(name string) []byte {
	value := s.attrs.Value(name)
	if name == attributes.Session {
		value = s.tokenText()
	}
	buf := pgwire.AppendRow(nil, name, value)
	return pgwire.AppendReady(pgwire.AppendComplete(buf, "SHOW"), pgwire.StatusIdle)
}
