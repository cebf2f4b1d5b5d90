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

// runSeconds lets time pass without a synctest bubble. This is possible because there are no
// faults, so that nothing waits.
func (pair *regionPair) runSeconds(b *testing.B, count int, each func(second int)) {
	b.Helper()
	for second := range count {
		for index, name := range pair.names {
			if err := pair.readers[index].Refresh(context.Background()); err != nil {
				b.Fatal(err)
			}
			if link := pair.links[name]; !pair.nextStep[name].After(pair.clock.Now()) {
				pair.nextStep[name] = pair.clock.Now().Add(link.step())
			}
		}
		pair.clock.Advance(clock.Second)
		each(second)
	}
}

// newBenchPair returns two regions of the design size with the same documents.
func newBenchPair(b *testing.B) *regionPair {
	b.Helper()
	pair := newRegionPair(b, 1)
	for _, name := range pair.names {
		// One entry of each region pulls, as in normal operation.
		if name[len(name)-1] != '0' {
			pair.links[name].isPuller = func() bool { return false }
		}
	}
	pair.runSeconds(b, 5, func(int) {})
	change := config.Change{Operator: "anna"}
	for index := range 4 {
		name, value := dataCentreDocument("north", index, 1000)
		pair.addEdit(b, &change, name, value)
	}
	for index := range benchTeams {
		pair.addEdit(b, &change, config.TeamName(ident.Team(fmt.Sprintf("team-%d", index))), config.Team{
			Quotas: map[ident.Region]unit.Resources{"north": testGrant},
		})
		if len(change.Edits) == 32 || index == benchTeams-1 {
			if _, err := pair.links["north-0"].editor.Apply(context.Background(), change); err != nil {
				b.Fatal(err)
			}
			change.Edits = nil
		}
	}
	pair.runSeconds(b, 5, func(int) {})
	if !pair.inSync() {
		b.Fatal("the regions differ")
	}
	return pair
}

// addEdit adds an edit of a document to a change.
func (pair *regionPair) addEdit(b *testing.B, change *config.Change, name config.Name, value any) {
	b.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	document, _ := pair.links["north-0"].publisher.Current().Document(name)
	change.Edits = append(change.Edits, config.Edit{Document: name, Base: document.Version, Value: text})
}

// runHour changes documents at changesPerHour for an hour, and returns the bytes sent over the link
// and the writes to the importing table.
func (pair *regionPair) runHour(b *testing.B, each func()) (bytes, writes int) {
	b.Helper()
	pair.bytes = 0
	_, before, _ := pair.memory["south"].Calls()
	pair.runSeconds(b, int(clock.Hour/clock.Second), func(second int) {
		if each != nil {
			each()
		}
		if second%(int(clock.Hour/clock.Second)/changesPerHour) == 0 {
			change := config.Change{Operator: "anna"}
			pair.addEdit(b, &change, config.TeamName(ident.Team(fmt.Sprintf("team-%d", second%benchTeams))), config.Team{
				Quotas: map[ident.Region]unit.Resources{"north": testGrant.Add(unit.Resources{CPU: unit.MilliCPU(second)})},
			})
			if _, err := pair.links["north-0"].editor.Apply(context.Background(), change); err != nil {
				b.Fatal(err)
			}
		}
	})
	pair.runSeconds(b, 5, func(int) {})
	_, after, _ := pair.memory["south"].Calls()
	return pair.bytes, after - before
}

// BenchmarkLink measures the cost of a change over the link in a normal hour, and the time to
// converge after the link was down for an hour. The baseline sends every document with each pull.
func BenchmarkLink(b *testing.B) {
	for b.Loop() {
		connected := newBenchPair(b)
		bytes, writes := connected.runHour(b, nil)
		connected.close()

		baseline := newBenchPair(b)
		baselineBytes, _ := baseline.runHour(b, func() { baseline.links["south-0"].importedVersion, baseline.links["north-0"].importedVersion = 0, 0 })
		baseline.close()

		reconnected := newBenchPair(b)
		reconnected.linkDown = true
		_, _ = reconnected.runHour(b, nil)
		reconnected.bytes, reconnected.linkDown = 0, false
		_, before, _ := reconnected.memory["south"].Calls()
		seconds := 0
		for ; !reconnected.inSync(); seconds++ {
			reconnected.runSeconds(b, 1, func(int) {})
		}
		_, after, _ := reconnected.memory["south"].Calls()
		b.ReportMetric(float64(bytes)/changesPerHour, "B/change")
		b.ReportMetric(float64(writes)/changesPerHour, "writes/change")
		b.ReportMetric(float64(bytes)/3600, "B/s")
		b.ReportMetric(float64(seconds), "s-to-converge")
		b.ReportMetric(float64(reconnected.bytes), "B-after-hour")
		b.ReportMetric(float64(after-before), "writes-after-hour")
		b.ReportMetric(float64(bytes)/float64(baselineBytes), "bytes/baseline")
		reconnected.close()
	}
}
