package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/types"
)

// A link that falls silent loses requests on the way to the owner, or their results on the way back.
// After the frontend has replaced the link, it asks the owner about its outstanding requests. The
// owner sends the results that it still has again, and names the requests that it has not received.
// It will not run those any more, so that they can be attempted again, whatever they do. The answer
// counts only from the process of the owner that the request was sent to.

const (
	// settlementTimeout is the time after the replacement of a link by which the owner must have
	// answered. Requests that it has not answered for end without a reply.
	settlementTimeout = 350 * time.Millisecond
	// receivedRequestAge is the time for which an owner remembers a request. It exceeds the time for
	// which a replaced link is read. The result is kept as well if its reply is at most
	// maxKeptReplyBytes.
	receivedRequestAge = 12 * time.Second
	maxKeptReplyBytes  = 1 << 10
	// maxSettlementAge is the age up to which the owner is asked about a request. It is well below
	// receivedRequestAge: a request that the owner has forgotten looks like one that it has not
	// received.
	maxSettlementAge = receivedRequestAge / 2
)

// OutstandingRequests asks the owner which of the sender's requests it has not received. Started is
// the start time of the owner's process that they were sent to.
type OutstandingRequests struct {
	IDs           []RequestID
	StartedUnixMs int64
}

// RequestsNotReceived is the reply to OutstandingRequests. The sender will not run the requests that
// it has not received. It has sent, or will send, the results of the others among IDs.
type RequestsNotReceived struct {
	IDs         []RequestID
	NotReceived []RequestID
}

func (OutstandingRequests) isMessage() {}
func (RequestsNotReceived) isMessage() {}

// requestKey identifies a request at its owner.
type requestKey struct {
	from types.Host
	id   RequestID
}

// receivedRequest is a request that this host has received as an owner, or will not run if it still
// arrives.
type receivedRequest struct {
	key        requestKey
	result     *ExecResult
	receivedAt types.Time
}

// noteReceived records a request of another host. It returns false if the request must not run,
// since the host was told so.
func (m *Machine) noteReceived(from types.Host, id RequestID) bool {
	if from == m.settings.Host {
		return true
	}
	key := requestKey{from, id}
	if m.received[key] != nil {
		return false
	}
	m.rememberRequest(key)
	return true
}

// keepResult records the result of a request of another host.
func (m *Machine) keepResult(from types.Host, res *ExecResult) {
	if r := m.received[requestKey{from, res.ID}]; r != nil && replyBytes(&res.Reply) <= maxKeptReplyBytes {
		kept := *res
		r.result = &kept
	}
}

// rememberRequest records a request for receivedRequestAge.
func (m *Machine) rememberRequest(key requestKey) {
	r := &receivedRequest{key: key, receivedAt: m.now}
	m.received[key] = r
	m.receivedInOrder = append(m.receivedInOrder, r)
}

// tickReceived forgets the requests whose time has come.
func (m *Machine) tickReceived() {
	due := 0
	for due < len(m.receivedInOrder) && m.now.Sub(m.receivedInOrder[due].receivedAt) >= receivedRequestAge {
		delete(m.received, m.receivedInOrder[due].key)
		due++
	}
	m.receivedInOrder = slices.Delete(m.receivedInOrder, 0, due)
}

// queryOutstanding asks a host about the requests that it has not answered.
func (m *Machine) queryOutstanding(h types.Host) {
	msg := OutstandingRequests{}
	for _, r := range ordered(m.requests) {
		if r.host != h || r.deferredAt != 0 || m.now.Sub(r.attemptedAt) > maxSettlementAge || (msg.StartedUnixMs != 0 && r.hostStartedUnixMs != msg.StartedUnixMs) {
			continue
		}
		r.unsettledSince = m.now
		msg.StartedUnixMs = r.hostStartedUnixMs
		msg.IDs = append(msg.IDs, r.id)
	}
	if len(msg.IDs) > 0 {
		m.sendToHost(h, msg)
	}
}

// handleOutstandingRequests answers another host's question about its requests.
func (m *Machine) handleOutstandingRequests(from types.Host, msg OutstandingRequests) {
	if msg.StartedUnixMs != m.settings.StartedUnixMs {
		return
	}
	answer := RequestsNotReceived{IDs: msg.IDs}
	resent := 0
	for _, id := range msg.IDs {
		r := m.received[requestKey{from, id}]
		switch {
		case r == nil:
			answer.NotReceived = append(answer.NotReceived, id)
			m.rememberRequest(requestKey{from, id})
		case r.result != nil:
			resent++
			m.sendToHost(from, *r.result)
		}
	}
	m.log(Info, "requests settled", field("peer", from), field("requests", len(msg.IDs)), field("not_received", len(answer.NotReceived)), field("results_repeated", resent))
	m.sendToHost(from, answer)
}

// handleRequestsNotReceived attempts the requests again that their owner has not received. An answer
// after settlementTimeout does not count: the owner may have forgotten the requests.
func (m *Machine) handleRequestsNotReceived(from types.Host, msg RequestsNotReceived) {
	settled := map[RequestID]*request{}
	for _, id := range msg.IDs {
		if r := m.requests[id]; r != nil && r.host == from && isRecent(m.now, r.unsettledSince, settlementTimeout) {
			r.unsettledSince = 0
			settled[id] = r
		}
	}
	for _, id := range msg.NotReceived {
		r := settled[id]
		if r == nil || r.deferredAt != 0 {
			continue
		}
		m.incrementCounter("baobab_requests_resent_total")
		m.removeInFlight(r)
		r.lastReason = types.ReasonBroken
		if !m.now.Before(r.deadline) || r.attempts >= maxAttempts {
			m.retryOrRefuse(r, types.ReasonBroken)
			continue
		}
		m.attemptRequest(r)
	}
}

// endUnsettled ends a request about which its owner has not answered in time.
func (m *Machine) endUnsettled(r *request) bool {
	if r.unsettledSince == 0 || m.now.Sub(r.unsettledSince) < settlementTimeout {
		return false
	}
	m.removeInFlight(r)
	m.handleLostReply(r, types.ReasonBroken)
	return true
}
