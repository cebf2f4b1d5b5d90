package admission

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// ErrInvariant is the value of the panic raised when a limit or a refusal was about to be violated.
type ErrInvariant struct {
	Rule    string
	Request ident.Request
}

// Error describes the violated rule.
func (err ErrInvariant) Error() string {
	return fmt.Sprintf("admission invariant violated: %s (request %q)", err.Rule, err.Request)
}

// IsErrInvariant reports whether err is or wraps an ErrInvariant.
func IsErrInvariant(err error) bool {
	return errors.As(err, new(ErrInvariant))
}
