package host

import (
	"context"
	"fmt"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
	"baobabfield.example/node/events"
)

// noteQueueLength is the number of notes that wait for the task; more are dropped.
const noteQueueLength = 1024

// noteRecorder records the watches' notes in the time line, each with its cause.
type noteRecorder struct {
	recorder   *events.Recorder
	inbox      chan dbNote
	lastEvents map[noteKey]timeline.EventID
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

func newNoteRecorder(r *events.Recorder) *noteRecorder {
	return &noteRecorder{recorder: r, inbox: make(chan dbNote, noteQueueLength), lastEvents: map[noteKey]timeline.EventID{}}
}

func (t *noteRecorder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-t.inbox:
			t.recordEvent(m)
		}
	}
}

// enqueue queues a enqueue.
func (t *noteRecorder) enqueue(db types.Database, n failover.Note) {
	select {
	case t.inbox <- dbNote{db: db, note: n}:
	default:
	}
}

// enqueuePrimary notes a new primary.
func (t *noteRecorder) enqueuePrimary(db types.Database, m failover.RecordPrimary) {
	t.enqueue(db, failover.Note{
		Kind: "recorded", Term: m.Term, Cause: string(failover.NotePromoted),
		Text: fmt.Sprintf("endpoint %q is the primary of term %d.%d", m.Primary, m.Term.Set(), m.Term.Campaign()),
	})
}

// enqueuePlannedChange notes the end of a enqueuePlannedChange change.
func (t *noteRecorder) enqueuePlannedChange(db types.Database, m failover.PlannedChangeEnded) {
	t.enqueue(db, failover.Note{
		Kind: "planned change", Term: m.Term, Cause: string(failover.NoteWritesHeld),
		Text: fmt.Sprintf("planned change to endpoint %q: %s", m.To, m.Outcome.Kind),
	})
}

// eventKinds maps kinds of notes to kinds of events.
var eventKinds = map[failover.NoteKind]timeline.Kind{
	failover.NoteSuspected:  timeline.KindEndpointSuspected,
	failover.NoteCleared:    timeline.KindEndpointRecovered,
	failover.NoteCampaign:   timeline.KindCampaign,
	failover.NoteFenced:     timeline.KindFenced,
	failover.NotePromoted:   timeline.KindPromoted,
	failover.NoteWritesLost: timeline.KindWritesLost,
}

// recordEvent records the event of a note.
func (t *noteRecorder) recordEvent(m dbNote) {
	kind, ok := eventKinds[m.note.Kind]
	if !ok {
		kind = timeline.Kind(m.note.Kind)
	}
	id := t.recorder.Record(timeline.Event{
		Kind:   kind,
		Object: "database/" + string(m.db),
		Cause:  t.lastEvents[noteKey{db: m.db, kind: m.note.Cause}],
		Text:   m.note.Text,
		Counts: []timeline.Count{{Name: "term", Value: int64(m.note.Term)}},
	})
	t.lastEvents[noteKey{db: m.db, kind: string(m.note.Kind)}] = id
}
