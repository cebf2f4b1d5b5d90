package config_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"

	"pgregory.net/rapid"
)

// TestEditorFaultSequences guards against a change that is reported as accepted or refused when it is
// not. It tries each sequence of faults in the first three commits, with a table client and without one.
func TestEditorFaultSequences(t *testing.T) {
	for _, direct := range []bool{true, false} {
		for sequence := range int(tabletest.FaultCount * tabletest.FaultCount * tabletest.FaultCount) {
			faults := []tabletest.Fault{
				tabletest.Fault(sequence) % tabletest.FaultCount,
				tabletest.Fault(sequence) / tabletest.FaultCount % tabletest.FaultCount,
				tabletest.Fault(sequence) / tabletest.FaultCount / tabletest.FaultCount,
			}
			if failure := runFaultSequence(t, faults, direct); failure != "" {
				t.Fatalf("faults %v, direct %v: %s", faults, direct, failure)
			}
		}
	}
}

// runFaultSequence applies one change while the table has the faults, and returns the first difference
// between its result and the history, or an empty text. With direct, no table client is used.
func runFaultSequence(t *testing.T, faults []tabletest.Fault, direct bool) string {
	t.Helper()
	var failure string
	synctest.Test(t, func(*testing.T) {
		memory, version := newPreparedTable()
		fake := clock.NewFake(1000)
		_, commitsBefore, _ := memory.Calls()
		memory.SetFault(func(call tabletest.Call) tabletest.Fault {
			if !call.Commit || call.Commits-commitsBefore > len(faults) {
				return tabletest.None
			}
			fault := faults[call.Commits-commitsBefore-1]
			if direct && (fault == tabletest.Hang || fault == tabletest.HangApplied) {
				// Only a table client has deadlines.
				return tabletest.LoseAnswer
			}
			return fault
		})
		client := newClient(memory, fake, "w1")
		var store table.Store = client
		if direct {
			store = memory
		}
		editor, _ := newEditor(store, fake, 1)
		change := singleEdit("anna", config.DataCentreName("gent"), version, dataCentreValue(false))
		change.ID = "mine"
		tabletest.Drive(fake, 4, func() {
			_, err := editor.Apply(context.Background(), change)
			failure = checkReport(memory, map[string]error{"mine": err})
		})
		client.Close()
	})
	return failure
}

func newClient(memory *tabletest.Memory, fake clock.Clock, writer string) *table.Client {
	settings := table.DefaultSettings()
	settings.Entries, settings.CallMillis, settings.SystemReads = 1, 200, 10_000
	return table.NewClient(memory, fake, writer, newRandom(uint64(len(writer))), settings)
}

// checkReport compares the results that operators got, by the id of their change, with the history. It
// returns the first difference, or an empty text.
func checkReport(memory *tabletest.Memory, reports map[string]error) string {
	memory.Deliver()
	records, failure := checkHistory(memory)
	if failure != "" {
		return failure
	}
	counts := make(map[string]int)
	for _, record := range records {
		counts[record.Change]++
	}
	for change, err := range reports {
		var conflict config.ErrConflict
		switch {
		case counts[change] > 1:
			return fmt.Sprintf("change %s was accepted %d times", change, counts[change])
		case err == nil && counts[change] != 1:
			return fmt.Sprintf("change %s was reported as accepted and is not", change)
		case err != nil && !config.IsErrUnknownOutcome(err) && counts[change] != 0:
			return fmt.Sprintf("change %s was reported as refused (%v) and is accepted", change, err)
		case config.IsErrConflict(err):
			conflict = err.(config.ErrConflict)
			winner := records[conflict.Have-1]
			wrote := slices.ContainsFunc(winner.After, func(document config.Document) bool {
				return document.Name == conflict.Document
			})
			if winner.Operator != conflict.Winner || !wrote {
				return fmt.Sprintf("conflict %v names another winner than %v", conflict, winner)
			}
		}
	}
	return ""
}

// TestRacingOperators guards against two changes that are accepted on the same version of a document, a
// conflict that names the wrong winner, and a daemon whose configuration reverts. Five operators change
// the same documents through three daemons while the table has random faults.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faultPercent := rapid.IntRange(0, 50).Draw(rt, "faultPercent")
		if failure := runRacingOperators(t, seed, faultPercent); failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runRacingOperators runs one simulation and returns the first fault that it finds, or an empty text.
