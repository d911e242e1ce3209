package host

import (
	"context"
	"fmt"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
	"baobabfield.example/node/events"
)

// noteQueue is the number of notes that wait for the task; more are dropped.
const noteQueue = 1024

// notesTask records the watches' notes in the time line, each with its cause.
type notesTask struct {
	recorder *events.Recorder
	inbox    chan dbNote
	last     map[noteKey]timeline.EventID
}

// dbNote is a note on a database.
type dbNote struct {
	db   types.Database
	note failover.Note
}

// noteKey finds the last event of a kind on a database.
type noteKey struct {
	db   types.Database
	kind string
}

func newNotesTask(r *events.Recorder) *notesTask {
	return &notesTask{recorder: r, inbox: make(chan dbNote, noteQueue), last: map[noteKey]timeline.EventID{}}
}

func (t *notesTask) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-t.inbox:
			t.write(m)
		}
	}
}

// note queues a note.
func (t *notesTask) note(db types.Database, n failover.Note) {
	select {
	case t.inbox <- dbNote{db: db, note: n}:
	default:
	}
}

// record notes a new primary.
func (t *notesTask) record(db types.Database, m failover.RecordPrimary) {
	t.note(db, failover.Note{
		Kind: "recorded", Term: m.Term, Cause: string(failover.NotePromoted),
		Text: fmt.Sprintf("endpoint %q is the primary of term %d.%d", m.Primary, m.Term.EndpointSet(), m.Term.Campaign()),
	})
}

// planned notes the end of a planned change.
func (t *notesTask) planned(db types.Database, m failover.PlannedChangeEnded) {
	t.note(db, failover.Note{
		Kind: "planned change", Term: m.Term, Cause: string(failover.NoteWritesHeld),
		Text: fmt.Sprintf("planned change to endpoint %q: %s", m.To, m.Outcome.Kind),
	})
}

// noteKinds maps kinds of notes to kinds of events.
var noteKinds = map[failover.NoteKind]timeline.Kind{
	failover.NoteSuspected:  timeline.KindEndpointSuspected,
	failover.NoteCleared:    timeline.KindEndpointRecovered,
	failover.NoteCampaign:   timeline.KindCampaign,
	failover.NoteFenced:     timeline.KindFenced,
	failover.NotePromoted:   timeline.KindPromoted,
	failover.NoteWritesLost: timeline.KindWritesLost,
}

// write records the event of a note.
func (t *notesTask) write(m dbNote) {
	kind, ok := noteKinds[m.note.Kind]
	if !ok {
		kind = timeline.Kind(m.note.Kind)
	}
	id := t.recorder.Record(timeline.Event{
		Kind:   kind,
		Object: "database/" + string(m.db),
		Cause:  t.last[noteKey{db: m.db, kind: m.note.Cause}],
		Text:   m.note.Text,
		Counts: []timeline.Count{{Name: "term", Value: int64(m.note.Term)}},
	})
	t.last[noteKey{db: m.db, kind: string(m.note.Kind)}] = id
}
