package config_test

import (
	"context"
	"encoding/json"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"

	"google.golang.org/protobuf/encoding/protojson"
)

// FuzzChange guards against a panic on an operator's document, and against an accepted document that
// another daemon decodes differently or refuses.
func FuzzChange(f *testing.F) {
	f.Add("Services/checks", []byte(`{"Team":"Omaruru","PatienceMillis":900,"SlowdownLimitPercent":120,"RetentionMillis":50}`))
	f.Add("Presets/Night", []byte(`{"Other":{"TailLatency":1},"SlowdownLimitPercent":120}`))
	f.Add("DataCentres/gent", []byte(`{"Open":true,"Region":"flanders","DrainMillis":5}`))
	f.Add("Teams/t", []byte(`{"Quotas":{"flanders":{"CPU":5}}}`))
	f.Add("Preset", []byte(`{"Preset":"Peak","preset":"x"}`))
	f.Fuzz(func(t *testing.T, name string, document []byte) {
		memory, version := newPreparedTable()
		editor, publisher := newEditor(memory, clock.NewFake(0), 1)
		existing, _ := publisher.Current().Document(config.Name(name))
		if config.Name(name) == config.PresetInForce {
			existing.Version = 1
		}
		_, err := editor.Apply(context.Background(), singleEdit("anna", config.Name(name), existing.Version, document))
		if err != nil {
			if publisher.Version() != 0 && publisher.Version() != version {
				t.Fatal("a refused change is in force")
			}
			return
		}
		other := config.NewPublisher()
		reader := config.NewReader(memory, clock.NewFake(0), newRandom(1), other, config.DefaultReaderSettings())
		defer reader.Close()
		if err := reader.Refresh(context.Background()); err != nil {
			t.Fatalf("accepted document %q cannot be read: %v", document, err)
		}
		if other.Current().Digest() != publisher.Current().Digest() || len(other.Current().Faults()) > 0 {
			t.Fatalf("accepted document %q is read differently: %v", document, other.Current().Faults())
		}
	})
}

// FuzzDelta guards against a panic on a message from another daemon, and against a message that
// lowers a version.
func FuzzDelta(f *testing.F) {
	f.Add([]byte(`{"fromVersion":"2","toVersion":"3","documents":[{"name":"DataCentres/gent","version":"3",
		"value":"eyJOYW1lIjoiRGF0YUNlbnRyZXMvZ2VudCIsIlZlcnNpb24iOjN9"}]}`))
	f.Add([]byte(`{"toVersion":"1"}`))
	memory, _ := newPreparedTable()
	f.Fuzz(func(t *testing.T, data []byte) {
		delta := &controlpb.ConfigDelta{}
		if protojson.Unmarshal(data, delta) != nil {
			// Arbitrary bytes are tried as the value of a well-formed message.
			value, _ := json.Marshal(string(data))
			delta = &controlpb.ConfigDelta{FromVersion: 1, ToVersion: 9, Documents: []*controlpb.ConfigDocument{
				{Name: "DataCentres/gent", Version: 9, Value: data}, {Name: "Preset", Version: 9, Value: value},
			}}
		}
		publisher := config.NewPublisher()
		reader := config.NewReader(memory, clock.NewFake(0), newRandom(1), publisher, config.DefaultReaderSettings())
		defer reader.Close()
		if err := reader.Refresh(context.Background()); err != nil {
			t.Fatal(err)
		}
		before := publisher.Current()
		_ = publisher.Apply(delta)
		after := publisher.Current()
		for _, name := range before.Names() {
			previous, _ := before.Document(name)
			current, ok := after.Document(name)
			if !ok || current.Version < previous.Version || after.Version() < before.Version() {
				t.Fatalf("%s went from version %d to %d", name, previous.Version, current.Version)
			}
		}
	})
}
