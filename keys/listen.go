package keys

import (
	"net"
	"net/netip"
)

// CheckListen returns an error if a server must not listen on address, which is an IP address and a
// port. Without a certificate only loopback addresses are allowed, unless allowPlaintext is set; others
// return ErrPlaintext. A malformed address returns ErrBadAddress, and so does a host name without a
// certificate or allowPlaintext, because the address that it resolves to can change.
func CheckListen(address string, hasCertificate, allowPlaintext bool) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ErrBadAddress{Address: address, Reason: err.Error()}
	}
	if hasCertificate || allowPlaintext {
		return nil
	}
	if host == "" {
		// An empty host means all addresses.
		return ErrPlaintext{Address: address}
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return ErrBadAddress{Address: address, Reason: "not an IP address"}
	}
	if !ip.Unmap().IsLoopback() {
		return ErrPlaintext{Address: address}
	}
	return nil
}
