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

// LoopbackToken is the operators' token of an entry without a tokens file, which serves operators on
// loopback only. It is not secret, so a tokens file must not hold it.
const LoopbackToken = "loopback-operators-need-no-secret"

// tokensReload is the shortest interval between two looks at the tokens file.
const tokensReload = clock.Second

var (
	tokenReloads       = metrics.NewCounter("hyssopjunction_operator_token_reloads_total")
	failedTokenReloads = metrics.NewCounter("hyssopjunction_operator_failed_token_reloads_total")
)

// ErrBadTokens reports a tokens file that cannot be used. It never holds a token.
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

// Tokens holds the operators' credentials in force. It is safe for concurrent use.
type Tokens struct {
	file  string
	clock clock.Clock

	mu      sync.Mutex
	checked clock.Time
	content string
	fault   string
	known   authenticator
}

// FixedTokens returns credentials that do not change. It fails with ErrBadRequest if one is
// incomplete.
func FixedTokens(credentials []Credential) (*Tokens, error) {
	known, err := newAuthenticator(credentials)
	if err != nil {
		return nil, err
	}
	return &Tokens{known: known}, nil
}

// NewTokens returns the credentials of a file, which is read again when it changes. Each line holds a
// name, a token and optionally ReadOnly; empty lines and lines that start with # are skipped. It fails
// with ErrBadTokens.
func NewTokens(file string, source clock.Clock) (*Tokens, error) {
	tokens := &Tokens{file: file, clock: source, checked: source.Now()}
	if err := tokens.load(); err != nil {
		return nil, err
	}
	return tokens, nil
}

// current returns the credentials in force. A file that cannot be used leaves the previous ones in
// force, so that a file that is being written locks nobody out.
func (tokens *Tokens) current() authenticator {
	if tokens.file == "" {
		return tokens.known
	}
	tokens.mu.Lock()
	defer tokens.mu.Unlock()
	now := tokens.clock.Now()
	if now.Sub(tokens.checked) < tokensReload {
		return tokens.known
	}
	tokens.checked = now
	before := tokens.content
	err := tokens.load()
	switch {
	case err != nil && tokens.fault != err.Error():
		tokens.fault = err.Error()
		failedTokenReloads.Inc()
		klog.ErrorS(err, "Reload of tokens failed, previous tokens stay in force")
	case err == nil && tokens.content != before:
		tokenReloads.Inc()
		klog.InfoS("Tokens reloaded", "File", tokens.file, "Operators", len(tokens.known.credentials))
	}
	if err == nil {
		tokens.fault = ""
	}
	return tokens.known
}

// load reads the file and replaces the credentials if it changed and can be used.
func (tokens *Tokens) load() error {
	read, err := os.ReadFile(tokens.file)
	if err != nil {
		return ErrBadTokens{File: tokens.file, Reason: err.Error()}
	}
	content := string(read)
	if content == tokens.content && content != "" {
		return nil
	}
	credentials, err := parseTokens(content)
	if err != nil {
		return ErrBadTokens{File: tokens.file, Reason: err.Error()}
	}
	known, err := newAuthenticator(credentials)
	if err != nil {
		return ErrBadTokens{File: tokens.file, Reason: err.Error()}
	}
	tokens.content, tokens.known = content, known
	return nil
}

// parseTokens reads the lines of a tokens file. Its errors name lines, because the fields could be
// tokens in the wrong place.
func parseTokens(content string) ([]Credential, error) {
	var credentials []Credential
	var faults []error
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
			// A misspelt ReadOnly would otherwise permit changes.
			reason = "may have only ReadOnly after the token"
		case fields[1] == LoopbackToken:
			reason = "holds the token that is not secret"
		case len(fields[1]) < minToken:
			reason = fmt.Sprintf("needs a token of at least %d bytes", minToken)
		}
		if reason != "" {
			faults = append(faults, fmt.Errorf("line %d %s", number+1, reason))
			continue
		}
		credentials = append(credentials, Credential{Operator: fields[0], Token: fields[1], ReadOnly: len(fields) == 3})
	}
	return credentials, errors.Join(faults...)
}
