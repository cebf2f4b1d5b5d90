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
	// Run is the number of executions of the request ID at this endpoint so far.
	Run int
	// BodyBytes and BodySum are the length and the CRC-32 (IEEE) of the request body.
	BodyBytes int
	BodySum   uint32
	// Padding fills the response body to the configured size.
	Padding string
}

// response is what an endpoint sends.
type response struct {
	id     ident.Request
	status int
	body   []byte
}

func (endpoint *Endpoint) newResponse(execution Execution, body []byte) response {
	answer := Answer{
		Request: execution.Request, Endpoint: endpoint.options.Name, Run: execution.Runs,
		BodyBytes: len(body), BodySum: crc32.ChecksumIEEE(body),
	}
	// Marshalling strings and integers can't fail.
	text, _ := json.Marshal(answer)
	if missing := endpoint.options.ResponseBytes - len(text); missing > 0 {
		answer.Padding = string(bytes.Repeat([]byte{'.'}, missing))
		text, _ = json.Marshal(answer)
	}
	return response{id: execution.Request, status: http.StatusOK, body: text}
}

// sendResponse sends the response, changed by the faults.
func (endpoint *Endpoint) sendResponse(writer http.ResponseWriter, request *http.Request, response response, faults responseFaults) {
	if faults.silent {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	wait(context.WithoutCancel(request.Context()), endpoint.options.Clock, faults.delay)
	if faults.failed {
		response.status = http.StatusInternalServerError
	}
	header := writer.Header()
	header.Set(HeaderRequestID, string(response.id))
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(response.body)))
	writer.WriteHeader(response.status)
	if faults.truncated {
		_, _ = writer.Write(response.body[:len(response.body)/2])
		// Without a flush, the client would not receive the first half before the connection ends.
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write(response.body)
	if faults.doubled {
		sendDuplicate(writer, request, response)
	}
}

// sendDuplicate writes the response to the connection again. A client that does not check IDs takes
// it for the response to its next request.
func sendDuplicate(writer http.ResponseWriter, request *http.Request, response response) {
	conn, ok := request.Context().Value(connectionKey{}).(*connection)
	if !ok || http.NewResponseController(writer).Flush() != nil {
		return
	}
	raw := http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: response.status, ContentLength: int64(len(response.body)),
		Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(response.body)),
	}
	raw.Header.Set(HeaderRequestID, string(response.id))
	raw.Header.Set("Content-Type", "application/json")
	_ = raw.Write(conn)
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// ParseAnswer reads the JSON body of a response. It fails with ErrBadPayload.
func ParseAnswer(body []byte) (Answer, error) {
	var answer Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, ErrBadPayload{Reason: err.Error()}
	}
	return answer, nil
}

// Matches reports whether the answer belongs to a request with the given body.
func (answer Answer) Matches(body []byte) bool {
	return answer.BodyBytes == len(body) && answer.BodySum == crc32.ChecksumIEEE(body)
}
