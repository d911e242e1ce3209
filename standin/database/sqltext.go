package database

import (
	"regexp"
	"strings"
)

// splitStatements splits a query string at the semicolons outside quotes.
func splitStatements(query string) []string {
	var parts []string
	start := 0
	scanSQL(query, func(i int) {
		if query[i] == ';' {
			parts = append(parts, query[start:i])
			start = i + 1
		}
	})
	parts = append(parts, query[start:])
	var statements []string
	for _, p := range parts {
		if p = strings.TrimSpace(p); p != "" {
			statements = append(statements, p)
		}
	}
	return statements
}

// scanSQL calls visit with the index of each byte outside quotes and comments.
func scanSQL(query string, visit func(i int)) {
	for i := 0; i < len(query); i++ {
		switch {
		case query[i] == '\'' || query[i] == '"':
			i = indexFrom(query, i+1, query[i:i+1])
		case strings.HasPrefix(query[i:], "--"):
			i = indexFrom(query, i, "\n")
		case strings.HasPrefix(query[i:], "/*"):
			i = indexFrom(query, i+2, "*/") + 1
		default:
			visit(i)
		}
	}
}

func indexFrom(query string, from int, end string) int {
	at := strings.Index(query[from:], end)
	if at < 0 {
		return len(query)
	}
	return from + at
}

var (
	placeholder = regexp.MustCompile(`^\$(\d+)`)
	cast        = regexp.MustCompile(`^::\s*[A-Za-z_][A-Za-z0-9_]*`)
	forUpdate   = regexp.MustCompile(`(?i)\s+FOR\s+(UPDATE|SHARE|NO\s+KEY\s+UPDATE)\s*$`)
)

// toSQLite rewrites PostgreSQL syntax that SQLite lacks: $1 becomes ?1, and casts and row
// locks are removed. It also returns the number of parameters.
func toSQLite(query string) (string, int) {
	query = forUpdate.ReplaceAllString(query, "")
	var out strings.Builder
	copied, parameters := 0, 0
	scanSQL(query, func(i int) {
		if i < copied {
			return
		}
		if m := placeholder.FindStringSubmatch(query[i:]); m != nil {
			out.WriteString(query[copied:i] + "?" + m[1])
			copied = i + len(m[0])
			parameters = max(parameters, atoi(m[1]))
			return
		}
		if m := cast.FindString(query[i:]); m != "" {
			out.WriteString(query[copied:i])
			copied = i + len(m)
		}
	})
	out.WriteString(query[copied:])
	return out.String(), parameters
}

// atoi returns the number that the digits represent, but at most 1<<16. Parse allocates
// memory for each parameter up to that number.
func atoi(digits string) int {
	n := 0
	for _, d := range digits {
		n = min(n*10+int(d-'0'), 1<<16)
	}
	return n
}

// firstWords returns the first n words of a statement in upper case.
func firstWords(query string, n int) []string {
	var found []string
	word := strings.Builder{}
	flush := func() {
		if word.Len() > 0 && len(found) < n {
			found = append(found, strings.ToUpper(word.String()))
		}
		word.Reset()
	}
	last := -1
	scanSQL(query, func(i int) {
		c := query[i]
		letter := c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if i != last+1 || !letter {
			flush()
		}
		if letter {
			word.WriteByte(c)
		}
		last = i
	})
	flush()
	return found
}

// isWrite reports whether a statement changes rows or the schema.
func isWrite(query string) bool {
	keywords := firstWords(query, len(query))
	if len(keywords) == 0 {
		return false
	}
	switch keywords[0] {
	case "SELECT", "VALUES", "TABLE", "EXPLAIN":
		return forUpdate.MatchString(query)
	case "WITH":
		return containsAny(keywords, "INSERT", "UPDATE", "DELETE")
	}
	return true
}

// returnsRows reports whether a statement returns a row set.
func returnsRows(query string) bool {
	return !isWrite(query) || forUpdate.MatchString(query) ||
		containsAny(firstWords(query, len(query)), "RETURNING")
}

func containsAny(list []string, wanted ...string) bool {
	for _, have := range list {
		for _, want := range wanted {
			if have == want {
				return true
			}
		}
	}
	return false
}

// commandTag returns the tag of a statement's CommandComplete message.
func commandTag(query string, rows int64) string {
	keywords := firstWords(query, 2)
	if len(keywords) == 0 {
		return ""
	}
	switch keywords[0] {
	case "INSERT":
		return "INSERT 0 " + formatInt(rows)
	case "UPDATE", "DELETE":
		return keywords[0] + " " + formatInt(rows)
	case "SELECT", "VALUES", "WITH", "TABLE":
		return "SELECT " + formatInt(rows)
	}
	return strings.Join(keywords, " ")
}

var (
	returningStatement = regexp.MustCompile(`(?is)^\s*(?:INSERT\s+(?:OR\s+\w+\s+)?INTO|UPDATE|DELETE\s+FROM)\s+("[^"]+"|[\w.]+).*\bRETURNING\s+(.+)$`)
	setStatement       = regexp.MustCompile(`(?is)^SET\s+(?:SESSION\s+|LOCAL\s+)?([\w.]+)\s*(?:=|\s+TO\s+)\s*(.*)$`)
	sleepCall          = regexp.MustCompile(`(?is)^SELECT\s+pg_sleep\(\s*([\d.]+)\s*\)$`)
	controlCall        = regexp.MustCompile(`(?is)^SELECT\s+\*\s+FROM\s+(baobab_\w+)\s*\((.*)\)$`)
)

// columnProbe returns a query that has the same result columns as the statement and
// changes nothing. It returns "" if the statement has no result columns.
func columnProbe(query string) string {
	if m := returningStatement.FindStringSubmatch(query); m != nil {
		return "SELECT " + m[2] + " FROM " + m[1] + " LIMIT 0"
	}
	if isWrite(query) && !forUpdate.MatchString(query) {
		return ""
	}
	return query
}

// unquote removes the quotes around a literal or an identifier.
func unquote(literal string) string {
	literal = strings.TrimSpace(literal)
	if len(literal) >= 2 && literal[0] == '\'' && literal[len(literal)-1] == '\'' {
		return strings.ReplaceAll(literal[1:len(literal)-1], "''", "'")
	}
	return strings.Trim(literal, `"`)
}
