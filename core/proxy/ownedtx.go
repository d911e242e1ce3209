package proxy

import (
	"cmp"
	"maps"
	"slices"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/types"
)

// txKey names a transaction by the host of its caller.
type txKey struct {
	host types.Host
	tx   TxID
}

// ownedTx is a transaction that has a connection here.
type ownedTx struct {
	id       pool.TxID
	endpoint types.Endpoint
	usedAt   types.Time
}

// joinTx finds the transaction of a job, or makes it with its first statement.
func (m *Machine) joinTx(o *owned, j *job) bool {
	key := txKey{host: j.from, tx: j.exec.Tx}
	tx := m.txs[key]
	if tx == nil {
		if j.exec.Begin == nil {
			return false
		}
		m.nextPoolTx++
		tx = &ownedTx{id: m.nextPoolTx, endpoint: o.id}
		m.txs[key] = tx
	}
	tx.usedAt = m.now
	j.tx = tx.id
	return tx.endpoint == o.id
}

// ownedTxEnded gives up a transaction whose caller has gone.
func (m *Machine) ownedTxEnded(from types.Host, id TxID) {
	key := txKey{host: from, tx: id}
	tx := m.txs[key]
	if tx == nil {
		return
	}
	delete(m.txs, key)
	o := m.owned[tx.endpoint]
	if o == nil {
		return
	}
	o.pool.AbortTx(m.now, tx.id)
	o.waiting = slices.DeleteFunc(o.waiting, func(j *job) bool {
		if j.tx == tx.id {
			delete(m.jobs, j.id)
		}
		return j.tx == tx.id
	})
}

// txKeys returns the open transactions in order.
func (m *Machine) txKeys() []txKey {
	return slices.SortedFunc(maps.Keys(m.txs), func(a, b txKey) int {
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.tx, b.tx))
	})
}

// peerTxsEnded gives up all transactions of a lost host's callers.
func (m *Machine) peerTxsEnded(h types.Host) {
	for _, key := range m.txKeys() {
		if key.host == h {
			m.ownedTxEnded(h, key.tx)
		}
	}
}
