package operator

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
)

// LoopbackToken is the token of an entry without a tokens file, which serves operators on loopback only.
// It is not secret, so a tokens file must not hold it.
const LoopbackToken = "loopback-operators-need-no-secret"

// tokensReloadInterval is the minimum interval between two reads of the tokens file.
const tokensReloadInterval = clock.Second

var (
	tokenReloads       = metrics.NewCounter("hyssopjunction_operator_token_reloads_total")
	failedTokenReloads = metrics.NewCounter("hyssopjunction_operator_failed_token_reloads_total")
)

// ErrBadTokens reports a tokens file that cannot be used. Its text holds no token.
type ErrBadTokens struct {
	File   string
	Reason string
}

// Error describes the fault.
func (err ErrBadTokens) Error() string {
	return fmt.Sprintf("tokens file %q is unusable: %s", err.File, err.Reason)
}

// IsErrBadTokens reports whether err is or wraps an ErrBadTokens.
func IsErrBadTokens(err error) bool {
	return errors.As(err, new(ErrBadTokens))
}

// Tokens holds the operators' current credentials. It is safe for concurrent use.
type Tokens struct {
	file  string
	clock clock.Clock

	mu            sync.Mutex
	lastCheck     clock.Time
	content       string
	lastFault     string
	authenticator authenticator
}

// FixedTokens returns credentials that do not change. It fails with ErrBadRequest if one is
// incomplete.
func FixedTokens(credentials []Credential) (*Tokens, error) {
	auth, err := newAuthenticator(credentials)
	if err != nil {
		return nil, err
	}
	return &Tokens{authenticator: auth}, nil
}

// NewTokens returns the credentials of a file, which is read again when it changes. Each line holds a
// name, a token and optionally ReadOnly; empty lines and lines that start with # are skipped. It fails
// with ErrBadTokens.
func NewTokens(file string, source clock.Clock) (*Tokens, error) {
	tokens := &Tokens{file: file, clock: source, lastCheck: source.Now()}
	if err := tokens.load(); err != nil {
		return nil, err
	}
	return tokens, nil
}

// current returns the authenticator of the current credentials, after a reload if the interval has
// passed. A file that cannot be used leaves the previous credentials in force, so that a file that is
// being written locks nobody out.
func (tokens *Tokens) current() authenticator {
	if tokens.file == "" {
		return tokens.authenticator
	}
	tokens.mu.Lock()
	defer tokens.mu.Unlock()
	now := tokens.clock.Now()
	if now.Sub(tokens.lastCheck) < tokensReloadInterval {
		return tokens.authenticator
	}
	tokens.lastCheck = now
	previous := tokens.content
	err := tokens.load()
	switch {
	case err != nil && tokens.lastFault != err.Error():
		tokens.lastFault = err.Error()
		failedTokenReloads.Inc()
		klog.ErrorS(err, "Reload of tokens failed, previous tokens stay in force")
	case err == nil && tokens.content != previous:
		tokenReloads.Inc()
		klog.InfoS("Tokens reloaded", "File", tokens.file, "Operators", len(tokens.authenticator.credentials))
	}
	if err == nil {
		tokens.lastFault = ""
	}
	return tokens.authenticator
}

// load reads the file and, if it changed, replaces the credentials. If it fails with ErrBadTokens, the
// credentials stay as they are.
func (tokens *Tokens) load() error {
	data, err := os.ReadFile(tokens.file)
	if err != nil {
		return ErrBadTokens{File: tokens.file, Reason: err.Error()}
	}
	content := string(data)
	if content == tokens.content && content != "" {
		return nil
	}
	credentials, err := parseTokens(content)
	if err != nil {
		return ErrBadTokens{File: tokens.file, Reason: err.Error()}
	}
	auth, err := newAuthenticator(credentials)
	if err != nil {
		return ErrBadTokens{File: tokens.file, Reason: err.Error()}
	}
	tokens.content, tokens.authenticator = content, auth
	return nil
}

// parseTokens reads the lines of a tokens file. Its errors give line numbers instead of fields, because a
// field could be a misplaced token.
func parseTokens(content string) ([]Credential, error) {
	var credentials []Credential
	var errs []error
	for number, line := range strings.Split(content, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		reason := ""
		switch {
		case len(fields) < 2:
			reason = "needs a name and a token"
		case len(fields) > 3 || len(fields) == 3 && fields[2] != "ReadOnly":
			// Ignoring a misspelt ReadOnly would permit changes.
			reason = "may have only ReadOnly after the token"
		case fields[1] == LoopbackToken:
			reason = "holds the token that is not secret"
		case len(fields[1]) < minTokenBytes:
			reason = fmt.Sprintf("needs a token of at least %d bytes", minTokenBytes)
		}
		if reason != "" {
			errs = append(errs, fmt.Errorf("line %d %s", number+1, reason))
			continue
		}
		credentials = append(credentials, Credential{Operator: fields[0], Token: fields[1], ReadOnly: len(fields) == 3})
	}
	return credentials, errors.Join(errs...)
}
