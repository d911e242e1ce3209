package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"
	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
)

var failureStatusCodes = map[FailureCode]int{
	FailureUnauthorized: http.StatusUnauthorized,
	FailureMalformed:    http.StatusBadRequest,
	FailureNotFound:     http.StatusNotFound,
	FailureRefused:      http.StatusUnprocessableEntity,
	FailureStale:        http.StatusConflict,
	FailureUnknown:      http.StatusGatewayTimeout,
	FailureUnavailable:  http.StatusServiceUnavailable,
}

// errorStatus converts a failure to the error of the API, with its HTTP status code.
func errorStatus(f *Failure) *api.ErrorStatusCode {
	status, ok := failureStatusCodes[f.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	return &api.ErrorStatusCode{
		StatusCode: status,
		Response:   api.Error{Code: api.ErrorCode(f.Code), Message: f.Message, Object: f.Object},
	}
}

// toFailure converts an error of the generated server to a failure.
func toFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) {
		return &Failure{Code: FailureUnauthorized, Message: "the request has no valid token", Object: "Authorization"}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Malformed("body", "the request body has more than %d bytes", tooLarge.Limit)
	}
	var params *ogenerrors.DecodeParamsError
	var request *ogenerrors.DecodeRequestError
	if errors.As(err, &params) || errors.As(err, &request) {
		return toMalformed(err)
	}
	return &Failure{Code: FailureUnavailable, Message: err.Error()}
}

// toMalformed returns a failure that names the field or parameter that cannot be
// decoded, or the body if there is no such name.
func toMalformed(err error) *Failure {
	if object, cause := firstInvalidField(err); object != "" {
		return Malformed(object, "%s: %v", object, cause)
	}
	var param *ogenerrors.DecodeParamError
	if errors.As(err, &param) {
		return Malformed(param.Name, "parameter %q: %v", param.Name, param.Err)
	}
	return Malformed("body", "the request cannot be decoded: %v", innermostError(err))
}

// firstInvalidField returns the dotted path of the first invalid field and the error
// of its value. The path is empty if err is not about a field.
func firstInvalidField(err error) (string, error) {
	var path []string
	for {
		var invalid *validate.Error
		if !errors.As(err, &invalid) || len(invalid.Fields) == 0 {
			return strings.Join(path, "."), err
		}
		path = append(path, invalid.Fields[0].Name)
		err = invalid.Fields[0].Error
	}
}

func innermostError(err error) error {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err
		}
		err = inner
	}
}

func writeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	writeFailure(w, toFailure(err))
}

func writeNotFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, &Failure{
		Code:    FailureNotFound,
		Object:  r.URL.Path,
		Message: fmt.Sprintf("the admin API has no path %q", r.URL.Path),
	})
}

func writeNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	writeStatus(w, http.StatusMethodNotAllowed, api.Error{
		Code:    api.ErrorCodeMalformed,
		Object:  r.Method,
		Message: fmt.Sprintf("path %q takes the methods %s, not %s", r.URL.Path, allowed, r.Method),
	})
}

func writeFailure(w http.ResponseWriter, f *Failure) {
	status := errorStatus(f)
	if f.Code == FailureUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeStatus(w, status.StatusCode, status.Response)
}

func writeStatus(w http.ResponseWriter, status int, body api.Error) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(&body)
}
