package routing

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// ErrNoEndpoint reports that no candidate may be chosen.
type ErrNoEndpoint struct {
	Service    ident.Service
	Candidates int
	Usable     int
	Ejected    int
}

// Error describes the shortage.
func (err ErrNoEndpoint) Error() string {
	return fmt.Sprintf("no endpoint of service %s can be chosen (%d known, %d usable, %d ejected)",
		err.Service, err.Candidates, err.Usable, err.Ejected)
}

// IsErrNoEndpoint reports whether err is or wraps an ErrNoEndpoint.
func IsErrNoEndpoint(err error) bool {
	return errors.As(err, new(ErrNoEndpoint))
}
