package routing

import "strings"

// scanner splits SQL text into words. It skips comments, strings and quoted identifiers.
type scanner struct {
	text string
	pos  int
}

// statementSeparator is the token that ends a statement.
const statementSeparator = ";"

// nextToken returns the next word or separator. It returns an empty string at the end of
// the text.
func (s *scanner) nextToken() string {
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		switch {
		case isWordStart(c):
			return s.scanWord()
		case c == statementSeparator[0]:
			s.pos++
			return statementSeparator
		case strings.HasPrefix(s.text[s.pos:], "--"):
			s.skipPast("\n")
		case strings.HasPrefix(s.text[s.pos:], "/*"):
			s.skipBlockComment()
		case c == '\'' || c == '"':
			s.skipQuoted(c, false)
		case c == '$':
			s.skipDollar()
		default:
			s.pos++
		}
	}
	return ""
}

func isWordStart(c byte) bool {
	return c == '_' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || '0' <= c && c <= '9' || c == '$' }

// scanWord returns the word at the current position. The prefix of an escape string, as
// in E'it\'s', is skipped together with the string.
func (s *scanner) scanWord() string {
	start := s.pos
	for s.pos < len(s.text) && isWordPart(s.text[s.pos]) {
		s.pos++
	}
	word := s.text[start:s.pos]
	if strings.EqualFold(word, "E") && s.pos < len(s.text) && s.text[s.pos] == '\'' {
		s.skipQuoted('\'', true)
		return s.nextToken()
	}
	return word
}

// skipPast advances past the next occurrence of mark, or to the end of the text.
func (s *scanner) skipPast(mark string) {
	i := strings.Index(s.text[s.pos:], mark)
	if i < 0 {
		s.pos = len(s.text)
		return
	}
	s.pos += i + len(mark)
}

// skipBlockComment skips a comment, which may contain nested comments.
func (s *scanner) skipBlockComment() {
	depth := 0
	for s.pos < len(s.text) {
		switch {
		case strings.HasPrefix(s.text[s.pos:], "/*"):
			depth++
			s.pos += 2
		case strings.HasPrefix(s.text[s.pos:], "*/"):
			depth--
			s.pos += 2
		default:
			s.pos++
		}
		if depth == 0 {
			return
		}
	}
}

// skipQuoted skips text between quotes. A doubled quote does not end the text. If
// backslashes is set, neither does a quote after a backslash.
func (s *scanner) skipQuoted(quote byte, backslashes bool) {
	s.pos++
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		s.pos++
		if backslashes && c == '\\' {
			s.pos++
			continue
		}
		if c != quote {
			continue
		}
		if s.pos >= len(s.text) || s.text[s.pos] != quote {
			return
		}
		s.pos++
	}
}

// skipDollar skips a dollar-quoted string or the dollar sign of a parameter.
func (s *scanner) skipDollar() {
	end := s.pos + 1
	for end < len(s.text) && s.text[end] != '$' && isWordPart(s.text[end]) {
		end++
	}
	isTag := end < len(s.text) && s.text[end] == '$'
	isParameter := s.pos+1 < len(s.text) && '0' <= s.text[s.pos+1] && s.text[s.pos+1] <= '9'
	if !isTag || isParameter {
		s.pos++
		return
	}
	tag := s.text[s.pos : end+1]
	s.pos = end + 1
	s.skipPast(tag)
}
