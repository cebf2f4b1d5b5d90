package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"hash/crc32"
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"hyssopjunction/ident"
)

// Answer is the JSON body of an endpoint's response. Its fields let a caller check that the
// response is complete and belongs to the request.
type Answer struct {
	Request  ident.Request
	Endpoint ident.Endpoint
	// Run counts the executions of the request id at this endpoint.
	Run int
	// BodyBytes and BodySum are the length and the CRC-32 (IEEE) of the request's body.
	BodyBytes int
	BodySum   uint32
	// Padding fills the body to the configured size.
	Padding string
}

// response is what an endpoint sends.
type response struct {
	id     ident.Request
	status int
	body   []byte
}

func (endpoint *Endpoint) respond(execution Execution, body []byte) response {
	answer := Answer{
		Request: execution.Request, Endpoint: endpoint.options.Name, Run: execution.Runs,
		BodyBytes: len(body), BodySum: crc32.ChecksumIEEE(body),
	}
	// An Answer of strings and integers always has a JSON form.
	text, _ := json.Marshal(answer)
	if missing := endpoint.options.ResponseBytes - len(text); missing > 0 {
		answer.Padding = string(bytes.Repeat([]byte{'.'}, missing))
		text, _ = json.Marshal(answer)
	}
	return response{id: execution.Request, status: http.StatusOK, body: text}
}

// answer sends the response, or what the fate makes of it.
func (endpoint *Endpoint) answer(writer http.ResponseWriter, request *http.Request, answer response, drawn fate) {
	if drawn.silent {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	wait(context.WithoutCancel(request.Context()), endpoint.options.Clock, drawn.late)
	if drawn.failed {
		answer.status = http.StatusInternalServerError
	}
	if drawn.doubled {
		endpoint.answerTwice(writer, answer)
		return
	}
	header := writer.Header()
	header.Set(HeaderRequestID, string(answer.id))
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	writer.WriteHeader(answer.status)
	if drawn.truncated {
		_, _ = writer.Write(answer.body[:len(answer.body)/2])
		// Flushing makes the client see the first half before the connection ends.
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write(answer.body)
}

// answerTwice writes the response twice to the connection, which then closes.
func (endpoint *Endpoint) answerTwice(writer http.ResponseWriter, answer response) {
	conn, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		klog.ErrorS(err, "Endpoint stand-in can't take over the connection", "Endpoint", endpoint.options.Name)
		return
	}
	defer func() { _ = conn.Close() }()
	for range 2 {
		writeRaw(buffer.Writer, answer)
	}
	_ = buffer.Flush()
}

func writeRaw(writer *bufio.Writer, answer response) {
	raw := http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: answer.status, ContentLength: int64(len(answer.body)),
		Header: http.Header{}, Body: http.NoBody,
	}
	raw.Header.Set(HeaderRequestID, string(answer.id))
	raw.Header.Set("Content-Type", "application/json")
	raw.Body = readCloser{bytes.NewReader(answer.body)}
	_ = raw.Write(writer)
}

type readCloser struct {
	*bytes.Reader
}

// Close does nothing.
func (readCloser) Close() error {
	return nil
}
