package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/keys"
)

// credentialsFor returns the client credentials of a daemon with a new certificate for the role.
func (authority *authority) credentialsFor(t *testing.T, role string) credentials.TransportCredentials {
	t.Helper()
	ring, err := keys.New(authority.issue(t, t.TempDir(), role, role), clock.NewSystem())
	if err != nil {
		t.Fatal(err)
	}
	return ring.ClientCredentials()
}

// callEmpty calls a method with an empty request over a new connection and returns the gRPC status
// code.
func (system *system) callEmpty(t *testing.T, address, method string, transport credentials.TransportCredentials) codes.Code {
	t.Helper()
	// An empty message has no bytes on the wire, so a request of any type will do.
	return system.call(t, address, method, &controlpb.NotifyRequest{}, transport)
}

// call calls a method over a new connection and returns the gRPC status code.
func (system *system) call(t *testing.T, address, method string, request any, transport credentials.TransportCredentials) codes.Code {
	t.Helper()
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(transport))
	system.must(err)
	defer func() { _ = connection.Close() }()
	err = connection.Invoke(system.ctx, method, request, &controlpb.NotifyReply{})
	return status.Code(err)
}

// post sends one request to an idempotent service and returns the HTTP status. A nil config is for
// plaintext.
func (system *system) post(config *tls.Config, url string) (int, error) {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(system.ctx, http.MethodPost, url+"/v1/services/checks/requests", strings.NewReader("body"))
	system.must(err)
	request.Header.Set("Team", "contest")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// TestProcessesWithTLS guards against calls that are accepted without the certificate and role that
// they require, against daemons that send messages in the name of others, and against replaced
// certificates that stay in use.
func TestProcessesWithTLS(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	authority, otherAuthority := newAuthority(t), newAuthority(t)
	system := newSystem(t, layout{entries: 1, agents: 2, authority: authority})
	entry, agent := system.entryControls[0], system.agentControls[0]

	t.Run("roles of gRPC calls", func(t *testing.T) {
		system.t = t
		methods := func(service grpc.ServiceDesc) []string {
			var names []string
			for _, method := range service.Methods {
				names = append(names, "/"+service.ServiceName+"/"+method.MethodName)
			}
			for _, stream := range service.Streams {
				names = append(names, "/"+service.ServiceName+"/"+stream.StreamName)
			}
			return names
		}
		allowed := map[string]string{
			controlpb.Entry_Announce_FullMethodName: "agent", controlpb.Entry_Leave_FullMethodName: "agent",
			controlpb.Entry_Report_FullMethodName: "agent entry", controlpb.Entry_Exchange_FullMethodName: "entry",
			controlpb.Entry_Notify_FullMethodName: "entry", controlpb.Entry_Explain_FullMethodName: "entry",
			controlpb.Entry_Yield_FullMethodName: "entry", controlpb.Entry_Pull_FullMethodName: "entry",
		}
		for _, role := range []string{"entry", "agent"} {
			transport := authority.credentialsFor(t, role)
			for _, method := range methods(controlpb.Entry_ServiceDesc) {
				if strings.Contains(allowed[method], role) {
					continue
				}
				if code := system.callEmpty(t, entry, method, transport); code != codes.PermissionDenied {
					t.Errorf("%s with an %s's certificate: %s", method, role, code)
				}
			}
		}
		for name, transport := range map[string]credentials.TransportCredentials{
			"agent": authority.credentialsFor(t, "agent"), "operator": authority.credentialsFor(t, "operator"), "untrusted entry's": otherAuthority.credentialsFor(t, "entry"),
			"no": credentials.NewTLS(&tls.Config{InsecureSkipVerify: true}),
		} {
			for _, method := range methods(controlpb.Agent_ServiceDesc) {
				if code := system.callEmpty(t, agent, method, transport); code != codes.Unavailable {
					t.Errorf("%s with %s certificate: %s", method, name, code)
				}
			}
			if name == "agent" {
				continue
			}
			if code := system.callEmpty(t, entry, controlpb.Entry_Notify_FullMethodName, transport); code != codes.Unavailable {
				t.Errorf("Notify with %s certificate: %s", name, code)
			}
		}
		// Without these two checks, a server that refuses everything would pass.
		if code := system.callEmpty(t, entry, controlpb.Entry_Notify_FullMethodName, authority.credentialsFor(t, "entry")); code != codes.OK {
			t.Errorf("Notify with an entry's certificate: %s", code)
		}
		if code := system.callEmpty(t, agent, controlpb.Agent_Query_FullMethodName, authority.credentialsFor(t, "entry")); code != codes.OK {
			t.Errorf("Query with an entry's certificate: %s", code)
		}
	})

	t.Run("names in messages", func(t *testing.T) {
		system.t = t
		report := &controlpb.ReportRequest{Worker: "worker-9"}
		reserve := &controlpb.ReserveRequest{Entry: "entry-9", Reservation: "r"}
		for _, test := range []struct {
			certificate, address, method string
			request                      any
			denied                       bool
		}{
			{"agent.worker-9", entry, controlpb.Entry_Report_FullMethodName, report, false},
			{"agent", entry, controlpb.Entry_Report_FullMethodName, report, false},
			{"agent.worker-8", entry, controlpb.Entry_Report_FullMethodName, report, true},
			{"entry.entry-9", entry, controlpb.Entry_Report_FullMethodName, report, false},
			{"entry.entry-9", agent, controlpb.Agent_Reserve_FullMethodName, reserve, false},
			{"entry.entry-8", agent, controlpb.Agent_Reserve_FullMethodName, reserve, true},
			{"agent.worker-8", entry, controlpb.Entry_Announce_FullMethodName, &controlpb.AnnounceRequest{}, true},
			{"agent.worker-8", entry, controlpb.Entry_Leave_FullMethodName, &controlpb.LeaveRequest{Worker: "worker-0"}, true},
			{"entry.entry-8", entry, controlpb.Entry_Exchange_FullMethodName, &controlpb.ExchangeRequest{Sender: &controlpb.EntryState{Entry: "entry-0"}}, true},
		} {
			code := system.call(t, test.address, test.method, test.request, authority.credentialsFor(t, test.certificate))
			if (code == codes.PermissionDenied) != test.denied {
				t.Errorf("%s with the certificate of %s: %s", test.method, test.certificate, code)
			}
		}
	})

	t.Run("callers and operators", func(t *testing.T) {
		system.t = t
		system.await("an answer over HTTPS", func() bool {
			code, err := system.post(authority.clientConfig(), "https://"+system.callerAPIs[0])
			system.lastError = err
			return err == nil && code == http.StatusOK
		})
		if code, err := system.post(nil, "http://"+system.callerAPIs[0]); err == nil && code != http.StatusBadRequest {
			t.Errorf("plaintext request: status %d", code)
		}
		if _, err := system.post(otherAuthority.clientConfig(), "https://"+system.callerAPIs[0]); err == nil {
			t.Error("a client accepts a certificate of an authority that it doesn't trust")
		}
		config := authority.clientConfig()
		certificate, err := tls.LoadX509KeyPair(otherCertificate(t, otherAuthority))
		system.must(err)
		// With GetClientCertificate the client sends the certificate although its authority isn't among
		// those that the server accepts.
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &certificate, nil }
		for _, address := range []string{system.callerAPIs[0], system.operatorAPIs[0]} {
			if code, err := system.post(config, "https://"+address); err == nil {
				t.Errorf("a client with a certificate of an untrusted authority is served with status %d", code)
			}
		}
		trustedFile, otherFile := filepath.Join(system.dir, "entry-0.ca.pem"), otherAuthority.issue(t, t.TempDir(), "x", "entry").Authority
		for file, want := range map[string]int{trustedFile: 0, otherFile: 5} {
			if _, log, code := system.run("ctl", "--entry", system.operatorAPIs[0], "--token", loopbackToken, "--ca", file, "--json", "status"); code != want {
				t.Errorf("ctl with %s: exit code %d: %s", file, code, log)
			}
		}
	})

	t.Run("certificate replaced", func(t *testing.T) {
		system.t = t
		authority.issue(t, system.dir, "entry-0", commonName("entry-0"))
		want := authority.serial.Load()
		for _, address := range []string{system.callerAPIs[0], system.operatorAPIs[0], entry} {
			system.await("the new certificate at "+address, func() bool {
				connection, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
				if err != nil {
					system.lastError = err
					return false
				}
				defer func() { _ = connection.Close() }()
				return connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64() == want
			})
		}
		// A restarted agent must accept the entry's new certificate.
		system.must(system.terminate("agent-1"))
		system.start("agent-1", "agent")
		system.await("the agent to return", func() bool {
			status, err := system.operators.Status(system.ctx)
			return err == nil && status.Workers == 2 && status.WorkersDown == 0
		})
		if code, err := system.post(authority.clientConfig(), "https://"+system.callerAPIs[0]); err != nil || code != http.StatusOK {
			t.Errorf("status %d (%v) after the replacement", code, err)
		}
	})
}

