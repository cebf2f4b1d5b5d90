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

// regionQuota is what the team is granted in each region: ten of its tasks.
var regionQuota = unit.Resources{CPU: 20_000, Memory: 20 << 10}

// regionsFixture is two regions with an operator in each.
type regionsFixture struct {
	*Regions
	test  testing.TB
	ctx   context.Context
	sides []*sampleRun
}

func newRegionsFixture(t testing.TB) *regionsFixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	t.Cleanup(cancel)
	first, second := RegionsLayouts()
	regions, err := NewRegions(ctx, first, second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(regions.Close)
	made := &regionsFixture{Regions: regions, test: t, ctx: ctx}
	for _, deployment := range []*Deployment{regions.First, regions.Second} {
		run := &sampleRun{deployment: deployment, out: io.Discard}
		if run.operators, err = deployment.Operators(); err != nil {
			t.Fatal(err)
		}
		made.sides = append(made.sides, run)
	}
	for _, side := range made.sides {
		for _, centre := range side.deployment.layout.DataCentres {
			made.await("data centre "+string(centre)+" to be accepted", func() bool { return side.setDataCentre(ctx, centre, operator.In) == nil })
		}
		made.must(side.awaitEndpoints(ctx))
	}
	for _, side := range made.sides {
		made.await("the team to be accepted", func() bool {
			_, err := made.sides[0].operators.SetTeam(ctx, operator.TeamChange{Team: casting, Region: side.deployment.layout.Region, Quota: regionQuota})
			return err == nil
		})
	}
	return made
}

func (fixture *regionsFixture) must(err error) {
	fixture.test.Helper()
	if err != nil {
		fixture.test.Fatal(err)
	}
}

func (fixture *regionsFixture) await(awaited string, reached func() bool) {
	fixture.test.Helper()
	fixture.must(fixture.sides[0].until(fixture.ctx, awaited, func() (bool, error) { return reached(), nil }))
}

// row reads the team's row in a region.
func (fixture *regionsFixture) row(side *sampleRun) (quota.Row, table.Revision, error) {
	held, err := side.deployment.Platform.Table.Get(fixture.ctx, quota.Key(casting))
	if err != nil || !held.Exists() {
		return quota.Row{}, 0, err
	}
	row, err := quota.Decode(held.Key, held.Value)
	return row, held.Revision, err
}

// rows reads the team's rows of both regions as they were at one moment: the first one did not change
// while the second one was read.
func (fixture *regionsFixture) rows() (first, second quota.Row, err error) {
	for fixture.ctx.Err() == nil {
		var before, after table.Revision
		if first, before, err = fixture.row(fixture.sides[0]); err != nil {
			return first, second, err
		}
		if second, _, err = fixture.row(fixture.sides[1]); err != nil {
			return first, second, err
		}
		if _, after, err = fixture.row(fixture.sides[0]); err != nil || before == after {
			return first, second, err
		}
	}
	return first, second, fixture.ctx.Err()
}

// granted returns what can be used in both regions together, and what is on its way between them.
func granted(first, second quota.Row) (usable, moving unit.Resources) {
	for _, end := range [][2]quota.Row{{first, second}, {second, first}} {
		for _, transfer := range end[0].Outgoing {
			if transfer.Number > end[1].Received[transfer.From] {
				moving = moving.Add(transfer.Amount)
			}
		}
	}
	return first.Grant.Add(second.Grant), moving
}

// watchQuota checks at short intervals that both regions together never have more quota than was
// granted, until the returned function is called.
func (fixture *regionsFixture) watchQuota() (stop func()) {
	var watching sync.WaitGroup
	quit, whole := make(chan struct{}), regionQuota.Times(2)
	watching.Go(func() {
		for {
			first, second, err := fixture.rows()
			usable, moving := granted(first, second)
			if err == nil && (!usable.Add(moving).FitsIn(whole) || !first.Used.Add(second.Used).FitsIn(whole)) {
				fixture.test.Errorf("%s is usable, %s moves, %s and %s are used; %s was granted", usable, moving, first.Used, second.Used, whole)
				return
			}
			select {
			case <-fixture.First.time.After(5 * clock.Millisecond):
			case <-quit:
				return
			}
		}
	})
	return func() { close(quit); watching.Wait() }
}

