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

// issue writes a certificate for the role into the directory and returns the settings.
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
	write(t, settings.Certificate, "CERTIFICATE", der)
	write(t, settings.Key, "EC PRIVATE KEY", encoded)
	write(t, settings.Authority, "CERTIFICATE", authority.certificate.Raw)
	return settings
}

func write(t *testing.T, path, kind string, content []byte) {
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

// handshake connects a client to a server and returns the server's error and view of the client, and
// the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (keys.Role, int64, error) {
	t.Helper()
	// A pipe without buffer would block when both sides write, so the test uses loopback.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _, _ = near.Close(), far.Close(), listener.Close() }()
	result := make(chan error, 1)
	serving := tls.Server(far, server)
	go func() {
		err := serving.Handshake()
		if err == nil {
			_, err = serving.Write([]byte("x"))
		}
		_ = far.Close()
		result <- err
	}()
	calling := tls.Client(near, client)
	err = calling.Handshake()
	if err == nil {
		_, err = calling.Read(make([]byte, 1))
	}
	_ = near.Close()
	if serverErr := <-result; serverErr != nil {
		err = serverErr
	}
	state := serving.ConnectionState()
	serial := int64(0)
	if certificates := calling.ConnectionState().PeerCertificates; len(certificates) > 0 {
		serial = certificates[0].SerialNumber.Int64()
	}
	return keys.PeerRole(&state), serial, err
}

// TestMutual guards against a peer without a certificate, of another authority or of a role that is
// not allowed, in both directions.
func TestMutual(t *testing.T) {
	fake, known, unknown := clock.NewFake(1000), newAuthority(t), newAuthority(t)
	ring := func(authority *authority, role string, usage ...x509.ExtKeyUsage) *keys.Ring {
		return newRing(t, authority.issue(t, t.TempDir(), role, usage...), fake)
	}
	entry, agent := ring(known, "entry"), ring(known, "agent.gent.example")
	clientOnly := ring(known, "entry", x509.ExtKeyUsageClientAuth)
	cases := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"roles match", entry.ServerConfig(keys.RoleAgent), agent.ClientConfig(keys.RoleEntry), true},
		{"client of another role", entry.ServerConfig(keys.RoleOperator), agent.ClientConfig(keys.RoleEntry), false},
		{"server of another role", entry.ServerConfig(keys.RoleAgent), agent.ClientConfig(keys.RolePlatform), false},
		{"client of another authority", entry.ServerConfig(), ring(unknown, "agent").ClientConfig(), false},
		{"server of another authority", ring(unknown, "entry").ServerConfig(), agent.ClientConfig(), false},
		{"client without certificate", entry.ServerConfig(), &tls.Config{InsecureSkipVerify: true}, false},
		{"open server, no certificate", entry.OpenConfig(), &tls.Config{InsecureSkipVerify: true}, true},
		{"open server, other authority", entry.OpenConfig(), ring(unknown, "agent").ClientConfig(), false},
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

// TestReload guards against an old certificate or authority that stays in use, against files read
// before the interval, and against bad files that replace good ones.
func TestReload(t *testing.T) {
	fake, before, after := clock.NewFake(1000), newAuthority(t), newAuthority(t)
	directory, clientDirectory := t.TempDir(), t.TempDir()
	server := newRing(t, before.issue(t, directory, "entry"), fake)
	client := newRing(t, before.issue(t, clientDirectory, "agent"), fake)
	serverConfig, clientConfig := server.ServerConfig(), client.ClientConfig()
	expect := func(name string, want int64) {
		t.Helper()
		if _, serial, err := handshake(t, serverConfig, clientConfig); err != nil || serial != want {
			t.Fatalf("%s: certificate %d (%v), not %d", name, serial, err, want)
		}
	}
	expect("first", 2)
	before.issue(t, directory, "entry")
	expect("within the interval", 2)
	fake.Advance(clock.Second)
	expect("after the interval", 4)
	if err := os.WriteFile(filepath.Join(directory, "key.pem"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	fake.Advance(clock.Second)
	expect("bad key", 4)
	before.issue(t, directory, "entry")
	fake.Advance(clock.Second)
	expect("good key again", 5)
	after.issue(t, directory, "entry")
	fake.Advance(clock.Second)
	if _, _, err := handshake(t, serverConfig, clientConfig); err == nil {
		t.Fatal("a client of the old authority was accepted")
	}
	after.issue(t, clientDirectory, "agent")
	fake.Advance(clock.Second)
	expect("new authority", 2)
}

// TestNewRefusesBadFiles guards against a daemon that starts without a usable certificate.
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

// TestCheckListen guards against plaintext on an address that other machines reach.
func TestCheckListen(t *testing.T) {
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

// TestCredentials guards against gRPC connections that fail to negotiate HTTP/2 or skip the role.
func TestCredentials(t *testing.T) {
	fake, known := clock.NewFake(1000), newAuthority(t)
	entry := newRing(t, known.issue(t, t.TempDir(), "entry"), fake)
	agent := newRing(t, known.issue(t, t.TempDir(), "agent"), fake)
	for _, allowed := range []keys.Role{keys.RoleAgent, keys.RoleOperator} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		result := make(chan error, 1)
		go func() {
			far, err := listener.Accept()
			if err == nil {
				defer func() { _ = far.Close() }()
				_, _, err = entry.ServerCredentials(allowed).ServerHandshake(far)
			}
			result <- err
		}()
		near, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _, clientErr := agent.ClientCredentials(keys.RoleEntry).ClientHandshake(t.Context(), "10.0.0.1", near)
		serverErr := <-result
		_, _ = near.Close(), listener.Close()
		if (serverErr == nil) != (allowed == keys.RoleAgent) || allowed == keys.RoleAgent && clientErr != nil {
			t.Fatalf("allowed %s: server %v, client %v", allowed, serverErr, clientErr)
		}
	}
}

// TestIdentityOf guards against a name that is taken from a certificate without the role before it.
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
