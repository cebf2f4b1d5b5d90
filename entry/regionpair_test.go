package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/quota"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"
	"hyssopjunction/unit"
)

const testTeam ident.Team = "omaruru"

// testGrant is the team's quota in each region.
var testGrant = unit.Resources{CPU: 10000, Memory: 4096}

// regionPair is two regions in one process, each with its own table and two entries that both pull,
// as they may do for a moment when the home of linkJob changes.
type regionPair struct {
	t     testing.TB
	clock *clock.Fake
	// mu guards bytes and nextStep.
	mu       sync.Mutex
	linkDown bool
	// skipGrantSum is set if the sum of the grants is not checked, because operators change it.
	skipGrantSum  bool
	bytes         int
	memory        map[ident.Region]*tabletest.Memory
	links         map[string]*regionLink
	names         []string
	readers       []*config.Reader
	nextStep      map[string]clock.Time
	lastDocuments map[string]map[config.Name]config.Document
}

func newRegionPair(t testing.TB, seed uint64) *regionPair {
	t.Helper()
	pair := &regionPair{
		t: t, clock: clock.NewFake(clock.Time(clock.Minute)), memory: map[ident.Region]*tabletest.Memory{}, links: map[string]*regionLink{},
		nextStep: map[string]clock.Time{}, lastDocuments: map[string]map[config.Name]config.Document{},
	}
	for _, region := range []ident.Region{"north", "south"} {
		pair.memory[region] = tabletest.New()
		for index := range 2 {
			pair.add(region, index, seed)
		}
	}
	return pair
}

func (pair *regionPair) add(region ident.Region, index int, seed uint64) {
	name := fmt.Sprintf("%s-%d", region, index)
	memory, publisher, writes := pair.memory[region], config.NewPublisher(), 0
	random := func(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose+uint64(len(pair.links)))) }
	editor := config.NewEditor(memory, pair.clock, random(10), publisher)
	editor.SetRegion(region)
	reader := config.NewReader(memory, pair.clock, random(20), publisher, config.DefaultReaderSettings())
	pair.readers = append(pair.readers, reader)
	peers := map[ident.Region][]string{"north": {"south-0", "south-1"}, "south": {"north-0", "north-1"}}
	pair.links[name] = newRegionLink(regionDependencies{
		region: region, peerAddresses: peers[region], time: pair.clock, store: memory, connections: pair, editor: editor, publisher: publisher,
		newWrite: func() ident.Write { writes++; return ident.Write(fmt.Sprintf("%s-%d", name, writes)) },
		teamRows: func() []quota.Row { row, ok := pair.teamRow(region); return []quota.Row{row}[:min(1, boolToInt(ok))] },
		loadTeam: func(table.Row) {},
		isPuller: func() bool { return publisher.Ready() },
	})
	pair.names = append(pair.names, name)
	pair.lastDocuments[name] = map[config.Name]config.Document{}
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// peerClient calls another link. It encodes and decodes the messages as on the wire.
type peerClient struct {
	controlpb.EntryClient
	pair *regionPair
	link *regionLink
}

// Pull answers unless the link is down.
func (client peerClient) Pull(ctx context.Context, request *controlpb.PullRequest, _ ...grpc.CallOption) (*controlpb.PullReply, error) {
	if client.pair.linkDown {
		return nil, status.Error(codes.Unavailable, "link is down")
	}
	if !client.link.publisher.Ready() {
		return nil, status.Error(codes.Unavailable, "not ready")
	}
	reply, err := client.link.serve(ctx, request)
	if err != nil {
		return nil, err
	}
	sent, err := proto.Marshal(reply)
	if err != nil {
		return nil, err
	}
	if len(sent) > maxReplyBytes {
		client.pair.t.Errorf("reply of %d bytes", len(sent))
	}
	client.pair.mu.Lock()
	client.pair.bytes += proto.Size(request) + len(sent)
	client.pair.mu.Unlock()
	received := &controlpb.PullReply{}
	return received, proto.Unmarshal(sent, received)
}

func (pair *regionPair) Agent(string) (controlpb.AgentClient, error) { return nil, nil }
func (pair *regionPair) Discard(string)                              {}
func (pair *regionPair) Entry(address string) (controlpb.EntryClient, error) {
	return peerClient{pair: pair, link: pair.links[address]}, nil
}

// teamRow returns the team's row, regardless of the table's faults.
func (pair *regionPair) teamRow(region ident.Region) (quota.Row, bool) {
	value, ok := pair.storedRow(region)
	if !ok {
		return quota.Row{}, false
	}
	row, err := quota.Decode(quota.Key(testTeam), value.Value)
	if err != nil {
		pair.t.Error(err)
	}
	return row, true
}

// storedRow finds the last write of the team's row in the table's log.
func (pair *regionPair) storedRow(region ident.Region) (table.Row, bool) {
	row := table.Row{Key: quota.Key(testTeam)}
	for _, applied := range pair.memory[region].Log() {
		for _, operation := range applied.Transaction.Operations {
			if operation.Key == row.Key {
				row.Value, row.Revision = operation.Value, row.Revision+1
			}
		}
	}
	return row, row.Revision > 0
}

