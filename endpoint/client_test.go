package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/endpoint"
	"hyssopjunction/ident"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"))
}

// backend is an endpoint with scripted answers. answer gets the number of the connection and of the
// request on it, both counted from 1. It returns the raw bytes to send and whether the connection
// serves further requests.
type backend struct {
	listener    net.Listener
	answer      func(connection, number int, request *http.Request) (string, bool)
	connections atomic.Int32
	// hangUp closes the connection instead of keeping it silent after answer returned false.
	hangUp     atomic.Bool
	goroutines sync.WaitGroup
}

func newBackend(t *testing.T, answer func(connection, number int, request *http.Request) (string, bool)) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := &backend{listener: listener, answer: answer}
	backend.goroutines.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			backend.goroutines.Go(func() { backend.serve(connection) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		backend.goroutines.Wait()
	})
	return backend
}

func (backend *backend) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	index := int(backend.connections.Add(1))
	reader := bufio.NewReader(connection)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := http.MaxBytesReader(nil, request.Body, 1<<20).Read(make([]byte, 1<<20)); err == nil {
			_ = request.Body.Close()
		}
		text, ok := backend.answer(index, number, request)
		if _, err := connection.Write([]byte(text)); err != nil {
			return
		}
		if !ok && backend.hangUp.Load() {
			return
		}
		if !ok {
			// The connection is silent until the client closes it.
			_, _ = reader.Peek(1 << 20)
			return
		}
	}
}

