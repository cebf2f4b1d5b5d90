package keys

import (
	"crypto/x509"
	"strings"
)

// Role is the role of a certificate's owner, which decides what the owner may call.
type Role string

// Roles of peers. RoleNone is the role of a peer without a certificate or with one that names no role, for
// example a caller.
const (
	RoleNone     Role = ""
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
	RoleCaller   Role = "caller"
	RolePlatform Role = "platform"
)

var roles = []Role{RoleEntry, RoleAgent, RoleOperator, RoleCaller, RolePlatform}

// Identity is the role and the name of a certificate's owner.
type Identity struct {
	Role Role
	// Name is the entry or worker for which the owner may act. An empty name allows all names, for a
	// certificate that all daemons of a role share.
	Name string
}

// IdentityOf returns the role of a certificate, and as its name the rest of the common name after the
// role: "agent.khomas-1" has the name "khomas-1". The name is empty if the role comes from a DNS name.
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

// RoleOf returns the role of a certificate. It is the first label of the common name if that is a role,
// or else of the first DNS name whose first label is one. "agent" and "agent.gent.example" are both
// RoleAgent.
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