func runRacingOperators(t *testing.T, seed uint64, faultPercent int) string {
	t.Helper()
	var failure string
	synctest.Test(t, func(*testing.T) {
		memory, _ := newPreparedTable()
		fake := clock.NewFake(1000)
		random := newRandom(seed)
		memory.SetFault(func(tabletest.Call) tabletest.Fault {
			if random.IntN(100) >= faultPercent {
				return tabletest.None
			}
			return tabletest.Fault(random.IntN(int(tabletest.FaultCount)))
		})
		names := []config.Name{"DataCentres/gent", "DataCentres/aalst", "DataCentres/kortrijk"}
		var clients []*table.Client
		var readers []*config.Reader
		var publishers []*config.Publisher
		for index := range 3 {
			clients = append(clients, newClient(memory, fake, fmt.Sprintf("w%d", index)))
			publishers = append(publishers, config.NewPublisher())
			readers = append(readers, config.NewReader(clients[index], fake, newRandom(seed+uint64(index)),
				publishers[index], config.DefaultReaderSettings()))
		}
		var mu sync.Mutex
		reports := make(map[string]error)
		tabletest.Drive(fake, 4, func() {
			var operators sync.WaitGroup
			for operator := range 5 {
				operatorRandom := newRandom(seed + 100 + uint64(operator))
				publisher := publishers[operator%3]
				editor := config.NewEditor(clients[operator%3], fake, newRandom(seed+200+uint64(operator)), publisher)
				operators.Go(func() {
					lastVersion := ident.Version(0)
					for step := range 5 {
						<-fake.After(clock.Millis(operatorRandom.IntN(300)))
						name := names[operatorRandom.IntN(len(names))]
						document, _ := publisher.Current().Document(name)
						change := singleEdit(fmt.Sprintf("operator-%d", operator), name, document.Version, dataCentreValue(operatorRandom.IntN(2) == 0))
						change.ID = fmt.Sprintf("%d-%d", operator, step)
						_, err := editor.Apply(context.Background(), change)
						mu.Lock()
						reports[change.ID] = err
						if version := publisher.Version(); version < lastVersion {
							failure = fmt.Sprintf("version went from %d to %d", lastVersion, version)
						} else {
							lastVersion = version
						}
						mu.Unlock()
					}
				})
			}
			operators.Wait()
			memory.Deliver()
			memory.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.None })
			// A change must be in force everywhere within 7 s once the table answers again.
			<-fake.After(7 * clock.Second)
		})
		for index := range clients {
			readers[index].Close()
			clients[index].Close()
		}
		if failure == "" {
			failure = checkReport(memory, reports)
		}
		records, _ := checkHistory(memory)
		for _, publisher := range publishers {
			if publisher.Version() != ident.Version(len(records)) {
				failure = fmt.Sprintf("version %d is in force, %d was accepted", publisher.Version(), len(records))
			}
		}
	})
	return failure
}

// TestStaleAnswersNeverRevert guards against a reader that lowers a version or mixes documents of
// different versions when the table answers from an outdated copy.
func TestStaleAnswersNeverRevert(t *testing.T) {
	memory, version := newPreparedTable()
	writer, newest := newEditor(memory, clock.NewFake(0), 1)
	random := newRandom(5)
	publisher := config.NewPublisher()
	reader := config.NewReader(memory, clock.NewFake(0), newRandom(1), publisher, config.DefaultReaderSettings())
	defer reader.Close()
	lastVersion, baseVersions := ident.Version(0), map[config.Name]ident.Version{}
	names := []config.Name{"DataCentres/gent", "DataCentres/aalst", "DataCentres/kortrijk"}
	for step := range 300 {
		memory.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.None })
		name := names[random.IntN(3)]
		if baseVersions[name] == 0 {
			baseVersions[name] = version
		}
		accepted, err := writer.Apply(context.Background(), singleEdit("anna", name, baseVersions[name], dataCentreValue(step%2 == 0)))
		if err != nil {
			t.Fatal(err)
		}
		baseVersions[name] = accepted
		memory.SetFault(func(tabletest.Call) tabletest.Fault {
			return []tabletest.Fault{tabletest.None, tabletest.Stale}[random.IntN(2)]
		})
		_ = reader.Refresh(context.Background())
		view := publisher.Current()
		if view.Version() < lastVersion {
			t.Fatalf("version went from %d to %d", lastVersion, view.Version())
		}
		lastVersion = view.Version()
		if lastVersion == newest.Version() && view.Digest() != newest.Current().Digest() {
			t.Fatalf("version %d has other documents than accepted", lastVersion)
		}
	}
}
