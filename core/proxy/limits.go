package proxy

import (
	"time"

	"baobabfield.example/core/limits"
	"baobabfield.example/core/locality"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// maxRefundAge is the time after which an operation that has not run is not refunded. A token that
// was used long before would add to those of the present span.
const maxRefundAge = 500 * time.Millisecond

// limitState connects the rate limits of the workspaces.
type limitState struct {
	machine *limits.Machine
	// pending holds the executions that wait for a grant.
	pending map[pool.RequestID]*execution
	// hostsChanged is set after a change of the hosts.
	hostsChanged bool
}

func newLimitState(settings Settings) limitState {
	return limitState{
		machine: limits.New(limits.Settings{Host: settings.Host, Seed: random.Hash(settings.Seed, "limits")}),
		pending: map[pool.RequestID]*execution{},
	}
}

// configureLimits puts the limits of a new configuration in force.
func (m *Machine) configureLimits() {
	list := make([]limits.Limit, 0, len(m.catalog.Workspaces()))
	for _, w := range m.catalog.Workspaces() {
		list = append(list, limits.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	m.limits.machine.Configure(m.now, list)
	m.limits.hostsChanged = true
}

// updateLimitHosts passes a change of the hosts on. Without a limit, or before the list of the
// hosts is known, it does nothing.
func (m *Machine) updateLimitHosts() {
	if !m.limits.hostsChanged || !m.limits.machine.Active() || m.mirror.AsOf(KindHosts) == 0 {
		return
	}
	m.limits.hostsChanged = false
	known := m.catalog.Hosts()
	var candidates []locality.Host
	for i := range known {
		if m.keepsWorkspacesApart(&known[i]) {
			candidates = append(candidates, locality.Host{ID: known[i].ID, DataCentre: known[i].DataCentre, Power: known[i].CPUMillicores})
		}
	}
	eligible := map[types.Host]bool{}
	for _, h := range locality.StrongHosts(candidates) {
		eligible[h.ID] = true
	}
	// A data centre without strong hosts may have weak owners. Without a share of their own, they
	// would refuse all operations while they reach no strong host.
	for _, dc := range m.catalog.EndpointDataCentres() {
		for _, h := range m.ownerCandidates(dc, candidates) {
			eligible[h.ID] = true
		}
	}
	hosts := make([]limits.Host, 0, len(known))
	for _, h := range known {
		leaving := h.Leaving || m.peerLeaves(h.ID, h.StartedUnixMs)
		hosts = append(hosts, limits.Host{ID: h.ID, Eligible: eligible[h.ID], Usable: m.isUsable(h), Leaving: leaving})
	}
	m.limits.machine.SetHosts(m.now, hosts)
}

// peerLeaves reports whether a process of a host has announced that it leaves.
func (m *Machine) peerLeaves(h types.Host, startedUnixMs int64) bool {
	p := m.peers[h]
	return p != nil && p.leavingIncarnation != 0 && p.leavingIncarnation == startedUnixMs
}

func (m *Machine) tickLimits() {
	m.updateLimitHosts()
	m.limits.machine.Tick(m.now)
}

func (m *Machine) handleLimitMessage(from types.Host, msg Message) {
	switch msg := msg.(type) {
	case LimitReport:
		m.limits.machine.HandleReport(m.now, from, (*limits.Report)(&msg))
	case LimitGrant:
		m.limits.machine.HandleGrants(m.now, from, (*limits.Grants)(&msg))
	}
}

// countOperation counts an operation towards the limit of its workspace, with its first statement.
// It returns false if the operation is refused or has to wait for a grant.
func (m *Machine) countOperation(o *ownedEndpoint, ex *execution) bool {
	w := ex.request.Workspace
	if w == "" || ex.continuesTx() || !m.limits.machine.HasLimit(w) {
		return true
	}
	d := m.limits.machine.Admit(m.now, w, uint64(ex.id))
	switch d.Verdict {
	case limits.Pending:
		m.limits.pending[ex.id] = ex
		return false
	case limits.Refused:
		m.refuseLimited(o, ex, &d)
		return false
	}
	m.markCounted(ex)
	return true
}

func (m *Machine) markCounted(ex *execution) {
	ex.isCounted = true
	m.incrementCounter("baobab_limit_admitted_total")
}

func (m *Machine) refuseLimited(o *ownedEndpoint, ex *execution, d *limits.Decision) {
	m.incrementCounter("baobab_limit_refused_total")
	m.log(Info, "operation above the limit", field("id", ex.request.Query.ID), field("workspace", ex.request.Workspace), field("limit", d.Limit),
		field("tokens", d.Tokens), field("grant", d.Share), field("grant_age", d.GrantAge), field("allocator", d.Allocator), field("retry_after", d.RetryAfter))
	m.finishExecution(o, ex, ExecResult{Reason: types.ReasonLimited, RetryAfter: d.RetryAfter})
}

// refundOperation returns the token of an operation that has not run.
func (m *Machine) refundOperation(ex *execution, res *ExecResult) {
	if ex.isCounted && (!res.MayHaveRun || res.Reply.Code.NotRun()) && m.now.Sub(ex.arrivedAt) <= maxRefundAge {
		m.limits.machine.Refund(m.now, ex.request.Workspace)
	}
	ex.isCounted = false
}

// resolveOperation continues an operation that has waited for a grant.
func (m *Machine) resolveOperation(r limits.Resolution) {
	ex := m.limits.pending[pool.RequestID(r.Operation)]
	if ex == nil {
		return
	}
	delete(m.limits.pending, ex.id)
	if r.Decision.Verdict == limits.Admitted {
		m.markCounted(ex)
	}
	o := m.owned[ex.endpoint]
	key := txKey{host: ex.from, tx: ex.request.Tx}
	tx := m.ownedTxs[key]
	switch {
	case ex.tx != 0 && (tx == nil || tx.id != ex.tx): // the frontend has ended the transaction
		m.removeExecution(ex)
		m.refundOperation(ex, &ExecResult{})
	case o == nil:
		if ex.tx != 0 {
			// The frontend may begin the transaction at another endpoint of this host.
			delete(m.ownedTxs, key)
		}
		m.removeExecution(ex)
		m.refundOperation(ex, &ExecResult{})
		m.sendResult(ex, ExecResult{Reason: types.ReasonUnreachable})
	case r.Decision.Verdict == limits.Admitted:
		m.admitExecution(o, ex)
	default:
		m.refuseLimited(o, ex, &r.Decision)
	}
}

// applyLimitOutput sends the messages about limits, continues the operations that have waited, and
// logs changes. It reports whether there was anything to do.
func (m *Machine) applyLimitOutput() bool {
	m.updateLimitHosts()
	messages, resolutions := m.limits.machine.TakeMessages(), m.limits.machine.TakeResolutions()
	for _, msg := range messages {
		if msg.Report != nil {
			m.sendToHost(msg.To, LimitReport(*msg.Report))
		} else {
			m.sendToHost(msg.To, LimitGrant(*msg.Grants))
		}
	}
	for _, r := range resolutions {
		m.resolveOperation(r)
	}
	m.logLimitChanges()
	return len(messages) > 0 || len(resolutions) > 0
}

func (m *Machine) logLimitChanges() {
	for _, c := range m.limits.machine.TakeAllocatorChanges() {
		m.log(Info, "limit allocator changed", field("group", c.Group), field("from", c.From), field("to", c.To), field("silent", c.Silent))
	}
	for _, c := range m.limits.machine.TakeLimitedChanges() {
		event := "workspace within its limit"
		if c.Limited {
			event = "workspace above its limit"
		}
		m.log(Info, event, field("workspace", c.Workspace), field("refused", c.Refused))
	}
}
