package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"

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
	if drawn.doubled {
		answerAgain(writer, request, answer)
	}
}

// answerAgain writes the response a second time to the open connection, where a client that does not
// check ids takes it for the response to its next request.
func answerAgain(writer http.ResponseWriter, request *http.Request, answer response) {
	conn, ok := request.Context().Value(connectionKey{}).(*connection)
	if !ok || http.NewResponseController(writer).Flush() != nil {
		return
	}
	raw := http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: answer.status, ContentLength: int64(len(answer.body)),
		Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(answer.body)),
	}
	raw.Header.Set(HeaderRequestID, string(answer.id))
	raw.Header.Set("Content-Type", "application/json")
	_ = raw.Write(conn)
}

// connectionKey is the key of the request context's connection.
type connectionKey struct{}

// ParseAnswer reads the JSON body of a response. It returns ErrBadPayload if it is not one.
func ParseAnswer(body []byte) (Answer, error) {
	var answer Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, ErrBadPayload{Reason: err.Error()}
	}
	return answer, nil
}

// Answers reports whether the answer is to a request with the given body.
func (answer Answer) Answers(body []byte) bool {
	return answer.BodyBytes == len(body) && answer.BodySum == crc32.ChecksumIEEE(body)
}
