package quota_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopjunction/ident"
	"hyssopjunction/quota"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fakeTable is a table that checks conditions like the platform's.
type fakeTable map[table.Key]table.Row

func (store fakeTable) commit(conditions []table.Condition, operations []table.Operation) (table.Result, error) {
	for _, condition := range conditions {
		if revision := store[condition.Key].Revision; revision != condition.Revision {
			return table.Result{}, table.ErrConflict{Key: condition.Key, Want: condition.Revision, Have: revision}
		}
	}
	result := table.Result{Revisions: make(map[table.Key]table.Revision)}
	for _, operation := range operations {
		revision := store[operation.Key].Revision + 1
		store[operation.Key] = table.Row{Key: operation.Key, Value: operation.Value, Revision: revision}
		result.Revisions[operation.Key] = revision
	}
	return result, nil
}

func (store fakeTable) decode(check interface{ Fatalf(string, ...any) }) map[ident.Team]quota.Row {
	rows := make(map[ident.Team]quota.Row)
	for key, row := range store {
		decodedRow, err := quota.Decode(key, row.Value)
		if err != nil {
			check.Fatalf("row %s: %v", key, err)
		}
		rows[decodedRow.Team] = decodedRow
	}
	return rows
}

func requireNoError(check interface{ Fatal(...any) }, err error) {
	if err != nil {
		check.Fatal(err)
	}
}

func cores(count int) unit.Resources {
	return unit.Resources{CPU: unit.MilliCPU(1000 * count), Memory: unit.Mebibytes(4096 * count)}
}

// daemon is an entry with its own view, which may be stale.
type daemon struct {
	ledger *quota.Ledger
	round  *quota.Round
	// charges holds the charges of the open round. They become running tasks once it is committed.
	charges []charge
}

type charge struct {
	team   ident.Team
	amount unit.Resources
	urgent bool
}