// otherCertificate returns the files of a certificate from the authority and of its key.
func otherCertificate(t *testing.T, otherAuthority *authority) (certificate, key string) {
	t.Helper()
	settings := otherAuthority.issue(t, t.TempDir(), "stranger", "entry")
	return settings.Certificate, settings.Key
}

// TestPlaintextRefused guards against daemons that serve other machines without encryption although the
// settings don't allow it, or that serve operators on other machines without secret tokens.
func TestPlaintextRefused(t *testing.T) {
	directory := t.TempDir()
	identity := "[Identity]\nName = \"one\"\nRegion = \"khomas\"\nDataCentre = \"khomas-1\"\n"
	worker := "[Peers]\nEntries = [\"127.0.0.1:7012\"]\n[Worker]\nName = \"w\"\n"
	allow := "[TLS]\nAllowPlaintext = true\n"
	for index, scenario := range []struct {
		name, daemon, settings string
		code                   int
		problems               []string
	}{
		{
			"entry", "entry", "[Listen]\nCaller = \"0.0.0.0:7010\"\nOperator = \"10.0.0.1:7011\"\nControl = \"[::]:7012\"\n[Metrics]\nListen = \"10.0.0.1:7013\"\n", 2,
			[]string{"Listen.Caller: ", "Listen.Operator: ", "Listen.Control: ", "Metrics.Listen: ", "AllowPlaintext"},
		},
		{"entry, allowed", "entry", allow + "[Listen]\nCaller = \"0.0.0.0:7010\"\n", 0, nil},
		{"entry, operators without tokens", "entry", allow + "[Listen]\nOperator = \"0.0.0.0:7011\"\n", 2, []string{"Operators.TokensFile: "}},
		{"agent", "agent", worker + "[Listen]\nControl = \"0.0.0.0:7020\"\n", 2, []string{"Listen.Control: "}},
		{"agent, allowed", "agent", worker + allow + "[Listen]\nControl = \"0.0.0.0:7020\"\n", 0, nil},
		{"missing files", "agent", worker + "[TLS]\nCertificateFile = \"/x\"\nKeyFile = \"/x\"\nAuthorityFile = \"/x\"\n", 2, []string{"\"/x\" is unusable"}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			file := filepath.Join(directory, fmt.Sprintf("%d.toml", index))
			writeFile(t, file, identity+scenario.settings)
			runs := [][]string{{scenario.daemon, "--check", "--config", file}}
			if scenario.code != 0 {
				// A daemon is only started if it must refuse, because tests use only loopback addresses.
				runs = append(runs, []string{scenario.daemon, "--config", file})
			}
			for _, args := range runs {
				_, log, code := runProgram(context.Background(), t, args...)
				if code != scenario.code {
					t.Fatalf("%v: exit code %d: %s", args, code, log)
				}
				for _, problem := range scenario.problems {
					if !strings.Contains(log, problem) {
						t.Errorf("%v: %q lacks %q", args, log, problem)
					}
				}
			}
		})
	}
}
