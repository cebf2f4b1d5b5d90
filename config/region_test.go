package config_test

import (
	"context"
	"encoding/json"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/table/tabletest"
)

// region is a region with its own table.
type region struct {
	memory    *tabletest.Memory
	editor    *config.Editor
	publisher *config.Publisher
}

func newRegion(name ident.Region) *region {
	memory := tabletest.New()
	editor, publisher := newEditor(memory, clock.NewFake(0), uint64(len(name)))
	editor.SetRegion(name)
	return &region{memory: memory, editor: editor, publisher: publisher}
}

// setOpen opens or closes a data centre in the region.
func (region *region) setOpen(t *testing.T, name ident.DataCentre, open bool) error {
	t.Helper()
	document, _ := region.publisher.Current().Document(config.DataCentreName(name))
	_, err := region.editor.Apply(context.Background(), singleEdit("anna", config.DataCentreName(name), document.Version, dataCentreValue(open)))
	return err
}

// copyTo imports all documents of the region into another one and returns how many were copied.
func (region *region) copyTo(t *testing.T, other *region) int {
	t.Helper()
	delta, err := region.publisher.Current().Delta(0)
	if err != nil {
		t.Fatal(err)
	}
	count, err := other.editor.Import(context.Background(), delta)
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// TestImportKeepsHomeRegions guards against a document that can be changed outside its home region, and
// against an import that reverts a document, copies it twice or overwrites one of the importing region.
func TestImportKeepsHomeRegions(t *testing.T) {
	north, south := newRegion("north"), newRegion("south")
	if err := north.editor.Bootstrap(context.Background(), "setup"); err != nil {
		t.Fatal(err)
	}
	if err := north.setOpen(t, "gent", true); err != nil {
		t.Fatal(err)
	}
	if count := north.copyTo(t, south); count != 5 {
		t.Fatalf("%d documents imported, not 5", count)
	}
	if err := south.setOpen(t, "gent", false); !config.IsErrElsewhere(err) {
		t.Fatalf("changed outside the home region: %v", err)
	}
	// While the link is lost, both regions change their own documents.
	for range 3 {
		if err := south.setOpen(t, "khomas", false); err != nil {
			t.Fatal(err)
		}
	}
	oldDelta, _ := north.publisher.Current().Delta(0)
	if err := north.setOpen(t, "gent", false); err != nil {
		t.Fatal(err)
	}
	if southCount, northCount := north.copyTo(t, south), south.copyTo(t, north); southCount != 1 || northCount != 1 {
		t.Fatalf("%d and %d documents imported, not 1 each", southCount, northCount)
	}
	if count, err := south.editor.Import(context.Background(), oldDelta); count != 0 || err != nil {
		t.Fatalf("an old delta changed %d documents: %v", count, err)
	}
	for _, region := range []*region{north, south} {
		view := region.publisher.Current()
		gent, _ := view.DataCentre("gent")
		khomas, exists := view.DataCentre("khomas")
		if preset, _ := view.InForce(); gent.Open || khomas.Open || !exists || preset != config.Ordinary || len(view.Faults()) > 0 {
			t.Fatalf("gent %v, khomas %v, preset %s, faults %v", gent, khomas, preset, view.Faults())
		}
		if _, failure := checkHistory(region.memory); failure != "" {
			t.Fatal(failure)
		}
	}
}

// TestExistingFaultsDoNotRefuseChanges guards against operators who cannot close a data centre because
// another document, written by another version of the program, has a fault.
func TestExistingFaultsDoNotRefuseChanges(t *testing.T) {
	north, south := newRegion("north"), newRegion("south")
	if err := north.editor.Bootstrap(context.Background(), "setup"); err != nil {
		t.Fatal(err)
	}
	if err := north.setOpen(t, "gent", true); err != nil {
		t.Fatal(err)
	}
	delta, _ := north.publisher.Current().Delta(0)
	for _, message := range delta.GetDocuments() {
		var document config.Document
		if err := json.Unmarshal(message.GetValue(), &document); err != nil {
			t.Fatal(err)
		}
		if document.Name == config.PresetName(config.Peak) {
			// NewField is unknown to this version of the program.
			document.Value = json.RawMessage(`{"NewField":1,"Other":{"TailLatency":1},"SlowdownLimitPercent":120}`)
			message.Value = mustMarshal(document)
		}
	}
	if _, err := south.editor.Import(context.Background(), delta); err != nil {
		t.Fatal(err)
	}
	if len(south.publisher.Current().Faults()) == 0 {
		t.Fatal("the unknown field is no fault")
	}
	if err := south.setOpen(t, "khomas", false); err != nil {
		t.Fatalf("another document's fault refused the change: %v", err)
	}
}

// TestDocumentCreatedInBothRegionsConverges guards against a document that both regions created while the
// link was lost and that differs between them forever, or that the regions exchange instead of agreeing.
func TestDocumentCreatedInBothRegionsConverges(t *testing.T) {
	north, south := newRegion("north"), newRegion("south")
	if err := north.editor.Bootstrap(context.Background(), "setup"); err != nil {
		t.Fatal(err)
	}
	north.copyTo(t, south)
	for region, open := range map[*region]bool{north: true, south: false} {
		for range 3 {
			if err := region.setOpen(t, "gent", open); err != nil {
				t.Fatal(err)
			}
		}
	}
	before, _ := south.publisher.Current().Document(config.DataCentreName("gent"))
	for range 2 {
		if count := south.copyTo(t, north); count != 0 {
			t.Fatalf("%d documents imported into the region with the lower name", count)
		}
		north.copyTo(t, south)
	}
	for _, region := range []*region{north, south} {
		document, _ := region.publisher.Current().Document(config.DataCentreName("gent"))
		gent, _ := region.publisher.Current().DataCentre("gent")
		if document.Region != "north" || !gent.Open {
			t.Fatalf("document %+v", document)
		}
	}
	if after, _ := south.publisher.Current().Document(before.Name); after.Version <= before.Version {
		t.Fatalf("version went from %d to %d", before.Version, after.Version)
	}
	delta, _ := north.publisher.Current().Delta(0)
	if !south.publisher.Current().IsImported("south", delta) {
		t.Fatal("something remains to be imported")
	}
	if err := south.setOpen(t, "gent", false); !config.IsErrElsewhere(err) {
		t.Fatalf("changed outside the home region: %v", err)
	}
}

// TestImportSkipsUnreadableDocuments guards against a document of another version of the program that
// cannot be decoded and prevents the import of all later documents.
func TestImportSkipsUnreadableDocuments(t *testing.T) {
	north, south := newRegion("north"), newRegion("south")
	if err := north.editor.Bootstrap(context.Background(), "setup"); err != nil {
		t.Fatal(err)
	}
	if err := north.setOpen(t, "gent", true); err != nil {
		t.Fatal(err)
	}
	delta, _ := north.publisher.Current().Delta(0)
	for index, broken := range [][]byte{[]byte(`{`), nil} {
		message := delta.GetDocuments()[index]
		if broken == nil {
			var document config.Document
			if err := json.Unmarshal(message.GetValue(), &document); err != nil {
				t.Fatal(err)
			}
			document.Value = json.RawMessage(`["a list"]`)
			broken = mustMarshal(document)
		}
		message.Value = broken
	}
	count, err := south.editor.Import(context.Background(), delta)
	if err != nil || count != len(delta.GetDocuments())-2 {
		t.Fatalf("%d of %d documents imported: %v", count, len(delta.GetDocuments()), err)
	}
	if !south.publisher.Current().IsImported("south", delta) {
		t.Fatal("the link asks for the same documents again and again")
	}
}
