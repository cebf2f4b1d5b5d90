package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hyssopjunction/ident"
)

// streamChunkBytes is the largest part of a stream that is passed on at once.
const streamChunkBytes = 32 << 10

// StreamCall is a request for a stream from a byte offset.
type StreamCall struct {
	Request ident.Request
	Team    ident.Team
	Stream  string
	Offset  int64
}

// Stream reads the stream with GET /streams/<name>?Offset=<offset> and calls pass with each part
// and its offset, until the stream ends, ctx is cancelled or pass fails. It returns the offset
// after the last part that was passed on, from which the stream can be resumed.
func (client *Client) Stream(ctx context.Context, call StreamCall, pass func(offset int64, data []byte) error) (int64, error) {
	connection, err := client.pool.get(ctx, -1)
	if err != nil {
		return call.Offset, ErrNotSent{Address: client.settings.Address, Cause: err}
	}
	defer client.pool.discard(connection)
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	offset := strconv.FormatInt(call.Offset, 10)
	request, err := client.request(Call{
		Request: call.Request, Team: call.Team, Method: http.MethodGet,
		Path: "/streams/" + url.PathEscape(call.Stream) + "?Offset=" + offset,
	})
	if err != nil {
		return call.Offset, ErrNotSent{Address: client.settings.Address, Cause: err}
	}
	response, err := client.send(ctx, connection, request, call.Request, client.settings.ResponseDeadline) //nolint:bodyclose // A stream's connection is closed after use.
	if err != nil {
		return call.Offset, err
	}
	if response.StatusCode != http.StatusOK {
		return call.Offset, ErrStream{Stream: call.Stream, Status: response.StatusCode}
	}
	if gotOffset := response.Header.Get(StreamOffsetHeader); gotOffset != offset {
		crossedAnswers.Inc()
		return call.Offset, ErrCrossed{Request: call.Request, Got: ident.Request("offset " + gotOffset)}
	}
	return client.forward(ctx, connection, response.Body, call, pass)
}

func (client *Client) forward(ctx context.Context, connection *connection, body io.Reader, call StreamCall, pass func(offset int64, data []byte) error) (int64, error) {
	offset := call.Offset
	buffer := make([]byte, streamChunkBytes)
	for {
		if err := client.setDeadline(ctx, connection, client.settings.StreamDeadline); err != nil {
			return offset, client.connectionError(call.Request, err)
		}
		count, err := body.Read(buffer)
		if count > 0 {
			if err := pass(offset, buffer[:count]); err != nil {
				return offset, err
			}
			offset += int64(count)
		}
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF):
			truncatedAnswers.Inc()
			return offset, ErrTruncated{Request: call.Request, Declared: -1, Got: offset - call.Offset}
		case errors.Is(err, io.EOF):
			return offset, nil
		case err != nil:
			return offset, client.connectionError(call.Request, err)
		}
	}
}
