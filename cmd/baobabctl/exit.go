package main

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// The exit codes. exitNotYetKnown means that a change may or may not have been made,
// or that a rollout is still in progress. exitUnreachable means that the host or the
// platform did not respond and that nothing was changed.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitNotYetKnown = 3
	exitUnreachable = 4
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func usageError(err error) error { return &exitError{code: exitUsage, err: err} }

// usagef returns a usage error with a formatted message, which makes the process
// exit with exitUsage.
func usagef(format string, args ...any) error { return usageError(errors.Errorf(format, args...)) }

// reportError writes the error, if any, and returns the exit code.
func reportError(w io.Writer, err error) int {
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintln(w, "baobabctl:", err)
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitRefused
}
