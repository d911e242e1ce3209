package host

import (
	"context"
	"fmt"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
	"baobabfield.example/node/events"
)

// noteQueueLength is the number of notes that can wait for the recorder. Further
// notes are dropped.
const noteQueueLength = 1024

// noteRecorder is the task that records the notes of the watches in the time
// line. It links each event to the event that caused it.
type noteRecorder struct {
	recorder   *events.Recorder
	inbox      chan dbNote
	lastEvents map[noteKey]timeline.EventID
}

// dbNote is a failover note with the database that it is about.
type dbNote struct {
	db   types.Database
	note failover.Note
}

// noteKey identifies the last event recorded for a kind of note and a database.
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

// enqueue queues a note, or drops it if the queue is full.
func (t *noteRecorder) enqueue(db types.Database, n failover.Note) {
	select {
	case t.inbox <- dbNote{db: db, note: n}:
	default:
	}
}

// enqueuePrimary queues a note that a new primary is recorded.
func (t *noteRecorder) enqueuePrimary(db types.Database, m failover.RecordPrimary) {
	t.enqueue(db, failover.Note{
		Kind: "recorded", Term: m.Term, Cause: string(failover.NotePromoted),
		Text: fmt.Sprintf("endpoint %q is the primary of term %d.%d", m.Primary, m.Term.EndpointSet(), m.Term.Campaign()),
	})
}

// enqueuePlannedChange queues a note that a planned change has ended.
func (t *noteRecorder) enqueuePlannedChange(db types.Database, m failover.PlannedChangeEnded) {
	t.enqueue(db, failover.Note{
		Kind: "planned change", Term: m.Term, Cause: string(failover.NoteWritesHeld),
		Text: fmt.Sprintf("planned change to endpoint %q: %s", m.To, m.Outcome.Kind),
	})
}

// eventKinds maps note kinds to event kinds. Other notes keep their kind.
var eventKinds = map[failover.NoteKind]timeline.Kind{
	failover.NoteSuspected:  timeline.KindEndpointSuspected,
	failover.NoteCleared:    timeline.KindEndpointRecovered,
	failover.NoteCampaign:   timeline.KindCampaign,
	failover.NoteFenced:     timeline.KindFenced,
	failover.NotePromoted:   timeline.KindPromoted,
	failover.NoteWritesLost: timeline.KindWritesLost,
}

// recordEvent records a note as a time line event. Its cause is the last event of
// the database whose kind is the note's cause.
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
