package database

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"baobabfield.example/core/types"
)

// Limits of one response to baobab_log.
const (
	maxLogEntries  = 256
	logWaitTimeout = 500 * time.Millisecond
)

// controlColumns are the result columns of each control function.
var controlColumns = map[string][]string{
	"baobab_status":     {"role", "term", "last_term", "last_position", "replicated_position", "term_starts"},
	"baobab_fence":      {"granted", "term", "last_term", "last_position", "quiet_ms"},
	"baobab_promote":    {"done", "term", "last_term", "last_position"},
	"baobab_follow":     {"done", "term"},
	"baobab_replicated": {"term", "replicated_position"},
	"baobab_fork":       {"done", "position"},
	"baobab_log":        {"term", "position", "statements"},
}

// splitArguments splits a function's arguments at the commas outside quotes.
func splitArguments(text string) []string {
	var arguments []string
	start := 0
	scanSQL(text, func(i int) {
		if text[i] == ',' {
			arguments = append(arguments, unquote(text[start:i]))
			start = i + 1
		}
	})
	if strings.TrimSpace(text[start:]) != "" {
		arguments = append(arguments, unquote(text[start:]))
	}
	return arguments
}

// executeControl runs a control function: one that docs/ENDPOINT.md describes, or one
// that replicas call.
func (c *connection) executeControl(name string, arguments []string) (*queryResult, error) {
	call := controlArguments{name: name, arguments: arguments}
	var rows [][]any
	switch name {
	case "baobab_status":
		rows = [][]any{c.executeStatus(arguments)}
	case "baobab_fence":
		rows = [][]any{c.executeFence(&call)}
	case "baobab_promote":
		rows = [][]any{c.changeTerm((*replicatedLog).promote, call.termArgument(0))}
	case "baobab_follow":
		rows = [][]any{c.executeFollow(&call)}
	case "baobab_replicated":
		rows = [][]any{c.executeReplicated(&call)}
	case "baobab_fork":
		rows = [][]any{c.executeFork(&call)}
	case "baobab_log":
		rows = c.executeLog(&call)
	default:
		return nil, &Error{SQLState: "42883", Message: "function " + name + " does not exist"}
	}
	if call.err != nil {
		return nil, call.err
	}
	return textResult("SELECT "+formatInt(int64(len(rows))), controlColumns[name], rows...), nil
}

// controlArguments decodes the arguments of a control function.
type controlArguments struct {
	name      string
	arguments []string
	// err names the last missing argument. If none is missing, it names the first
	// malformed one.
	err error
}

func (a *controlArguments) textArgument(i int) string {
	if i < len(a.arguments) {
		return a.arguments[i]
	}
	a.err = &Error{SQLState: sqlStateInvalidParameterValue, Message: a.name + " needs argument " + strconv.Itoa(i+1)}
	return ""
}

func (a *controlArguments) numberArgument(i int) uint64 {
	argument := a.textArgument(i)
	n, err := strconv.ParseUint(argument, 10, 64)
	if err != nil && a.err == nil {
		a.err = &Error{SQLState: sqlStateInvalidParameterValue, Message: "argument " + strconv.Quote(argument) + " of " + a.name + " is no number"}
	}
	return n
}

func (a *controlArguments) termArgument(i int) types.Term { return types.Term(a.numberArgument(i)) }

func (a *controlArguments) positionArgument(i int) types.Position {
	return types.Position(a.numberArgument(i))
}

