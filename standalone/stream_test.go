package standalone

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"hyssopjunction/standin"
)

// streamLength is the length of the stand-in's streams in the sample deployment, in bytes.
const streamLength = 4096

// readStream reads a stream from the offset and returns the data received until it ended or was
// interrupted. After each read it calls onRead with the number of bytes received so far.
func (fixture *fixture) readStream(address, stream string, offset int, onRead func(total int)) []byte {
	fixture.test.Helper()
	url := fmt.Sprintf("http://%s/v1/services/%s/streams/%s?Offset=%d", address, checkService, stream, offset)
	request, err := http.NewRequestWithContext(fixture.ctx, http.MethodGet, url, nil)
	fixture.must(err)
	request.Header.Set("Team", string(contestTeam))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		reason, err := io.ReadAll(response.Body)
		fixture.test.Errorf("stream %s at %s from %d: status %d, Retry-After %q, %s (%v)", stream, address, offset,
			response.StatusCode, response.Header.Get("Retry-After"), reason, err)
		return nil
	}
	var data bytes.Buffer
	buffer := make([]byte, 512)
	for {
		count, err := response.Body.Read(buffer)
		data.Write(buffer[:count])
		onRead(data.Len())
		if err != nil {
			return data.Bytes()
		}
	}
}

// assertStream checks that the data is the whole stream without a gap or a repetition.
func (fixture *fixture) assertStream(stream string, data []byte) {
	fixture.test.Helper()
	if want := standin.StreamBytes(stream, 0, streamLength); !bytes.Equal(data, want) {
		fixture.test.Fatalf("have %d bytes, want %d; equal up to the shorter: %v", len(data), len(want),
			bytes.HasPrefix(want, data))
	}
}

// TestStreamSurvivesLeavingAgent guards against a stream that loses or repeats data when the agent of
// its endpoint shuts down.
func TestStreamSurvivesLeavingAgent(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	stopped := false
	data := fixture.readStream(fixture.deployment.CallerAddresses()[0], "sheet", 0, func(total int) {
		if stopped || total < streamLength/4 {
			return
		}
		stopped = true
		for _, centre := range fixture.deployment.layout.DataCentres {
			for index := range fixture.deployment.layout.Workers {
				name := endpointID(centre, index)
				if fixture.deployment.Platform.Endpoints[name].Records().Streams > 0 {
					go func() { _ = fixture.deployment.StopAgent(context.WithoutCancel(fixture.ctx), WorkerID(centre, index)) }()
				}
			}
		}
	})
	fixture.assertStream("sheet", data)
}

// TestStreamResumesAtAnotherEntry guards against a stream that can't be resumed without a gap at
// another entry after its entry crashed.
func TestStreamResumesAtAnotherEntry(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	addresses := fixture.deployment.CallerAddresses()
	crashed := make(chan struct{})
	head := fixture.readStream(addresses[0], "watch", 0, func(total int) {
		if total >= streamLength/4 && total < streamLength/2 {
			select {
			case <-crashed:
			default:
				close(crashed)
				go fixture.deployment.CrashEntry(EntryID("aalst"))
			}
		}
	})
	data := head
	if len(head) < streamLength {
		data = append(data, fixture.readStream(addresses[1], "watch", len(head), func(int) {})...)
	}
	fixture.assertStream("watch", data)
}

// awaitReady waits until the entry at the address accepts requests. Its answer about a service that doesn't exist then
// changes from "not ready" to "not found".
func (fixture *fixture) awaitReady(address string) {
	fixture.test.Helper()
	fixture.must(fixture.until(fixture.ctx, "the entry to be ready", func() (bool, error) {
		request, err := http.NewRequestWithContext(fixture.ctx, http.MethodGet, "http://"+address+"/v1/services/none/streams/none", nil)
		if err != nil {
			return false, err
		}
		request.Header.Set("Team", string(contestTeam))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false, nil //nolint:nilerr // The entry doesn't listen yet.
		}
		return response.StatusCode == http.StatusNotFound, response.Body.Close()
	}))
}

// TestStreamStartsAtRestartedEntry guards against a stream that is refused with Outage by an entry that has just
// started, because it publishes the endpoints that announce themselves a second after it is ready.
func TestStreamStartsAtRestartedEntry(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.deployment.CrashEntry(EntryID("gent"))
	fixture.must(fixture.deployment.StartEntry(fixture.ctx, EntryID("gent"), "gent"))
	address := fixture.deployment.CallerAddresses()[1]
	fixture.awaitReady(address)
	fixture.assertStream("watch", fixture.readStream(address, "watch", 0, func(int) {}))
}
