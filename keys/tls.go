package keys

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"google.golang.org/grpc/credentials"
)

// ServerConfig returns the configuration of a server that accepts only peers with a certificate of
// one of the given roles; without roles, any certificate of the authority. Each handshake uses the
// current files.
func (ring *Ring) ServerConfig(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: ring.serverCertificate,
		// The chain is verified in VerifyConnection, which uses the current authorities.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			return ring.verify(state, x509.ExtKeyUsageClientAuth, allowed)
		},
	}
}

// OpenConfig returns the configuration of a server that also accepts peers without a certificate. A
// certificate that is presented must be of the authority.
func (ring *Ring) OpenConfig() *tls.Config {
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

// ClientConfig returns the configuration of a client that accepts only servers with a certificate of
// one of the given roles; without roles, any certificate of the authority. Daemons call each other
// by IP address, so the role takes the place of the host name.
func (ring *Ring) ClientConfig(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if certificate := ring.material().certificate; certificate != nil {
				return certificate, nil
			}
			return &tls.Certificate{}, nil
		},
		// The chain and role are verified in VerifyConnection instead, which uses the current
		// authorities and needs no host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return ring.verify(state, x509.ExtKeyUsageServerAuth, allowed)
		},
	}
}

// ServerCredentials returns ServerConfig for a gRPC server.
func (ring *Ring) ServerCredentials(allowed ...Role) credentials.TransportCredentials {
	return credentials.NewTLS(ring.ServerConfig(allowed...))
}

// ClientCredentials returns ClientConfig for a gRPC client.
func (ring *Ring) ClientCredentials(allowed ...Role) credentials.TransportCredentials {
	return credentials.NewTLS(ring.ClientConfig(allowed...))
}

func (ring *Ring) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	if certificate := ring.material().certificate; certificate != nil {
		return certificate, nil
	}
	return nil, ErrBadFiles{File: ring.settings.Certificate, Reason: "no certificate in the settings"}
}

// verify checks the peer's chain against the current authorities, and its role.
func (ring *Ring) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, allowed []Role) error {
	if len(state.PeerCertificates) == 0 {
		return ErrDenied{Reason: "no certificate"}
	}
	leaf := state.PeerCertificates[0]
	role := RoleOf(leaf)
	authorities := ring.material().authorities
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

// PeerRole returns the role of the peer of an established connection, RoleNone if it presented no
// certificate.
func PeerRole(state *tls.ConnectionState) Role {
	if state == nil || len(state.PeerCertificates) == 0 {
		return RoleNone
	}
	return RoleOf(state.PeerCertificates[0])
}
