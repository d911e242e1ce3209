package caller

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/attributes"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
	"baobabfield.example/node/router"
	"baobabfield.example/wire/meshpb"
	"baobabfield.example/wire/pgwire"
)

const (
	// firstPause and longestPause bound the pause before a request that waits
	// for a change is tried again; the pause doubles each time.
	firstPause   = 10 * time.Millisecond
	longestPause = 160 * time.Millisecond
	// probeAfter is the time without an answer after which a read's owner is probed.
	probeAfter = 500 * time.Millisecond
	// readyLength is the length of a ReadyForQuery message in bytes.
	readyLength = 6
)

var (
	requestsDone    = metrics.NewCounter(`baobab_requests_total{outcome="done"}`)
	requestsNotRun  = metrics.NewCounter(`baobab_requests_total{outcome="not_run"}`)
	requestsUnknown = metrics.NewCounter(`baobab_requests_total{outcome="unknown"}`)
	retriesSent     = metrics.NewCounter("baobab_retries_total")
	requestSeconds  = metrics.NewHistogram("baobab_request_seconds")
)

// try is one attempt to run a batch.
type try struct {
	outcome types.Outcome
	status  byte
	// forwarded is set once a part of the answer has gone to the caller.
	forwarded bool
	// rest is the end of the answer, which the caller has not seen.
	rest []byte
	// gone is set if the caller cannot be written to.
	gone bool
	// ended is set once the owner has said that the transaction is over.
	ended bool
}

// execute runs a batch outside of a transaction, with retries.
func (s *sessionTask) execute(ctx context.Context, b *pgwire.Batch, p plan) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.task.set.RequestTimeout)
	defer cancel()
	q := s.query(p)
	r := retries{pause: firstPause}
	for {
		t := s.try(ctx, b, p, &q)
		if t.gone {
			return false
		}
		if t.outcome.Kind == types.Done || t.forwarded || !s.again(ctx, t.outcome, &p, &q, &r) {
			requestSeconds.Update(time.Since(began).Seconds())
			s.attrs.RequestKey = ""
			return s.finish(t)
		}
		retriesSent.Inc()
	}
}

// query describes the request to the router.
func (s *sessionTask) query(p plan) router.Query {
	return router.Query{
		Database:   s.database,
		Write:      p.write,
		Primary:    s.lostToken,
		After:      s.token[s.database],
		MaxAge:     s.attrs.MaxStaleness,
		AcceptsAge: s.attrs.HasMaxStaleness,
		Rank:       s.attrs.Rank,
		Feature:    s.attrs.Feature,
		Job:        s.attrs.Job,
		Caller:     callerHost(s.conn),
	}
}

