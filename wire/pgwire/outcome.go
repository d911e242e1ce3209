package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"baobabfield.example/core/types"
)

// SQLSTATE codes that the proxy sends to callers or receives from endpoints.
const (
	SQLStateUnknownOutcome        = "08007"
	SQLStateUnavailable           = "57P03"
	SQLStateShutdown              = "57P01"
	SQLStateLimitExceeded         = "53400"
	SQLStateRetired               = "0A000"
	SQLStateSerializationFailure  = "40001"
	SQLStateInvalidParameterValue = "22023"
	SQLStateProtocolViolation     = "08P01"
	SQLStateNoDatabase            = "3D000"
	SQLStateTooLarge              = "54000"
	SQLStateNotSupported          = "0A000"
	SQLStateReadOnly              = "25006"
	SQLStateTermMismatch          = "BB001"
	SQLStateTooManyConnections    = "53300"
)

// OutcomeSQLState returns the SQLSTATE that a caller gets for an outcome other than Done.
func OutcomeSQLState(o types.Outcome) string {
	if o.Kind == types.OutcomeUnknown {
		return SQLStateUnknownOutcome
	}
	switch o.Reason {
	case types.ReasonQueueFull, types.ReasonLate, types.ReasonShed:
		return SQLStateLimitExceeded
	case types.ReasonRetired:
		return SQLStateRetired
	case types.ReasonBehind, types.ReasonStale, types.ReasonLostWrite:
		return SQLStateSerializationFailure
	case types.ReasonLeaving:
		return SQLStateShutdown
	case types.ReasonBadRequest:
		return SQLStateInvalidParameterValue
	case types.ReasonReadOnly:
		return SQLStateReadOnly
	default:
		return SQLStateUnavailable
	}
}

// OutcomeMessage returns the error message that a caller gets for an outcome other than
// Done.
func OutcomeMessage(o types.Outcome) string {
	text := "not run: "
	if o.Kind == types.OutcomeUnknown {
		text = "outcome unknown: "
	}
	text += o.Reason.String()
	if o.Detail != "" {
		text += ": " + o.Detail
	}
	return text
}

// AppendOutcome appends the ErrorResponse for an outcome other than Done.
func AppendOutcome(buf []byte, o types.Outcome) []byte {
	return AppendError(buf, "ERROR", OutcomeSQLState(o), OutcomeMessage(o))
}

// AppendError appends an ErrorResponse.
func AppendError(buf []byte, severity, sqlState, text string) []byte {
	msg := pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: sqlState, Message: text}
	return appendMessage(buf, &msg)
}

// AppendReady appends a ReadyForQuery with the transaction status.
func AppendReady(buf []byte, status byte) []byte {
	return appendMessage(buf, &pgproto3.ReadyForQuery{TxStatus: status})
}

// AppendCloseComplete appends a CloseComplete.
func AppendCloseComplete(buf []byte) []byte {
	return appendMessage(buf, &pgproto3.CloseComplete{})
}

// SetReadyStatus replaces, in place, the transaction status in the ReadyForQuery at the
// end of an answer.
func SetReadyStatus(answer []byte, status byte) []byte {
	answer[len(answer)-1] = status
	return answer
}

// AppendParameter appends a ParameterStatus.
func AppendParameter(buf []byte, name, value string) []byte {
	return appendMessage(buf, &pgproto3.ParameterStatus{Name: name, Value: value})
}

// AppendComplete appends a CommandComplete with the tag.
func AppendComplete(buf []byte, tag string) []byte {
	return appendMessage(buf, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// textOID is the object identifier of the PostgreSQL type text.
const textOID = 25

// encoder is a message that pgproto3 can encode.
type encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// appendMessage appends an encoded message. It panics if the message cannot be encoded,
// which happens only to messages far larger than those built here.
func appendMessage(buf []byte, m encoder) []byte {
	out, err := m.Encode(buf)
	if err != nil {
		panic("pgwire: encode message: " + err.Error())
	}
	return out
}
