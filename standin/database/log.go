package database

import (
	"baobabfield.example/core/types"
)

// Value is one parameter of a logged statement. It is NULL if no field is set.
type Value struct {
	Int   *int64   `json:"i,omitempty"`
	Float *float64 `json:"f,omitempty"`
	Text  *string  `json:"t,omitempty"`
	Bytes []byte   `json:"b,omitempty"`
}

// Statement is one statement of a logged transaction.
type Statement struct {
	SQL    string  `json:"sql"`
	Values []Value `json:"values,omitempty"`
}

// Entry is one committed transaction in the log.
type Entry struct {
	Point      types.LogPoint
	Statements []Statement
}

// history holds the entries of one instance's log. Positions start at 1 and have no gaps.
type history struct {
	entries []Entry
	starts  []types.TermStart
}

// lastPoint returns the log point of the last entry.
func (h *history) lastPoint() types.LogPoint {
	if len(h.entries) == 0 {
		return types.LogPoint{}
	}
	return h.entries[len(h.entries)-1].Point
}

// startTerm records that a term's entries start after the last position.
func (h *history) startTerm(term types.Term) {
	h.starts = append(h.starts, types.TermStart{Term: term, Position: h.lastPoint().Position})
}

// append adds an entry, which must follow the last one.
func (h *history) append(e Entry) {
	if n := len(h.starts); n == 0 || h.starts[n-1].Term < e.Point.Term {
		h.startTerm(e.Point.Term)
	}
	h.entries = append(h.entries, e)
}

// entriesAfter returns at most limit entries after position p.
func (h *history) entriesAfter(p types.Position, limit int) []Entry {
	if p >= h.lastPoint().Position {
		return nil
	}
	end := min(int(p)+limit, len(h.entries))
	return h.entries[p:end:end]
}

// truncate removes the entries after position p.
func (h *history) truncate(p types.Position) {
	h.entries = h.entries[:p:p]
	keptStarts := h.starts[:0:0]
	for _, s := range h.starts {
		if s.Position < p {
			keptStarts = append(keptStarts, s)
		}
	}
	h.starts = keptStarts
}

// commonPosition returns the last position up to which this log equals another one. The
// other log is given by its last position and the starts of its terms.
func (h *history) commonPosition(last types.Position, starts []types.TermStart) types.Position {
	p := min(last, h.lastPoint().Position)
	for p > 0 && termAt(starts, p) != termAt(h.starts, p) {
		p--
	}
	return p
}

// termAt returns the term of the entry at position p.
func termAt(starts []types.TermStart, p types.Position) types.Term {
	var term types.Term
	for _, s := range starts {
		if s.Position < p {
			term = s.Term
		}
	}
	return term
}
