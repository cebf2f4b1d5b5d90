package setting

import (
	"errors"
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File string
	// Key is the full name of the setting, as in "Tasks.LeaseTermMillis", or empty for a fault of the
	// whole file.
	Key    string
	Reason string
}

// String formats the problem on one line.
func (problem Problem) String() string {
	if problem.Key == "" {
		return fmt.Sprintf("%s: %s", problem.File, problem.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", problem.File, problem.Key, problem.Reason)
}

// ErrBadSettings reports all faults of a settings file. The program exits with code 2.
type ErrBadSettings struct {
	Problems []Problem
}

// Error lists the problems, one a line.
func (err ErrBadSettings) Error() string {
	lines := make([]string, len(err.Problems))
	for index, problem := range err.Problems {
		lines[index] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// IsErrBadSettings reports whether err is or wraps an ErrBadSettings.
func IsErrBadSettings(err error) bool {
	return errors.As(err, new(ErrBadSettings))
}
