package standalone

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
	"hyssopjunction/quota"
	"hyssopjunction/standin"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// regionQuota is the team's quota in each region, enough for ten of its tasks.
var regionQuota = unit.Resources{CPU: 20_000, Memory: 20 << 10}

// regionsFixture holds two regions with a client of the operators' API of each.
type regionsFixture struct {
	*Regions
	test    testing.TB
	ctx     context.Context
	regions []*sampleRun
}

// newRegionsFixture starts two regions, takes their data centres in and grants the team its quota.
func newRegionsFixture(t testing.TB) *regionsFixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	first, second := RegionsLayouts()
	regions, err := NewRegions(ctx, first, second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(regions.Close)
	fixture := &regionsFixture{Regions: regions, test: t, ctx: ctx}
	for _, deployment := range []*Deployment{regions.First, regions.Second} {
		run := &sampleRun{deployment: deployment, out: io.Discard}
		if run.operators, err = deployment.OperatorClient(); err != nil {
			t.Fatal(err)
		}
		fixture.regions = append(fixture.regions, run)
	}
	for _, region := range fixture.regions {
		for _, centre := range region.deployment.layout.DataCentres {
			fixture.until("data centre "+string(centre)+" to be accepted", func() bool { return region.setDataCentre(ctx, centre, operator.In) == nil })
		}
		fixture.must(region.awaitWorkers(ctx))
	}
	for _, region := range fixture.regions {
		fixture.until("the team to be accepted", func() bool {
			_, err := fixture.regions[0].operators.SetTeam(ctx, operator.TeamChange{Team: castingTeam, Region: region.deployment.layout.Region, Quota: regionQuota})
			return err == nil
		})
	}
	return fixture
}

func (fixture *regionsFixture) must(err error) {
	fixture.test.Helper()
	if err != nil {
		fixture.test.Fatal(err)
	}
}

func (fixture *regionsFixture) until(state string, condition func() bool) {
	fixture.test.Helper()
	fixture.must(fixture.regions[0].until(fixture.ctx, state, func() (bool, error) { return condition(), nil }))
}

// row reads the team's quota row from the region's table, with its revision.
func (fixture *regionsFixture) row(region *sampleRun) (quota.Row, table.Revision, error) {
	tableRow, err := region.deployment.Platform.Table.Get(fixture.ctx, quota.Key(castingTeam))
	if err != nil || !tableRow.Exists() {
		return quota.Row{}, 0, err
	}
	row, err := quota.Decode(tableRow.Key, tableRow.Value)
	return row, tableRow.Revision, err
}

// consistentRows returns the team's quota rows of both regions as they were at one moment: it repeats
// the reads until the first row hasn't changed while the second one was read.
func (fixture *regionsFixture) consistentRows() (first, second quota.Row, err error) {
	for fixture.ctx.Err() == nil {
		var before, after table.Revision
		if first, before, err = fixture.row(fixture.regions[0]); err != nil {
			return first, second, err
		}
		if second, _, err = fixture.row(fixture.regions[1]); err != nil {
			return first, second, err
		}
		if _, after, err = fixture.row(fixture.regions[0]); err != nil || before == after {
			return first, second, err
		}
	}
	return first, second, fixture.ctx.Err()
}

// quotaTotals returns the quota that both regions together can use and the quota that is in transfer
// between them.
func quotaTotals(first, second quota.Row) (usable, inTransfer unit.Resources) {
	for _, pair := range [][2]quota.Row{{first, second}, {second, first}} {
		for _, transfer := range pair[0].Outgoing {
			if transfer.Number > pair[1].Received[transfer.From] {
				inTransfer = inTransfer.Add(transfer.Amount)
			}
		}
	}
	return first.Grant.Add(second.Grant), inTransfer
}

// watchQuota checks every 5 ms, until the returned function is called, that both regions together
// neither have nor use more quota than was granted.
func (fixture *regionsFixture) watchQuota() (stop func()) {
	var watcher sync.WaitGroup
	done, total := make(chan struct{}), regionQuota.Times(2)
	watcher.Go(func() {
		for {
			first, second, err := fixture.consistentRows()
			usable, inTransfer := quotaTotals(first, second)
			if err == nil && (!usable.Add(inTransfer).FitsIn(total) || !first.Used.Add(second.Used).FitsIn(total)) {
				fixture.test.Errorf("%s is usable, %s moves, %s and %s are used; %s was granted", usable, inTransfer, first.Used, second.Used, total)
				return
			}
			select {
			case <-fixture.First.clock.After(5 * clock.Millisecond):
			case <-done:
				return
			}
		}
	})
	return func() { close(done); watcher.Wait() }
}