// callerHost returns the caller's address without its port.
func callerHost(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// retries is what a request has used of its retries.
type retries struct {
	pause     time.Duration
	redirects int
}

// again decides whether a request is tried again, and prepares the next try.
func (s *sessionTask) again(ctx context.Context, o types.Outcome, p *plan, q *router.Query, r *retries) bool {
	if ctx.Err() != nil {
		return false
	}
	q.Again = true
	q.Refresh = false
	if o.Reason == types.ReasonReadOnly {
		p.write, q.Write = true, true
	}
	decision := routing.DecideRetry(o, routing.Attempt{Write: p.write, Repeatable: s.attrs.Repeatable})
	switch decision {
	case routing.RetryElsewhere:
		return s.elsewhere(ctx, o, q, r)
	case routing.RetryPrimary:
		q.Primary = true
		return s.redirect(ctx, q, r)
	case routing.RetryAfterWait:
		q.Refresh = true
		return s.wait(ctx, r)
	}
	return false
}

// elsewhere excludes the endpoint that refused the request. Where no endpoint
// is left, all of them are tried again after a pause.
func (s *sessionTask) elsewhere(ctx context.Context, o types.Outcome, q *router.Query, r *retries) bool {
	switch {
	case o.Reason == types.ReasonNotOwner:
		return s.redirect(ctx, q, r)
	case s.endpoint == "":
		q.Excluded = nil
		q.Refresh = true
		return s.wait(ctx, r)
	}
	q.Excluded = append(q.Excluded, s.endpoint)
	return s.task.router.AllowRetry(ctx)
}

// redirect follows a hint to another owner or primary. The first hint is
// followed at once, later ones after a pause and with new state.
func (s *sessionTask) redirect(ctx context.Context, q *router.Query, r *retries) bool {
	r.redirects++
	if r.redirects == 1 {
		return true
	}
	q.Refresh = true
	return s.wait(ctx, r)
}

// wait pauses before the next try.
func (s *sessionTask) wait(ctx context.Context, r *retries) bool {
	timer := time.NewTimer(r.pause)
	defer timer.Stop()
	r.pause = min(2*r.pause, longestPause)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try sends the batch to the endpoint that the router chooses.
func (s *sessionTask) try(ctx context.Context, b *pgwire.Batch, p plan, q *router.Query) try {
	target := s.task.router.Route(ctx, *q)
	s.endpoint = target.Endpoint
	if target.Outcome.Kind != types.Done {
		return try{outcome: target.Outcome, status: pgwire.StatusIdle}
	}
	stream, err := s.task.mesh.Open(ctx, target.Host)
	if err != nil {
		s.task.router.Finished(target.Endpoint)
		return try{outcome: types.Refused(types.ReasonUnreachable, err.Error()), status: pgwire.StatusIdle}
	}
	s.stream = stream
	s.write = p.write
	s.cancelled = false
	if err := stream.Send(&meshpb.Frame{Body: &meshpb.Frame_Open{Open: s.openFrame(ctx, b, p, q, target)}}); err != nil {
		s.closeStream()
		return try{outcome: brokenOutcome(false, err.Error()), status: pgwire.StatusIdle}
	}
	began := time.Now()
	t := s.relay(ctx, b, false, target.Host)
	if !p.write {
		s.observe(t.outcome, time.Since(began))
	}
	s.endStream(t)
	return t
}

// observe tells the router how a read went, unless the endpoint had no part in it.
func (s *sessionTask) observe(o types.Outcome, latency time.Duration) {
	switch o.Reason {
	case types.ReasonNotOwner, types.ReasonNotPrimary, types.ReasonBehind, types.ReasonStale, types.ReasonReadOnly:
		return
	}
	s.task.router.Observe(s.database, s.endpoint, latency, o.Kind == types.Done)
}

// endStream ends the stream of a transaction that is over: it is given back for
// another one where both ends agree that it is free.
func (s *sessionTask) endStream(t try) {
	switch {
	case t.ended:
		s.task.mesh.Release(s.stream)
		s.forgetStream()
	case t.outcome.Kind != types.Done || t.status == pgwire.StatusIdle:
		s.closeStream()
	}
}

// brokenOutcome is the outcome of a batch whose stream broke after it may have
// been sent. A batch that cannot end its transaction is rolled back with it.
func brokenOutcome(rolledBack bool, detail string) types.Outcome {
	if rolledBack {
		return types.Refused(types.ReasonBroken, "transaction rolled back: "+detail)
	}
	return types.InDoubt(types.ReasonBroken, detail)
}

// openFrame describes the request to the owner.
func (s *sessionTask) openFrame(ctx context.Context, b *pgwire.Batch, p plan, q *router.Query, target router.Target) *meshpb.Open {
	s.nextID++
	deadline, _ := ctx.Deadline()
	open := &meshpb.Open{
		RequestId:  s.nextID,
		Service:    string(target.Service),
		Database:   string(s.database),
		Endpoint:   string(target.Endpoint),
		Rank:       string(q.Rank),
		Feature:    string(q.Feature),
		Job:        string(q.Job),
		DeadlineUs: uint64(max(0, time.Until(deadline).Microseconds())),
		Write:      p.write,
		Repeatable: s.attrs.Repeatable,
		RequestKey: s.attrs.RequestKey,
		MaxAgeUs:   uint64(target.MaxAge.Microseconds()),
		Caller:     q.Caller,
		Batch:      &meshpb.Batch{Messages: b.Messages, CanCommit: p.canCommit, Begins: p.begins},
	}
	if q.After != (types.LogPoint{}) {
		open.After = &meshpb.LogPoint{Term: uint64(q.After.Term), Position: uint64(q.After.Position)}
	}
	return open
}

// relay passes the answer of a batch on to the caller. The end of the answer
// is held back until the result has come.
func (s *sessionTask) relay(ctx context.Context, b *pgwire.Batch, rolledBack bool, host types.Host) try {
	t := try{status: pgwire.StatusIdle}
	filter := pgwire.NewFilter(b)
	probe := time.NewTicker(probeAfter)
	defer probe.Stop()
	lost := make(chan struct{}, 1)
	for {
		select {
		case <-probe.C:
			go s.task.probeOwner(ctx, ownerProbe{host: host, db: s.database, endpoint: s.endpoint, write: s.write}, lost)
		case <-lost:
			t.outcome = brokenOutcome(rolledBack, "owner "+string(host)+" does not answer")
			return t
		case f, ok := <-s.stream.Frames():
			if !ok {
				t.outcome = brokenOutcome(rolledBack, "owner "+string(host)+" is gone")
				return t
			}
			r := f.GetResult()
			part := f.GetAnswer().GetMessages()
			if r != nil {
				part = r.GetMessages()
			}
			if !s.part(&t, filter, part) {
				return t
			}
			if r != nil {
				return s.result(t, r)
			}
		case c := <-s.control:
			s.controlWhileRunning(c)
		case <-ctx.Done():
			s.task.mesh.SuspectHost(host)
			t.outcome = brokenOutcome(rolledBack, "no answer in time from owner "+string(host))
			return t
		}
	}
}

// ownerProbe is the owner of an endpoint that owes the answer to a batch.
type ownerProbe struct {
	host     types.Host
	db       types.Database
	endpoint types.Endpoint
	write    bool
}

// probeOwner reports on lost that an owner which owes an answer does not answer
// at all. A write is given up only once another endpoint is the primary.
func (t *Task) probeOwner(ctx context.Context, p ownerProbe, lost chan<- struct{}) {
	if p.write && !t.router.Replaced(ctx, p.db, p.endpoint) {
		return
	}
	if t.mesh.ProbeHost(ctx, p.host) {
		return
	}
	select {
	case lost <- struct{}{}:
	default:
	}
}

// part passes on the part before and keeps the new one.
func (s *sessionTask) part(t *try, filter *pgwire.Filter, messages []byte) bool {
	if len(messages) == 0 {
		return true
	}
	if len(t.rest) > 0 {
		t.forwarded = true
		if s.send(t.rest) != nil {
			t.gone = true
			return false
		}
	}
	rest, err := filter.Append(t.rest[:0], messages)
	if err != nil {
		t.outcome = types.InDoubt(types.ReasonBroken, err.Error())
		return false
	}
	t.rest = rest
	return true
}

// controlWhileRunning handles the listener's messages during a batch.
func (s *sessionTask) controlWhileRunning(c control) {
	if c == controlDrain {
		s.draining = true
		return
	}
	s.cancelled = true
	_ = s.stream.Send(&meshpb.Frame{Body: &meshpb.Frame_Cancel{Cancel: &meshpb.Cancel{}}})
}

// result takes the end of a batch.
func (s *sessionTask) result(t try, r *meshpb.Result) try {
	s.task.router.Learn(r.GetView(), r.GetState())
	if r.GetRequestId() != s.nextID {
		t.outcome = types.InDoubt(types.ReasonBroken, "answer of another request")
		return t
	}
	t.outcome = types.Outcome{Kind: types.OutcomeKind(r.GetKind()), Reason: types.Reason(r.GetReason()), Detail: r.GetDetail()}
	t.status = byte(r.GetTransaction())
	t.ended = t.status == pgwire.StatusIdle && !s.cancelled
	if c := r.GetCommitted(); c != nil {
		point := types.LogPoint{Term: types.Term(c.GetTerm()), Position: types.Position(c.GetPosition())}
		s.token = s.token.Merge(session.Token{s.database: point})
		t.rest = insertParameter(t.rest, attributes.Session, s.tokenText())
	}
	if s.attrs.Trace {
		t.rest = insertParameter(t.rest, "baobab.served_by", string(s.endpoint))
	}
	return t
}

// insertParameter puts a ParameterStatus before the ReadyForQuery that ends an answer.
func insertParameter(answer []byte, name, value string) []byte {
	if len(answer) < readyLength {
		return answer
	}
	at := len(answer) - readyLength
	ready := append([]byte(nil), answer[at:]...)
	return append(pgwire.AppendParameter(answer[:at:at], name, value), ready...)
}

// finish sends the end of an answer, or the error of a batch without one.
func (s *sessionTask) finish(t try) bool {
	switch t.outcome.Kind {
	case types.Done:
		requestsDone.Inc()
		if t.status == pgwire.StatusFailed {
			s.batcher.NewStream()
		}
		return s.flush(t.rest)
	case types.NotRun:
		requestsNotRun.Inc()
	default:
		requestsUnknown.Inc()
	}
	buf := pgwire.AppendOutcome(nil, t.outcome)
	return s.flush(pgwire.AppendReady(buf, pgwire.StatusIdle))
}

// continueTransaction runs a batch of the open transaction.
func (s *sessionTask) continueTransaction(ctx context.Context, b *pgwire.Batch) bool {
	ctx, cancel := context.WithTimeout(ctx, s.task.set.RequestTimeout)
	defer cancel()
	p := s.plan(b)
	frame := &meshpb.Frame{Body: &meshpb.Frame_Batch{Batch: &meshpb.Batch{Messages: b.Messages, CanCommit: p.canCommit}}}
	var t try
	if err := s.stream.Send(frame); err != nil {
		t = try{outcome: brokenOutcome(!p.canCommit, err.Error())}
	} else {
		t = s.relay(ctx, b, !p.canCommit, s.stream.Peer)
	}
	if t.gone {
		return false
	}
	s.endStream(t)
	return s.finish(t)
}
