package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// execute runs one statement and returns the whole response.
func (i *Instance) execute(c *connection, id, verb, text, after string) string {
	args := strings.SplitN(text, " ", 4)
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return i.executeCommand(verb, args)
	case "BEGIN":
		if len(args) == 1 && !i.primary {
			return c.errorResponse(i, "READONLY")
		}
		if after != "" && !i.hasPosition(after) {
			return c.errorResponse(i, "LAGGING")
		}
		if c.inTransaction {
			i.fleet.recordViolation("transaction %s begins inside another at instance %s", id, i.ID)
		}
		c.inTransaction, c.readOnly, c.pendingWrites = true, len(args) > 1, nil
	case "ROLLBACK":
		c.endTransaction()
	case "RESET":
		clear(c.settings)
		clear(c.preparedStatements)
	case "SET":
		c.settings[args[1]] = strings.TrimPrefix(text, "SET "+args[1]+" ")
	case "PREPARE":
		c.preparedStatements[args[1]] = args[2] + " " + args[3]
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return i.executeStatement(c, id, verb, args, after)
	default:
		return c.errorResponse(i, "MALFORMED")
	}
	return c.appendReady(i, "COMPLETE -\r\n")
}

func (c *connection) endTransaction() { c.inTransaction, c.failed, c.pendingWrites = false, false, nil }

func (i *Instance) executeStatement(c *connection, id, verb string, args []string, after string) string {
	writes := verb == "WRITE"
	if verb == "EXECUTE" {
		prepared, ok := c.preparedStatements[args[1]]
		if !ok {
			return c.errorResponse(i, "NOSTMT")
		}
		writes = strings.HasPrefix(prepared, "WRITE")
	}
	i.fleet.operations.checkExecution(i, c, id, verb, writes)
	switch {
	case after != "" && !i.hasPosition(after):
		return c.errorResponse(i, "LAGGING")
	case (writes || (c.inTransaction && !c.readOnly && (verb != "COMMIT" || len(c.pendingWrites) > 0))) && !i.primary:
		c.failed = c.inTransaction
		return c.errorResponse(i, "READONLY")
	case verb == "COMMIT":
		if len(c.pendingWrites) > 0 {
			i.commitWrites(c.pendingWrites)
		}
		c.endTransaction()
	case writes && c.inTransaction:
		c.pendingWrites = append(c.pendingWrites, id)
	case writes:
		i.commitWrites([]string{id})
	}
	i.fleet.operations.recordExecution(c, id)
	rows := "DATAROW " + id + "\r\n"
	if verb == "READ" && i.readRowBytes > 0 {
		rows += "DATAROW " + strings.Repeat("x", i.readRowBytes) + "\r\n"
	}
	return c.appendReady(i, rows+"COMPLETE "+i.ID+"/"+id+"\r\n")
}

func (c *connection) errorResponse(i *Instance, code string) string {
	return c.appendReady(i, "ERROR "+code+" "+i.ID+"\r\n")
}

func (c *connection) appendReady(i *Instance, response string) string {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.inTransaction:
		state = "T"
	}
	return response + "READY " + state + " " + i.logPosition() + "\r\n"
}

// executeCommand runs STATUS, PAUSE, RESUME or STEPDOWN and returns the status row.
func (i *Instance) executeCommand(verb string, args []string) string {
	term := uint64(0)
	if len(args) > 1 {
		term, _ = strconv.ParseUint(args[1], 10, 64)
	}
	switch {
	case verb == "PAUSE" && !i.primary && term > i.term:
		i.paused, i.fencedTerm = true, max(i.fencedTerm, term)
	case verb == "RESUME":
		i.paused, i.fencedTerm = false, 0
	case verb == "STEPDOWN" && i.primary && term > i.term:
		i.primary, i.fencedTerm = false, term
		i.writeRecord()
	}
	role := "replica"
	if i.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d\r\nCOMPLETE -\r\nREADY I %s\r\n",
		role, i.term, i.logPosition(), i.fencedTerm, i.runningStatements, len(i.connections), i.logPosition())
}