// exchangeServices creates a service in each region while the link is in the given state, opens the
// link, and waits until both regions have both services. While the link is cut, neither service may
// reach the other region.
func (fixture *regionsFixture) exchangeServices(name string, state LinkState) {
	fixture.test.Helper()
	fixture.Link.Set(state)
	var names []ident.Service
	for index, region := range fixture.regions {
		service := ident.Service(fmt.Sprintf("%s-%d", name, index))
		names = append(names, service)
		fixture.until(string(service)+" to be accepted", func() bool {
			_, err := region.operators.SetService(fixture.ctx, operator.ServiceChange{Service: service, Team: castingTeam, PatienceMillis: samplePatience})
			return err == nil
		})
	}
	if state != LinkOpen {
		// This covers several attempts to pull configuration, and tasks that end and start meanwhile.
		fixture.sleep(4 * clock.Second)
		for index, region := range fixture.regions {
			if fixture.hasService(region, names[1-index]) {
				fixture.test.Fatalf("%s crossed a link that was cut", names[1-index])
			}
		}
	}
	fixture.Link.Set(LinkOpen)
	for _, region := range fixture.regions {
		for _, service := range names {
			fixture.until(fmt.Sprintf("%s in %s", service, region.deployment.layout.Region), func() bool { return fixture.hasService(region, service) })
		}
	}
}

func (fixture *regionsFixture) sleep(duration clock.Millis) {
	<-fixture.First.clock.After(duration)
}

// hasService reports whether the region's operators' API lists the service.
func (fixture *regionsFixture) hasService(region *sampleRun, service ident.Service) bool {
	list, err := region.operators.Services(fixture.ctx)
	return err == nil && slices.ContainsFunc(list.Services, func(state operator.ServiceState) bool { return state.Service == service })
}

func (fixture *regionsFixture) submit(region *sampleRun, name ident.Job, tasks int, run clock.Millis) {
	fixture.test.Helper()
	submission := operator.JobSubmission{
		Job: name, Team: castingTeam, Class: "layout", Kind: worker.Batch, Tasks: tasks, Resources: unit.Resources{CPU: 2000, Memory: 2048},
		Payload: standin.Payload{RunMillis: run, Class: "layout"}.String(),
	}
	fixture.until("the job to be accepted", func() bool {
		_, err := region.operators.SubmitJob(fixture.ctx, submission)
		return err == nil
	})
	region.jobs = append(region.jobs, name)
	for index := range tasks {
		region.tasks = append(region.tasks, ident.Task{Job: name, Index: index})
	}
}

// TestRegionsShareConfigurationAndQuota guards against configuration that doesn't reach the other
// region, and against quota that both regions use at the same time, when the link between them
// refuses connections or goes silent while quota moves on demand. Each region has its own table,
// entries and agents.
func TestRegionsShareConfigurationAndQuota(t *testing.T) {
	t.Parallel()
	fixture := newRegionsFixture(t)
	stop := fixture.watchQuota()
	defer stop()
	fixture.exchangeServices("open", LinkOpen)
	// The first region needs six times its quota. The second region needs less than its quota at
	// first, and four times its quota later.
	fixture.submit(fixture.regions[0], "wide", 60, 1500)
	fixture.submit(fixture.regions[1], "narrow", 6, 1500)
	fixture.until("quota to move", func() bool {
		row, _, err := fixture.row(fixture.regions[0])
		return err == nil && !row.Moved.IsZero()
	})
	fixture.exchangeServices("refused", LinkRefused)
	fixture.submit(fixture.regions[1], "returned", 40, 1500)
	fixture.exchangeServices("silent", LinkSilent)
	for _, region := range fixture.regions {
		fixture.must(region.awaitJobs(fixture.ctx))
		counts := region.deployment.CountOutcome(nil, region.tasks)
		if !counts.Clean() {
			t.Errorf("%s: %+v", region.deployment.layout.Region, counts)
		}
	}
	total := regionQuota.Times(2)
	fixture.until("all quota to be usable again", func() bool {
		first, second, err := fixture.consistentRows()
		usable, inTransfer := quotaTotals(first, second)
		return err == nil && usable == total && inTransfer.IsZero()
	})
}
