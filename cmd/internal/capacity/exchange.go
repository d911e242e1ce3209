package capacity

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// exchangeBytes is the size of a status question to an endpoint and its answer
// on the wire, with the headers of TCP and IP.
var exchangeBytes = statusExchange()

// statusExchange encodes a question and an answer as an endpoint does.
func statusExchange() int {
	const headers = 2 * 40
	columns := []struct{ name, value string }{
		{"role", "replica"},
		{"term", "4294967297"},
		{"last_term", "4294967297"},
		{"last_position", "1234567890"},
		{"replicated_position", "1234567890"},
		{"term_starts", "4294967297:0,4294967298:1234567"},
	}
	var fields []pgproto3.FieldDescription
	var values [][]byte
	for _, column := range columns {
		fields = append(fields, pgproto3.FieldDescription{Name: []byte(column.name)})
		values = append(values, []byte(column.value))
	}
	size := headers
	for _, message := range []interface {
		Encode(dst []byte) ([]byte, error)
	}{
		&pgproto3.Query{String: "SELECT * FROM baobab_status()"},
		&pgproto3.RowDescription{Fields: fields},
		&pgproto3.DataRow{Values: values},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		encoded, err := message.Encode(nil)
		if err != nil {
			panic("status message does not encode: " + err.Error())
		}
		size += len(encoded)
	}
	return size
}
