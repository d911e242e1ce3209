package endpoint

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"baobabfield.example/core/types"
)

// Status is the result of baobab_status.
type Status struct {
	Primary bool
	// Term is the highest term that the endpoint has granted.
	Term types.Term
	// LastLogPoint is the last log entry that is visible to reads.
	LastLogPoint types.LogPoint
	// ReplicatedPosition is the position up to which a majority holds the log. Only a
	// primary reports it.
	ReplicatedPosition types.Position
	// TermStarts holds the start of each term in the endpoint's log.
	TermStarts []types.TermStart
}

// FenceResult is the result of baobab_fence.
type FenceResult struct {
	Granted      bool
	Term         types.Term
	LastLogPoint types.LogPoint
	// AuthorityIdle is the time since another host last sent a status query that
	// supports its authority. It is valid if AuthorityIdleKnown is set.
	AuthorityIdle      time.Duration
	AuthorityIdleKnown bool
}

// RoleChangeResult is the result of baobab_promote and baobab_follow. LastLogPoint is set
// by baobab_promote only.
type RoleChangeResult struct {
	Done         bool
	Term         types.Term
	LastLogPoint types.LogPoint
}

// Status queries the endpoint's role, term and log position.
func (c *Conn) Status() (Status, error) { return c.queryStatus("SELECT * FROM baobab_status()") }

// StatusForAuthority is like Status and names the host in the query, so that the result
// supports the host's authority.
func (c *Conn) StatusForAuthority() (Status, error) {
	return c.queryStatus("SELECT * FROM baobab_status('" + string(c.cfg.Host) + "')")
}

// statusColumns lists the columns of baobab_status in order.
var statusColumns = []string{"role", "term", "last_term", "last_position", "replicated_position", "term_starts"}

func (c *Conn) queryStatus(sql string) (Status, error) {
	row, err := c.queryPreparedRow(sql, statusColumns)
	if err != nil {
		return Status{}, err
	}
	p := rowParser{row: row}
	s := Status{
		Primary:            row["role"] == "primary",
		Term:               types.Term(p.parseUint("term")),
		LastLogPoint:       p.lastLogPoint(),
		ReplicatedPosition: types.Position(p.parseUint("replicated_position")),
		TermStarts:         p.termStarts("term_starts"),
	}
	return s, p.err
}

// Fence requests that the endpoint grants a term and so rejects the primaries of earlier
// terms.
func (c *Conn) Fence(t types.Term) (FenceResult, error) {
	row, err := c.queryRow(fmt.Sprintf("SELECT * FROM baobab_fence(%d, '%s')", uint64(t), c.cfg.Host))
	if err != nil {
		return FenceResult{}, err
	}
	p := rowParser{row: row}
	r := FenceResult{Granted: row["granted"] == "t", Term: types.Term(p.parseUint("term")), LastLogPoint: p.lastLogPoint()}
	if row["quiet_ms"] != "" {
		r.AuthorityIdle = time.Duration(p.parseUint("quiet_ms")) * time.Millisecond
		r.AuthorityIdleKnown = true
	}
	return r, p.err
}

// Promote requests that the endpoint becomes the primary of a term that it granted.
func (c *Conn) Promote(t types.Term) (RoleChangeResult, error) {
	row, err := c.queryRow(fmt.Sprintf("SELECT * FROM baobab_promote(%d)", uint64(t)))
	if err != nil {
		return RoleChangeResult{}, err
	}
	p := rowParser{row: row}
	r := RoleChangeResult{Done: row["done"] == "t", Term: types.Term(p.parseUint("term")), LastLogPoint: p.lastLogPoint()}
	return r, p.err
}

// Follow requests that the endpoint replicates from the primary of a term.
func (c *Conn) Follow(primary types.Endpoint, address string, t types.Term) (RoleChangeResult, error) {
	row, err := c.queryRow(fmt.Sprintf("SELECT * FROM baobab_follow('%s', '%s', %d)", primary, address, uint64(t)))
	if err != nil {
		return RoleChangeResult{}, err
	}
	p := rowParser{row: row}
	r := RoleChangeResult{Done: row["done"] == "t", Term: types.Term(p.parseUint("term"))}
	return r, p.err
}

// WaitReplicated makes the primary wait until a majority of the endpoints holds pos, for
// at most the given time in whole milliseconds. It returns the primary's term and the
// position that a majority holds, which may be lower than pos.
func (c *Conn) WaitReplicated(pos types.Position, wait time.Duration) (types.LogPoint, error) {
	row, err := c.queryRow(fmt.Sprintf("SELECT * FROM baobab_replicated(%d, %d)", uint64(pos), wait.Milliseconds()))
	if err != nil {
		return types.LogPoint{}, err
	}
	p := rowParser{row: row}
	point := types.LogPoint{
		Term:     types.Term(p.parseUint("term")),
		Position: types.Position(p.parseUint("replicated_position")),
	}
	return point, p.err
}

// rowParser parses the columns of a row and keeps the first error.
type rowParser struct {
	row map[string]string
	err error
}

// parseUint parses an unsigned integer. An absent column is an error.
func (p *rowParser) parseUint(column string) uint64 {
	n, err := strconv.ParseUint(p.row[column], 10, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("column %q has value %q, not a number", column, p.row[column])
	}
	return n
}

// lastLogPoint parses the columns last_term and last_position.
func (p *rowParser) lastLogPoint() types.LogPoint {
	return types.LogPoint{
		Term:     types.Term(p.parseUint("last_term")),
		Position: types.Position(p.parseUint("last_position")),
	}
}

// termStarts parses a comma-separated list of term starts.
func (p *rowParser) termStarts(column string) []types.TermStart {
	var out []types.TermStart
	for _, field := range strings.Split(p.row[column], ",") {
		if field == "" {
			continue
		}
		point, err := parseLogPoint(field)
		if err != nil && p.err == nil {
			p.err = fmt.Errorf("column %q: %w", column, err)
		}
		out = append(out, types.TermStart(point))
	}
	return out
}

// parseLogPoint parses a log point of the form "term:position".
func parseLogPoint(text string) (types.LogPoint, error) {
	termText, positionText, ok := strings.Cut(text, ":")
	term, termErr := strconv.ParseUint(termText, 10, 64)
	position, positionErr := strconv.ParseUint(positionText, 10, 64)
	if !ok || termErr != nil || positionErr != nil {
		return types.LogPoint{}, fmt.Errorf("log point %q is not \"term:position\"", text)
	}
	return types.LogPoint{Term: types.Term(term), Position: types.Position(position)}, nil
}
