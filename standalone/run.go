package standalone

import (
	"context"
	"fmt"
	"io"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/operator"
	"hyssopjunction/outcome"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Services and teams of the sample run.
const (
	checks  ident.Service = "checks"
	entries ident.Service = "entries"
	contest ident.Team    = "contest"
	casting ident.Team    = "casting"
)

// Sizes of the sample run.
const (
	requestCount   = 300
	submitEvery    = 3
	requestCallers = 16
	shortTasks     = 40
	longTasks      = 6
	shortRun       = 400 * clock.Millisecond
	longRun        = 6 * clock.Second
	// Batch tasks move in the second half of a drain, so it is short enough to meet the long tasks.
	sampleDrain    = 3 * clock.Second
	samplePatience = 5 * clock.Second
	// limit bounds the run; it ends well before on an idle machine.
	limit = 28 * clock.Second
)

// SampleLayout is a small deployment with three data centres and times that let a run end soon.
func SampleLayout() Layout {
	return Layout{
		Region: "flanders", DataCentres: []ident.DataCentre{"aalst", "gent", "kortrijk"},
		Workers: 3, Services: []ident.Service{checks, entries}, Idempotent: []ident.Service{checks}, CPU: 16_000, Memory: 60 << 10,
		Interference: []setting.Interference{{Victim: string(checks), Aggressor: "layout", Percent: 10}},
		Seed:         1, Heartbeat: 300 * clock.Millisecond, Watch: 100 * clock.Millisecond, Term: 5 * clock.Second,
		Membership: shortMembership(), DisturbanceWait: 2 * clock.Second,
	}
}

// shortMembership scales the membership times to the short lease: a dead entry must be noticed, and
// its agents have a new home, well before their leases lapse.
func shortMembership() membership.Settings {
	settings := membership.DefaultSettings()
	settings.RenewMillis = clock.Second
	settings.EntryExpiryMillis = 2 * clock.Second
	settings.WorkerExpiryMillis = 2 * clock.Second
	settings.PeerExpiryMillis = 3 * clock.Second
	settings.ExchangeMillis = 500 * clock.Millisecond
	settings.UrgentMillis = 200 * clock.Millisecond
	return settings
}

// Run starts the sample deployment, serves requests, runs jobs while a data centre leaves and
// returns, and counts the outcome. Progress is written to out.
func Run(ctx context.Context, out io.Writer) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	return runSample(ctx, out)
}

// runSample is Run without a limit of its own, for tests on busy machines.
func runSample(ctx context.Context, out io.Writer) (Outcome, error) {
	deployment, err := New(ctx, SampleLayout())
	if err != nil {
		return Outcome{}, err
	}
	defer deployment.Close()
	started := deployment.time.Now()
	run := &sampleRun{deployment: deployment, out: out, caller: NewCaller()}
	defer run.caller.Close()
	if run.operators, err = deployment.Operators(); err != nil {
		return Outcome{}, err
	}
	for _, step := range []func(context.Context) error{
		run.configure, run.awaitEndpoints, run.submitJobs, run.sendRequests, run.moveDataCentre, run.awaitJobs,
	} {
		if err := step(ctx); err != nil {
			return Outcome{}, err
		}
	}
	counted := deployment.Count(run.results, run.tasks)
	counted.ElapsedMillis = deployment.time.Now().Sub(started)
	return counted, nil
}

// sampleRun is the state of the sample run.
type sampleRun struct {
	deployment *Deployment
	operators  *operator.Client
	caller     *Caller
	out        io.Writer
	results    []Result
	tasks      []ident.Task
	jobs       []ident.Job
}

func (run *sampleRun) say(format string, values ...any) {
	_, _ = fmt.Fprintf(run.out, format+"\n", values...)
}

// configure makes the operators' settings: data centres, teams, services and the preset.
func (run *sampleRun) configure(ctx context.Context) error {
	for _, centre := range run.deployment.layout.DataCentres {
		if err := run.setDataCentre(ctx, centre, operator.In); err != nil {
			return err
		}
	}
	quota := unit.Resources{CPU: 144_000, Memory: 500 << 10}
	for _, team := range []ident.Team{contest, casting} {
		if _, err := run.operators.SetTeam(ctx, operator.TeamChange{Team: team, Quota: quota}); err != nil {
			return err
		}
	}
	for service, idempotent := range map[ident.Service]bool{checks: true, entries: false} {
		change := operator.ServiceChange{Service: service, Team: contest, Idempotent: idempotent, PatienceMillis: samplePatience}
		if _, err := run.operators.SetService(ctx, change); err != nil {
			return err
		}
	}
	accepted, err := run.operators.SetPreset(ctx, operator.PresetChange{Preset: config.Peak})
	if err != nil {
		return err
	}
	run.say("Configured %d data centres, preset %s, configuration version %d", len(run.deployment.layout.DataCentres), config.Peak, accepted.Version)
	_, err = run.operators.Wait(ctx, accepted.Version, 5*clock.Second)
	return err
}

