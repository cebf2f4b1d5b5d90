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
	checkService ident.Service = "checks"
	entryService ident.Service = "entries"
	contestTeam  ident.Team    = "contest"
	castingTeam  ident.Team    = "casting"
)

// Amount of work and times of the sample run.
const (
	requestCount = 300
	// One request in keyedInterval has a key.
	keyedInterval     = 3
	callerConcurrency = 16
	shortTaskCount    = 40
	longTaskCount     = 6
	shortRunTime      = 400 * clock.Millisecond
	longRunTime       = 6 * clock.Second
	// drainTime is shorter than the long tasks: batch tasks are moved in the second half of a drain,
	// and the long tasks must still run then.
	drainTime      = 3 * clock.Second
	samplePatience = 5 * clock.Second
	// runTimeout ends a run that doesn't finish. On an idle machine a run takes much less.
	runTimeout = 28 * clock.Second
)

// SampleLayout returns a small deployment with three data centres, and with shorter times than in
// production so that a run ends soon.
func SampleLayout() Layout {
	return Layout{
		Region: "flanders", DataCentres: []ident.DataCentre{"aalst", "gent", "kortrijk"},
		Workers: 3, Services: []ident.Service{checkService, entryService}, Idempotent: []ident.Service{checkService}, CPU: 16_000, Memory: 60 << 10,
		Interference: []setting.Interference{{Victim: string(checkService), Aggressor: "layout", Percent: 10}},
		Seed:         1, Heartbeat: 300 * clock.Millisecond, WorkerPoll: 100 * clock.Millisecond, LeaseTerm: 5 * clock.Second,
		Membership: shortMembership(), DisturbanceWait: 2 * clock.Second,
	}
}

// shortMembership returns membership times that fit the short lease term: a crashed entry must be
// detected, and its agents must have a new home entry, well before their leases expire.
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

// Run starts the sample deployment, sends requests, runs jobs while a data centre is taken out and
// back in, and counts the outcome. It writes its progress to out and ends after runTimeout.
func Run(ctx context.Context, out io.Writer) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout.Duration())
	defer cancel()
	return runSample(ctx, out)
}

// runSample is Run without its timeout, for tests on busy machines.
func runSample(ctx context.Context, out io.Writer) (Outcome, error) {
	deployment, err := New(ctx, SampleLayout())
	if err != nil {
		return Outcome{}, err
	}
	defer deployment.Close()
	start := deployment.clock.Now()
	run := &sampleRun{deployment: deployment, out: out, caller: NewCaller()}
	defer run.caller.Close()
	if run.operators, err = deployment.OperatorClient(); err != nil {
		return Outcome{}, err
	}
	for _, step := range []func(context.Context) error{
		run.configure, run.awaitWorkers, run.submitJobs, run.sendRequests, run.drainDataCentre, run.awaitJobs,
	} {
		if err := step(ctx); err != nil {
			return Outcome{}, err
		}
	}
	counts := deployment.CountOutcome(run.results, run.tasks)
	counts.ElapsedMillis = deployment.clock.Now().Sub(start)
	return counts, nil
}

// sampleRun holds a deployment, its clients, and the work submitted so far.
type sampleRun struct {
	deployment *Deployment
	operators  *operator.Client
	caller     *Caller
	out        io.Writer
	results    []Result
	tasks      []ident.Task
	jobs       []ident.Job
}

func (run *sampleRun) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(run.out, format+"\n", values...)
}

// configure takes the data centres in, creates the teams and services and sets the preset.
func (run *sampleRun) configure(ctx context.Context) error {
	for _, centre := range run.deployment.layout.DataCentres {
		if err := run.setDataCentre(ctx, centre, operator.In); err != nil {
			return err
		}
	}
	quota := unit.Resources{CPU: 144_000, Memory: 500 << 10}
	for _, team := range []ident.Team{contestTeam, castingTeam} {
		if _, err := run.operators.SetTeam(ctx, operator.TeamChange{Team: team, Quota: quota}); err != nil {
			return err
		}
	}
	for service, idempotent := range map[ident.Service]bool{checkService: true, entryService: false} {
		change := operator.ServiceChange{Service: service, Team: contestTeam, Idempotent: idempotent, PatienceMillis: samplePatience}
		if _, err := run.operators.SetService(ctx, change); err != nil {
			return err
		}
	}
	accepted, err := run.operators.SetPreset(ctx, operator.PresetChange{Preset: config.Peak})
	if err != nil {
		return err
	}
	run.printf("Configured %d data centres, preset %s, configuration version %d", len(run.deployment.layout.DataCentres), config.Peak, accepted.Version)
	_, err = run.operators.Wait(ctx, accepted.Version, 5*clock.Second)
	return err
}

