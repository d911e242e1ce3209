package capacity

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// statusExchangeBytes is the size on the wire of a status query to an endpoint and its
// response, including the headers of TCP and IP.
var statusExchangeBytes = encodedStatusExchangeBytes()

// encodedStatusExchangeBytes encodes the messages of a query and a response in the
// PostgreSQL protocol and returns their size with the headers.
func encodedStatusExchangeBytes() int {
	const headerBytes = 2 * 40
	var values [][]byte
	for _, value := range []string{
		"replica", "4294967297", "4294967297", "1234567890", "1234567890", "4294967297:0,4294967298:1234567",
	} {
		values = append(values, []byte(value))
	}
	totalBytes := headerBytes
	for _, message := range []interface {
		Encode(dst []byte) ([]byte, error)
	}{
		&pgproto3.Bind{PreparedStatement: "baobab0"},
		&pgproto3.Execute{},
		&pgproto3.Sync{},
		&pgproto3.BindComplete{},
		&pgproto3.DataRow{Values: values},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		encoded, err := message.Encode(nil)
		if err != nil {
			panic("cannot encode status message: " + err.Error())
		}
		totalBytes += len(encoded)
	}
	return totalBytes
}
