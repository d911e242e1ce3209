package fleet

import (
	"strings"
	"time"
)

// writeHistory is the record of one write.
type writeHistory struct {
	commits      int
	acknowledged bool
	refused      bool
	// dropped is set if a new primary's log lacks the committed write.
	dropped bool
	// onReplacedPrimary is set if another instance was primary in a later term at
	// the commit.
	onReplacedPrimary bool
	acknowledgedAt    time.Time
}

// operationLog holds the history of every write by its ID. The fleet's goroutine owns it.
type operationLog struct {
	writes map[string]*writeHistory
	// sent holds the statements that callers sent, by ID.
	sent map[string]sentStatement
	// acknowledgedWrites are the most recently acknowledged writes, oldest first.
	acknowledgedWrites []string
	// workspaces holds the workspace of each caller that has declared one.
	workspaces map[string]string
	// forbiddenText must be in no line that an instance receives; empty for none.
	forbiddenText string
	// executions holds the statements of these callers that ran.
	executions []Execution
}

// Execution is a statement that an instance ran without an error.
type Execution struct {
	ID string
	// Workspace is the one that the connection was opened for.
	Workspace string
	At        time.Time
}

// sentStatement is a statement that a caller sent.
type sentStatement struct {
	// beganAt is the time at which the operation that contains the statement began.
	beganAt time.Time
	// mustBeCurrent is set for a read that has to see every commit acknowledged
	// before beganAt.
	mustBeCurrent bool
}

// checkedWrites is the number of acknowledged writes that each current read is checked
// against.
const checkedWrites = 200

func newOperationLog() operationLog {
	return operationLog{writes: map[string]*writeHistory{}, sent: map[string]sentStatement{}, workspaces: map[string]string{}}
}

func (l *operationLog) historyOf(id string) *writeHistory {
	w := l.writes[id]
	if w == nil {
		w = &writeHistory{}
		l.writes[id] = w
	}
	return w
}

// RecordSent records that a caller sends a statement of an operation that began at
// beganAt. If mustBeCurrent is set, a read has to see every commit acknowledged before
// then.
func (f *Fleet) RecordSent(id string, beganAt time.Time, mustBeCurrent bool) {
	f.runOnFleet(func() { f.operations.sent[id] = sentStatement{beganAt: beganAt, mustBeCurrent: mustBeCurrent} })
}

// RecordAcknowledged records that a caller's writes were acknowledged.
func (f *Fleet) RecordAcknowledged(ids []string) {
	f.runOnFleet(func() {
		for _, id := range ids {
			w := f.operations.historyOf(id)
			w.acknowledged, w.acknowledgedAt = true, time.Now()
			f.operations.acknowledgedWrites = append(f.operations.acknowledgedWrites, id)
			if w.commits == 0 {
				f.recordViolation("write %s was acknowledged but not committed", id)
			}
			if w.onReplacedPrimary {
				f.recordViolation("write %s was acknowledged by a replaced primary", id)
			}
		}
	})
}

// RecordRefused records that a caller received the answer that none of its writes took
// effect.
func (f *Fleet) RecordRefused(ids []string) {
	f.runOnFleet(func() {
		for _, id := range ids {
			w := f.operations.historyOf(id)
			w.refused = true
			if w.commits > 0 && !w.dropped {
				f.recordViolation("write %s was refused but has been committed", id)
			}
		}
	})
}

// checkExecution checks that a caller sent the statement, that it shares no transaction
// with another caller's writes, and that no write runs twice. It also checks a read that
// must be current.
func (l *operationLog) checkExecution(i *Instance, c *connection, id, verb string, writes bool) {
	sent, ok := l.sent[id]
	if !ok {
		i.fleet.recordViolation("instance %s ran %s %s, which no caller sent", i.ID, verb, id)
	}
	if verb == "READ" && sent.mustBeCurrent {
		l.checkReadIsCurrent(i, id, sent.beganAt)
	}
	caller, _, _ := strings.Cut(id, ".")
	if workspace, ok := l.workspaces[caller]; ok && workspace != c.workspace {
		i.fleet.recordViolation("statement %s of workspace %q ran on a connection of %q at instance %s", id, workspace, c.workspace, i.ID)
	}
	for _, other := range c.pendingWrites {
		if otherCaller, _, _ := strings.Cut(other, "."); otherCaller != caller {
			i.fleet.recordViolation("statement %s ran in the transaction of caller %s", id, otherCaller)
		}
	}
	if writes && verb != "COMMIT" && !c.inTransaction && l.historyOf(id).commits > 0 {
		i.fleet.recordViolation("write %s ran again after its commit", id)
	}
}

