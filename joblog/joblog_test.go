package joblog

import (
	"errors"
	"strings"
	"testing"
)

const (
	endLine  = `-1.5 entry-1 {"Time":"2026-03-03T05:23:54.5Z","Level":"INFO","Message":"Job account","Job":"j","Queue":"q","State":"completed","Kind":"filling","AgeMillis":2000,"ObjectiveMillis":3000,"PathMillis":900,"WorkCoreMillis":4000,"TailMillis":5,"Room":1000,"Work":900}`
	loadLine = `{"Time":"2026-03-03T05:23:52.5Z","Message":"Load","Cores":32,"Idle":2,"Usable":1,"Waiting":3}`
)

// A report must not fail on, or hide, what else stands in the logs of a deployment.
func TestReadCountsWhatItSkips(t *testing.T) {
	input := strings.Join([]string{endLine, loadLine, `{"Time":"2026-03-03T05:23:52Z","Message":"Place"}`, `{"Message":"Load","Cor`, "panic: nil map", `{"Message":"Load","Time":"noon"}`, strings.Repeat("x", 2*maxLineBytes)}, "\n")
	log, err := Read(strings.NewReader(input))
	if err != nil {
		t.Fatal(err)
	}
	if log.Lines != 7 || log.Damaged != 3 || log.Foreign != 1 || len(log.Ends) != 1 || len(log.Loads) != 1 {
		t.Errorf("got %d lines, %d damaged, %d foreign, %d ends, %d loads", log.Lines, log.Damaged, log.Foreign, len(log.Ends), len(log.Loads))
	}
	queue := log.Queues()[0]
	if queue.InTime != 1 || queue.Age != 2000 || queue.Spent.Total() != 1900 {
		t.Errorf("got %+v", queue)
	}
	if queue.MaxShare != 1 || queue.MaxShareUsable != 0.5 {
		t.Errorf("got at most %.2f and %.2f, want 1 and 0.5: 2 s of 2 and of 1 core for 4 core-seconds", queue.MaxShare, queue.MaxShareUsable)
	}
}

func TestReadReportsErrors(t *testing.T) {
	if _, err := Read(strings.NewReader("nothing\n")); !IsErrEmpty(err) {
		t.Errorf("got %v", err)
	}
	broken := errors.New("disk")
	if _, err := Read(failingReader{broken}); !errors.Is(err, broken) {
		t.Errorf("got %v", err)
	}
}

type failingReader struct{ err error }

func (reader failingReader) Read([]byte) (int, error) { return 0, reader.err }
