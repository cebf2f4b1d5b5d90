package routing

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// ErrNoEndpoint reports that no endpoint of a service can be chosen, with the number of its candidates,
// of those that are usable and of those that are ejected.
type ErrNoEndpoint struct {
	Service    ident.Service
	Candidates int
	Usable     int
	Ejected    int
}

// Error implements the error interface.
func (err ErrNoEndpoint) Error() string {
	return fmt.Sprintf("no endpoint of service %s can be chosen (%d known, %d usable, %d ejected)",
		err.Service, err.Candidates, err.Usable, err.Ejected)
}

// IsErrNoEndpoint reports whether err is or wraps an ErrNoEndpoint.
func IsErrNoEndpoint(err error) bool {
	return errors.As(err, new(ErrNoEndpoint))
}