func formatBool(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

// executeStatus returns the instance's status. The optional argument names the host
// whose write authority relies on the response.
func (c *connection) executeStatus(arguments []string) []any {
	l := c.instance.log
	s := runOnLog(l, func() Status {
		if len(arguments) > 0 {
			l.recordQuery(arguments[0])
		}
		return l.status()
	})
	return []any{
		string(s.Role), formatTerm(s.Term), formatTerm(s.Last.Term), formatPosition(s.Last.Position),
		formatPosition(s.Replicated), formatStarts(s.Starts),
	}
}

// executeFence raises the term. The optional second argument names the requesting host.
func (c *connection) executeFence(call *controlArguments) []any {
	term, host := call.termArgument(0), ""
	if len(call.arguments) > 1 {
		host = call.arguments[1]
	}
	row := c.changeTerm((*replicatedLog).fence, term)
	l := c.instance.log
	sinceQuery := runOnLog(l, func() time.Duration { return l.timeSinceQuery(host) })
	return append(row, formatInt(sinceQuery.Milliseconds()))
}

// changeTerm calls fence or promote for a term and returns the result row.
func (c *connection) changeTerm(f func(*replicatedLog, types.Term) bool, term types.Term) []any {
	l := c.instance.log
	return runOnLog(l, func() []any {
		done := f(l, term)
		last := l.history.lastPoint()
		return []any{formatBool(done), formatTerm(l.term), formatTerm(last.Term), formatPosition(last.Position)}
	})
}

func (c *connection) executeFollow(call *controlArguments) []any {
	target := primaryTarget{id: types.Endpoint(call.textArgument(0)), address: call.textArgument(1)}
	term := call.termArgument(2)
	if call.err != nil {
		return nil
	}
	l := c.instance.log
	return runOnLog(l, func() []any {
		done := l.follow(target, term)
		return []any{formatBool(done), formatTerm(l.term)}
	})
}

func (c *connection) executeReplicated(call *controlArguments) []any {
	position, wait := call.positionArgument(0), time.Duration(call.numberArgument(1))*time.Millisecond
	if call.err != nil {
		return nil
	}
	l := c.instance.log
	c.waitForCondition(wait, func() bool { return l.role != RolePrimary || l.replicatedPosition() >= position })
	return runOnLog(l, func() []any { return []any{formatTerm(l.term), formatPosition(l.replicatedPosition())} })
}

// waitForCondition waits until a condition on the replicated log holds, its role or
// term changes, or the limit has passed. It also returns if the statement is canceled or
// the connection ends.
func (c *connection) waitForCondition(limit time.Duration, ready func() bool) {
	l := c.instance.log
	wake := runOnLog(l, func() chan struct{} { return l.addWaiter(ready) })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-wake:
		return
	case <-timer.C:
	case <-c.registration.cancel:
	case <-c.ctx.Done():
	}
	runOnLog(l, func() bool { l.removeWaiter(wake); return true })
}

// executeFork returns the last position up to which a replica's log equals the primary's.
func (c *connection) executeFork(call *controlArguments) []any {
	term, last := call.termArgument(0), call.positionArgument(1)
	starts, err := parseStarts(call.textArgument(2))
	if err != nil && call.err == nil {
		call.err = &Error{SQLState: sqlStateInvalidParameterValue, Message: err.Error()}
	}
	l := c.instance.log
	return runOnLog(l, func() []any {
		if l.role != RolePrimary || l.term != term {
			return []any{"f", "0"}
		}
		return []any{"t", formatPosition(l.history.commonPosition(last, starts))}
	})
}

// executeLog records the position that a replica acknowledges and returns the entries
// after it. It waits up to logWaitTimeout for the first one.
func (c *connection) executeLog(call *controlArguments) [][]any {
	peer, term, acknowledged := types.Endpoint(call.textArgument(0)), call.termArgument(1), call.positionArgument(2)
	if call.err != nil {
		return nil
	}
	l := c.instance.log
	isPrimary := func() bool { return l.role == RolePrimary && l.term == term }
	runOnLog(l, func() bool {
		if isPrimary() {
			l.recordAcknowledgment(peer, acknowledged)
		}
		return true
	})
	c.waitForCondition(logWaitTimeout, func() bool { return !isPrimary() || l.history.lastPoint().Position > acknowledged })
	entries := runOnLog(l, func() []Entry {
		if !isPrimary() {
			call.err = errReadOnly
			return nil
		}
		return l.history.entriesAfter(acknowledged, maxLogEntries)
	})
	return encodeEntries(entries)
}

func encodeEntries(entries []Entry) [][]any {
	rows := make([][]any, 0, len(entries))
	for _, e := range entries {
		statements, err := json.Marshal(e.Statements)
		if err != nil {
			panic("a logged statement cannot be encoded: " + err.Error())
		}
		rows = append(rows, []any{formatTerm(e.Point.Term), formatPosition(e.Point.Position), string(statements)})
	}
	return rows
}