// TestRacingRoundsStayWithinGrants guards against usage above the grants while several entries with stale
// views charge, refund, lend, return, transfer and change quotas concurrently in two regions.
func TestRacingRoundsStayWithinGrants(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		regions := []ident.Region{"north", "south"}
		tables := map[ident.Region]fakeTable{"north": {}, "south": {}}
		teams := []ident.Team{"amber", "birch", "cedar", "delta"}
		granted := unit.Resources{}
		running := map[ident.Region][]charge{}
		daemons := map[ident.Region][]*daemon{}
		for _, region := range regions {
			for _, team := range teams {
				target := cores(rapid.IntRange(0, 16).Draw(check, "target"))
				granted = granted.Add(target)
				value, err := quota.Encode(quota.Row{Team: team}.SetTarget(target))
				requireNoError(check, err)
				tables[region][quota.Key(team)] = table.Row{Key: quota.Key(team), Value: value, Revision: 1}
			}
			for range 3 {
				daemons[region] = append(daemons[region], &daemon{ledger: quota.New(quota.Defaults())})
			}
		}
		pick := func() (ident.Region, *daemon, ident.Team) {
			region := rapid.SampledFrom(regions).Draw(check, "region")
			entry := rapid.SampledFrom(daemons[region]).Draw(check, "entry")
			if entry.round == nil {
				for _, key := range set.SortedKeys(tables[region]) {
					requireNoError(check, entry.ledger.Load(tables[region][key]))
				}
				entry.round, entry.charges = entry.ledger.Begin(), nil
			}
			return region, entry, rapid.SampledFrom(teams).Draw(check, "team")
		}
		check.Repeat(map[string]func(*rapid.T){
			"admit": func(check *rapid.T) {
				_, entry, team := pick()
				want := cores(rapid.IntRange(1, 8).Draw(check, "want"))
				urgent := rapid.Bool().Draw(check, "urgent")
				if _, ok := entry.round.Admit(team, want, urgent); ok {
					entry.charges = append(entry.charges, charge{team, want, urgent})
				}
			},
			"reclaim": func(check *rapid.T) {
				_, entry, team := pick()
				demands, err := entry.round.Reclaim(team, cores(rapid.IntRange(1, 16).Draw(check, "want")), true)
				requireNoError(check, err)
				for _, demand := range demands {
					if demand.Amount.Negative() || demand.Amount.IsZero() {
						check.Fatalf("demand %+v", demand)
					}
				}
			},
			"return": func(check *rapid.T) {
				_, entry, team := pick()
				requireNoError(check, entry.round.Return(team))
			},
			"commit": func(check *rapid.T) {
				region, entry, _ := pick()
				conditions, operations, err := entry.round.Transaction()
				requireNoError(check, err)
				if result, err := tables[region].commit(conditions, operations); err == nil {
					entry.round.Committed(result)
					running[region] = append(running[region], entry.charges...)
				}
				entry.round = nil
			},
			"finish": func(check *rapid.T) {
				region := rapid.SampledFrom(regions).Draw(check, "region")
				if len(running[region]) == 0 {
					return
				}
				index := rapid.IntRange(0, len(running[region])-1).Draw(check, "task")
				task := running[region][index]
				running[region] = append(running[region][:index:index], running[region][index+1:]...)
				rewrite(check, tables[region], task.team, func(row quota.Row) quota.Row {
					refunded, err := row.Refund(task.amount, task.urgent)
					requireNoError(check, err)
					return refunded
				})
			},
			"target": func(check *rapid.T) {
				region, _, team := pick()
				rewrite(check, tables[region], team, func(row quota.Row) quota.Row {
					changed := row.SetTarget(cores(rapid.IntRange(0, 16).Draw(check, "target")))
					// A raised grant adds quota; a lowered one removes it as far as it was free.
					granted = granted.Add(changed.Grant).Sub(row.Grant)
					return changed
				})
			},
			"transfer": func(check *rapid.T) {
				from, _, team := pick()
				to := regions[0]
				if from == to {
					to = regions[1]
				}
				ledger := quota.New(quota.Defaults())
				requireNoError(check, ledger.Load(tables[from][quota.Key(team)]))
				spare := ledger.Sendable(team, cores(rapid.IntRange(1, 4).Draw(check, "missing")))
				rewrite(check, tables[from], team, func(row quota.Row) quota.Row {
					sent, err := row.Send(from, to, spare)
					if err != nil && !spare.IsZero() {
						check.Fatalf("spare %s cannot be sent: %v", spare, err)
					}
					return sent
				})
				deliver(check, tables, from, to, team, rapid.IntRange(0, 2).Draw(check, "copies"))
			},
			"": func(check *rapid.T) {
				assertSums(check, tables, running, granted)
			},
		})
	})
}

// rewrite changes one row in a transaction that never conflicts.
func rewrite(check *rapid.T, store fakeTable, team ident.Team, change func(quota.Row) quota.Row) {
	ledger := quota.New(quota.Defaults())
	requireNoError(check, ledger.Load(store[quota.Key(team)]))
	row, _ := ledger.Row(team)
	round := ledger.Begin()
	requireNoError(check, round.Update(change(row)))
	conditions, operations, err := round.Transaction()
	requireNoError(check, err)
	_, err = store.commit(conditions, operations)
	requireNoError(check, err)
}

// deliver credits each open transfer the given number of times, as repetitions after lost responses do,
// and confirms what was received.
func deliver(check *rapid.T, tables map[ident.Region]fakeTable, from, to ident.Region, team ident.Team, copies int) {
	open := tables[from].decode(check)[team].Outgoing
	for range copies {
		for _, transfer := range open {
			rewrite(check, tables[to], team, func(row quota.Row) quota.Row {
				received, _, err := row.Receive(transfer)
				requireNoError(check, err)
				return received
			})
		}
	}
	received := tables[to].decode(check)[team].Received[from]
	rewrite(check, tables[from], team, func(row quota.Row) quota.Row { return row.Confirm(to, received) })
}

