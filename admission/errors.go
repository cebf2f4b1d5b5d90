package admission

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// ErrInvariant is the panic value when a limit is exceeded or a refused request is about to run, which
// is a fault of this package.
type ErrInvariant struct {
	Rule    string
	Request ident.Request
}

// Error implements the error interface.
func (err ErrInvariant) Error() string {
	return fmt.Sprintf("admission invariant violated: %s (request %q)", err.Rule, err.Request)
}

// IsErrInvariant reports whether err is or wraps an ErrInvariant.
func IsErrInvariant(err error) bool {
	return errors.As(err, new(ErrInvariant))
}
