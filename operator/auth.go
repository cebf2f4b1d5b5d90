package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// minToken is the shortest accepted token in bytes, 128 bits as base64 without padding.
const minToken = 22

// Credential permits an operator to call.
type Credential struct {
	// Operator is the name that changes are recorded under.
	Operator string
	// Token is the bearer token, at least 22 bytes.
	Token string
	// ReadOnly denies calls that change something.
	ReadOnly bool
}

type credential struct {
	operator string
	readOnly bool
	digest   [sha256.Size]byte
}

// authenticator compares tokens by digest, in a time that depends neither on the number of equal
// bytes nor on which credential matches.
type authenticator struct {
	credentials []credential
}

func newAuthenticator(credentials []Credential) (authenticator, error) {
	var known authenticator
	if len(credentials) == 0 {
		return known, ErrBadRequest{Field: "Credentials", Reason: "at least one is needed"}
	}
	for _, given := range credentials {
		if given.Operator == "" || len(given.Token) < minToken {
			return known, ErrBadRequest{Field: "Credentials", Reason: "operator " + given.Operator + " needs a name and a token of at least 22 bytes"}
		}
		known.credentials = append(known.credentials, credential{
			operator: given.Operator, readOnly: given.ReadOnly, digest: sha256.Sum256([]byte(given.Token)),
		})
	}
	return known, nil
}

// identify returns the credential of the request's bearer token. It fails with ErrDenied.
func (known authenticator) identify(request *http.Request) (credential, error) {
	scheme, token, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return credential{}, ErrDenied{Reason: "a bearer token is required"}
	}
	digest := sha256.Sum256([]byte(token))
	match := -1
	for index := range known.credentials {
		equal := subtle.ConstantTimeCompare(digest[:], known.credentials[index].digest[:])
		match = subtle.ConstantTimeSelect(equal, index, match)
	}
	if match < 0 {
		return credential{}, ErrDenied{Reason: "the token is not known"}
	}
	return known.credentials[match], nil
}