func assertSums(check *rapid.T, tables map[ident.Region]fakeTable, running map[ident.Region][]charge, granted unit.Resources) {
	grants := unit.Resources{}
	for region, rows := range tables {
		used, limit, charges := unit.Resources{}, unit.Resources{}, unit.Resources{}
		for _, row := range rows.decode(check) {
			used, limit = used.Add(row.Used), limit.Add(row.Limit())
			grants = grants.Add(row.Grant)
			for _, transfer := range row.Outgoing {
				if tables[transfer.To].decode(check)[row.Team].Received[region] < transfer.Number {
					grants = grants.Add(transfer.Amount)
				}
			}
		}
		for _, charge := range running[region] {
			charges = charges.Add(charge.amount)
		}
		if used != charges {
			check.Fatalf("region %s: %s is used according to the rows, %s by the tasks", region, used, charges)
		}
		if !used.FitsIn(limit) {
			check.Fatalf("region %s: %s used of %s", region, used, limit)
		}
	}
	if !grants.FitsIn(granted) {
		check.Fatalf("grants and transfers are %s, operators granted %s", grants, granted)
	}
}

// TestReclaimNamesBorrowers guards against a lender that cannot get its quota back, and against demands
// for more than is missing.
func TestReclaimNamesBorrowers(t *testing.T) {
	store := fakeTable{}
	ledger := quota.New(quota.Defaults())
	for _, team := range []ident.Team{"borrower", "lender"} {
		value, err := quota.Encode(quota.Row{Team: team}.SetTarget(cores(10)))
		requireNoError(t, err)
		store[quota.Key(team)] = table.Row{Key: quota.Key(team), Value: value, Revision: 1}
		requireNoError(t, ledger.Load(store[quota.Key(team)]))
	}
	commit := func(round *quota.Round) {
		t.Helper()
		conditions, operations, err := round.Transaction()
		requireNoError(t, err)
		result, err := store.commit(conditions, operations)
		requireNoError(t, err)
		round.Committed(result)
		requireNoError(t, ledger.Check())
	}
	round := ledger.Begin()
	if reason, ok := round.Admit("borrower", cores(18), false); !ok {
		t.Fatal(reason)
	}
	commit(round)
	if _, ok := ledger.Admit("borrower", cores(2), false); ok {
		t.Fatal("the lender's reserve was lent")
	}
	if reason, ok := ledger.Admit("lender", cores(1), true); !ok {
		t.Fatalf("urgent work does not fit into the reserve: %s", reason)
	}
	round = ledger.Begin()
	demands, err := round.Reclaim("lender", cores(5), true)
	requireNoError(t, err)
	want := quota.Demand{Team: "borrower", Lender: "lender", Amount: cores(3), Urgent: true}
	if len(demands) != 1 || demands[0] != want {
		t.Fatalf("demands %+v, want %+v", demands, want)
	}
	requireNoError(t, round.Refund("borrower", cores(4), false))
	commit(round)
	round = ledger.Begin()
	if demands, err = round.Reclaim("lender", cores(5), true); err != nil || len(demands) != 0 {
		t.Fatalf("demands %+v, error %v after the borrower freed its loan", demands, err)
	}
	if reason, ok := round.Admit("lender", cores(5), true); !ok {
		t.Fatal(reason)
	}
	commit(round)
}

// TestInvalidRowsAreRefused guards against decoding a row under another team's key, and against writing a
// row above its limit or a loan in one row only.
func TestInvalidRowsAreRefused(t *testing.T) {
	value, err := quota.Encode(quota.Row{Team: "amber"}.SetTarget(cores(1)))
	requireNoError(t, err)
	if _, err := quota.Decode(quota.Key("birch"), value); !quota.IsErrBadRow(err) {
		t.Fatalf("error %v, want ErrBadRow", err)
	}
	round := quota.New(quota.Defaults()).Begin()
	requireNoError(t, round.Update(quota.Row{Team: "amber", Borrowed: map[ident.Team]unit.Resources{"birch": cores(1)}}))
	if _, _, err := round.Transaction(); !quota.IsErrUnbalanced(err) {
		t.Fatalf("error %v for a loan in one row only, want ErrUnbalanced", err)
	}
	if _, err := quota.Encode(quota.Row{Team: "amber", Used: cores(1)}); !quota.IsErrOvercommitted(err) {
		t.Fatalf("error %v, want ErrOvercommitted", err)
	}
}

