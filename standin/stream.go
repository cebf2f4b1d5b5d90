package standin

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

// HeaderStreamOffset is the header with the position of a stream response's first byte.
const HeaderStreamOffset = "Stream-Offset"

// StreamBytes returns count bytes of a stream from offset on. Checks compare them with what a
// caller received after any number of resumes.
func StreamBytes(stream string, offset int64, count int) []byte {
	data := make([]byte, count)
	sum := xxhash.Sum64String(stream)
	for index := range data {
		position := uint64(offset) + uint64(index)
		// Line breaks keep streams readable for people.
		if position%64 == 63 {
			data[index] = '\n'
			continue
		}
		mixed := (sum + position) * 0x9E3779B97F4A7C15
		data[index] = 'a' + byte((mixed>>56)%26)
	}
	return data
}

// stream sends the stream from Offset on, one chunk at a time. A stream uses a connection but no
// slot, because streams stay open for a day.
func (endpoint *Endpoint) stream(writer http.ResponseWriter, request *http.Request) {
	name := mux.Vars(request)["Stream"]
	offset := int64(0)
	if text := request.URL.Query().Get("Offset"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil || parsed < 0 {
			http.Error(writer, "Offset must be a number of bytes", http.StatusBadRequest)
			return
		}
		offset = parsed
	}
	if end := endpoint.options.StreamBytes; end > 0 && offset > end {
		http.Error(writer, "Offset is beyond the end of the stream", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	endpoint.mu.Lock()
	endpoint.records.Streams++
	endpoint.mu.Unlock()
	writer.Header().Set(HeaderRequestID, request.Header.Get(HeaderRequestID))
	writer.Header().Set(HeaderStreamOffset, strconv.FormatInt(offset, 10))
	writer.Header().Set("Content-Type", "application/octet-stream")
	writer.WriteHeader(http.StatusOK)
	endpoint.sendStream(writer, request, name, offset)
}

func (endpoint *Endpoint) sendStream(writer http.ResponseWriter, request *http.Request, name string, offset int64) {
	controller := http.NewResponseController(writer)
	for end := endpoint.options.StreamBytes; end == 0 || offset < end; {
		if !endpoint.Faults().Silent {
			count := endpoint.options.ChunkBytes
			if end > 0 {
				count = int(min(int64(count), end-offset))
			}
			if _, err := writer.Write(StreamBytes(name, offset, count)); err != nil {
				return
			}
			offset += int64(count)
		}
		if controller.Flush() != nil || !wait(request.Context(), endpoint.options.Clock, endpoint.options.ChunkMillis) {
			return
		}
	}
}
