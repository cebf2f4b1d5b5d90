package setting

import (
	"hyssopjunction/clock"
	"hyssopjunction/keys"
)

// Config configures the polling of the operators' configuration.
type Config struct {
	PollMillis clock.Millis `default:"2000" min:"100" max:"6000" doc:"Time between two reads of the configuration from the table; changes must be in force within 7 s"`
}

// Shutdown limits the duration of a graceful shutdown.
type Shutdown struct {
	BoundMillis clock.Millis `default:"30000" min:"0" max:"3600000" doc:"Longest wait for requests in flight"`
}

// TLS names the certificate files of the daemon. Without them, connections are not encrypted.
type TLS struct {
	CertificateFile string `kind:"file" optional:"true" doc:"Certificate in PEM form"`
	KeyFile         string `kind:"file" optional:"true" doc:"Private key in PEM form"`
	AuthorityFile   string `kind:"file" optional:"true" doc:"Certificates in PEM form of the authorities of other daemons"`
	AllowPlaintext  bool   `optional:"true" doc:"Listen without a certificate on addresses other than loopback"`
}

// check requires all three files or none.
func (tls TLS) check(reader *reader) {
	names := []string{"TLS.CertificateFile", "TLS.KeyFile", "TLS.AuthorityFile"}
	files := []string{tls.CertificateFile, tls.KeyFile, tls.AuthorityFile}
	hasFiles := tls.CertificateFile+tls.KeyFile+tls.AuthorityFile != ""
	for index, file := range files {
		reader.require(!hasFiles || file != "", []string{names[index]}, "is required when another file of TLS is given")
	}
}

// checkListen reports an address on which the daemon must not listen without a certificate. Empty and
// malformed addresses are left to other checks. With plaintextOnly, the address never uses the
// certificate.
func (tls TLS) checkListen(reader *reader, key, address string, plaintextOnly bool) {
	err := keys.CheckListen(address, tls.CertificateFile != "" && !plaintextOnly, tls.AllowPlaintext)
	if keys.IsErrPlaintext(err) {
		reader.addProblem(key, "%s", err)
	}
}

// Operators configures the access of operators.
type Operators struct {
	TokensFile string `kind:"file" optional:"true" doc:"File with one line per operator, a name and a token; a third word ReadOnly denies changes; read again when it changes; empty allows operators on loopback only, with the token loopback-operators-need-no-secret, which a file must not hold"`
}

// Log configures the log.
type Log struct {
	Level string `kind:"level" default:"Info" doc:"Lowest level that is logged: Debug, Info, Warn or Error"`
}

// EntryLog configures the log of an entry, which includes routing decisions.
type EntryLog struct {
	Level    string `kind:"level" default:"Info" doc:"Lowest level that is logged: Debug, Info, Warn or Error"`
	Sampling int    `default:"1" min:"1" max:"1000000" doc:"One of this many routing decisions is logged; the others are counted in hyssopjunction_dispatch_unlogged_decisions_total"`
}

// Metrics configures the metrics page.
type Metrics struct {
	Listen string `kind:"address" optional:"true" doc:"Address of the metrics page, which is never encrypted; empty offers none"`
}
