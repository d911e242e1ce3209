package attributes

import "strings"

// ParseSettingStatement parses a single SET, RESET or SHOW statement. It returns the
// verb in upper case, the name of the variable in lower case, and the value.
func ParseSettingStatement(sql string) (verb, name, value string, ok bool) {
	sql = strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(sql), ";"))
	verb, rest := cutWord(sql)
	verb = strings.ToUpper(verb)
	switch verb {
	case "SHOW", "RESET":
		name = strings.ToLower(unquote(rest))
		return verb, name, "", name != "" && !strings.ContainsAny(name, " \t\n;")
	case "SET":
		return parseAssignment(rest)
	}
	return "", "", "", false
}

// parseAssignment parses the text after SET: [SESSION] name {=|TO} value.
func parseAssignment(rest string) (verb, name, value string, ok bool) {
	name, tail := cutName(rest)
	if strings.EqualFold(name, "SESSION") {
		name, tail = cutName(tail)
	}
	tail = strings.TrimSpace(tail)
	switch {
	case strings.HasPrefix(tail, "="):
		tail = tail[1:]
	case len(tail) > 2 && strings.EqualFold(tail[:2], "TO"):
		tail = tail[2:]
	default:
		return "", "", "", false
	}
	return "SET", strings.ToLower(unquote(name)), unquote(strings.TrimSpace(tail)), name != ""
}

// cutWord splits s after its first word.
func cutWord(s string) (word, rest string) {
	i := strings.IndexAny(s, " \t\r\n")
	if i < 0 {
		return s, ""
	}
	return s[:i], strings.TrimSpace(s[i:])
}

// cutName splits s after a variable name, which ends at white space or "=".
func cutName(s string) (name, rest string) {
	s = strings.TrimSpace(s)
	i := strings.IndexAny(s, " \t\r\n=")
	if i < 0 {
		return s, ""
	}
	return s[:i], strings.TrimSpace(s[i:])
}

// unquote removes one pair of quotes around s and replaces doubled quotes inside by
// single ones.
func unquote(s string) string {
	for _, q := range []string{"'", `"`} {
		if len(s) >= 2 && strings.HasPrefix(s, q) && strings.HasSuffix(s, q) {
			return strings.ReplaceAll(s[1:len(s)-1], q+q, q)
		}
	}
	return s
}