// exchangeServices creates a service in each region, cuts the link meanwhile as state says, and waits
// until both are known in both regions after the link is open again.
func (fixture *regionsFixture) exchangeServices(name string, state LinkState) {
	fixture.test.Helper()
	fixture.Link.Set(state)
	var names []ident.Service
	for index, side := range fixture.sides {
		service := ident.Service(fmt.Sprintf("%s-%d", name, index))
		names = append(names, service)
		fixture.await(string(service)+" to be accepted", func() bool {
			_, err := side.operators.SetService(fixture.ctx, operator.ServiceChange{Service: service, Team: casting, PatienceMillis: samplePatience})
			return err == nil
		})
	}
	if state != LinkOpen {
		// Long enough for several attempts to pull, and for tasks to end and charge again.
		fixture.pause(4 * clock.Second)
		for index, side := range fixture.sides {
			if fixture.knows(side, names[1-index]) {
				fixture.test.Fatalf("%s crossed a link that was cut", names[1-index])
			}
		}
	}
	fixture.Link.Set(LinkOpen)
	for _, side := range fixture.sides {
		for _, service := range names {
			fixture.await(fmt.Sprintf("%s in %s", service, side.deployment.layout.Region), func() bool { return fixture.knows(side, service) })
		}
	}
}

func (fixture *regionsFixture) pause(time clock.Millis) {
	<-fixture.First.time.After(time)
}

// knows reports whether the service is in the configuration in force in the region's table.
func (fixture *regionsFixture) knows(side *sampleRun, service ident.Service) bool {
	list, err := side.operators.Services(fixture.ctx)
	return err == nil && slices.ContainsFunc(list.Services, func(known operator.ServiceState) bool { return known.Service == service })
}

func (fixture *regionsFixture) submit(side *sampleRun, name ident.Job, tasks int, run clock.Millis) {
	fixture.test.Helper()
	submission := operator.JobSubmission{
		Job: name, Team: casting, Class: "layout", Kind: worker.Batch, Tasks: tasks, Resources: unit.Resources{CPU: 2000, Memory: 2048},
		Payload: standin.Payload{RunMillis: run, Class: "layout"}.String(),
	}
	fixture.await("the job to be accepted", func() bool {
		_, err := side.operators.SubmitJob(fixture.ctx, submission)
		return err == nil
	})
	side.jobs = append(side.jobs, name)
	for index := range tasks {
		side.tasks = append(side.tasks, ident.Task{Job: name, Index: index})
	}
}

// Guards against configuration that does not reach the other region over real connections, and
// against quota that both regions use, when the link is refused, or silent on open connections, while
// quota moves on demand. Each region has its own table, entries and agents.
func TestRegionsOverLoopback(t *testing.T) {
	t.Parallel()
	fixture := newRegionsFixture(t)
	stop := fixture.watchQuota()
	defer stop()
	fixture.exchangeServices("open", LinkOpen)
	// The first region wants three times what it has. The second one uses little, and then as much.
	fixture.submit(fixture.sides[0], "wide", 60, 1500)
	fixture.submit(fixture.sides[1], "narrow", 6, 1500)
	fixture.await("quota to move", func() bool {
		row, _, err := fixture.row(fixture.sides[0])
		return err == nil && !row.Moved.IsZero()
	})
	fixture.exchangeServices("refused", LinkRefused)
	fixture.submit(fixture.sides[1], "returned", 40, 1500)
	fixture.exchangeServices("silent", LinkSilent)
	for _, side := range fixture.sides {
		fixture.must(side.awaitJobs(fixture.ctx))
		counted := side.deployment.Count(nil, side.tasks)
		if !counted.Clean() {
			t.Errorf("%s: %+v", side.deployment.layout.Region, counted)
		}
	}
	whole := regionQuota.Times(2)
	fixture.await("all quota to be usable again", func() bool {
		first, second, err := fixture.rows()
		usable, moving := granted(first, second)
		return err == nil && usable == whole && moving.IsZero()
	})
}
