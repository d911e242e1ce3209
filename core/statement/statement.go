// Package statement describes what a caller asks a database to do, whatever
// front end it came through.
package statement

import (
	"sort"
	"strings"
)

// Kind says what a statement does.
type Kind uint8

// The kinds of statement.
const (
	// KindBegin opens a transaction that may write.
	KindBegin Kind = iota + 1
	// KindBeginRead opens a transaction that only reads.
	KindBeginRead
	KindCommit
	KindRollback
	KindRead
	KindWrite
	// KindSet changes a value of the session.
	KindSet
	// KindPrepare names a shape for later Execute statements.
	KindPrepare
	KindExecute
	KindDeallocate
)

var kindNames = map[Kind]string{
	KindBegin: "begin", KindBeginRead: "begin read", KindCommit: "commit", KindRollback: "rollback", KindRead: "read",
	KindWrite: "write", KindSet: "set", KindPrepare: "prepare", KindExecute: "execute", KindDeallocate: "deallocate",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Statement is one decoded statement.
type Statement struct {
	Kind Kind
	// Text is the caller's text, which endpoints get unchanged.
	Text string
	// Name is that of the value, or of the prepared statement.
	Name string
	// Value is the new value of a Set and the arguments of an Execute.
	Value string
	// Template is that of a Prepare, and of an Execute once it is resolved.
	Template Template
}

// Template is what a prepared statement runs.
type Template struct {
	Text   string
	Writes bool
}

// Writes reports whether the statement may change data by itself.
func (s *Statement) Writes() bool {
	return s.Kind == KindWrite || (s.Kind == KindExecute && s.Template.Writes)
}

// NeedsSlot reports whether an endpoint needs a slot to run the statement.
func (s *Statement) NeedsSlot() bool {
	switch s.Kind {
	case KindRead, KindWrite, KindExecute, KindCommit:
		return true
	}
	return false
}

// SessionVariable is one named value of a session.
type SessionVariable struct{ Name, Value string }

// SessionVariables are a session's values, sorted by name; they are never changed in place.
type SessionVariables []SessionVariable

// With returns the values with one of them replaced or added.
func (v SessionVariables) With(name, value string) SessionVariables {
	out := make(SessionVariables, 0, len(v)+1)
	for _, old := range v {
		if old.Name != name {
			out = append(out, old)
		}
	}
	out = append(out, SessionVariable{Name: name, Value: value})
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Get returns a value by name.
func (v SessionVariables) Get(name string) (string, bool) {
	for _, old := range v {
		if old.Name == name {
			return old.Value, true
		}
	}
	return "", false
}

// Equal reports whether both hold the same values.
func (v SessionVariables) Equal(w SessionVariables) bool {
	if len(v) != len(w) {
		return false
	}
	for i := range v {
		if v[i] != w[i] {
			return false
		}
	}
	return true
}

// ChangesTo returns what has to be set for v to become w; reset is true where v
// holds values that w lacks.
func (v SessionVariables) ChangesTo(target SessionVariables) (set SessionVariables, reset bool) {
	for _, old := range v {
		if _, ok := target.Get(old.Name); !ok {
			return target, true
		}
	}
	for _, want := range target {
		if current, ok := v.Get(want.Name); !ok || current != want.Value {
			set = append(set, want)
		}
	}
	return set, false
}

// PreparedName is the name under which every session's statements of a shape are
// prepared at an endpoint, so that a connection prepares each shape once.
func (s Template) PreparedName() string {
	access := "r."
	if s.Writes {
		access = "w."
	}
	return "bf." + access + strings.ReplaceAll(s.Text, " ", "_")
}
