package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An acknowledgement may reach its caller after hundreds of later commits. The write is then in the
// log, but not among its last entries. A write that the log lacks is still reported.
func TestLateAcknowledgementIsFoundInWholeLog(t *testing.T) {
	is := is.New(t)
	f := &Fleet{operations: newOperationLog()}
	i := &Instance{ID: "i", fleet: f, log: []logEntry{{term: 1, writeIDs: []string{"s1.1"}}}}
	for n := range 3 * checkedWrites {
		i.log = append(i.log, logEntry{term: 1, writeIDs: []string{fmt.Sprintf("s2.%d", n)}})
	}
	acknowledgedAt := time.Unix(1000, 0)
	acknowledge := func(id string) {
		w := f.operations.historyOf(id)
		w.commits, w.acknowledged, w.acknowledgedAt = 1, true, acknowledgedAt
		f.operations.acknowledgedWrites = append(f.operations.acknowledgedWrites, id)
	}
	acknowledge("s1.1")
	f.operations.checkReadIsCurrent(i, "s3.1", acknowledgedAt.Add(time.Second))
	is.Equal(len(f.violations), 0)
	acknowledge("s1.2")
	f.operations.checkReadIsCurrent(i, "s3.2", acknowledgedAt.Add(time.Second))
	is.Equal(len(f.violations), 1)
}

// Guards against a soak that passes because the stand-in does not see a statement on a connection
// of another workspace, or a key in what an instance receives.
func TestForeignConnectionsAndForbiddenTextAreReported(t *testing.T) {
	is := is.New(t)
	f := &Fleet{operations: newOperationLog()}
	i := &Instance{ID: "i", fleet: f}
	f.operations.workspaces["s1"], f.operations.forbiddenText = "w1", "secret"
	run := func(workspace, id string) {
		f.operations.sent[id] = sentStatement{}
		c := &connection{workspace: workspace}
		f.operations.checkExecution(i, c, id, "READ", false)
		f.operations.recordExecution(c, id)
	}
	run("w1", "s1.1")
	run("w2", "s2.1") // a caller that has declared no workspace
	f.operations.checkLine(i, "QUERY s1.1 READ 1")
	is.Equal(len(f.violations), 0)
	is.Equal(len(f.operations.executions), 1)
	run("w2", "s1.2")
	is.Equal(len(f.violations), 1)
	f.operations.checkLine(i, "STARTUP svc my-secret-key i")
	is.Equal(len(f.violations), 2)
}
