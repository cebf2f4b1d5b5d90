package keys

import (
	"crypto/x509"
	"strings"
)

// Role is what a certificate's owner may do.
type Role string

// Roles. RoleNone is a peer without a role, for example a caller.
const (
	RoleNone     Role = ""
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
	RoleCaller   Role = "caller"
	RolePlatform Role = "platform"
)

var roles = []Role{RoleEntry, RoleAgent, RoleOperator, RoleCaller, RolePlatform}

// Identity is what a certificate says of its owner.
type Identity struct {
	Role Role
	// Name is the name of the entry or worker that the owner may act for. An empty name allows every
	// name, for a certificate that all daemons of a role share.
	Name string
}

// IdentityOf returns the role of a certificate and the remainder of its common name after the role, so
// "agent.khomas-1" gives the name "khomas-1". A role that stands in a DNS name only has no name.
func IdentityOf(certificate *x509.Certificate) Identity {
	identity := Identity{Role: RoleOf(certificate)}
	if identity.Role == RoleNone {
		return identity
	}
	label, name, _ := strings.Cut(certificate.Subject.CommonName, ".")
	if strings.EqualFold(label, string(identity.Role)) {
		identity.Name = name
	}
	return identity
}

// RoleOf returns the role of a certificate: the first label of its common name, or of the first of
// its DNS names, that is the name of a role. "agent" and "agent.gent.example" both give RoleAgent.
func RoleOf(certificate *x509.Certificate) Role {
	if certificate == nil {
		return RoleNone
	}
	for _, name := range append([]string{certificate.Subject.CommonName}, certificate.DNSNames...) {
		label, _, _ := strings.Cut(strings.ToLower(name), ".")
		for _, role := range roles {
			if label == string(role) {
				return role
			}
		}
	}
	return RoleNone
}
