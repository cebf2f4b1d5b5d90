package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/quota"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"
	"hyssopjunction/unit"
)

// maxConvergeSeconds bounds the time to converge: the 7 s within which configuration is in force
// everywhere, and 3 s for a round of transfers in each direction.
const maxConvergeSeconds = 7 + 3*2

// dataCentreDocument returns the name and content of the document of an open data centre.
func dataCentreDocument(region ident.Region, index int, drain clock.Millis) (config.Name, config.DataCentre) {
	return config.DataCentreName(ident.DataCentre(fmt.Sprintf("%s-%d", region, index))), config.DataCentre{Open: true, Region: region, DrainMillis: drain}
}

// configureRegions configures both regions and waits until they agree.
func configureRegions(pair *regionPair) {
	pair.converge(30)
	for index := range 4 {
		for _, region := range []ident.Region{"north", "south"} {
			name, value := dataCentreDocument(region, index, 1000)
			if err := pair.putDocument(string(region)+"-0", name, value); err != nil {
				pair.t.Fatal(err)
			}
		}
	}
	// A quota needs a data centre in its region, so the team is created after the import.
	pair.converge(30)
	if err := pair.putDocument("north-0", config.TeamName(testTeam), config.Team{
		Quotas: map[ident.Region]unit.Resources{"north": testGrant, "south": testGrant},
	}); err != nil {
		pair.t.Fatal(err)
	}
	for _, region := range []ident.Region{"north", "south"} {
		pair.applyQuota(region, testGrant)
	}
	pair.converge(60)
}

// changeUsage charges or refunds a random size: mostly charges in the busy region, and mostly
// refunds in the other one. It reports whether the team lacked quota for it.
func changeUsage(pair *regionPair, region, busyRegion ident.Region, random *rand.Rand) bool {
	amount := unit.Resources{CPU: unit.MilliCPU(random.IntN(1500)), Memory: unit.Mebibytes(random.IntN(400))}
	refund := (random.IntN(4) == 0) == (region == busyRegion)
	return pair.changeRow(region, func(row quota.Row) (quota.Row, error) {
		if refund {
			return row.Refund(amount.Min(row.Used), false)
		}
		return row.Charge(amount, false)
	}) != nil
}

// exhaustNorth charges all free quota in north and refunds all usage in south.
func exhaustNorth(pair *regionPair) {
	for region, change := range map[ident.Region]func(quota.Row) (quota.Row, error){
		"north": func(row quota.Row) (quota.Row, error) { return row.Charge(row.Free(), false) },
		"south": func(row quota.Row) (quota.Row, error) { return row.Refund(row.Used, false) },
	} {
		if err := pair.changeRow(region, change); err != nil {
			pair.t.Fatal(err)
		}
	}
}

// runFlappingLink changes usage in both regions, of which each is busy in turn, while the link
// fails and recovers at random.
func runFlappingLink(pair *regionPair, random *rand.Rand) {
	pair.run(600, func(second int) {
		pair.linkDown = random.IntN(3) == 0
		busyRegion := ident.Region("north")
		if second/150%2 == 1 {
			busyRegion = "south"
		}
		for _, region := range []ident.Region{"north", "south"} {
			changeUsage(pair, region, busyRegion, random)
		}
		if second%20 == 0 {
			pair.applyQuota(busyRegion, testGrant)
		}
	})
	pair.linkDown = false
	pair.converge(60)
}

// TestLinkDownForAnHour guards against document versions that decrease, documents that stay
// different, quota that appears or disappears, and a region that uses the quota of the other one,
// when the link is down for an hour while both regions change configuration and use quota. In half
// of the runs the answer of every write is lost. Both entries of each region import at the same
// time.
func TestLinkDownForAnHour(t *testing.T) {
	seeds := uint64(4)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("Seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHourWithoutLink(t, seed) })
		})
	}
}

func checkHourWithoutLink(t *testing.T, seed uint64) {
	t.Helper()
	random, pair := rand.New(rand.NewPCG(seed, 1)), newRegionPair(t, seed)
	defer pair.close()
	if seed%2 == 1 {
		for _, memory := range pair.memory {
			memory.SetFault(func(call tabletest.Call) tabletest.Fault {
				if call.Commit {
					return tabletest.LoseAnswer
				}
				return tabletest.None
			})
		}
	}
	configureRegions(pair)
	runFlappingLink(pair, random)
	pair.linkDown = true
	before := map[ident.Region]quota.Row{}
	for _, region := range []ident.Region{"north", "south"} {
		before[region], _ = pair.teamRow(region)
	}
	refused := 0
	pair.run(int(clock.Hour/clock.Second), func(second int) {
		region, other := ident.Region("north"), ident.Region("south")
		if random.IntN(2) == 0 {
			region, other = other, region
		}
		entry := fmt.Sprintf("%s-%d", region, random.IntN(2))
		if second%40 == 0 {
			name, value := dataCentreDocument(region, random.IntN(4), clock.Millis(2000+second))
			if err := pair.putDocument(entry, name, value); err != nil {
				t.Fatal(err)
			}
		}
		if second%600 == 0 {
			name, value := dataCentreDocument(other, 0, 1)
			if err := pair.putDocument(entry, name, value); !config.IsErrElsewhere(err) {
				t.Fatalf("changed outside the home region: %v", err)
			}
		}
		if second%20 == 0 && changeUsage(pair, region, "north", random) {
			refused++
		}
		if second%300 == 0 {
			pair.applyQuota(region, testGrant)
		}
	})
	for region, rowBefore := range before {
		if row, _ := pair.teamRow(region); row.Grant != rowBefore.Grant || row.Sent["north"]+row.Sent["south"] != rowBefore.Sent["north"]+rowBefore.Sent["south"] {
			t.Errorf("%s: grant went from %s to %s while the regions were apart", region, rowBefore.Grant, row.Grant)
		}
	}
	if refused == 0 {
		t.Error("the team was never short of quota")
	}
	exhaustNorth(pair)
	pair.linkDown = false
	seconds := pair.converge(60)
	if seconds > maxConvergeSeconds {
		t.Errorf("converged after %d s", seconds)
	}
	pair.applyQuota("north", testGrant)
	pair.applyQuota("south", testGrant)
	pair.check()
	north, _ := pair.teamRow("north")
	south, _ := pair.teamRow("south")
	if north.Sent["south"] == 0 || south.Sent["north"] <= before["south"].Sent["north"] {
		t.Error("quota was not moved in both directions, or not after the hour")
	}
	t.Logf("%d s to converge, transfers %d and %d, %d charges refused", seconds, north.Sent["south"], south.Sent["north"], refused)
}

