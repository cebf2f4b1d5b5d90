package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"hyssopjunction/caller"
	"hyssopjunction/outcome"
)

const (
	// slowCallerCount exceeds the 32 bodies of 1 MiB that reserve all of the memory for bodies.
	slowCallerCount = 64
	idleCallerCount = 1000
	// memoryLimitKiB is the limit for the memory of a daemon in docs/design.md.
	memoryLimitKiB = 128 << 10
)

// badInput is an invalid request, and the status and error type with which it must be answered.
type badInput struct {
	name, method, path, headers string
	body                        string
	status                      int
	errorType                   string
}

// sendRaw sends the text over a new connection, and returns the open connection and a reader of the
// answer.
func (system *system) sendRaw(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	connection, err := (&net.Dialer{}).DialContext(system.ctx, "tcp", system.callerAPIs[0])
	system.must(err)
	if deadline, ok := system.ctx.Deadline(); ok {
		system.must(connection.SetDeadline(deadline))
	}
	// The write may fail, because the server may answer and close before it has read everything.
	_, _ = io.WriteString(connection, text)
	return connection, bufio.NewReader(connection)
}

// expectError reads an answer and checks that it is an error of the given type with the outcome NotRun.
func (system *system) expectError(t *testing.T, name string, reader *bufio.Reader, status int, errorType string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Errorf("%s: no answer: %v", name, err)
		return
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	var body caller.ErrorBody
	if err == nil {
		err = json.Unmarshal(text, &body)
	}
	if err != nil || response.StatusCode != status || body.Error.Type != errorType || body.Error.Reason == "" ||
		body.Outcome != outcome.NotRun || response.Header.Get("Content-Type") != "application/json" {
		t.Errorf("%s: status %d (%v): %s, want %d %s", name, response.StatusCode, err, text, status, errorType)
	}
}

// expectServed checks that the entry still serves a valid request.
func (system *system) expectServed(t *testing.T, after string) {
	t.Helper()
	if code, err := system.post(nil, "http://"+system.callerAPIs[0]); err != nil || code != http.StatusOK {
		t.Errorf("a good request after %s: status %d, %v", after, code, err)
	}
}

