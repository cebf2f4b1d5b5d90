package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/logging"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	logging.New(io.Discard, slog.LevelInfo)
	goleak.VerifyTestMain(m)
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 1))
}

func newEditor(store table.Store, fake clock.Clock, seed uint64) (*config.Editor, *config.Publisher) {
	publisher := config.NewPublisher()
	return config.NewEditor(store, fake, newRandom(seed), publisher), publisher
}

// mustMarshal encodes a document as JSON.
func mustMarshal(document any) json.RawMessage {
	encoded, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return encoded
}

// dataCentreValue returns the document of an open or closed data centre.
func dataCentreValue(open bool) json.RawMessage {
	return mustMarshal(config.DataCentre{Open: open, Region: "flanders", DrainMillis: 1000})
}

// singleEdit returns a change of one document by an operator.
func singleEdit(operator string, name config.Name, base ident.Version, document json.RawMessage) config.Change {
	return config.Change{Operator: operator, Edits: []config.Edit{{Document: name, Base: base, Value: document}}}
}

// newPreparedTable returns a table with the default presets and three open data centres, and the version
// of its configuration.
func newPreparedTable() (*tabletest.Memory, ident.Version) {
	memory := tabletest.New()
	editor, publisher := newEditor(memory, clock.NewFake(1000), 9)
	if err := editor.Bootstrap(context.Background(), "setup"); err != nil {
		panic(err)
	}
	change := config.Change{Operator: "setup"}
	for _, name := range []ident.DataCentre{"gent", "kortrijk", "aalst"} {
		change.Edits = append(change.Edits, config.Edit{Document: config.DataCentreName(name), Value: dataCentreValue(true)})
	}
	if _, err := editor.Apply(context.Background(), change); err != nil {
		panic(err)
	}
	return memory, publisher.Version()
}

// checkHistory reads the history and checks that its versions have no gap, that each change starts from
// the documents that the change before it wrote, and that the rows hold the newest documents. It returns
// the first difference, or an empty text.
func checkHistory(memory *tabletest.Memory) ([]config.Record, string) {
	memory.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.None })
	records, err := config.History(context.Background(), memory, 0, 1_000_000)
	if err != nil {
		return nil, err.Error()
	}
	newest := make(map[config.Name]config.Document)
	for index, record := range records {
		if record.Version != ident.Version(index+1) {
			return nil, fmt.Sprintf("change %d follows change %d", record.Version, index)
		}
		for position, after := range record.After {
			before := record.Before[position]
			if before.Version != newest[after.Name].Version || before.Change != newest[after.Name].Change {
				return nil, fmt.Sprintf("change %d of %s is based on %d, not on %d",
					record.Version, after.Name, before.Version, newest[after.Name].Version)
			}
			newest[after.Name] = after
		}
	}
	for name, document := range newest {
		row, err := memory.Get(context.Background(), name.Key())
		if err != nil || row.Revision != document.Revision {
			return nil, fmt.Sprintf("row of %s has revision %d, document says %d", name, row.Revision, document.Revision)
		}
	}
	return records, ""
}

// TestConflictNamesWinner guards against an operator who overwrites a change made after the version that
// the operator saw, or whose error does not name who made it.
func TestConflictNamesWinner(t *testing.T) {
	memory, version := newPreparedTable()
	winner, _ := newEditor(memory, clock.NewFake(0), 1)
	loser, publisher := newEditor(memory, clock.NewFake(0), 2)
	winningVersion, err := winner.Apply(context.Background(), singleEdit("anna", config.DataCentreName("gent"), version, dataCentreValue(false)))
	if err != nil {
		t.Fatal(err)
	}
	_, err = loser.Apply(context.Background(), singleEdit("bram", config.DataCentreName("gent"), version, dataCentreValue(true)))
	want := config.ErrConflict{Document: config.DataCentreName("gent"), Base: version, Have: winningVersion, Winner: "anna"}
	if !errors.Is(err, want) {
		t.Fatalf("got %v, want %v", err, want)
	}
	// A change of another document moves the head only, which is not a conflict.
	if _, err := loser.Apply(context.Background(), singleEdit("bram", config.DataCentreName("aalst"), version, dataCentreValue(false))); err != nil {
		t.Fatal(err)
	}
	view := publisher.Current()
	condition, open := view.DataCentreCondition("kortrijk")
	if _, closed := view.DataCentreCondition("gent"); !open || closed || condition.Revision != 1 {
		t.Fatalf("conditions of data centres: %v %v %v", condition, open, closed)
	}
	if key, revision := view.DataCentreRow("gent"); key != "Config/DataCentres/gent" || revision != 2 {
		t.Fatalf("row of gent is %s at %d", key, revision)
	}
}

// TestRepeatedChangeIsAcceptedOnce guards against a change that is accepted twice when its operator sends
// it again, here through another Editor.
func TestRepeatedChangeIsAcceptedOnce(t *testing.T) {
	memory, version := newPreparedTable()
	editor, _ := newEditor(memory, clock.NewFake(0), 1)
	change := singleEdit("anna", config.DataCentreName("gent"), version, dataCentreValue(false))
	change.ID = "change-1"
	first, err := editor.Apply(context.Background(), change)
	if err != nil {
		t.Fatal(err)
	}
	other, _ := newEditor(memory, clock.NewFake(0), 2)
	repeatedVersion, err := other.Apply(context.Background(), change)
	if err != nil || repeatedVersion != first {
		t.Fatalf("second time: version %d, %v; first time %d", repeatedVersion, err, first)
	}
}

