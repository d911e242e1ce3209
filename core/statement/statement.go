// Package statement defines the statements of callers and the replies of endpoints in
// "baobabd platform", independent of the protocol that carries them. A protocol adapter
// decodes the messages of callers and endpoints to these types and encodes them. The
// result code of a reply states whether the statement ran.
package statement

import "sort"

// Kind is the type of a statement. The zero value stands for a statement that could not be
// decoded.
type Kind uint8

// The kinds of statement.
const (
	// KindBegin opens a transaction that can write.
	KindBegin Kind = iota + 1
	// KindBeginReadOnly opens a transaction that only reads.
	KindBeginReadOnly
	KindCommit
	KindRollback
	KindRead
	KindWrite
	// KindSet changes a session variable.
	KindSet
	// KindPrepare creates a prepared statement, which KindExecute runs.
	KindPrepare
	KindExecute
	KindDeallocate
)

var kindNames = map[Kind]string{
	KindBegin: "begin", KindBeginReadOnly: "begin read", KindCommit: "commit", KindRollback: "rollback", KindRead: "read",
	KindWrite: "write", KindSet: "set", KindPrepare: "prepare", KindExecute: "execute", KindDeallocate: "deallocate",
}

func (k Kind) String() string { return kindNames[k] }

// Statement is one decoded statement.
type Statement struct {
	Kind Kind
	// Text is the caller's text. It is passed to endpoints unchanged.
	Text string
	// Name is the name of the session variable or of the prepared statement.
	Name string
	// Value is the new value of a session variable for KindSet and the arguments
	// for KindExecute.
	Value string
	// Template is the text of the prepared statement for KindPrepare. It is set
	// for KindExecute when the name has been resolved.
	Template Template
}

// Template is the text of a prepared statement.
type Template struct {
	Text string
	// Writes is set if the statement can change data.
	Writes bool
}

// Writes reports whether the statement itself can change data.
func (s *Statement) Writes() bool {
	return s.Kind == KindWrite || (s.Kind == KindExecute && s.Template.Writes)
}

// NeedsSlot reports whether the statement occupies a slot of the endpoint that
// runs it.
func (s *Statement) NeedsSlot() bool {
	switch s.Kind {
	case KindRead, KindWrite, KindExecute, KindCommit:
		return true
	}
	return false
}

// SessionVariable is a variable of a session and its value.
type SessionVariable struct{ Name, Value string }

// SessionVariables are the variables of a session, sorted by name. They are never
// changed in place.
type SessionVariables []SessionVariable

// With returns a copy in which the variable is replaced or added.
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

// Get returns the value of a variable.
func (v SessionVariables) Get(name string) (string, bool) {
	for _, old := range v {
		if old.Name == name {
			return old.Value, true
		}
	}
	return "", false
}

// Equal reports whether both hold the same variables with the same values.
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

// ChangesTo returns the variables to set so that v becomes target. If v holds
// variables that target lacks, reset is true and all variables of target are to be
// set after a reset of the session.
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
