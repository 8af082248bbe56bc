package cmds

import (
	"errors"
	"fmt"
)

// Exit statuses of the config publish and config outcome commands.
const (
	exitRefused = 3
	exitUnknown = 4
)

// ExitError is an error that carries the exit status of the program.
type ExitError struct {
	Status int
	Err    error
}

// Error implements the error interface.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitStatus returns the exit status for an error: that of the ExitError it wraps,
// or else 1.
func ExitStatus(err error) int {
	var exitErr *ExitError
	if errors.As(err, &exitErr) {
		return exitErr.Status
	}
	return 1
}

// refusedError returns the error for a publish that is not accepted.
func refusedError(err error) error {
	return &ExitError{
		Status: exitRefused,
		Err:    fmt.Errorf("refused: %w", err),
	}
}

// unknownOutcomeError returns the error for a publish that may have been accepted
// or may yet be.
func unknownOutcomeError(nonce string, cause error) error {
	return &ExitError{
		Status: exitUnknown,
		Err:    errors.Join(fmt.Errorf("unknown: the publish %s may or may not be accepted", nonce), cause),
	}
}
