package admin

import "fmt"

// FailureCode says why a request has no value for an answer.
type FailureCode string

// The failure codes. Unavailable, Refused, Stale, NotFound and Malformed mean
// that the request changed nothing; FailureUnknown means that it may have.
const (
	FailureUnauthorized FailureCode = "unauthorized"
	FailureMalformed    FailureCode = "malformed"
	FailureNotFound     FailureCode = "not_found"
	FailureRefused      FailureCode = "refused"
	FailureStale        FailureCode = "stale"
	FailureUnknown      FailureCode = "unknown"
	FailureUnavailable  FailureCode = "unavailable"
)

// Failure is the answer to a request that has no value.
type Failure struct {
	Code    FailureCode
	Message string
	// Object names the object or value that the failure is about.
	Object string
}

// Error returns the failure's message.
func (f *Failure) Error() string { return f.Message }

// Malformed returns the failure of a request whose value named object is not valid.
func Malformed(object, format string, args ...any) *Failure {
	return &Failure{Code: FailureMalformed, Object: object, Message: fmt.Sprintf(format, args...)}
}

// NotFound returns the failure of a request that names an object that does not exist.
func NotFound(kind, name string) *Failure {
	return &Failure{Code: FailureNotFound, Object: name, Message: fmt.Sprintf("%s %q does not exist", kind, name)}
}

// Refused returns the failure of a request that was not carried out because of err.
func Refused(object string, err error) *Failure {
	return &Failure{Code: FailureRefused, Object: object, Message: err.Error()}
}

// Unavailable returns the failure of a request that the host cannot answer now.
func Unavailable(message string) *Failure {
	return &Failure{Code: FailureUnavailable, Message: message}
}
