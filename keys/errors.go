package keys

import (
	"errors"
	"fmt"
)

// ErrBadFiles reports a certificate, key or authority file that cannot be used.
type ErrBadFiles struct {
	File   string
	Reason string
}

// Error describes the fault.
func (err ErrBadFiles) Error() string {
	return fmt.Sprintf("file %q is unusable: %s", err.File, err.Reason)
}

// IsErrBadFiles reports whether err is or wraps an ErrBadFiles.
func IsErrBadFiles(err error) bool {
	return errors.As(err, new(ErrBadFiles))
}

// ErrPlaintext reports a listen address on which unencrypted connections are not allowed.
type ErrPlaintext struct {
	Address string
}

// Error describes the address.
func (err ErrPlaintext) Error() string {
	return fmt.Sprintf("address %s is not loopback and there is no certificate; set AllowPlaintext to listen without one", err.Address)
}

// IsErrPlaintext reports whether err is or wraps an ErrPlaintext.
func IsErrPlaintext(err error) bool {
	return errors.As(err, new(ErrPlaintext))
}

// ErrBadAddress reports a listen address that is not an IP address and port.
type ErrBadAddress struct {
	Address string
	Reason  string
}

// Error describes the address.
func (err ErrBadAddress) Error() string {
	return fmt.Sprintf("address %q is unusable: %s", err.Address, err.Reason)
}

// IsErrBadAddress reports whether err is or wraps an ErrBadAddress.
func IsErrBadAddress(err error) bool {
	return errors.As(err, new(ErrBadAddress))
}

// ErrDenied reports a peer whose certificate is missing, untrusted, of another role or of another name.
type ErrDenied struct {
	Role Role
	// Name is empty if the certificate has none.
	Name   string
	Reason string
}

// Error describes the refusal.
func (err ErrDenied) Error() string {
	return fmt.Sprintf("peer with role %q and name %q denied: %s", err.Role, err.Name, err.Reason)
}

// IsErrDenied reports whether err is or wraps an ErrDenied.
func IsErrDenied(err error) bool {
	return errors.As(err, new(ErrDenied))
}