// changeRow writes the team's row as another daemon would.
func (pair *regionPair) changeRow(region ident.Region, edit func(quota.Row) (quota.Row, error)) error {
	stored, exists := pair.storedRow(region)
	row := quota.Row{Team: testTeam}
	if exists {
		row, _ = pair.teamRow(region)
	}
	next, err := edit(row)
	if err != nil {
		return err
	}
	value, err := quota.Encode(next)
	if err != nil {
		return err
	}
	return pair.memory[region].Write(table.Transaction{
		Write: "test", Conditions: []table.Condition{{Key: stored.Key, Revision: stored.Revision}},
		Operations: []table.Operation{{Key: stored.Key, Value: value}},
	})
}

// applyQuota puts the configured quota in force, as reviewTeams does.
func (pair *regionPair) applyQuota(region ident.Region, configured unit.Resources) {
	if err := pair.changeRow(region, func(row quota.Row) (quota.Row, error) {
		return row.SetTarget(row.TargetFor(configured)), nil
	}); err != nil {
		pair.t.Fatal(err)
	}
}

// run lets time pass in steps of a second. All links that are due pull at the same time.
func (pair *regionPair) run(seconds int, each func(second int)) {
	for second := range seconds {
		tabletest.Drive(pair.clock, 10*clock.Millisecond, func() {
			var running sync.WaitGroup
			now, nextStep := pair.clock.Now(), maps.Clone(pair.nextStep)
			for _, name := range pair.names {
				if nextStep[name].After(now) {
					continue
				}
				running.Go(func() {
					wait := pair.links[name].step()
					pair.mu.Lock()
					pair.nextStep[name] = pair.clock.Now().Add(wait)
					pair.mu.Unlock()
				})
			}
			running.Wait()
		})
		pair.clock.Advance(clock.Second)
		synctest.Wait()
		pair.check()
		if each != nil {
			each(second)
		}
	}
}

// check asserts that no document version decreases and that the sum of the grants and the open
// transfers is constant.
func (pair *regionPair) check() {
	pair.t.Helper()
	for _, name := range pair.names {
		view := pair.links[name].publisher.Current()
		for document, before := range pair.lastDocuments[name] {
			now, ok := view.Document(document)
			if !ok || now.Version < before.Version || now.Origin < before.Origin || now.Region != before.Region {
				pair.t.Fatalf("%s: %s went from %d (%d) to %d (%d)", name, document, before.Version, before.Origin, now.Version, now.Origin)
			}
		}
		for _, document := range view.Names() {
			pair.lastDocuments[name][document], _ = view.Document(document)
		}
	}
	if sum, ok := pair.grantSum(); ok && !pair.skipGrantSum && sum != testGrant.Times(2) {
		pair.t.Fatalf("grants are %s together, not %s", sum, testGrant.Times(2))
	}
}

// grantSum returns the sum of the grants of both regions and the transfers that were not received
// yet.
func (pair *regionPair) grantSum() (unit.Resources, bool) {
	north, first := pair.teamRow("north")
	south, second := pair.teamRow("south")
	sum := north.Grant.Add(south.Grant)
	for _, end := range [][2]quota.Row{{north, south}, {south, north}} {
		for _, transfer := range end[0].Outgoing {
			if transfer.Number > end[1].Received[transfer.From] {
				sum = sum.Add(transfer.Amount)
			}
		}
	}
	return sum, first && second
}

// putDocument changes a document at an entry.
func (pair *regionPair) putDocument(entry string, name config.Name, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	tabletest.Drive(pair.clock, 10*clock.Millisecond, func() {
		for range 5 {
			link := pair.links[entry]
			document, _ := link.publisher.Current().Document(name)
			_, err = link.editor.Apply(context.Background(), config.Change{
				Operator: "anna", Edits: []config.Edit{{Document: name, Base: document.Version, Value: text}},
			})
			if !config.IsErrConflict(err) {
				return
			}
			// The other entry of the region changed the document, and this one has not read it yet.
			<-pair.clock.After(2 * clock.Second)
		}
	})
	return err
}

func (pair *regionPair) close() {
	for _, reader := range pair.readers {
		reader.Close()
	}
}

// inSync reports whether all entries have the same documents.
func (pair *regionPair) inSync() bool {
	want := ""
	for _, name := range pair.names {
		view, text := pair.links[name].publisher.Current(), ""
		for _, documentName := range view.Names() {
			document, _ := view.Document(documentName)
			text += fmt.Sprintf("%s %s %d %v %s\n", documentName, document.Region, document.Origin, document.Deleted, document.Value)
		}
		if want == "" {
			want = text
		}
		if text != want || view.Version() == 0 {
			return false
		}
	}
	return true
}

// converge lets time pass until all entries have the same documents, no transfer is open and north
// has all quota that south can spare. It returns the seconds that this took.
func (pair *regionPair) converge(maxSeconds int) int {
	pair.t.Helper()
	for second := range maxSeconds {
		north, _ := pair.teamRow("north")
		south, _ := pair.teamRow("south")
		wanted := north.Missing(testGrant, quotaMarginPercent).Min(south.Surplus(testGrant, quotaMarginPercent))
		if pair.inSync() && wanted.IsZero() && len(north.Outgoing)+len(south.Outgoing) == 0 {
			return second
		}
		pair.run(1, nil)
	}
	pair.t.Fatalf("not the same after %d s", maxSeconds)
	return maxSeconds
}