func (run *sampleRun) setDataCentre(ctx context.Context, centre ident.DataCentre, state string) error {
	change := operator.DataCentreChange{DataCentre: centre, State: state, Reason: "sample run"}
	if state == operator.Out {
		change.DrainMillis = drainTime
	}
	_, err := run.operators.SetDataCentre(ctx, change)
	return err
}

// awaitWorkers waits until the operators' API lists all workers.
func (run *sampleRun) awaitWorkers(ctx context.Context) error {
	want := len(run.deployment.layout.DataCentres) * run.deployment.layout.Workers
	return run.until(ctx, "all workers to announce themselves", func() (bool, error) {
		list, err := run.operators.Workers(ctx, operator.WorkerFilter{})
		return err == nil && len(list.Workers) == want, err
	})
}

// ErrTimeout reports that the deployment didn't reach an awaited state in time.
type ErrTimeout struct{ Awaited string }

// Error returns a message with the awaited state.
func (err ErrTimeout) Error() string { return "timed out waiting for " + err.Awaited }

// until waits for a state, checking the condition every 50 ms. Errors that permit a retry are ignored. It
// fails with ErrTimeout when ctx ends.
func (run *sampleRun) until(ctx context.Context, state string, condition func() (bool, error)) error {
	for {
		done, err := condition()
		if err != nil && !operator.IsErrRetryLater(err) && ctx.Err() == nil {
			return err
		}
		if done {
			return nil
		}
		select {
		case <-run.deployment.clock.After(50 * clock.Millisecond):
		case <-ctx.Done():
			return ErrTimeout{Awaited: state}
		}
	}
}

// submitJobs submits a job of many short tasks and one of a few long ones.
func (run *sampleRun) submitJobs(ctx context.Context) error {
	for _, sample := range []struct {
		name  ident.Job
		tasks int
		time  clock.Millis
	}{{"layout-short", shortTaskCount, shortRunTime}, {"layout-long", longTaskCount, longRunTime}} {
		submission := operator.JobSubmission{
			Job: sample.name, Team: castingTeam, Class: "layout", Kind: worker.Batch, Tasks: sample.tasks,
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
	run.printf("Submitted %d jobs with %d tasks", len(run.jobs), len(run.tasks))
	return nil
}

// sendRequests sends requests with and without a key, and then repeats those with a key at another
// entry.
func (run *sampleRun) sendRequests(ctx context.Context) error {
	calls := make([]Call, 0, requestCount)
	var repeats []Call
	for index := range requestCount {
		call := Call{Service: checkService, Team: contestTeam, Patience: samplePatience, Body: fmt.Sprintf("check %d", index)}
		if index%keyedInterval == 0 {
			call.Service, call.Key = entryService, ident.Key(fmt.Sprintf("submission-%d", index))
			repeats = append(repeats, call)
		}
		calls = append(calls, call)
	}
	addresses := run.deployment.CallerAddresses()
	run.results = append(run.results, run.caller.SendAll(ctx, addresses, calls, callerConcurrency)...)
	otherAddresses := append(append([]string{}, addresses[1:]...), addresses[0])
	run.results = append(run.results, run.caller.SendAll(ctx, otherAddresses, repeats, callerConcurrency)...)
	answerCount := 0
	for _, result := range run.results {
		if result.Outcome == outcome.Ran {
			answerCount++
		}
	}
	run.printf("Sent %d requests, %d of them with a repeated key: %d answered", len(run.results), len(repeats), answerCount)
	return nil
}

// drainDataCentre takes the data centre that runs the most long tasks out, waits until it is empty and
// takes it back in.
func (run *sampleRun) drainDataCentre(ctx context.Context) error {
	centre := run.deployment.layout.DataCentres[0]
	maxTasks := 0
	state, err := run.operators.Job(ctx, "layout-long")
	if err != nil {
		return err
	}
	counts := map[ident.DataCentre]int{}
	for _, placement := range state.Running {
		counts[placement.DataCentre]++
		if counts[placement.DataCentre] > maxTasks {
			centre, maxTasks = placement.DataCentre, counts[placement.DataCentre]
		}
	}
	if err := run.setDataCentre(ctx, centre, operator.Out); err != nil {
		return err
	}
	run.printf("Took data centre %s out while %d of its tasks were running", centre, maxTasks)
	err = run.until(ctx, "the data centre to be empty", func() (bool, error) {
		list, err := run.operators.Workers(ctx, operator.WorkerFilter{DataCentre: centre})
		tasks := 0
		for _, workerState := range list.Workers {
			tasks += workerState.Tasks
		}
		return err == nil && tasks == 0, err
	})
	if err != nil {
		return err
	}
	run.printf("Data centre %s is empty", centre)
	return run.setDataCentre(ctx, centre, operator.In)
}

// awaitJobs waits until all jobs have finished.
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
