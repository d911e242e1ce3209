package routing

// MayEndTransaction reports whether the text contains a statement that can end the
// transaction in which it runs by a commit.
func MayEndTransaction(sql string) bool {
	s := scanner{text: sql}
	first := true
	for word := s.nextToken(); word != ""; word = s.nextToken() {
		if word == statementSeparator {
			first = true
			continue
		}
		if first && endsTransaction(word) {
			return true
		}
		first = false
	}
	return false
}

// endsTransaction reports whether a statement with the leading keyword can commit. CALL
// and DO run procedures, which can commit.
func endsTransaction(word string) bool {
	var buf [maxKeywordBytes]byte
	switch string(upperKeyword(word, &buf)) {
	case "COMMIT", "END", "PREPARE", "CALL", "DO":
		return true
	}
	return false
}