func (run *sampleRun) setDataCentre(ctx context.Context, centre ident.DataCentre, state string) error {
	change := operator.DataCentreChange{DataCentre: centre, State: state, Reason: "sample run"}
	if state == operator.Out {
		change.DrainMillis = sampleDrain
	}
	_, err := run.operators.SetDataCentre(ctx, change)
	return err
}

// awaitEndpoints waits until all endpoints have announced themselves.
func (run *sampleRun) awaitEndpoints(ctx context.Context) error {
	want := len(run.deployment.layout.DataCentres) * run.deployment.layout.Workers
	return run.until(ctx, "all workers to announce themselves", func() (bool, error) {
		list, err := run.operators.Workers(ctx, operator.WorkerFilter{})
		return err == nil && len(list.Workers) == want, err
	})
}

// ErrTimeout reports a run that did not reach a state in time.
type ErrTimeout struct{ Awaited string }

// Error names the state.
func (err ErrTimeout) Error() string { return "timed out waiting for " + err.Awaited }

func (run *sampleRun) until(ctx context.Context, awaited string, reached func() (bool, error)) error {
	for {
		done, err := reached()
		if err != nil && !operator.IsErrRetryLater(err) && ctx.Err() == nil {
			return err
		}
		if done {
			return nil
		}
		select {
		case <-run.deployment.time.After(50 * clock.Millisecond):
		case <-ctx.Done():
			return ErrTimeout{Awaited: awaited}
		}
	}
}

// submitJobs submits a job of many short tasks and one of a few long ones.
func (run *sampleRun) submitJobs(ctx context.Context) error {
	for _, sample := range []struct {
		name  ident.Job
		tasks int
		time  clock.Millis
	}{{"layout-short", shortTasks, shortRun}, {"layout-long", longTasks, longRun}} {
		submission := operator.JobSubmission{
			Job: sample.name, Team: casting, Class: "layout", Kind: worker.Batch, Tasks: sample.tasks,
			Resources: unit.Resources{CPU: 2000, Memory: 2048},
			Payload:   standin.Payload{RunMillis: sample.time, Class: "layout"}.String(),
		}
		if _, err := run.operators.SubmitJob(ctx, submission); err != nil {
			return err
		}
		run.jobs = append(run.jobs, sample.name)
		for index := range sample.tasks {
			run.tasks = append(run.tasks, ident.Task{Job: sample.name, Index: index})
		}
	}
	run.say("Submitted %d jobs with %d tasks", len(run.jobs), len(run.tasks))
	return nil
}

// sendRequests sends checks and keyed submissions, and repeats some of the keys at another entry.
func (run *sampleRun) sendRequests(ctx context.Context) error {
	calls := make([]Call, 0, requestCount)
	var repeated []Call
	for index := range requestCount {
		call := Call{Service: checks, Team: contest, Patience: samplePatience, Body: fmt.Sprintf("check %d", index)}
		if index%submitEvery == 0 {
			call.Service, call.Key = entries, ident.Key(fmt.Sprintf("submission-%d", index))
			repeated = append(repeated, call)
		}
		calls = append(calls, call)
	}
	addresses := run.deployment.Callers()
	run.results = append(run.results, run.caller.SendAll(ctx, addresses, calls, requestCallers)...)
	elsewhere := append(append([]string{}, addresses[1:]...), addresses[0])
	run.results = append(run.results, run.caller.SendAll(ctx, elsewhere, repeated, requestCallers)...)
	done := 0
	for _, result := range run.results {
		if result.Outcome == outcome.Ran {
			done++
		}
	}
	run.say("Sent %d requests, %d of them with a repeated key: %d answered", len(run.results), len(repeated), done)
	return nil
}

// moveDataCentre takes the data centre with the most long tasks out and back in.
func (run *sampleRun) moveDataCentre(ctx context.Context) error {
	centre := run.deployment.layout.DataCentres[0]
	most := 0
	state, err := run.operators.Job(ctx, "layout-long")
	if err != nil {
		return err
	}
	counts := map[ident.DataCentre]int{}
	for _, placed := range state.Running {
		counts[placed.DataCentre]++
		if counts[placed.DataCentre] > most {
			centre, most = placed.DataCentre, counts[placed.DataCentre]
		}
	}
	if err := run.setDataCentre(ctx, centre, operator.Out); err != nil {
		return err
	}
	run.say("Took data centre %s out while %d of its tasks were running", centre, most)
	err = run.until(ctx, "the data centre to be empty", func() (bool, error) {
		list, err := run.operators.Workers(ctx, operator.WorkerFilter{DataCentre: centre})
		tasks := 0
		for _, known := range list.Workers {
			tasks += known.Tasks
		}
		return err == nil && tasks == 0, err
	})
	if err != nil {
		return err
	}
	run.say("Data centre %s is empty", centre)
	return run.setDataCentre(ctx, centre, operator.In)
}

// awaitJobs waits until all tasks have ended.
func (run *sampleRun) awaitJobs(ctx context.Context) error {
	return run.until(ctx, "all jobs to finish", func() (bool, error) {
		for _, name := range run.jobs {
			state, err := run.operators.Job(ctx, name)
			if err != nil || state.State != "Finished" {
				return false, err
			}
		}
		return true, nil
	})
}