// RecordWorkspace records the workspace of a caller. Its statements may run only on connections
// of that workspace, and are kept for Executions.
func (f *Fleet) RecordWorkspace(caller, workspace string) {
	f.runOnFleet(func() { f.operations.workspaces[caller] = workspace })
}

// ForbidText records a violation for each line with the text that an instance receives from now on.
func (f *Fleet) ForbidText(text string) {
	f.runOnFleet(func() { f.operations.forbiddenText = text })
}

// Executions returns the statements that ran so far of callers with a workspace.
func (f *Fleet) Executions() (out []Execution) {
	f.runOnFleet(func() { out = append(out, f.operations.executions...) })
	return out
}

func (l *operationLog) recordExecution(c *connection, id string) {
	caller, _, _ := strings.Cut(id, ".")
	if _, ok := l.workspaces[caller]; ok {
		l.executions = append(l.executions, Execution{ID: id, Workspace: c.workspace, At: time.Now()})
	}
}

// checkLine checks that a line that an instance received holds no forbidden text.
func (l *operationLog) checkLine(i *Instance, line string) {
	if l.forbiddenText != "" && strings.Contains(line, l.forbiddenText) {
		i.fleet.recordViolation("instance %s received the line %q with the text %q", i.ID, line, l.forbiddenText)
	}
}

// checkReadIsCurrent checks that the log of the instance that runs a read contains the
// writes that were acknowledged before the read began.
func (l *operationLog) checkReadIsCurrent(i *Instance, id string, beganAt time.Time) {
	l.acknowledgedWrites = l.acknowledgedWrites[max(0, len(l.acknowledgedWrites)-checkedWrites):]
	recent := i.log[max(0, len(i.log)-2*checkedWrites):]
	older := i.log[:len(i.log)-len(recent)]
	inRecent := writesIn(recent)
	for _, w := range l.acknowledgedWrites {
		history := l.historyOf(w)
		if history.dropped || inRecent[w] || !history.acknowledgedAt.Before(beganAt) {
			continue
		}
		// An acknowledgement can be delivered long after its commit.
		if !writesIn(older)[w] {
			i.fleet.recordViolation("read %s at instance %s does not see write %s, acknowledged %v before", id, i.ID, w, beganAt.Sub(history.acknowledgedAt))
			return
		}
	}
}

// writesIn returns the IDs of the writes in a part of a log.
func writesIn(entries []logEntry) map[string]bool {
	ids := map[string]bool{}
	for _, e := range entries {
		for _, id := range e.writeIDs {
			ids[id] = true
		}
	}
	return ids
}

// recordCommit counts commits. It records whether another instance was primary in a
// later term, because such a commit must not be acknowledged.
func (l *operationLog) recordCommit(i *Instance, ids []string) {
	onReplaced := false
	for _, other := range i.fleet.instances {
		onReplaced = onReplaced || (other.service == i.service && other.primary && other.term > i.term)
	}
	for _, id := range ids {
		w := l.historyOf(id)
		w.commits++
		w.onReplacedPrimary = onReplaced
		if w.commits > 1 {
			i.fleet.recordViolation("write %s was committed twice", id)
		}
		if w.refused {
			i.fleet.recordViolation("write %s was committed after its refusal", id)
		}
	}
}

// recordPromotion marks the committed writes that the new primary's log lacks as dropped.
func (l *operationLog) recordPromotion(i *Instance) {
	kept := writesIn(i.log)
	for id, w := range l.writes {
		if w.commits > 0 && !kept[id] {
			w.dropped = true
		}
	}
}
