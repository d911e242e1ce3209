package routing

import "strings"

// StatementKind is the kind of an SQL statement, derived from its keywords. The statements
// of the platform's line protocol have the type statement.Kind instead.
type StatementKind uint8

// Kinds of statement.
const (
	// KindWrite covers all statements that are not recognised as another kind.
	KindWrite StatementKind = iota
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

// maxKeywordBytes is the maximum length of a recognised keyword in bytes.
const maxKeywordBytes = 16

// upperKeyword writes the word in upper case to buf. It returns nil for words that are
// too long to be a keyword.
func upperKeyword(word string, buf *[maxKeywordBytes]byte) []byte {
	if len(word) > maxKeywordBytes {
		return nil
	}
	for i := range len(word) {
		c := word[i]
		if 'a' <= c && c <= 'z' {
			c -= 'a' - 'A'
		}
		buf[i] = c
	}
	return buf[:len(word)]
}

// leadingKind returns the kind that the leading keyword implies.
func leadingKind(word string) StatementKind {
	var buf [maxKeywordBytes]byte
	switch string(upperKeyword(word, &buf)) {
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
func isWriteKeyword(word string) bool {
	var buf [maxKeywordBytes]byte
	switch string(upperKeyword(word, &buf)) {
	case "INSERT", "UPDATE", "DELETE", "MERGE", "INTO":
		return true
	}
	return false
}

// Classify returns the kind of a statement. A text of several statements is a write
// unless all of them are reads.
func Classify(sql string) StatementKind {
	s := scanner{text: sql}
	kind, found := KindOther, false
	for {
		first := s.nextToken()
		for first == statementSeparator {
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
func classifyStatement(first string, s *scanner) StatementKind {
	kind := leadingKind(first)
	last := first
	for word := s.nextToken(); word != "" && word != statementSeparator; word = s.nextToken() {
		kind = refineKind(kind, last, word)
		last = word
	}
	return kind
}

// refineKind adjusts the kind of a statement according to its next word.
func refineKind(kind StatementKind, last, word string) StatementKind {
	switch kind {
	case KindRead:
		if isWriteKeyword(word) {
			return KindWrite
		}
	case KindBegin, KindBeginReadOnly:
		if !strings.EqualFold(last, "READ") {
			return kind
		}
		if strings.EqualFold(word, "ONLY") {
			return KindBeginReadOnly
		}
		return KindBegin
	case KindCommit, KindRollback:
		if strings.EqualFold(word, "PREPARED") {
			return KindWrite
		}
		if strings.EqualFold(word, "TO") {
			return KindOther
		}
	}
	return kind
}