// TestCheckAllowsRowsOfDifferentTimes guards against a false alarm of overcommitment: a lender's row from before a loan
// and the borrower's from after it show more usage than grants together, although neither is above its limit.
func TestCheckAllowsRowsOfDifferentTimes(t *testing.T) {
	ledger := quota.New(quota.Defaults())
	lender := quota.Row{Team: "amber", Grant: cores(4), Used: cores(4)}
	borrower := quota.Row{Team: "birch", Grant: cores(4), Used: cores(6), Borrowed: map[ident.Team]unit.Resources{"amber": cores(2)}}
	for revision, row := range []quota.Row{lender, borrower} {
		value, err := quota.Encode(row)
		requireNoError(t, err)
		requireNoError(t, ledger.Load(table.Row{Key: quota.Key(row.Team), Value: value, Revision: table.Revision(revision + 1)}))
	}
	requireNoError(t, ledger.Check())
}

// TestNewAndReturningTeamsCanBeWritten guards against a new team, or one whose row was deleted, whose first
// write never commits, and against loading rows that are not a team's.
func TestNewAndReturningTeamsCanBeWritten(t *testing.T) {
	ledger := quota.New(quota.Defaults())
	create := func(want table.Revision) {
		t.Helper()
		round := ledger.Begin()
		requireNoError(t, round.Update(quota.Row{Team: "amber"}.SetTarget(cores(1))))
		conditions, _, err := round.Transaction()
		requireNoError(t, err)
		if len(conditions) != 1 || conditions[0].Revision != want {
			t.Fatalf("conditions %+v, want revision %d", conditions, want)
		}
	}
	create(0)
	requireNoError(t, ledger.Load(table.Row{Key: quota.Key("amber"), Revision: 5, Deleted: true}))
	create(5)
	if reason, ok := ledger.Admit("amber", cores(1), false); ok || reason == "" {
		t.Fatalf("deleted team admitted, reason %q", reason)
	}
	if err := ledger.Load(table.Row{Key: "Job/x", Revision: 1}); !quota.IsErrBadRow(err) {
		t.Fatalf("error %v for another row, want ErrBadRow", err)
	}
}

// TestCheckRefusesUnsafeSettings guards against defaults that Check refuses and against unsafe settings
// that it accepts.
func TestCheckRefusesUnsafeSettings(t *testing.T) {
	settings := quota.Defaults()
	if err := settings.Check(); err != nil {
		t.Error(err)
	}
	settings.ReservePercent = 101
	if err := settings.Check(); !quota.IsErrBadSettings(err) {
		t.Errorf("error %v, want ErrBadSettings", err)
	}
}

// nanosecondsPerCall returns the mean time of one of the calls that run makes.
func nanosecondsPerCall(run func(calls int)) float64 {
	const calls = 50000
	start := time.Now()
	run(calls)
	return float64(time.Since(start).Nanoseconds()) / calls
}

// BenchmarkAdmit measures an admission with 190 teams and its ratio to one with 19, both within the team's
// own quota and with loans from four lenders.
func BenchmarkAdmit(b *testing.B) {
	measure := func(teams int, team ident.Team, want unit.Resources) float64 {
		ledger := quota.New(quota.Defaults())
		for index := range teams {
			row := quota.Row{Team: ident.Team(fmt.Sprintf("team-%03d", index))}.SetTarget(cores(100))
			if index == 0 {
				row.Used = row.Grant
			}
			value, err := quota.Encode(row)
			requireNoError(b, err)
			requireNoError(b, ledger.Load(table.Row{Key: quota.Key(row.Team), Value: value, Revision: 1}))
		}
		return nanosecondsPerCall(func(calls int) {
			for range calls {
				if reason, ok := ledger.Admit(team, want, false); !ok {
					b.Fatal(reason)
				}
			}
		})
	}
	ownNanos, borrowingNanos := measure(190, "team-001", cores(1)), measure(190, "team-000", cores(300))
	b.ReportMetric(ownNanos, "ns/own")
	b.ReportMetric(borrowingNanos, "ns/borrowing")
	b.ReportMetric(ownNanos/measure(19, "team-001", cores(1)), "own/baseline")
	b.ReportMetric(borrowingNanos/measure(19, "team-000", cores(300)), "borrowing/baseline")
}
