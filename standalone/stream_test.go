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

// streamLength is the length of the stand-in's streams in the sample deployment.
const streamLength = 4096

// follow reads a stream from offset on and returns what arrived before it ended or broke off.
func (fixture *fixture) follow(address, stream string, offset int, arrived func(total int)) []byte {
	fixture.test.Helper()
	url := fmt.Sprintf("http://%s/v1/services/%s/streams/%s?Offset=%d", address, checks, stream, offset)
	request, err := http.NewRequestWithContext(fixture.ctx, http.MethodGet, url, nil)
	fixture.must(err)
	request.Header.Set("Team", string(contest))
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
	var received bytes.Buffer
	part := make([]byte, 512)
	for {
		count, err := response.Body.Read(part)
		received.Write(part[:count])
		arrived(received.Len())
		if err != nil {
			return received.Bytes()
		}
	}
}

// assertStream checks that the bytes are the stream's without gap or repetition.
func (fixture *fixture) assertStream(stream string, received []byte) {
	fixture.test.Helper()
	if want := standin.StreamBytes(stream, 0, streamLength); !bytes.Equal(received, want) {
		fixture.test.Fatalf("have %d bytes, want %d; equal up to the shorter: %v", len(received), len(want),
			bytes.HasPrefix(want, received))
	}
}

// Guards against a stream that loses or repeats data when the agent beside its endpoint leaves.
func TestStreamSurvivesLeavingAgent(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	left := false
	received := fixture.follow(fixture.deployment.Callers()[0], "sheet", 0, func(total int) {
		if left || total < streamLength/4 {
			return
		}
		left = true
		for _, centre := range fixture.deployment.layout.DataCentres {
			for index := range fixture.deployment.layout.Workers {
				name := endpointID(centre, index)
				if fixture.deployment.Platform.Endpoints[name].Records().Streams > 0 {
					go func() { _ = fixture.deployment.StopAgent(context.WithoutCancel(fixture.ctx), WorkerID(centre, index)) }()
				}
			}
		}
	})
	fixture.assertStream("sheet", received)
}

// Guards against a stream that cannot be resumed without a gap after its entry died.
func TestStreamResumesAtAnotherEntry(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	addresses := fixture.deployment.Callers()
	crashed := make(chan struct{})
	first := fixture.follow(addresses[0], "watch", 0, func(total int) {
		if total >= streamLength/4 && total < streamLength/2 {
			select {
			case <-crashed:
			default:
				close(crashed)
				go fixture.deployment.CrashEntry(EntryID("aalst"))
			}
		}
	})
	received := first
	if len(first) < streamLength {
		received = append(received, fixture.follow(addresses[1], "watch", len(first), func(int) {})...)
	}
	fixture.assertStream("watch", received)
}
