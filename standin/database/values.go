package database

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"baobabfield.example/core/types"
)

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func formatTerm(t types.Term) string { return strconv.FormatUint(uint64(t), 10) }

func formatPosition(p types.Position) string { return strconv.FormatUint(uint64(p), 10) }

// formatPoint formats a log point as term:position.
func formatPoint(p types.LogPoint) string {
	return formatTerm(p.Term) + ":" + formatPosition(p.Position)
}

func formatStarts(starts []types.TermStart) string {
	parts := make([]string, len(starts))
	for i, s := range starts {
		parts[i] = formatPoint(types.LogPoint(s))
	}
	return strings.Join(parts, ",")
}

func parseStarts(text string) ([]types.TermStart, error) {
	if text == "" {
		return nil, nil
	}
	var starts []types.TermStart
	for _, part := range strings.Split(text, ",") {
		term, position, _ := strings.Cut(part, ":")
		t, err := strconv.ParseUint(term, 10, 64)
		if err != nil {
			return nil, err
		}
		p, err := strconv.ParseUint(position, 10, 64)
		if err != nil {
			return nil, err
		}
		starts = append(starts, types.TermStart{Term: types.Term(t), Position: types.Position(p)})
	}
	return starts, nil
}

// column is a result column's name and PostgreSQL type.
type column struct {
	name string
	oid  uint32
}

// postgresType returns the PostgreSQL type of a column. If the declared type is unknown,
// it depends on the sample value.
func postgresType(declared string, sample any) uint32 {
	declared = strings.ToUpper(declared)
	for _, known := range []struct {
		prefix string
		oid    uint32
	}{
		{"BOOL", pgtype.BoolOID},
		{"SMALLINT", pgtype.Int8OID},
		{"BIGINT", pgtype.Int8OID},
		{"INT", pgtype.Int8OID},
		{"REAL", pgtype.Float8OID},
		{"DOUBLE", pgtype.Float8OID},
		{"FLOAT", pgtype.Float8OID},
		{"BYTEA", pgtype.ByteaOID},
		{"BLOB", pgtype.ByteaOID},
		{"TIMESTAMP", pgtype.TimestamptzOID},
		{"DATE", pgtype.DateOID},
		{"TEXT", pgtype.TextOID},
		{"VARCHAR", pgtype.TextOID},
	} {
		if strings.HasPrefix(declared, known.prefix) {
			return known.oid
		}
	}
	switch sample.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case bool:
		return pgtype.BoolOID
	case []byte:
		return pgtype.ByteaOID
	case time.Time:
		return pgtype.TimestamptzOID
	}
	return pgtype.TextOID
}

// encodeValue encodes an SQLite value in the format that the client requested.
func encodeValue(types *pgtype.Map, oid uint32, format int16, value any) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	out, err := types.Encode(oid, format, convertValue(oid, value), []byte{})
	if err != nil {
		return nil, &Error{SQLState: sqlStateInternalError, Message: fmt.Sprintf("encode value %v as type %d: %v", value, oid, err)}
	}
	return out, nil
}

// convertValue converts a value to the Go type that encodes the PostgreSQL type.
func convertValue(oid uint32, value any) any {
	switch oid {
	case pgtype.BoolOID:
		switch v := value.(type) {
		case int64:
			return v != 0
		case string:
			return v == "t" || v == "true" || v == "1"
		}
	case pgtype.Float8OID:
		if v, ok := value.(int64); ok {
			return float64(v)
		}
	case pgtype.TextOID:
		switch v := value.(type) {
		case []byte:
			return string(v)
		case string:
			return v
		}
		return fmt.Sprint(value)
	}
	return value
}

// decodeParameter decodes a parameter of a Bind message.
func decodeParameter(types *pgtype.Map, oid uint32, format int16, data []byte) (Value, error) {
	if data == nil {
		return Value{}, nil
	}
	if oid == 0 || oid == pgtype.UnknownOID {
		return decodeUntyped(format, data), nil
	}
	known, ok := types.TypeForOID(oid)
	if !ok {
		return decodeUntyped(format, data), nil
	}
	decoded, err := known.Codec.DecodeDatabaseSQLValue(types, oid, format, data)
	if err != nil {
		return Value{}, &Error{SQLState: "22P02", Message: fmt.Sprintf("invalid parameter %q of type %s", data, known.Name)}
	}
	return newValue(decoded), nil
}

// decodeUntyped decodes a parameter without a type. Text that is the canonical form of an
// integer becomes an integer.
func decodeUntyped(format int16, data []byte) Value {
	if format == pgproto3.BinaryFormat {
		return newValue(append([]byte{}, data...))
	}
	text := string(data)
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && formatInt(n) == text {
		return newValue(n)
	}
	return newValue(text)
}

func newValue(v any) Value {
	switch v := v.(type) {
	case nil:
		return Value{}
	case int64:
		return Value{Int: &v}
	case float64:
		return Value{Float: &v}
	case bool:
		n := int64(0)
		if v {
			n = 1
		}
		return Value{Int: &n}
	case []byte:
		return Value{Bytes: v}
	case time.Time:
		text := v.UTC().Format("2006-01-02 15:04:05.999999999-07:00")
		return Value{Text: &text}
	}
	text := fmt.Sprint(v)
	return Value{Text: &text}
}
