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

func TestMain(main *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(main.Run())
}

// rows is a table that checks conditions as the platform's does.
type rows map[table.Key]table.Row

func (rows rows) commit(conditions []table.Condition, operations []table.Operation) (table.Result, error) {
	for _, condition := range conditions {
		if have := rows[condition.Key].Revision; have != condition.Revision {
			return table.Result{}, table.ErrConflict{Key: condition.Key, Want: condition.Revision, Have: have}
		}
	}
	result := table.Result{Revisions: make(map[table.Key]table.Revision)}
	for _, operation := range operations {
		revision := rows[operation.Key].Revision + 1
		rows[operation.Key] = table.Row{Key: operation.Key, Value: operation.Value, Revision: revision}
		result.Revisions[operation.Key] = revision
	}
	return result, nil
}

func (rows rows) decode(check interface{ Fatalf(string, ...any) }) map[ident.Team]quota.Row {
	decoded := make(map[ident.Team]quota.Row)
	for key, row := range rows {
		known, err := quota.Decode(key, row.Value)
		if err != nil {
			check.Fatalf("row %s: %v", key, err)
		}
		decoded[known.Team] = known
	}
	return decoded
}

func must(check interface{ Fatal(...any) }, err error) {
	if err != nil {
		check.Fatal(err)
	}
}

func cores(count int) unit.Resources {
	return unit.Resources{CPU: unit.MilliCPU(1000 * count), Memory: unit.Mebibytes(4096 * count)}
}

// daemon is one entry with its own, possibly stale, view.
type daemon struct {
	ledger *quota.Ledger
	round  *quota.Round
	// charged are the charges of the open round, taken over once it is committed.
	charged []charge
}

type charge struct {
	team   ident.Team
	amount unit.Resources
	urgent bool
}

