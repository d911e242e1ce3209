package routing

import "strings"

// Kind is the kind of a statement, derived from its keywords.
type Kind uint8

// Kinds of statement.
const (
	// KindWrite covers all statements that are not recognised as another kind.
	KindWrite Kind = iota
	// KindRead does not write by itself. If it calls a function that writes, a replica
	// rejects the statement.
	KindRead
	KindBegin
	KindBeginReadOnly
	KindCommit
	KindRollback
	// KindSet changes a setting of the session.
	KindSet
	// KindOther neither reads nor writes tables.
	KindOther
)

// maxKeyword is the maximum length of a recognised keyword in bytes.
const maxKeyword = 16

// upperKeyword writes the word in upper case to buf. It returns nil for words that are
// too long to be a keyword.
func upperKeyword(w string, buf *[maxKeyword]byte) []byte {
	if len(w) > maxKeyword {
		return nil
	}
	for i := range len(w) {
		c := w[i]
		if 'a' <= c && c <= 'z' {
			c -= 'a' - 'A'
		}
		buf[i] = c
	}
	return buf[:len(w)]
}

// leadingKind returns the kind that the leading keyword implies.
func leadingKind(w string) Kind {
	var buf [maxKeyword]byte
	switch string(upperKeyword(w, &buf)) {
	case "SELECT", "WITH", "VALUES", "TABLE", "SHOW", "EXPLAIN":
		return KindRead
	case "BEGIN", "START":
		return KindBegin
	case "COMMIT", "END":
		return KindCommit
	case "ROLLBACK", "ABORT":
		return KindRollback
	case "SET", "RESET":
		return KindSet
	case "SAVEPOINT", "RELEASE", "DEALLOCATE", "DISCARD", "CLOSE":
		return KindOther
	}
	return KindWrite
}

// isWriteKeyword reports whether a word turns a statement that starts as a read into a
// write.
func isWriteKeyword(w string) bool {
	var buf [maxKeyword]byte
	switch string(upperKeyword(w, &buf)) {
	case "INSERT", "UPDATE", "DELETE", "MERGE", "INTO":
		return true
	}
	return false
}

// Classify returns the kind of a statement. A text of several statements is a write
// unless all of them are reads.
func Classify(sql string) Kind {
	s := scanner{text: sql}
	kind, found := KindOther, false
	for {
		first := s.nextToken()
		for first == separator {
			first = s.nextToken()
		}
		if first == "" {
			return kind
		}
		next := classifyStatement(first, &s)
		if found && (kind != KindRead || next != KindRead) {
			return KindWrite
		}
		kind, found = next, true
	}
}

// classifyStatement returns the kind of the statement that begins with the word first.
// It advances s to the end of the statement.
func classifyStatement(first string, s *scanner) Kind {
	kind := leadingKind(first)
	last := first
	for w := s.nextToken(); w != "" && w != separator; w = s.nextToken() {
		kind = refineKind(kind, last, w)
		last = w
	}
	return kind
}

// refineKind adjusts the kind of a statement according to its next word.
func refineKind(kind Kind, last, w string) Kind {
	switch kind {
	case KindRead:
		if isWriteKeyword(w) {
			return KindWrite
		}
	case KindBegin, KindBeginReadOnly:
		if !strings.EqualFold(last, "READ") {
			return kind
		}
		if strings.EqualFold(w, "ONLY") {
			return KindBeginReadOnly
		}
		return KindBegin
	case KindCommit, KindRollback:
		if strings.EqualFold(w, "PREPARED") {
			return KindWrite
		}
		if strings.EqualFold(w, "TO") {
			return KindOther
		}
	}
	return kind
}
