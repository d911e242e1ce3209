package types

import "fmt"

// Term is the number of a period in which one endpoint of a database is primary.
// The upper 32 bits hold the number of the database's endpoint set and the lower
// 32 bits the number of the election campaign within that set. Every term of a
// later set is therefore higher than all terms of an earlier one.
type Term uint64

// campaignBits is the number of low bits of a Term that hold the campaign number.
const campaignBits = 32

// MakeTerm returns the term of a campaign within an endpoint set.
func MakeTerm(endpointSet, campaign uint32) Term {
	return Term(uint64(endpointSet)<<campaignBits | uint64(campaign))
}

// EndpointSet returns the number of the endpoint set that the term belongs to.
func (t Term) EndpointSet() uint32 { return uint32(t >> campaignBits) }

// Campaign returns the number of the campaign within the term's endpoint set.
func (t Term) Campaign() uint32 { return uint32(t) }

// Position is an offset in a database's log, counted in entries.
type Position uint64

// LogPoint identifies an entry in the history of a database's log: a position
// and the term of the entry at that position.
type LogPoint struct {
	Term     Term
	Position Position
}

// Less reports whether p precedes q. Terms are compared before positions.
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

// TermStart records where a term begins in the log. The entries of the term
// have positions greater than Position.
type TermStart struct {
	Term     Term
	Position Position
}