// TestBadInput guards against invalid requests and slow or idle connections that block other callers or
// exhaust the entry's memory, and against error answers that a program can't parse.
func TestBadInput(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	metricsAddress := ""
	system := newSystem(t, layout{entries: 1, agents: 2, extraSection: func(name string) string {
		if name != "entry-0" {
			return ""
		}
		metricsAddress = fmt.Sprintf("127.0.%d.%d:7000", os.Getpid()>>8&0x7f, os.Getpid()&0xff)
		return fmt.Sprintf("[Log]\nSampling = 10\n[Metrics]\nListen = %q\n", metricsAddress)
	}})
	system.await("a first answer", func() bool {
		code, err := system.post(nil, "http://"+system.callerAPIs[0])
		return err == nil && code == http.StatusOK
	})
	const requests = "/v1/services/checks/requests"
	large := strings.Repeat("x", 2<<20)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(large), large)
	t.Run("requests", func(t *testing.T) {
		for _, input := range []badInput{
			{"oversized body", "POST", requests, "Content-Length: 2097152\r\n", large, 413, "TooLarge"},
			{"oversized body in chunks", "POST", requests, "Transfer-Encoding: chunked\r\n", chunk, 413, "TooLarge"},
			{"oversized header", "POST", requests, "Filler: " + strings.Repeat("x", 18<<10) + "\r\nContent-Length: 1\r\n", "x", 431, "HeaderTooLarge"},
			{"many headers", "POST", requests, strings.Repeat("Filler: x\r\n", 2000) + "Content-Length: 1\r\n", "x", 431, "HeaderTooLarge"},
			{"unknown service", "POST", "/v1/services/absent/requests", "Content-Length: 1\r\n", "x", 404, "UnknownService"},
			{"malformed service", "POST", "/v1/services/%2e%2e/requests", "Content-Length: 1\r\n", "x", 404, "UnknownService"},
			{"unknown path", "POST", "/v1/else", "Content-Length: 1\r\n", "x", 404, "UnknownPath"},
			{"path above", "GET", "/v1/../readyz", "", "", 404, "UnknownPath"},
			{"other method", "PUT", requests, "Content-Length: 1\r\n", "x", 405, "MethodNotAllowed"},
			{"missing key", "POST", "/v1/services/entries/requests", "Content-Length: 1\r\n", "x", 400, "MissingKey"},
			{"malformed key", "POST", "/v1/services/entries/requests", "Request-Key: a/b\r\nContent-Length: 1\r\n", "x", 400, "MalformedKey"},
			{"empty key", "POST", "/v1/services/entries/requests", "Request-Key:\r\nContent-Length: 1\r\n", "x", 400, "MalformedKey"},
			{"negative patience", "POST", requests, "Patience-Millis: -5\r\nContent-Length: 1\r\n", "x", 400, "MalformedPatience"},
			{"patience above the bound", "POST", requests, "Patience-Millis: 9223372036854775808\r\nContent-Length: 1\r\n", "x", 400, "MalformedPatience"},
			{"unknown priority", "POST", requests, "Priority: Urgent\r\nContent-Length: 1\r\n", "x", 400, "MalformedPriority"},
		} {
			connection, reader := system.sendRaw(t, input.method+" "+input.path+" HTTP/1.1\r\nHost: x\r\nTeam: contest\r\n"+input.headers+"\r\n"+input.body)
			system.expectError(t, input.name, reader, input.status, input.errorType)
			_ = connection.Close()
			system.expectServed(t, input.name)
		}
	})

	t.Run("slow and idle", func(t *testing.T) {
		start := "POST " + requests + " HTTP/1.1\r\nHost: x\r\nTeam: contest\r\n"
		var connections sync.WaitGroup
		expectClosed := func(name, text string, read func(reader *bufio.Reader)) {
			connection, reader := system.sendRaw(t, text)
			connections.Go(func() {
				defer func() { _ = connection.Close() }()
				if read != nil {
					read(reader)
				}
				if _, err := reader.ReadByte(); err == nil || system.ctx.Err() != nil || os.IsTimeout(err) {
					t.Errorf("%s: the connection stays open (%v)", name, err)
				}
			})
		}
		for range slowCallerCount {
			expectClosed("slow header", start+"Slow: ", nil)
			expectClosed("nothing sent", "", nil)
			expectClosed("slow body", start+"Content-Length: 1048576\r\n\r\nabc", func(reader *bufio.Reader) {
				system.expectError(t, "slow body", reader, 408, "IncompleteBody")
			})
			expectClosed("slow chunks", start+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", func(reader *bufio.Reader) {
				system.expectError(t, "slow chunks", reader, 408, "IncompleteBody")
			})
			expectClosed("slow body of a refused request", start+"Priority: Urgent\r\nContent-Length: 100\r\n\r\nabc", func(reader *bufio.Reader) {
				system.expectError(t, "slow body of a refused request", reader, 400, "MalformedPriority")
			})
		}
		var idle []net.Conn
		for range idleCallerCount {
			connection, reader := system.sendRaw(t, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
			if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, " 200 ") {
				t.Errorf("an idle caller's first request: %q, %v", line, err)
			}
			idle = append(idle, connection)
		}
		system.expectServed(t, "slow and idle callers")
		connections.Wait()
		for _, connection := range idle {
			_ = connection.Close()
		}
	})
	system.expectServed(t, "everything")
	if peak := peakMemory(t, system.processes["entry-0"].Process.Pid); peak > memoryLimitKiB && !raceDetector {
		t.Errorf("the entry used %d KiB of memory, more than %d", peak, memoryLimitKiB)
	}
	system.checkSampling(t, "http://"+metricsAddress+"/metrics")
	system.assertClean()
}

// checkSampling checks that one in ten routing decisions was logged and that the others were counted
// as not logged.
func (system *system) checkSampling(t *testing.T, url string) {
	t.Helper()
	response, err := http.Get(url)
	system.must(err)
	page, err := io.ReadAll(response.Body)
	system.must(err)
	system.must(response.Body.Close())
	_, value, _ := strings.Cut(string(page), "\nhyssopjunction_dispatch_unlogged_decisions_total ")
	value, _, _ = strings.Cut(value, "\n")
	unlogged, err := strconv.Atoi(value)
	system.must(err)
	log, err := os.ReadFile(filepath.Join(system.dir, "entry-0.log"))
	system.must(err)
	logged := strings.Count(string(log), "\"Endpoint chosen\"")
	if total := logged + unlogged; unlogged == 0 || logged != (total+9)/10 {
		t.Errorf("%d routing decisions logged, %d counted as not logged", logged, unlogged)
	}
}

// peakMemory returns the peak resident memory of a process, in KiB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	peak, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("largest resident memory %d KiB", peak)
	return peak
}