func (backend *backend) client(t *testing.T, settings endpoint.ClientSettings) *endpoint.Client {
	t.Helper()
	settings.Address = backend.listener.Addr().String()
	client := endpoint.NewClient(clock.NewSystem(), settings)
	t.Cleanup(client.Close)
	return client
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func echo(_, _ int, request *http.Request) (string, bool) {
	id := request.Header.Get("Request-Id")
	return reply(id, "answer to "+id), true
}

func do(t *testing.T, client *endpoint.Client, id string, idempotent bool) (string, error) {
	t.Helper()
	got, err := client.Do(t.Context(), endpoint.Call{Request: ident.Request(id), Idempotent: idempotent, Body: []byte("{}")})
	return string(got.Body), err
}

// TestInvalidAnswersAreDiscarded guards against passing on answers that belong to another request,
// are incomplete or cannot be checked. They are discarded, and a request that is not idempotent is
// not repeated.
func TestInvalidAnswersAreDiscarded(t *testing.T) {
	cases := map[string]struct {
		text    string
		matches func(error) bool
		hangUp  bool
	}{
		"crossed":      {text: reply("other", "x"), matches: endpoint.IsErrCrossed},
		"no id":        {text: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", matches: endpoint.IsErrCrossed},
		"no length":    {text: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\n\r\nx", matches: endpoint.IsErrTruncated},
		"truncated":    {text: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nabc", matches: endpoint.IsErrTruncated, hangUp: true},
		"silent":       {text: "", matches: endpoint.IsErrSilent},
		"silent body":  {text: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nabc", matches: endpoint.IsErrSilent},
		"too large":    {text: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 1000000\r\n\r\n", matches: endpoint.IsErrAnswerTooLarge},
		"not HTTP":     {text: "hello\r\n\r\n", matches: endpoint.IsErrLost},
		"chunked body": {text: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", matches: endpoint.IsErrTruncated},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int32
			backend := newBackend(t, func(int, int, *http.Request) (string, bool) {
				requests.Add(1)
				return test.text, false
			})
			backend.hangUp.Store(test.hangUp)
			client := backend.client(t, endpoint.ClientSettings{ResponseDeadline: 500, ProgressDeadline: 500, AnswerBytes: 1000})
			body, err := do(t, client, "r1", false)
			if !test.matches(err) || body != "" {
				t.Fatalf("body %q, error %v", body, err)
			}
			if requests.Load() != 1 {
				t.Fatalf("sent %d times", requests.Load())
			}
			if client.Connections() != 0 {
				t.Fatalf("%d connections kept", client.Connections())
			}
		})
	}
}

// TestDuplicateAnswerIsDiscarded guards against a duplicate answer that is taken for the answer to
// the next request on the connection.
func TestDuplicateAnswerIsDiscarded(t *testing.T) {
	backend := newBackend(t, func(_, _ int, request *http.Request) (string, bool) {
		text, ok := echo(0, 0, request)
		return text + text, ok
	})
	client := backend.client(t, endpoint.ClientSettings{})
	for _, id := range []string{"r1", "r2", "r3"} {
		if body, err := do(t, client, id, true); err != nil || body != "answer to "+id {
			t.Fatalf("%s got %q, %v", id, body, err)
		}
	}
}

// TestSilentConnectionIsReplaced guards against an idempotent request that fails because of a
// silent connection although a new connection works.
func TestSilentConnectionIsReplaced(t *testing.T) {
	backend := newBackend(t, func(connection, number int, request *http.Request) (string, bool) {
		if connection == 1 && number == 2 {
			return "", false
		}
		return echo(0, 0, request)
	})
	client := backend.client(t, endpoint.ClientSettings{ResponseDeadline: 100})
	for _, id := range []string{"r1", "r2", "r3"} {
		if body, err := do(t, client, id, true); err != nil || body != "answer to "+id {
			t.Fatalf("%s got %q, %v", id, body, err)
		}
	}
	if got := backend.connections.Load(); got != 2 {
		t.Fatalf("%d connections", got)
	}
}

// TestConnectionLimit guards against exceeding the limit of open connections, idle ones included.
func TestConnectionLimit(t *testing.T) {
	backend := newBackend(t, echo)
	client := backend.client(t, endpoint.ClientSettings{Connections: 4})
	var requests sync.WaitGroup
	for index := range 100 {
		requests.Go(func() {
			id := fmt.Sprint("r", index)
			if body, err := do(t, client, id, index%2 == 0); err != nil || body != "answer to "+id {
				t.Errorf("%s got %q, %v", id, body, err)
			}
		})
	}
	requests.Wait()
	if open := client.Connections(); open > 4 {
		t.Fatalf("%d open connections", open)
	}
}

// TestUnreachableEndpointReportsNotSent guards against an outcome of "may have run" for a request
// to an unreachable endpoint.
func TestUnreachableEndpointReportsNotSent(t *testing.T) {
	backend := newBackend(t, echo)
	client := backend.client(t, endpoint.ClientSettings{})
	_ = backend.listener.Close()
	if _, err := do(t, client, "r1", false); !endpoint.IsErrNotSent(err) {
		t.Fatalf("error %v", err)
	}
}

// TestStreamResumes guards against gaps and repetitions in a resumed stream, and against taking a
// broken stream for complete.
func TestStreamResumes(t *testing.T) {
	const content = "0123456789"
	backend := newBackend(t, func(_, _ int, request *http.Request) (string, bool) {
		var offset int
		_, _ = fmt.Sscan(request.URL.Query().Get("Offset"), &offset)
		header := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStream-Offset: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
			request.Header.Get("Request-Id"), offset)
		if offset < 4 {
			return header + "4\r\n" + content[offset:offset+4] + "\r\n", false
		}
		return header + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(content)-offset, content[offset:]), true
	})
	client := backend.client(t, endpoint.ClientSettings{StreamDeadline: 50})
	got := ""
	pass := func(offset int64, data []byte) error {
		if int(offset) != len(got) {
			t.Fatalf("offset %d after %d bytes", offset, len(got))
		}
		got += string(data)
		return nil
	}
	call := endpoint.StreamCall{Request: "r1", Stream: "s"}
	next, err := client.Stream(t.Context(), call, pass)
	if !endpoint.IsErrSilent(err) || next != 4 {
		t.Fatalf("reached %d, error %v", next, err)
	}
	call.Offset = next
	if next, err = client.Stream(context.Background(), call, pass); err != nil || next != 10 || got != content {
		t.Fatalf("reached %d, got %q, error %v", next, got, err)
	}
}