// TestLoweredQuota guards against quota that exceeds its grant: operators lower the quota of a
// region below what it has sent to the other region, which must return the difference.
func TestLoweredQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newRegionPair(t, 7)
		defer pair.close()
		configureRegions(pair)
		exhaustNorth(pair)
		pair.converge(60)
		if err := pair.changeRow("north", func(row quota.Row) (quota.Row, error) { return row.Refund(row.Used, false) }); err != nil {
			t.Fatal(err)
		}
		south, _ := pair.teamRow("south")
		if !south.Moved.Negative() {
			t.Fatalf("south moved %s", south.Moved)
		}
		lowered := unit.Resources{}
		if err := pair.putDocument("north-1", config.TeamName(testTeam), config.Team{
			Quotas: map[ident.Region]unit.Resources{"north": testGrant, "south": lowered},
		}); err != nil {
			t.Fatal(err)
		}
		for range 30 {
			pair.applyQuota("south", lowered)
			pair.skipGrantSum = true
			pair.run(1, nil)
		}
		pair.applyQuota("south", lowered)
		pair.applyQuota("north", testGrant)
		if sum, _ := pair.grantSum(); sum != testGrant {
			t.Errorf("grants are %s together, not %s", sum, testGrant)
		}
	})
}

// TestPullFromSameRegion guards against settings that list an entry of the same region: nothing may
// be imported from it, and the link counts as lost.
func TestPullFromSameRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newRegionPair(t, 8)
		defer pair.close()
		pair.links["north-0"].peerAddresses = []string{"north-1"}
		pair.run(5, nil)
		link := pair.links["north-0"]
		if _, err := link.pull(); !IsErrSameRegion(err) || !link.lost || link.importedVersion != 0 {
			t.Errorf("pull from the own region: %v, lost %v, imported %d", err, link.lost, link.importedVersion)
		}
	})
}

// overtakenStore calls beforeCommit before the first commit, which then fails with an unknown
// outcome.
type overtakenStore struct {
	table.Store
	beforeCommit func()
}

// Commit does not write the first transaction.
func (store *overtakenStore) Commit(ctx context.Context, transaction table.Transaction) (table.Result, error) {
	if beforeCommit := store.beforeCommit; beforeCommit != nil {
		store.beforeCommit = nil
		beforeCommit()
		return table.Result{}, table.ErrUnknownOutcome{Write: transaction.Write, Reason: "lost"}
	}
	return store.Store.Commit(ctx, transaction)
}

// TestPartialImport guards against documents that are never imported: another entry imports only
// the first document of a batch, while this entry's commit of the whole batch is lost. The batch
// must not count as imported, and the next pull must not ask only for newer documents.
func TestPartialImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newRegionPair(t, 9)
		defer pair.close()
		pair.converge(30)
		// The entry that did not write the import has it after its next read and pull.
		pair.run(5, nil)
		pair.linkDown = true
		for index := range 2 {
			name, value := dataCentreDocument("north", index, 1000)
			if err := pair.putDocument("north-0", name, value); err != nil {
				t.Fatal(err)
			}
		}
		first, second := pair.links["south-0"], pair.links["south-1"]
		second.isPuller = func() bool { return false }
		delta, err := pair.links["north-0"].publisher.Current().Export("north", first.importedVersion, maxConfigBytes)
		if err != nil || len(delta.GetDocuments()) != 2 {
			t.Fatalf("%d documents: %v", len(delta.GetDocuments()), err)
		}
		partial := &controlpb.ConfigDelta{Documents: delta.GetDocuments()[:1]}
		first.editor = config.NewEditor(&overtakenStore{Store: pair.memory["south"], beforeCommit: func() {
			if _, err := second.editor.Import(t.Context(), partial); err != nil {
				t.Error(err)
			}
		}}, pair.clock, rand.New(rand.NewPCG(9, 9)), first.publisher)
		first.editor.SetRegion("south")
		pair.linkDown = false
		pair.converge(20)
	})
}
