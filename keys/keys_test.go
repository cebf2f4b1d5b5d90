package keys_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/keys"
	"hyssopjunction/logging"
)

func TestMain(m *testing.M) {
	logging.New(io.Discard, slog.LevelInfo)
	m.Run()
}

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: certificate, key: key, serial: 1}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes a certificate for the role, its key and the authority's certificate into the directory,
// and returns the settings that name them.
func (authority *authority) issue(t *testing.T, directory, role string, usage ...x509.ExtKeyUsage) keys.Settings {
	t.Helper()
	authority.serial++
	key := newKey(t)
	if len(usage) == 0 {
		usage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	}
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial), Subject: pkix.Name{CommonName: role},
		NotAfter: time.Now().Add(time.Hour), ExtKeyUsage: usage,
	}, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	settings := keys.Settings{
		Certificate: filepath.Join(directory, "cert.pem"), Key: filepath.Join(directory, "key.pem"),
		Authority: filepath.Join(directory, "ca.pem"), ReloadMillis: clock.Second,
	}
	writePEM(t, settings.Certificate, "CERTIFICATE", der)
	writePEM(t, settings.Key, "EC PRIVATE KEY", encoded)
	writePEM(t, settings.Authority, "CERTIFICATE", authority.certificate.Raw)
	return settings
}

// writePEM writes a file with one PEM block.
func writePEM(t *testing.T, path, kind string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func newRing(t *testing.T, settings keys.Settings, source clock.Clock) *keys.Ring {
	t.Helper()
	ring, err := keys.New(settings, source)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

// handshake connects a client to a server. It returns the role of the client at the server, the serial
// number of the server's certificate, and the error of either side.
func handshake(t *testing.T, server, client *tls.Config) (keys.Role, int64, error) {
	t.Helper()
	// net.Pipe has no buffer and would block when both sides write, so the connection is a TCP one.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _, _ = clientConn.Close(), serverConn.Close(), listener.Close() }()
	result := make(chan error, 1)
	serverTLS := tls.Server(serverConn, server)
	go func() {
		err := serverTLS.Handshake()
		if err == nil {
			_, err = serverTLS.Write([]byte("x"))
		}
		_ = serverConn.Close()
		result <- err
	}()
	clientTLS := tls.Client(clientConn, client)
	err = clientTLS.Handshake()
	if err == nil {
		_, err = clientTLS.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
	if serverErr := <-result; serverErr != nil {
		err = serverErr
	}
	state := serverTLS.ConnectionState()
	serial := int64(0)
	if certificates := clientTLS.ConnectionState().PeerCertificates; len(certificates) > 0 {
		serial = certificates[0].SerialNumber.Int64()
	}
	return keys.PeerRole(&state), serial, err
}

// TestMutualAuthentication guards against a server or client that accepts a peer without a certificate,
// of another authority or of a role that is not allowed.
func TestMutualAuthentication(t *testing.T) {
	fake, trusted, untrusted := clock.NewFake(1000), newAuthority(t), newAuthority(t)
	ring := func(authority *authority, role string, usage ...x509.ExtKeyUsage) *keys.Ring {
		return newRing(t, authority.issue(t, t.TempDir(), role, usage...), fake)
	}
	entry, agent := ring(trusted, "entry"), ring(trusted, "agent.gent.example")
	clientOnly := ring(trusted, "entry", x509.ExtKeyUsageClientAuth)
	cases := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"roles match", entry.ServerConfig(keys.RoleAgent), agent.ClientConfig(keys.RoleEntry), true},
		{"client of another role", entry.ServerConfig(keys.RoleOperator), agent.ClientConfig(keys.RoleEntry), false},
		{"server of another role", entry.ServerConfig(keys.RoleAgent), agent.ClientConfig(keys.RolePlatform), false},
		{"client of another authority", entry.ServerConfig(), ring(untrusted, "agent").ClientConfig(), false},
		{"server of another authority", ring(untrusted, "entry").ServerConfig(), agent.ClientConfig(), false},
		{"client without certificate", entry.ServerConfig(), &tls.Config{InsecureSkipVerify: true}, false},
		{"open server, no certificate", entry.OptionalCertificateConfig(), &tls.Config{InsecureSkipVerify: true}, true},
		{"open server, other authority", entry.OptionalCertificateConfig(), ring(untrusted, "agent").ClientConfig(), false},
		{"client certificate as server", clientOnly.ServerConfig(), agent.ClientConfig(), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if _, _, err := handshake(t, test.server, test.client); (err == nil) != test.ok {
				t.Fatalf("handshake: %v", err)
			}
		})
	}
	if role, _, _ := handshake(t, entry.ServerConfig(), agent.ClientConfig()); role != keys.RoleAgent {
		t.Fatalf("role is %q", role)
	}
}

