package admin

import "fmt"

// FailureCode classifies failures.
type FailureCode string

// The failure codes. FailureUnknown means that the request may have changed
// something. All other codes mean that it changed nothing.
const (
	FailureUnauthorized FailureCode = "unauthorized"
	FailureMalformed    FailureCode = "malformed"
	FailureNotFound     FailureCode = "not_found"
	FailureRefused      FailureCode = "refused"
	FailureStale        FailureCode = "stale"
	FailureUnknown      FailureCode = "unknown"
	FailureUnavailable  FailureCode = "unavailable"
)

// Failure is the error of a request.
type Failure struct {
	Code    FailureCode
	Message string
	// Object is the name of the object or value that the failure is about.
	Object string
}

// Error returns the failure's message.
func (f *Failure) Error() string { return f.Message }

// Malformed returns the failure of a request with an invalid value. The object is
// the name of the value.
func Malformed(object, format string, args ...any) *Failure {
	return &Failure{Code: FailureMalformed, Object: object, Message: fmt.Sprintf(format, args...)}
}

// NotFound returns the failure of a request for an object that does not exist.
func NotFound(kind, name string) *Failure {
	return &Failure{Code: FailureNotFound, Object: name, Message: fmt.Sprintf("%s %q does not exist", kind, name)}
}

// Refused returns the failure of a request that was not executed because of err.
func Refused(object string, err error) *Failure {
	return &Failure{Code: FailureRefused, Object: object, Message: err.Error()}
}

// Unavailable returns the failure of a request that the host cannot answer now.
func Unavailable(message string) *Failure {
	return &Failure{Code: FailureUnavailable, Message: message}
}
