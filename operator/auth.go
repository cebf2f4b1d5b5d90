package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// minTokenBytes is the minimum length of a token: 128 bits as base64 without padding.
const minTokenBytes = 22

// Credential authenticates an operator by a bearer token.
type Credential struct {
	// Operator is the name under which changes are recorded.
	Operator string
	// Token is the bearer token, at least 22 bytes.
	Token string
	// ReadOnly denies calls that make changes.
	ReadOnly bool
}

// hashedCredential is a Credential with the digest of its token instead of the token.
type hashedCredential struct {
	operator string
	readOnly bool
	digest   [sha256.Size]byte
}

// authenticator checks bearer tokens by their digests, in a time that depends neither on the number of
// equal bytes nor on which credential matches.
type authenticator struct {
	credentials []hashedCredential
}

func newAuthenticator(credentials []Credential) (authenticator, error) {
	var auth authenticator
	if len(credentials) == 0 {
		return auth, ErrBadRequest{Field: "Credentials", Reason: "at least one is needed"}
	}
	for _, credential := range credentials {
		if credential.Operator == "" || len(credential.Token) < minTokenBytes {
			return auth, ErrBadRequest{Field: "Credentials", Reason: "operator " + credential.Operator + " needs a name and a token of at least 22 bytes"}
		}
		auth.credentials = append(auth.credentials, hashedCredential{
			operator: credential.Operator, readOnly: credential.ReadOnly, digest: sha256.Sum256([]byte(credential.Token)),
		})
	}
	return auth, nil
}

// identify returns the credential of the request's bearer token. It fails with ErrDenied.
func (auth authenticator) identify(request *http.Request) (hashedCredential, error) {
	scheme, token, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return hashedCredential{}, ErrDenied{Reason: "a bearer token is required"}
	}
	digest := sha256.Sum256([]byte(token))
	match := -1
	for index := range auth.credentials {
		equal := subtle.ConstantTimeCompare(digest[:], auth.credentials[index].digest[:])
		match = subtle.ConstantTimeSelect(equal, index, match)
	}
	if match < 0 {
		return hashedCredential{}, ErrDenied{Reason: "the token is not known"}
	}
	return auth.credentials[match], nil
}
