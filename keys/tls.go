package keys

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"google.golang.org/grpc/credentials"
)

// ServerConfig returns the configuration of a server that accepts only peers with a certificate of one
// of the allowed roles, or with any certificate of the authority if no role is given. Each handshake uses
// the current files.
func (ring *Ring) ServerConfig(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: ring.serverCertificate,
		// VerifyConnection verifies the chain with the current authorities.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			return ring.verify(state, x509.ExtKeyUsageClientAuth, allowed)
		},
	}
}

// OptionalCertificateConfig returns the configuration of a server that also accepts peers without a
// certificate. If a peer presents one, the authority must have signed it.
func (ring *Ring) OptionalCertificateConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: ring.serverCertificate,
		ClientAuth:     tls.RequestClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 {
				return nil
			}
			return ring.verify(state, x509.ExtKeyUsageClientAuth, nil)
		},
	}
}

// ClientConfig returns the configuration of a client that accepts only servers with a certificate of one
// of the allowed roles, or with any certificate of the authority if no role is given. The role is checked
// instead of the host name, because daemons call each other by IP address.
func (ring *Ring) ClientConfig(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if certificate := ring.currentMaterial().certificate; certificate != nil {
				return certificate, nil
			}
			return &tls.Certificate{}, nil
		},
		// VerifyConnection verifies the chain and the role instead, with the current authorities and
		// without a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return ring.verify(state, x509.ExtKeyUsageServerAuth, allowed)
		},
	}
}

// ServerCredentials returns the credentials of a gRPC server with ServerConfig.
func (ring *Ring) ServerCredentials(allowed ...Role) credentials.TransportCredentials {
	return credentials.NewTLS(ring.ServerConfig(allowed...))
}

// ClientCredentials returns the credentials of a gRPC client with ClientConfig.
func (ring *Ring) ClientCredentials(allowed ...Role) credentials.TransportCredentials {
	return credentials.NewTLS(ring.ClientConfig(allowed...))
}

// serverCertificate returns the current certificate, or ErrBadFiles if the settings name none.
func (ring *Ring) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	if certificate := ring.currentMaterial().certificate; certificate != nil {
		return certificate, nil
	}
	return nil, ErrBadFiles{File: ring.settings.Certificate, Reason: "no certificate in the settings"}
}

// verify returns ErrDenied unless the current authorities signed the peer's certificate for the usage and
// its role is allowed. An empty list allows all roles.
func (ring *Ring) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, allowed []Role) error {
	if len(state.PeerCertificates) == 0 {
		return ErrDenied{Reason: "no certificate"}
	}
	leaf := state.PeerCertificates[0]
	role := RoleOf(leaf)
	authorities := ring.currentMaterial().authorities
	if authorities == nil {
		return ErrDenied{Role: role, Reason: "no authority in the settings"}
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	if _, err := leaf.Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	}); err != nil {
		return ErrDenied{Role: role, Reason: err.Error()}
	}
	if len(allowed) > 0 && !slices.Contains(allowed, role) {
		return ErrDenied{Role: role, Reason: "role not allowed here"}
	}
	return nil
}

// PeerRole returns the role of a connection's peer, or RoleNone if it presented no certificate.
func PeerRole(state *tls.ConnectionState) Role {
	if state == nil || len(state.PeerCertificates) == 0 {
		return RoleNone
	}
	return RoleOf(state.PeerCertificates[0])
}
