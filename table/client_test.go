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

// bench is a Client of a Memory on a fake clock.
type bench struct {
	memory *tabletest.Memory
	clock  *clock.Fake
	client *table.Client
}

func quick() table.Settings {
	settings := table.DefaultSettings()
	settings.Entries = 1
	settings.CallMillis = 200
	return settings
}

// inBubble runs work with a fresh bench and returns the error text that work returned.
func inBubble(t *testing.T, settings table.Settings, work func(bench) string) string {
	t.Helper()
	var failure string
	synctest.Test(t, func(*testing.T) {
		memory, fake := tabletest.New(), clock.NewFake(1000)
		client := table.NewClient(memory, fake, "w1", newRandom(2), settings)
		tabletest.Drive(fake, 4, func() { failure = work(bench{memory: memory, clock: fake, client: client}) })
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

// took reports how often a transaction with the value took effect.
func took(memory *tabletest.Memory, value string) int {
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

// checkTruth compares what the Client reported with what happened, after late commits arrived.
func checkTruth(memory *tabletest.Memory, value string, err error) string {
	memory.Deliver()
	count := took(memory, value)
	switch {
	case count > 1:
		return fmt.Sprintf("%s took effect %d times", value, count)
	case err == nil && count != 1:
		return value + " was reported as committed and is not"
	case err != nil && !table.IsErrUnknownOutcome(err) && count != 0:
		return fmt.Sprintf("%s was reported as not committed (%v) and is", value, err)
	}
	return ""
}

// TestCommitFaultSequences guards against a wrong report of the outcome for each sequence of faults
// in the first three commits, alone and against a competing writer.
func TestCommitFaultSequences(t *testing.T) {
	for _, rival := range []bool{false, true} {
		for sequence := range int(tabletest.Faults * tabletest.Faults * tabletest.Faults) {
			faults := []tabletest.Fault{
				tabletest.Fault(sequence) % tabletest.Faults,
				tabletest.Fault(sequence) / tabletest.Faults % tabletest.Faults,
				tabletest.Fault(sequence) / tabletest.Faults / tabletest.Faults,
			}
			failure := inBubble(t, quick(), func(bench bench) string {
				bench.memory.SetFault(func(call tabletest.Call) tabletest.Fault {
					if call.Commit && call.Commits <= len(faults) {
						return faults[call.Commits-1]
					}
					return tabletest.None
				})
				var rivals sync.WaitGroup
				if rival {
					rivals.Go(func() {
						<-bench.clock.After(30)
						_ = bench.memory.Write(put("Row/a", 0, "rival"))
					})
				}
				_, err := bench.client.Commit(context.Background(), put("Row/a", 0, "mine"))
				rivals.Wait()
				return checkTruth(bench.memory, "mine", err)
			})
			if failure != "" {
				t.Fatalf("faults %v, rival %v: %s", faults, rival, failure)
			}
		}
	}
}

// TestResolvedOutcomes guards against reporting an outcome as unknown that reading can resolve.
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
			failure := inBubble(t, quick(), func(bench bench) string {
				bench.memory.SetFault(func(call tabletest.Call) tabletest.Fault {
					if call.Commit && call.Commits == 1 {
						return test.fault
					}
					return tabletest.None
				})
				if test.rival {
					go func() {
						<-bench.clock.After(4)
						_ = bench.memory.Write(put("Row/a", 0, "rival"))
					}()
				}
				_, err := bench.client.Commit(context.Background(), put("Row/a", 0, "mine"))
				if !test.accept(err) {
					return fmt.Sprintf("outcome is %v", err)
				}
				return checkTruth(bench.memory, "mine", err)
			})
			if failure != "" {
				t.Fatal(failure)
			}
		})
	}
}

// TestRandomFaultsKeepHistoryLinear guards against lost and doubled writes of several clients with
// merged and split transactions, cancelled callers and random faults.
func TestRandomFaultsKeepHistoryLinear(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rate := rapid.IntRange(0, 60).Draw(rt, "faultPercent")
		if failure := randomHistory(t, seed, rate); failure != "" {
			rt.Fatal(failure)
		}
	})
}

func randomHistory(t *testing.T, seed uint64, rate int) string {
	t.Helper()
	var failure string
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		memory, fake := tabletest.New(), clock.NewFake(1000)
		memory.SetFault(func(tabletest.Call) tabletest.Fault {
			if random.IntN(100) >= rate {
				return tabletest.None
			}
			return tabletest.Fault(random.IntN(int(tabletest.Faults)))
		})
		clients := make([]*table.Client, 3)
		for index := range clients {
			clients[index] = table.NewClient(memory, fake, fmt.Sprintf("w%d", index), rand.New(rand.NewPCG(seed, uint64(index))), quick())
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
							patience := clock.Millis(choice.IntN(30))
							go func() {
								<-fake.After(patience)
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
			if found := checkTruth(memory, value, err); found != "" {
				failure = found
			}
		}
	})
	return failure
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 1))
}
