package table_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"hyssopjunction/clock"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"

	"go.uber.org/goleak"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}

// fixture holds a Client of a Memory on a fake clock.
type fixture struct {
	memory *tabletest.Memory
	clock  *clock.Fake
	client *table.Client
}

func testSettings() table.Settings {
	settings := table.DefaultSettings()
	settings.Entries = 1
	settings.CallMillis = 200
	return settings
}

// inBubble runs work with a new fixture in a synctest bubble and returns the failure that work returned.
func inBubble(t *testing.T, settings table.Settings, work func(fixture) string) string {
	t.Helper()
	var failure string
	synctest.Test(t, func(*testing.T) {
		memory, fake := tabletest.New(), clock.NewFake(1000)
		client := table.NewClient(memory, fake, "w1", newRandom(2), settings)
		tabletest.Drive(fake, 4, func() { failure = work(fixture{memory: memory, clock: fake, client: client}) })
		client.Close()
	})
	return failure
}

func put(key table.Key, revision table.Revision, value string) table.Transaction {
	return table.Transaction{
		Conditions: []table.Condition{{Key: key, Revision: revision}},
		Operations: []table.Operation{{Key: key, Value: []byte(value)}},
	}
}

// effectCount returns how often a transaction with the value took effect.
func effectCount(memory *tabletest.Memory, value string) int {
	count := 0
	for _, applied := range memory.Log() {
		for _, operation := range applied.Transaction.Operations {
			if string(operation.Value) == value {
				count++
			}
		}
	}
	return count
}

// checkOutcome delivers late commits and returns a failure if the outcome that the Client reported
// contradicts the transactions that took effect.
func checkOutcome(memory *tabletest.Memory, value string, err error) string {
	memory.Deliver()
	count := effectCount(memory, value)
	switch {
	case count > 1:
		return fmt.Sprintf("%s took effect %d times", value, count)
	case err == nil && count != 1:
		return value + " was reported as committed and had no effect"
	case err != nil && !table.IsErrUnknownOutcome(err) && count != 0:
		return fmt.Sprintf("%s was reported as not committed (%v) and took effect", value, err)
	}
	return ""
}

// TestCommitFaultSequences guards against a wrongly reported outcome after any sequence of faults of
// the first three commits, with and without a competing writer.
func TestCommitFaultSequences(t *testing.T) {
	for _, rival := range []bool{false, true} {
		for sequence := range int(tabletest.FaultCount * tabletest.FaultCount * tabletest.FaultCount) {
			faults := []tabletest.Fault{
				tabletest.Fault(sequence) % tabletest.FaultCount,
				tabletest.Fault(sequence) / tabletest.FaultCount % tabletest.FaultCount,
				tabletest.Fault(sequence) / tabletest.FaultCount / tabletest.FaultCount,
			}
			failure := inBubble(t, testSettings(), func(fixture fixture) string {
				fixture.memory.SetFault(func(call tabletest.Call) tabletest.Fault {
					if call.Commit && call.Commits <= len(faults) {
						return faults[call.Commits-1]
					}
					return tabletest.None
				})
				var rivals sync.WaitGroup
				if rival {
					rivals.Go(func() {
						<-fixture.clock.After(30)
						_ = fixture.memory.Write(put("Row/a", 0, "rival"))
					})
				}
				_, err := fixture.client.Commit(context.Background(), put("Row/a", 0, "mine"))
				rivals.Wait()
				return checkOutcome(fixture.memory, "mine", err)
			})
			if failure != "" {
				t.Fatalf("faults %v, rival %v: %s", faults, rival, failure)
			}
		}
	}
}

// TestResolvedOutcomes guards against outcomes that are reported as unknown although a retry or reading
// the rows can resolve them.
func TestResolvedOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		fault  tabletest.Fault
		rival  bool
		accept func(error) bool
	}{
		{"lost answer", tabletest.LoseAnswer, false, func(err error) bool { return err == nil }},
		{"lost request", tabletest.LoseRequest, false, func(err error) bool { return err == nil }},
		{"late", tabletest.Late, false, func(err error) bool { return err == nil }},
		{"hang", tabletest.Hang, false, func(err error) bool { return err == nil }},
		{"hang after effect", tabletest.HangApplied, false, func(err error) bool { return err == nil }},
		{"lost request and rival", tabletest.LoseRequest, true, table.IsErrConflict},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			failure := inBubble(t, testSettings(), func(fixture fixture) string {
				fixture.memory.SetFault(func(call tabletest.Call) tabletest.Fault {
					if call.Commit && call.Commits == 1 {
						return test.fault
					}
					return tabletest.None
				})
				if test.rival {
					go func() {
						<-fixture.clock.After(4)
						_ = fixture.memory.Write(put("Row/a", 0, "rival"))
					}()
				}
				_, err := fixture.client.Commit(context.Background(), put("Row/a", 0, "mine"))
				if !test.accept(err) {
					return fmt.Sprintf("outcome is %v", err)
				}
				return checkOutcome(fixture.memory, "mine", err)
			})
			if failure != "" {
				t.Fatal(failure)
			}
		})
	}
}

// TestRandomFaultsKeepHistoryLinear guards against lost or repeated writes when several clients commit to
// the same rows, transactions are merged and split, callers cancel and random faults occur.
func TestRandomFaultsKeepHistoryLinear(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faultPercent := rapid.IntRange(0, 60).Draw(rt, "faultPercent")
		if failure := randomHistory(t, seed, faultPercent); failure != "" {
			rt.Fatal(failure)
		}
	})
}

func randomHistory(t *testing.T, seed uint64, faultPercent int) string {
	t.Helper()
	var failure string
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		memory, fake := tabletest.New(), clock.NewFake(1000)
		memory.SetFault(func(tabletest.Call) tabletest.Fault {
			if random.IntN(100) >= faultPercent {
				return tabletest.None
			}
			return tabletest.Fault(random.IntN(int(tabletest.FaultCount)))
		})
		clients := make([]*table.Client, 3)
		for index := range clients {
			clients[index] = table.NewClient(memory, fake, fmt.Sprintf("w%d", index), rand.New(rand.NewPCG(seed, uint64(index))), testSettings())
		}
		var mu sync.Mutex
		outcomes := make(map[string]error)
		tabletest.Drive(fake, 4, func() {
			var writers sync.WaitGroup
			for writer := range 9 {
				choice := rand.New(rand.NewPCG(seed, 100+uint64(writer)))
				client := clients[writer%len(clients)]
				writers.Go(func() {
					for step := range 6 {
						key := table.Key(fmt.Sprintf("Row/%d", choice.IntN(4)))
						value := fmt.Sprintf("%d-%d", writer, step)
						row, err := client.Get(context.Background(), key)
						if err != nil {
							continue
						}
						ctx, cancel := context.WithCancel(context.Background())
						if choice.IntN(5) == 0 {
							cancelAfter := clock.Millis(choice.IntN(30))
							go func() {
								<-fake.After(cancelAfter)
								cancel()
							}()
						}
						_, err = client.Commit(ctx, put(key, row.Revision, value))
						cancel()
						mu.Lock()
						outcomes[value] = err
						mu.Unlock()
					}
				})
			}
			writers.Wait()
		})
		for _, client := range clients {
			client.Close()
		}
		fake.Advance(clock.Hour)
		for value, err := range outcomes {
			if mismatch := checkOutcome(memory, value, err); mismatch != "" {
				failure = mismatch
			}
		}
	})
	return failure
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 1))
}
