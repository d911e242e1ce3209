package types

import "fmt"

// Term numbers the periods in which one endpoint of a database is primary.
// The upper 32 bits number the database's endpoint set, the lower 32 bits
// the campaigns within that set, so a later set always outranks an earlier one.
type Term uint64

// campaignBits is the number of low bits of a Term that number campaigns.
const campaignBits = 32

// MakeTerm returns the term for campaign number n within endpoint set number set.
func MakeTerm(endpointSet, campaign uint32) Term {
	return Term(uint64(endpointSet)<<campaignBits | uint64(campaign))
}

// EndpointSet returns the number of the endpoint set that the term belongs to.
func (t Term) EndpointSet() uint32 { return uint32(t >> campaignBits) }

// Campaign returns the number of the campaign within the term's endpoint set.
func (t Term) Campaign() uint32 { return uint32(t) }

// Position is an offset in a database's log, counted in entries.
type Position uint64

// LogPoint is a place in the history of a database's log: a position together
// with the term of the entry at that position.
type LogPoint struct {
	Term     Term
	Position Position
}

// Less reports whether p precedes q, comparing terms first.
func (p LogPoint) Less(q LogPoint) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Position < q.Position
}

// String formats the point as "set.campaign/position".
func (p LogPoint) String() string {
	return fmt.Sprintf("%d.%d/%d", p.Term.EndpointSet(), p.Term.Campaign(), p.Position)
}

// TermStart records the position at which a term's log begins: the entries of
// the term have positions greater than Position.
type TermStart struct {
	Term     Term
	Position Position
}
