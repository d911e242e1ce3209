package session

import "baobabfield.example/core/types"

// Token maps each database that a session wrote to, to the log point of the last write
// there.
type Token map[types.Database]types.LogPoint

// Merge returns a token that covers both t and u. It modifies neither.
func (t Token) Merge(u Token) Token {
	merged := make(Token, len(t)+len(u))
	for db, point := range t {
		merged[db] = point
	}
	for db, point := range u {
		if old, ok := merged[db]; !ok || old.Less(point) {
			merged[db] = point
		}
	}
	return merged
}

// Covers reports whether t contains the same or a later log point for every database in
// u.
func (t Token) Covers(u Token) bool {
	for db, point := range u {
		own, ok := t[db]
		if !ok || own.Less(point) {
			return false
		}
	}
	return true
}
