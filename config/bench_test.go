package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/table/tabletest"

	"google.golang.org/protobuf/proto"
)

// changePeriod is the mean time between two changes at 2,400 changes a day.
const changePeriod = clock.Day / 2400

// deployment is a set of entries that poll the table and of agents to which their home entries push.
type deployment struct {
	memory      *tabletest.Memory
	editor      *config.Editor
	version     ident.Version
	entries     []*config.Publisher
	readers     []*config.Reader
	homeEntries []int
	agents      []*config.Publisher
}

// newDeployment returns a deployment with one entry for 50 agents, but at least 3 entries.
func newDeployment(agents int) *deployment {
	memory, version := newPreparedTable()
	editor, _ := newEditor(memory, clock.NewFake(0), 1)
	deployment := &deployment{memory: memory, editor: editor, version: version}
	var entries []membership.Entry
	for index := range max(3, agents/50) {
		publisher := config.NewPublisher()
		deployment.entries = append(deployment.entries, publisher)
		deployment.readers = append(deployment.readers,
			config.NewReader(memory, clock.NewFake(0), newRandom(uint64(index)), publisher, config.DefaultReaderSettings()))
		entries = append(entries, membership.Entry{
			ID: ident.Entry(fmt.Sprintf("%03d", index)), State: membership.Live, DataCentre: ident.DataCentre(fmt.Sprint(index % 3)),
		})
	}
	for index := range agents {
		place := membership.Place{DataCentre: ident.DataCentre(fmt.Sprint(index % 3))}
		homeEntry, _ := membership.Home(ident.Worker(fmt.Sprint(index)), place, entries).Get()
		var number int
		_, _ = fmt.Sscanf(string(homeEntry.ID), "%d", &number)
		deployment.homeEntries = append(deployment.homeEntries, number)
		deployment.agents = append(deployment.agents, config.NewPublisher())
	}
	return deployment
}

func (deployment *deployment) close() {
	for _, reader := range deployment.readers {
		reader.Close()
	}
}

// poll makes an entry read the table and push changes to its agents. It returns the number and the total
// bytes of the messages.
func (deployment *deployment) poll(b *testing.B, entry int) (int, int) {
	b.Helper()
	publisher := deployment.entries[entry]
	if err := deployment.readers[entry].Refresh(context.Background()); err != nil {
		b.Fatal(err)
	}
	messages, bytes := 0, 0
	for index, agent := range deployment.agents {
		if deployment.homeEntries[index] != entry || agent.Version() == publisher.Version() {
			continue
		}
		delta, err := publisher.Current().Delta(agent.Version())
		if err != nil {
			b.Fatal(err)
		}
		messages++
		bytes += proto.Size(delta)
		if err := agent.Apply(delta); err != nil {
			b.Fatal(err)
		}
	}
	return messages, bytes
}

// BenchmarkConvergence measures the time until a change is in force in all agents, on a simulated clock
// with a poll every second with a jitter of 20 percent, 2 ms for the table and 1 ms for the push. The
// baseline of messages and bytes is that agents poll the table themselves and read all documents.
func BenchmarkConvergence(b *testing.B) {
	for _, agents := range []int{10, 100, 1200} {
		b.Run(fmt.Sprintf("%d", agents), func(b *testing.B) {
			deployment := newDeployment(agents)
			defer deployment.close()
			for entry := range deployment.entries {
				deployment.poll(b, entry)
			}
			random := rand.New(rand.NewPCG(1, 1))
			var total, worst clock.Millis
			messages, bytes, baselineBytes := 0, 0, 0
			for b.Loop() {
				version, err := deployment.editor.Apply(context.Background(),
					singleEdit("anna", config.DataCentreName("gent"), deployment.version, dataCentreValue(random.IntN(2) == 0)))
				if err != nil {
					b.Fatal(err)
				}
				deployment.version = version
				slowest := clock.Millis(0)
				for entry := range deployment.entries {
					interval := clock.Millis(800 + random.IntN(401))
					slowest = max(slowest, clock.Millis(random.Int64N(int64(interval)))+2+2+1)
					pushes, size := deployment.poll(b, entry)
					messages, bytes = messages+pushes, bytes+size
				}
				for index, agent := range deployment.agents {
					if agent.Version() != version {
						b.Fatalf("agent %d has version %d, not %d", index, agent.Version(), version)
					}
				}
				fullDelta, err := deployment.entries[0].Current().Delta(0)
				if err != nil {
					b.Fatal(err)
				}
				baselineBytes += agents * proto.Size(fullDelta)
				total, worst = total+slowest, max(worst, slowest)
			}
			polls := float64(changePeriod / clock.Second)
			messagesSent := polls*float64(len(deployment.entries)) + float64(messages)/float64(b.N)
			b.ReportMetric(float64(total)/float64(b.N), "mean-ms")
			b.ReportMetric(float64(worst), "worst-ms")
			b.ReportMetric(float64(messages)/float64(b.N), "pushes/change")
			b.ReportMetric(messagesSent/(polls*float64(agents)), "messages/baseline")
			b.ReportMetric(float64(bytes)/float64(baselineBytes), "bytes/baseline")
		})
	}
}

// BenchmarkRecovery measures the calls and rows with which a new daemon loads configurations of several
// sizes, and the rows that a running daemon reads for one change. The baseline is one row for each
// document.
func BenchmarkRecovery(b *testing.B) {
	for _, documents := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("%d", documents), func(b *testing.B) {
			memory, _ := newPreparedTable()
			editor, publisher := newEditor(memory, clock.NewFake(0), 1)
			for first := 0; first < documents; first += 50 {
				change := config.Change{Operator: "setup"}
				for index := first; index < min(first+50, documents); index++ {
					change.Edits = append(change.Edits, config.Edit{
						Document: config.TeamName(ident.Team(fmt.Sprintf("t%d", index))), Value: mustMarshal(config.Team{}),
					})
				}
				if _, err := editor.Apply(context.Background(), change); err != nil {
					b.Fatal(err)
				}
			}
			callsBefore, _, rowsBefore := memory.Calls()
			loads := 0
			var reader *config.Reader
			for b.Loop() {
				// The reader loads the configuration at its start; Refresh waits for that and reads only the head.
				reader = config.NewReader(memory, clock.NewFake(0), newRandom(1), config.NewPublisher(), config.DefaultReaderSettings())
				if err := reader.Refresh(context.Background()); err != nil {
					b.Fatal(err)
				}
				loads++
				reader.Close()
			}
			calls, _, rows := memory.Calls()
			b.ReportMetric(float64(calls-callsBefore)/float64(loads), "calls/load")
			b.ReportMetric(float64(rows-rowsBefore)/float64(loads)/float64(len(publisher.Current().Names())), "rows/baseline")
			_, _, before := memory.Calls()
			if _, err := editor.Apply(context.Background(), singleEdit("anna", "Teams/new", 0, mustMarshal(config.Team{}))); err != nil {
				b.Fatal(err)
			}
			if err := reader.Refresh(context.Background()); err != nil {
				b.Fatal(err)
			}
			_, _, after := memory.Calls()
			b.ReportMetric(float64(after-before), "rows/change")
		})
	}
}
