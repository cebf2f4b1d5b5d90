package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"
	"hyssopjunction/unit"
)

// noAgents replaces the connections to agents in systems without agents.
type noAgents struct{ dispatch.Agents }

func (noAgents) KeepOnly(set.Set[string]) {}

// directNetwork passes calls between the entries of one process. The mutex guards the map, because
// entries that already run call others while the test adds more.
type directNetwork struct {
	mutex    sync.Mutex
	entries  map[string]*Entry
	linkDown atomic.Bool
}

func (network *directNetwork) add(address string, entry *Entry) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.entries[address] = entry
}

// entry returns the entry at an address, or Unavailable before it was added.
func (network *directNetwork) entry(address string) (*Entry, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if entry, ok := network.entries[address]; ok {
		return entry, nil
	}
	return nil, status.Error(codes.Unavailable, "not started")
}

func (network *directNetwork) Agent(string) (controlpb.AgentClient, error) { return nil, nil }
func (network *directNetwork) Discard(string)                              {}
func (network *directNetwork) Entry(address string) (controlpb.EntryClient, error) {
	return directClient{network: network, address: address}, nil
}

// directClient is a client of one entry.
type directClient struct {
	controlpb.EntryClient
	network *directNetwork
	address string
}

func (client directClient) Pull(ctx context.Context, request *controlpb.PullRequest, _ ...grpc.CallOption) (*controlpb.PullReply, error) {
	if client.network.linkDown.Load() {
		return nil, status.Error(codes.Unavailable, "link is down")
	}
	entry, err := client.network.entry(client.address)
	if err != nil {
		return nil, err
	}
	return entry.Pull(ctx, request)
}

func (client directClient) Exchange(ctx context.Context, request *controlpb.ExchangeRequest, _ ...grpc.CallOption) (*controlpb.ExchangeReply, error) {
	entry, err := client.network.entry(client.address)
	if err != nil {
		return nil, err
	}
	return entry.Exchange(ctx, request)
}

// TestEntriesOfTwoRegions guards against two regions with separate presets, against a change that
// is accepted outside a document's home region, and against quota that is restored after it was
// sent to the other region. Two entries per region run with all their loops.
func TestEntriesOfTwoRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, network := clock.NewSystem(), &directNetwork{entries: map[string]*Entry{}}
		regions := &regionPair{t: t, memory: map[ident.Region]*tabletest.Memory{"north": tabletest.New(), "south": tabletest.New()}}
		// The link is down until all entries run.
		network.linkDown.Store(true)
		for index, name := range []string{"north-0", "north-1", "south-0", "south-1"} {
			settings := DefaultSettings()
			settings.ID, settings.Region, settings.DataCentre = ident.Entry(name), ident.Region(name[:5]), ident.DataCentre(name)
			settings.ControlAddress, settings.Seed = name, uint64(index)
			settings.Regions = map[ident.Region][]string{"north": {"south-0", "south-1"}, "south": {"north-0", "north-1"}}[settings.Region]
			store := table.NewClient(regions.memory[settings.Region], system, name, rand.New(rand.NewPCG(uint64(index), 3)), table.DefaultSettings())
			defer store.Close()
			entry, err := New(t.Context(), settings, Dependencies{Clock: system, Table: store, Agents: noAgents{}, Control: network})
			if err != nil {
				t.Fatal(err)
			}
			defer entry.Close()
			network.add(name, entry)
		}
		network.linkDown.Store(false)
		time.Sleep(30 * time.Second)
		for name, entry := range network.entries {
			if document, ok := entry.configPublisher.Current().Document(config.PresetInForce); !ok || document.Region != "north" {
				t.Fatalf("%s: the preset in force has the home %q", name, document.Region)
			}
		}
		_, err := network.entries["south-0"].Operations().SetPreset(t.Context(), operator.Call{Operator: "anna"}, operator.PresetChange{Preset: config.Peak})
		if want := (operator.ErrElsewhere{Document: string(config.PresetInForce), Region: "north"}); !errors.Is(err, want) {
			t.Fatalf("changed outside the home region: %v", err)
		}
		for _, region := range []ident.Region{"north", "south"} {
			name, value := dataCentreDocument(region, 0, 1000)
			applyTo(t, network.entries[string(region)+"-0"], name, value)
			// An import during the next change would wait for the editor's mutex, which stops the
			// time of the bubble.
			time.Sleep(10 * time.Second)
		}
		applyTo(t, network.entries["north-0"], config.TeamName(testTeam), config.Team{
			Quotas: map[ident.Region]unit.Resources{"north": testGrant, "south": testGrant},
		})
		time.Sleep(30 * time.Second)
		if sum, ok := regions.grantSum(); !ok || sum != testGrant.Times(2) {
			t.Fatalf("grants are %s together", sum)
		}
		exhaustNorth(regions)
		for range 60 {
			time.Sleep(5 * time.Second)
			if sum, _ := regions.grantSum(); sum != testGrant.Times(2) {
				t.Fatalf("grants are %s together, not %s", sum, testGrant.Times(2))
			}
		}
		north, _ := regions.teamRow("north")
		south, _ := regions.teamRow("south")
		if !north.Missing(testGrant, quotaMarginPercent).IsZero() || len(south.Outgoing) > 0 || south.Moved.IsZero() {
			t.Errorf("north lacks %s, %d transfers are open", north.Missing(testGrant, quotaMarginPercent), len(south.Outgoing))
		}
	})
}

// applyTo changes a document at an entry.
func applyTo(t *testing.T, entry *Entry, name config.Name, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	document, _ := entry.configPublisher.Current().Document(name)
	change := config.Change{ID: fmt.Sprintf("test-%s", name), Operator: "anna", Edits: []config.Edit{{Document: name, Base: document.Version, Value: text}}}
	if _, err := entry.editor.Apply(t.Context(), change); err != nil {
		t.Fatal(err)
	}
}
