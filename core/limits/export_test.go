package limits

import "baobabfield.example/core/types"

// InUse returns the share of a workspace's limit that this host may use, and the tokens that it
// holds as a host and as an allocator.
func (m *Machine) InUse(now types.Time, w types.Workspace) (share, tokens float64) {
	b := m.buckets[w]
	m.advance(b, now)
	granted, static := b.shareAt(m, now)
	tokens = b.tokens
	if now.Before(b.stockUntil) {
		tokens += float64(b.stock)
	}
	k := &b.group.allocator
	k.advance(now)
	k.advanceAccount(k.accounts[w], now)
	return granted + static, tokens + k.accounts[w].tokens
}

// IsHolder reports whether this host holds a static share.
func (m *Machine) IsHolder() bool { return m.membership.isHolder }
