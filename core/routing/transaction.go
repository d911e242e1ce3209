package routing

// MayEndTransaction reports whether the text contains a statement that can end the
// transaction in which it runs by a commit.
func MayEndTransaction(sql string) bool {
	s := scanner{text: sql}
	first := true
	for w := s.nextToken(); w != ""; w = s.nextToken() {
		if w == separator {
			first = true
			continue
		}
		if first && endsTransaction(w) {
			return true
		}
		first = false
	}
	return false
}

// endsTransaction reports whether a statement with the leading keyword can commit. CALL
// and DO run procedures, which can commit.
func endsTransaction(w string) bool {
	var buf [maxKeyword]byte
	switch string(upperKeyword(w, &buf)) {
	case "COMMIT", "END", "PREPARE", "CALL", "DO":
		return true
	}
	return false
}
