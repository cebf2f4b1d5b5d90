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