// TestRacingRoundsStayWithinGrants guards against usage above what was granted when several entries
// with stale views charge, refund, lend, return and change quotas at once in two regions.
func TestRacingRoundsStayWithinGrants(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		regions := []ident.Region{"north", "south"}
		tables := map[ident.Region]rows{"north": {}, "south": {}}
		teams := []ident.Team{"amber", "birch", "cedar", "delta"}
		granted := unit.Resources{}
		running := map[ident.Region][]charge{}
		daemons := map[ident.Region][]*daemon{}
		for _, region := range regions {
			for _, team := range teams {
				target := cores(rapid.IntRange(0, 16).Draw(check, "target"))
				granted = granted.Add(target)
				value, err := quota.Encode(quota.Row{Team: team}.SetTarget(target))
				must(check, err)
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
					must(check, entry.ledger.Load(tables[region][key]))
				}
				entry.round, entry.charged = entry.ledger.Begin(), nil
			}
			return region, entry, rapid.SampledFrom(teams).Draw(check, "team")
		}
		check.Repeat(map[string]func(*rapid.T){
			"admit": func(check *rapid.T) {
				_, entry, team := pick()
				want := cores(rapid.IntRange(1, 8).Draw(check, "want"))
				urgent := rapid.Bool().Draw(check, "urgent")
				if _, ok := entry.round.Admit(team, want, urgent); ok {
					entry.charged = append(entry.charged, charge{team, want, urgent})
				}
			},
			"reclaim": func(check *rapid.T) {
				_, entry, team := pick()
				demands, err := entry.round.Reclaim(team, cores(rapid.IntRange(1, 16).Draw(check, "want")), true)
				must(check, err)
				for _, demand := range demands {
					if demand.Amount.Negative() || demand.Amount.IsZero() {
						check.Fatalf("demand %+v", demand)
					}
				}
			},
			"return": func(check *rapid.T) {
				_, entry, team := pick()
				must(check, entry.round.Return(team))
			},
			"commit": func(check *rapid.T) {
				region, entry, _ := pick()
				conditions, operations, err := entry.round.Transaction()
				must(check, err)
				if result, err := tables[region].commit(conditions, operations); err == nil {
					entry.round.Committed(result)
					running[region] = append(running[region], entry.charged...)
				}
				entry.round = nil
			},
			"finish": func(check *rapid.T) {
				region := rapid.SampledFrom(regions).Draw(check, "region")
				if len(running[region]) == 0 {
					return
				}
				index := rapid.IntRange(0, len(running[region])-1).Draw(check, "task")
				ended := running[region][index]
				running[region] = append(running[region][:index:index], running[region][index+1:]...)
				rewrite(check, tables[region], ended.team, func(row quota.Row) quota.Row {
					refunded, err := row.Refund(ended.amount, ended.urgent)
					must(check, err)
					return refunded
				})
			},
			"target": func(check *rapid.T) {
				region, _, team := pick()
				rewrite(check, tables[region], team, func(row quota.Row) quota.Row {
					changed := row.SetTarget(cores(rapid.IntRange(0, 16).Draw(check, "target")))
					// A raised grant is new quota; a lowered one is gone once settled.
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
				view := quota.New(quota.Defaults())
				must(check, view.Load(tables[from][quota.Key(team)]))
				spare := view.Spare(team, cores(rapid.IntRange(1, 4).Draw(check, "missing")))
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

// rewrite replaces one row by a transaction that never conflicts.
func rewrite(check *rapid.T, rows rows, team ident.Team, change func(quota.Row) quota.Row) {
	ledger := quota.New(quota.Defaults())
	must(check, ledger.Load(rows[quota.Key(team)]))
	row, _ := ledger.Row(team)
	round := ledger.Begin()
	must(check, round.Update(change(row)))
	conditions, operations, err := round.Transaction()
	must(check, err)
	_, err = rows.commit(conditions, operations)
	must(check, err)
}

// deliver credits the open transfers copies times, as lost responses cause, and confirms them.
func deliver(check *rapid.T, tables map[ident.Region]rows, from, to ident.Region, team ident.Team, copies int) {
	open := tables[from].decode(check)[team].Outgoing
	for range copies {
		for _, transfer := range open {
			rewrite(check, tables[to], team, func(row quota.Row) quota.Row {
				received, _, err := row.Receive(transfer)
				must(check, err)
				return received
			})
		}
	}
	received := tables[to].decode(check)[team].Received[from]
	rewrite(check, tables[from], team, func(row quota.Row) quota.Row { return row.Confirm(to, received) })
}

func assertSums(check *rapid.T, tables map[ident.Region]rows, running map[ident.Region][]charge, granted unit.Resources) {
	grants := unit.Resources{}
	for region, rows := range tables {
		used, limit, charged := unit.Resources{}, unit.Resources{}, unit.Resources{}
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
			charged = charged.Add(charge.amount)
		}
		if used != charged {
			check.Fatalf("region %s: rows say %s is used, tasks use %s", region, used, charged)
		}
		if !used.FitsIn(limit) {
			check.Fatalf("region %s: %s used of %s", region, used, limit)
		}
	}
	if !grants.FitsIn(granted) {
		check.Fatalf("grants and transfers are %s, operators granted %s", grants, granted)
	}
}

// TestReclaimNamesBorrowers guards against a lender that cannot get its quota back, and against
// asking borrowers for more than is missing.
func TestReclaimNamesBorrowers(t *testing.T) {
	store := rows{}
	ledger := quota.New(quota.Defaults())
	for _, team := range []ident.Team{"borrower", "lender"} {
		value, err := quota.Encode(quota.Row{Team: team}.SetTarget(cores(10)))
		must(t, err)
		store[quota.Key(team)] = table.Row{Key: quota.Key(team), Value: value, Revision: 1}
		must(t, ledger.Load(store[quota.Key(team)]))
	}
	commit := func(round *quota.Round) {
		t.Helper()
		conditions, operations, err := round.Transaction()
		must(t, err)
		result, err := store.commit(conditions, operations)
		must(t, err)
		round.Committed(result)
		must(t, ledger.Check())
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
	must(t, err)
	want := quota.Demand{Team: "borrower", Lender: "lender", Amount: cores(3), Urgent: true}
	if len(demands) != 1 || demands[0] != want {
		t.Fatalf("demands %+v, want %+v", demands, want)
	}
	must(t, round.Refund("borrower", cores(4), false))
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

// TestDecodeRefusesForeignRows guards against a row of one team being taken for another's.
func TestDecodeRefusesForeignRows(t *testing.T) {
	value, err := quota.Encode(quota.Row{Team: "amber"}.SetTarget(cores(1)))
	must(t, err)
	if _, err := quota.Decode(quota.Key("birch"), value); !quota.IsErrBadRow(err) {
		t.Fatalf("error %v, want ErrBadRow", err)
	}
	round := quota.New(quota.Defaults()).Begin()
	must(t, round.Update(quota.Row{Team: "amber", Borrowed: map[ident.Team]unit.Resources{"birch": cores(1)}}))
	if _, _, err := round.Transaction(); !quota.IsErrUnbalanced(err) {
		t.Fatalf("error %v for a loan in one row only, want ErrUnbalanced", err)
	}
	if _, err := quota.Encode(quota.Row{Team: "amber", Used: cores(1)}); !quota.IsErrOvercommitted(err) {
		t.Fatalf("error %v, want ErrOvercommitted", err)
	}
}

// TestTeamRowLifecycle guards against a new or returning team whose first write never commits, and
// against taking other rows for teams.
func TestTeamRowLifecycle(t *testing.T) {
	ledger := quota.New(quota.Defaults())
	create := func(want table.Revision) {
		t.Helper()
		round := ledger.Begin()
		must(t, round.Update(quota.Row{Team: "amber"}.SetTarget(cores(1))))
		conditions, _, err := round.Transaction()
		must(t, err)
		if len(conditions) != 1 || conditions[0].Revision != want {
			t.Fatalf("conditions %+v, want revision %d", conditions, want)
		}
	}
	create(0)
	must(t, ledger.Load(table.Row{Key: quota.Key("amber"), Revision: 5, Deleted: true}))
	create(5)
	if reason, ok := ledger.Admit("amber", cores(1), false); ok || reason == "" {
		t.Fatalf("deleted team admitted, reason %q", reason)
	}
	if err := ledger.Load(table.Row{Key: "Job/x", Revision: 1}); !quota.IsErrBadRow(err) {
		t.Fatalf("error %v for another row, want ErrBadRow", err)
	}
}

// TestSettings guards against shipping settings that Check refuses, and against accepting unsafe ones.
func TestSettings(t *testing.T) {
	settings := quota.Defaults()
	if err := settings.Check(); err != nil {
		t.Error(err)
	}
	settings.ReservePercent = 101
	if err := settings.Check(); !quota.IsErrBadSettings(err) {
		t.Errorf("error %v, want ErrBadSettings", err)
	}
}

// timed returns the time per call in nanoseconds.
func timed(run func(calls int)) float64 {
	const calls = 50000
	start := time.Now()
	run(calls)
	return float64(time.Since(start).Nanoseconds()) / calls
}

// BenchmarkAdmit measures one admission at 190 teams relative to one at 19, both within the team's
// own quota and with loans from four lenders.
func BenchmarkAdmit(bench *testing.B) {
	measure := func(teams int, team ident.Team, want unit.Resources) float64 {
		ledger := quota.New(quota.Defaults())
		for index := range teams {
			row := quota.Row{Team: ident.Team(fmt.Sprintf("team-%03d", index))}.SetTarget(cores(100))
			if index == 0 {
				row.Used = row.Grant
			}
			value, err := quota.Encode(row)
			must(bench, err)
			must(bench, ledger.Load(table.Row{Key: quota.Key(row.Team), Value: value, Revision: 1}))
		}
		return timed(func(calls int) {
			for range calls {
				if reason, ok := ledger.Admit(team, want, false); !ok {
					bench.Fatal(reason)
				}
			}
		})
	}
	own, borrowing := measure(190, "team-001", cores(1)), measure(190, "team-000", cores(300))
	bench.ReportMetric(own, "ns/own")
	bench.ReportMetric(borrowing, "ns/borrowing")
	bench.ReportMetric(own/measure(19, "team-001", cores(1)), "own/baseline")
	bench.ReportMetric(borrowing/measure(19, "team-000", cores(300)), "borrowing/baseline")
}
