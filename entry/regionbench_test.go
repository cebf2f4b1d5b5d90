package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

const (
	// changesPerHour is a 24th of the 2,400 configuration changes a day.
	changesPerHour = 100
	// benchTeams is the number of teams with quotas at the design size.
	benchTeams = 190
)

// seconds passes the time without a bubble: there are no faults, so nothing waits.
func (pair *pair) seconds(b *testing.B, count int, each func(second int)) {
	b.Helper()
	for second := range count {
		for index, name := range pair.order {
			if err := pair.readers[index].Refresh(context.Background()); err != nil {
				b.Fatal(err)
			}
			if link := pair.links[name]; !pair.due[name].After(pair.clock.Now()) {
				pair.due[name] = pair.clock.Now().Add(link.step())
			}
		}
		pair.clock.Advance(clock.Second)
		each(second)
	}
}

// benchPair returns two regions of the design size that hold the same documents.
func benchPair(b *testing.B) *pair {
	b.Helper()
	pair := newPair(b, 1)
	for _, name := range pair.order {
		// One entry of each region pulls, as on ordinary days.
		if name[len(name)-1] != '0' {
			pair.links[name].home = func() bool { return false }
		}
	}
	pair.seconds(b, 5, func(int) {})
	change := config.Change{Operator: "anna"}
	for index := range 4 {
		name, value := centre("north", index, 1000)
		pair.edit(b, &change, name, value)
	}
	for index := range benchTeams {
		pair.edit(b, &change, config.TeamName(ident.Team(fmt.Sprintf("team-%d", index))), config.Team{
			Quotas: map[ident.Region]unit.Resources{"north": testGrant},
		})
		if len(change.Edits) == 32 || index == benchTeams-1 {
			if _, err := pair.links["north-0"].editor.Apply(context.Background(), change); err != nil {
				b.Fatal(err)
			}
			change.Edits = nil
		}
	}
	pair.seconds(b, 5, func(int) {})
	if !pair.same() {
		b.Fatal("the regions differ")
	}
	return pair
}

func (pair *pair) edit(b *testing.B, change *config.Change, name config.Name, value any) {
	b.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	held, _ := pair.links["north-0"].publisher.Current().Document(name)
	change.Edits = append(change.Edits, config.Edit{Document: name, Base: held.Version, Value: text})
}

// hour changes documents at the ordinary rate for an hour, and returns the bytes that crossed the
// link and the writes to the importing table.
func (pair *pair) hour(b *testing.B, each func()) (bytes, writes int) {
	b.Helper()
	pair.bytes = 0
	_, before, _ := pair.memory["south"].Calls()
	pair.seconds(b, int(clock.Hour/clock.Second), func(second int) {
		if each != nil {
			each()
		}
		if second%(int(clock.Hour/clock.Second)/changesPerHour) == 0 {
			change := config.Change{Operator: "anna"}
			pair.edit(b, &change, config.TeamName(ident.Team(fmt.Sprintf("team-%d", second%benchTeams))), config.Team{
				Quotas: map[ident.Region]unit.Resources{"north": testGrant.Add(unit.Resources{CPU: unit.MilliCPU(second)})},
			})
			if _, err := pair.links["north-0"].editor.Apply(context.Background(), change); err != nil {
				b.Fatal(err)
			}
		}
	})
	pair.seconds(b, 5, func(int) {})
	_, after, _ := pair.memory["south"].Calls()
	return pair.bytes, after - before
}

// BenchmarkLink measures what a change costs across the link in an ordinary hour and the time to
// converge after an hour apart. The baseline sends every document with each pull.
func BenchmarkLink(b *testing.B) {
	for b.Loop() {
		joined := benchPair(b)
		bytes, writes := joined.hour(b, nil)
		joined.close()

		whole := benchPair(b)
		every, _ := whole.hour(b, func() { whole.links["south-0"].imported, whole.links["north-0"].imported = 0, 0 })
		whole.close()

		apart := benchPair(b)
		apart.cut = true
		_, _ = apart.hour(b, nil)
		apart.bytes, apart.cut = 0, false
		_, before, _ := apart.memory["south"].Calls()
		seconds := 0
		for ; !apart.same(); seconds++ {
			apart.seconds(b, 1, func(int) {})
		}
		_, after, _ := apart.memory["south"].Calls()
		b.ReportMetric(float64(bytes)/changesPerHour, "B/change")
		b.ReportMetric(float64(writes)/changesPerHour, "writes/change")
		b.ReportMetric(float64(bytes)/3600, "B/s")
		b.ReportMetric(float64(seconds), "s-to-converge")
		b.ReportMetric(float64(apart.bytes), "B-after-hour")
		b.ReportMetric(float64(after-before), "writes-after-hour")
		b.ReportMetric(float64(bytes)/float64(every), "bytes/baseline")
		apart.close()
	}
}
