package proxy

import (
	"cmp"
	"maps"
	"slices"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/types"
)

// txKey identifies a transaction by its frontend and the frontend's transaction id.
type txKey struct {
	host types.Host
	tx   TxID
}

// ownedTx is a transaction for which this host, as the owner, holds a connection.
type ownedTx struct {
	id         pool.TxID
	endpoint   types.Endpoint
	lastUsedAt types.Time
	// link is the link on which the last statement arrived.
	link LinkID
}

// resolveTx assigns an execution to its transaction, which its first statement creates. It
// reports false if the transaction does not exist or belongs to another endpoint.
func (m *Machine) resolveTx(o *ownedEndpoint, ex *execution) bool {
	key := txKey{host: ex.from, tx: ex.request.Tx}
	tx := m.ownedTxs[key]
	if tx == nil {
		if ex.request.Begin == nil {
			return false
		}
		m.nextPoolTxID++
		tx = &ownedTx{id: m.nextPoolTxID, endpoint: o.id}
		m.ownedTxs[key] = tx
	}
	tx.lastUsedAt, tx.link = m.now, m.inboundLink
	ex.tx = tx.id
	return tx.endpoint == o.id
}

// endOwnedTx ends a transaction that its frontend no longer uses, and drops its waiting
// executions.
func (m *Machine) endOwnedTx(from types.Host, id TxID) {
	key := txKey{host: from, tx: id}
	tx := m.ownedTxs[key]
	if tx == nil {
		return
	}
	delete(m.ownedTxs, key)
	o := m.owned[tx.endpoint]
	if o == nil {
		return
	}
	o.pool.AbortTx(m.now, tx.id)
	o.waitingExecutions = slices.DeleteFunc(o.waitingExecutions, func(ex *execution) bool {
		if ex.tx == tx.id {
			m.removeExecution(ex)
			m.refundOperation(ex, &ExecResult{})
		}
		return ex.tx == tx.id
	})
}

// txKeys returns the keys of the open transactions, sorted.
func (m *Machine) txKeys() []txKey {
	return slices.SortedFunc(maps.Keys(m.ownedTxs), func(a, b txKey) int {
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.tx, b.tx))
	})
}

// endTxsOfHost ends the selected transactions of a frontend.
func (m *Machine) endTxsOfHost(h types.Host, selected func(*ownedTx) bool) {
	for _, key := range m.txKeys() {
		if key.host == h && selected(m.ownedTxs[key]) {
			m.endOwnedTx(h, key.tx)
		}
	}
}
