package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"hyssopjunction/keys"
)

// authority is a certificate authority that signs the certificates of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      atomic.Int64
	// addresses lists the IP addresses in every certificate, which HTTPS clients verify.
	addresses []net.IP
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	authority := &authority{certificate: certificate, key: key}
	authority.serial.Store(1)
	// These are the addresses that system.freeAddress returns.
	pid := os.Getpid()
	for last := range 64 {
		authority.addresses = append(authority.addresses, net.IPv4(127, byte(1+pid>>8&0x7f), byte(pid), byte(last)))
	}
	return authority
}

// issue creates a certificate with the role as common name, and writes it, its key and the authority's
// certificate to files in the directory whose names start with name.
func (authority *authority) issue(t *testing.T, directory, name, role string) keys.Settings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial.Add(1)), Subject: pkix.Name{CommonName: role},
		NotAfter: time.Now().Add(time.Hour), IPAddresses: authority.addresses,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	path := func(suffix string) string { return filepath.Join(directory, name+suffix) }
	settings := keys.Settings{Certificate: path(".cert.pem"), Key: path(".key.pem"), Authority: path(".ca.pem")}
	for file, block := range map[string]*pem.Block{
		settings.Key:         {Type: "EC PRIVATE KEY", Bytes: encoded},
		settings.Certificate: {Type: "CERTIFICATE", Bytes: der},
		settings.Authority:   {Type: "CERTIFICATE", Bytes: authority.certificate.Raw},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return settings
}

// clientConfig returns the TLS configuration of a client that trusts the authority and has no
// certificate itself.
func (authority *authority) clientConfig() *tls.Config {
	authorities := x509.NewCertPool()
	authorities.AddCert(authority.certificate)
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities}
}