// TestVersionsRiseAfterDeletion guards against a document whose version starts again when it is deleted
// and created anew.
func TestVersionsRiseAfterDeletion(t *testing.T) {
	memory, version := newPreparedTable()
	editor, publisher := newEditor(memory, clock.NewFake(0), 1)
	gent := config.DataCentreName("gent")
	deleted, err := editor.Apply(context.Background(), config.Change{
		Operator: "anna", Edits: []config.Edit{{Document: gent, Base: version, Delete: true}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := publisher.Current().DataCentre("gent"); ok {
		t.Fatal("deleted data centre is in the view")
	}
	created, err := editor.Apply(context.Background(), singleEdit("bram", gent, 0, dataCentreValue(true)))
	if err != nil || created <= deleted {
		t.Fatalf("version %d after %d: %v", created, deleted, err)
	}
	records, failure := checkHistory(memory)
	if failure != "" {
		t.Fatal(failure)
	}
	changes := config.Diff(records[len(records)-2])
	if len(changes) != 3 || changes[2].Field != "Region" || changes[2].Before != `"flanders"` || changes[2].After != "" {
		t.Fatalf("diff of the deletion: %v", changes)
	}
}

// TestValidationReportsAllFaults guards against a validation that stops at the first fault.
func TestValidationReportsAllFaults(t *testing.T) {
	memory, _ := newPreparedTable()
	editor, publisher := newEditor(memory, clock.NewFake(0), 1)
	change := config.Change{Operator: "anna", Edits: []config.Edit{
		{Document: "Services/checks", Value: json.RawMessage(`{"Team":"nobody","patience":3,
			"PatienceMillis":0,"SlowdownLimitPercent":99,"RetentionMillis":-1,"Extra":{"a":1}}`)},
		{Document: "Presets/Bad", Value: json.RawMessage(`{"Other":{"TailLatency":101,"Unknown":1},"SlowdownLimitPercent":"x"}`)},
		{Document: "Teams/t1", Value: json.RawMessage(`{"Extra":0,"Extra":0,"Quotas":{"mars":{"CPU":-1}}}`)},
		{Document: "Nonsense/x", Value: json.RawMessage(`{}`)},
		{Document: config.PresetInForce, Base: 1, Value: json.RawMessage(`{"Preset":"Missing"}`)},
	}}
	before := publisher.Version()
	_, err := editor.Apply(context.Background(), change)
	invalid, ok := err.(config.ErrInvalid)
	if !ok {
		t.Fatalf("got %v", err)
	}
	if publisher.Version() != before {
		t.Fatal("a refused change is in force")
	}
	fields := make(map[string]bool)
	for _, fault := range invalid.Faults {
		fields[string(fault.Document)+" "+fault.Field] = true
	}
	for _, want := range []string{
		"Services/checks patience", "Services/checks PatienceMillis", "Services/checks SlowdownLimitPercent",
		"Services/checks RetentionMillis", "Services/checks Extra", "Presets/Bad SlowdownLimitPercent",
		"Presets/Bad Other.Unknown", "Presets/Bad Other.TailLatency", "Teams/t1 Extra", "Teams/t1 Quotas.mars.CPU", "Nonsense/x ",
		"Services/checks Team", "Preset Preset", "Teams/t1 Quotas.mars",
	} {
		if !fields[want] {
			t.Errorf("fault of %q not reported", want)
		}
	}
}

// TestPruneKeepsNewestChanges guards against a history that grows without bound, and against readers that
// cannot catch up after the changes that they need were deleted.
func TestPruneKeepsNewestChanges(t *testing.T) {
	memory, version := newPreparedTable()
	editor, publisher := newEditor(memory, clock.NewFake(0), 1)
	readerPublisher := config.NewPublisher()
	reader := config.NewReader(memory, clock.NewFake(0), newRandom(1), readerPublisher, config.DefaultReaderSettings())
	defer reader.Close()
	if err := reader.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	for publisher.Version() < 1150 {
		next, err := editor.Apply(context.Background(), singleEdit("anna", config.DataCentreName("gent"), version, dataCentreValue(true)))
		if err != nil {
			t.Fatal(err)
		}
		version = next
	}
	deleted := 0
	for {
		count, err := config.Prune(context.Background(), memory, version, 0)
		if err != nil {
			t.Fatal(err)
		}
		if deleted += count; count == 0 {
			break
		}
	}
	records, err := config.History(context.Background(), memory, 0, 2000)
	if err != nil || deleted != 150 || len(records) != 1000 || records[0].Version != 151 {
		t.Fatalf("%d deleted, %d left (%v)", deleted, len(records), err)
	}
	if err := reader.Refresh(context.Background()); err != nil || readerPublisher.Current().Digest() != publisher.Current().Digest() {
		t.Fatalf("reader at version %d of %d: %v", readerPublisher.Version(), version, err)
	}
}