// TestReloadsChangedFiles guards against an old certificate or authority that stays in use after its file
// changed, files that are read before the interval has passed, and unusable files that replace good ones.
func TestReloadsChangedFiles(t *testing.T) {
	fake, oldAuthority, nextAuthority := clock.NewFake(1000), newAuthority(t), newAuthority(t)
	directory, clientDirectory := t.TempDir(), t.TempDir()
	server := newRing(t, oldAuthority.issue(t, directory, "entry"), fake)
	client := newRing(t, oldAuthority.issue(t, clientDirectory, "agent"), fake)
	serverConfig, clientConfig := server.ServerConfig(), client.ClientConfig()
	expectSerial := func(name string, want int64) {
		t.Helper()
		if _, serial, err := handshake(t, serverConfig, clientConfig); err != nil || serial != want {
			t.Fatalf("%s: certificate %d (%v), not %d", name, serial, err, want)
		}
	}
	expectSerial("first", 2)
	oldAuthority.issue(t, directory, "entry")
	expectSerial("within the interval", 2)
	fake.Advance(clock.Second)
	expectSerial("after the interval", 4)
	if err := os.WriteFile(filepath.Join(directory, "key.pem"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	fake.Advance(clock.Second)
	expectSerial("bad key", 4)
	oldAuthority.issue(t, directory, "entry")
	fake.Advance(clock.Second)
	expectSerial("good key again", 5)
	nextAuthority.issue(t, directory, "entry")
	fake.Advance(clock.Second)
	if _, _, err := handshake(t, serverConfig, clientConfig); err == nil {
		t.Fatal("a client of the old authority was accepted")
	}
	nextAuthority.issue(t, clientDirectory, "agent")
	fake.Advance(clock.Second)
	expectSerial("new authority", 2)
}

// TestNewRefusesBadFiles guards against a daemon that starts with unusable certificate files.
func TestNewRefusesBadFiles(t *testing.T) {
	settings := newAuthority(t).issue(t, t.TempDir(), "entry")
	for _, path := range []string{settings.Certificate, settings.Key, settings.Authority} {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, broken := range [][]byte{nil, []byte("nonsense"), content[:len(content)/2]} {
			if err := os.WriteFile(path, broken, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := keys.New(settings, clock.NewFake(0)); !keys.IsErrBadFiles(err) {
				t.Fatalf("%s broken: %v", path, err)
			}
		}
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestCheckListenRefusesPlaintext guards against unencrypted connections on an address that other
// machines reach.
func TestCheckListenRefusesPlaintext(t *testing.T) {
	cases := []struct {
		address            string
		certificate, allow bool
		ok                 bool
	}{
		{"127.0.0.1:80", false, false, true},
		{"[::1]:80", false, false, true},
		{"[::ffff:127.0.0.1]:80", false, false, true},
		{"127.9.8.7:80", false, false, true},
		{"0.0.0.0:80", false, false, false},
		{"[::]:80", false, false, false},
		{":80", false, false, false},
		{"10.0.0.1:80", false, false, false},
		{"10.0.0.1:80", true, false, true},
		{"10.0.0.1:80", false, true, true},
		{"localhost:80", false, false, false},
		{"10.0.0.1", true, true, false},
	}
	for _, test := range cases {
		err := keys.CheckListen(test.address, test.certificate, test.allow)
		if (err == nil) != test.ok || err != nil && !keys.IsErrPlaintext(err) && !keys.IsErrBadAddress(err) {
			t.Errorf("%+v: %v", test, err)
		}
	}
}

// TestCredentialsNegotiateAndCheckRole guards against gRPC connections that fail to negotiate HTTP/2 or do
// not check the role.
func TestCredentialsNegotiateAndCheckRole(t *testing.T) {
	fake, trusted := clock.NewFake(1000), newAuthority(t)
	entry := newRing(t, trusted.issue(t, t.TempDir(), "entry"), fake)
	agent := newRing(t, trusted.issue(t, t.TempDir(), "agent"), fake)
	for _, allowed := range []keys.Role{keys.RoleAgent, keys.RoleOperator} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		result := make(chan error, 1)
		go func() {
			serverConn, err := listener.Accept()
			if err == nil {
				defer func() { _ = serverConn.Close() }()
				_, _, err = entry.ServerCredentials(allowed).ServerHandshake(serverConn)
			}
			result <- err
		}()
		clientConn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _, clientErr := agent.ClientCredentials(keys.RoleEntry).ClientHandshake(t.Context(), "10.0.0.1", clientConn)
		serverErr := <-result
		_, _ = clientConn.Close(), listener.Close()
		if (serverErr == nil) != (allowed == keys.RoleAgent) || allowed == keys.RoleAgent && clientErr != nil {
			t.Fatalf("allowed %s: server %v, client %v", allowed, serverErr, clientErr)
		}
	}
}

// TestIdentityOf guards against a name that is taken from a common name that does not start with the
// role.
func TestIdentityOf(t *testing.T) {
	for _, test := range []struct {
		common string
		dns    []string
		want   keys.Identity
	}{
		{"agent", nil, keys.Identity{Role: keys.RoleAgent}},
		{"agent.gent-1", nil, keys.Identity{Role: keys.RoleAgent, Name: "gent-1"}},
		{"Agent.gent-1.rack-2", nil, keys.Identity{Role: keys.RoleAgent, Name: "gent-1.rack-2"}},
		{"host.gent-1", []string{"entry.gent.example"}, keys.Identity{Role: keys.RoleEntry}},
		{"host.gent-1", nil, keys.Identity{}},
	} {
		certificate := &x509.Certificate{Subject: pkix.Name{CommonName: test.common}, DNSNames: test.dns}
		if identity := keys.IdentityOf(certificate); identity != test.want {
			t.Errorf("%s %v: %+v", test.common, test.dns, identity)
		}
	}
}
