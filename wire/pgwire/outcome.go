package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"baobabfield.example/core/types"
)

// SQLSTATE codes that the proxy sends to callers or receives from endpoints.
const (
	StateUnknownOutcome        = "08007"
	StateUnavailable           = "57P03"
	StateShutdown              = "57P01"
	StateLimitExceeded         = "53400"
	StateRetired               = "0A000"
	StateSerializationFailure  = "40001"
	StateInvalidParameterValue = "22023"
	StateProtocolViolation     = "08P01"
	StateNoDatabase            = "3D000"
	StateTooLarge              = "54000"
	StateNotSupported          = "0A000"
	StateReadOnly              = "25006"
	StateTermMismatch          = "BB001"
	StateTooManyConnections    = "53300"
)

// OutcomeSQLState returns the SQLSTATE that a caller gets for an outcome other than Done.
func OutcomeSQLState(o types.Outcome) string {
	if o.Kind == types.OutcomeUnknown {
		return StateUnknownOutcome
	}
	switch o.Reason {
	case types.ReasonQueueFull, types.ReasonLate, types.ReasonShed:
		return StateLimitExceeded
	case types.ReasonRetired:
		return StateRetired
	case types.ReasonBehind, types.ReasonStale, types.ReasonLostWrite:
		return StateSerializationFailure
	case types.ReasonLeaving:
		return StateShutdown
	case types.ReasonBadRequest:
		return StateInvalidParameterValue
	case types.ReasonReadOnly:
		return StateReadOnly
	default:
		return StateUnavailable
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
func AppendError(buf []byte, severity, state, text string) []byte {
	msg := pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: state, Message: text}
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
