package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pelletier/go-toml/v2"

	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/cluster"
	"hyssopjunction/directive"
	"hyssopjunction/election"
	"hyssopjunction/intake"
	"hyssopjunction/jobapi"
	"hyssopjunction/platform"
	"hyssopjunction/session"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// clusterTimeout limits the time of one command. The store answers within 2 s even when it is slow.
const clusterTimeout = 10 * time.Second

func init() {
	registrars = append(registrars, func(parser *flags.Parser, std streams) error {
		options := &clusterOptions{std: std}
		command, err := parser.AddCommand("cluster", "Inspect and use a deployment",
			"Reads and writes the store of a deployment: its leader, its configuration and its jobs.", options)
		if err != nil {
			return err
		}
		for _, spec := range []commandSpec{
			{"check", "Check the settings", "Checks the settings file of a daemon of the deployment.", &clusterCheck{options: options}},
			{"status", "Show the deployment", "Shows the leader, the configuration, the data centres out and the jobs by state.", &clusterStatus{options: options}},
			{"submit", "Submit a job", "Submits the job of a TOML or JSON file to a queue. A job with the same id counts as this one.", &clusterSubmit{options: options}},
			{"list", "List the jobs", "Lists the jobs with their states.", &clusterList{options: options}},
			{"show", "Show a job", "Shows a job with its steps and tasks.", &clusterShow{options: options}},
			{"cancel", "Cancel a job", "Cancels a job. This is final.", &clusterCancel{options: options}},
		} {
			if _, err := command.AddCommand(spec.name, spec.short, spec.long, spec.command); err != nil {
				return err
			}
		}
		jobs, err := command.AddCommand("job", "Explain a job", "Commands that ask the leader about one job.", &struct{}{})
		if err != nil {
			return err
		}
		_, err = jobs.AddCommand("explain", "Explain the state of a job",
			"Asks the leader why a job waits or is paced, moved or copied, with its latest decisions.", &clusterExplain{options: options})
		return err
	})
}

// clusterOptions are the options shared by all commands of the group.
type clusterOptions struct {
	Settings string `long:"settings" value-name:"FILE" env:"HYSSOPJUNCTION_SETTINGS" description:"Settings file of a daemon of the deployment"`

	std streams
}

// open reads the settings and returns a client of the store and a context with the timeout of a command.
func (options *clusterOptions) open() (*platform.Store, context.Context, context.CancelFunc, error) {
	settings, err := options.load()
	if err != nil {
		return nil, nil, nil, err
	}
	if settings.Store == "" {
		return nil, nil, nil, ErrExit{Code: ExitUsage, Reason: cluster.ErrBadSetting{Name: "Store", Reason: "is missing"}.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	return platform.NewStore(settings.Store, clock.NewBoot(), settings.StoreWrites, settings.StoreReads), ctx, cancel, nil
}

func (options *clusterOptions) load() (cluster.Settings, error) {
	if options.Settings == "" {
		return cluster.Settings{}, ErrExit{Code: ExitUsage, Reason: "the required flag `--settings' was not specified"}
	}
	settings, err := platform.Load(options.Settings)
	if err != nil {
		return settings, ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	return settings, nil
}

// run opens the store, calls action and converts its errors to exit codes.
func (options *clusterOptions) run(action func(ctx context.Context, clusterStore *platform.Store) error) error {
	clusterStore, ctx, cancel, err := options.open()
	if err != nil {
		return err
	}
	defer cancel()
	defer clusterStore.Close()
	err = action(ctx, clusterStore)
	switch {
	case err == nil:
		return nil
	case intake.IsErrNoJob(err):
		return ErrExit{Code: ExitNotFound, Reason: err.Error()}
	case workflow.IsErrInvalid(err):
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	case intake.IsErrCancelled(err):
		return ErrExit{Code: ExitConflict, Reason: err.Error()}
	case store.IsErrUnavailable(err) || intake.IsErrNotAccepted(err) || intake.IsErrNoAnswer(err) || intake.IsErrUndecided(err):
		return ErrExit{Code: ExitRetry, Reason: err.Error()}
	default:
		return err
	}
}

type clusterCheck struct {
	options *clusterOptions
}

// Execute checks the settings of an entry if they have an address for callers, and of an agent otherwise.
func (command *clusterCheck) Execute([]string) error {
	settings, err := command.options.load()
	if err != nil {
		return err
	}
	check := settings.CheckAgent
	if settings.Callers != "" {
		check = settings.CheckEntry
	}
	if err := check(); err != nil {
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	_, err = fmt.Fprintf(command.options.std.out, "%s: settings are valid\n", command.options.Settings)
	return err
}

// snapshot is the state of a deployment as read from the store.
type snapshot struct {
	leader         election.Reading
	config         *directive.Config
	outDataCentres []string
	specs          map[workflow.ID]workflow.Spec
	states         map[workflow.ID]workflow.State
}

// readSnapshot reads all rows of a deployment.
func readSnapshot(ctx context.Context, clusterStore *platform.Store) (snapshot, error) {
	result := snapshot{specs: map[workflow.ID]workflow.Spec{}, states: map[workflow.ID]workflow.State{}}
	rows, err := clusterStore.List(ctx, election.Table(), "", "")
	if err != nil {
		return result, err
	}
	if result.leader, err = election.Parse(rows.Rows); err != nil {
		return result, err
	}
	if result.config, result.outDataCentres, err = readDirectives(ctx, clusterStore); err != nil {
		return result, err
	}
	if rows, err = clusterStore.List(ctx, intake.Table, "", ""); err != nil {
		return result, err
	}
	var errs []error
	for _, row := range rows.Rows {
		kind, id, err := intake.ParseKey(row.Key)
		if err != nil || kind != intake.Submission {
			errs = append(errs, err)
			continue
		}
		spec, err := workflow.DecodeSpec(id, row.Value)
		errs = append(errs, err)
		result.specs[id], result.states[id] = spec, workflow.Queued
	}
	if rows, err = clusterStore.List(ctx, intake.StateTable, "", ""); err != nil {
		return result, err
	}
	states := rows.Rows
	if rows, err = clusterStore.List(ctx, intake.EndedTable, "", ""); err != nil {
		return result, err
	}
	for _, row := range rows.Rows {
		ended, err := intake.DecodeEnded(row)
		errs = append(errs, err)
		if ended.Tombstone {
			continue
		}
		id := workflow.ID(row.Key)
		result.specs[id], result.states[id] = workflow.Spec{ID: id, Queue: ended.Queue, Service: ended.Service}, ended.State
	}
	for _, row := range states {
		state, err := workflow.DecodeState(workflow.ID(row.Key), row.Value)
		errs = append(errs, err)
		result.states[workflow.ID(row.Key)] = state
	}
	return result, errors.Join(errs...)
}

// readDirectives reads the configuration in force and the data centres that are out.
func readDirectives(ctx context.Context, clusterStore *platform.Store) (*directive.Config, []string, error) {
	source := platform.Operators{}
	rows, err := clusterStore.List(ctx, source.Table(), "", "")
	if err != nil {
		return nil, nil, err
	}
	var config *directive.Config
	var outDataCentres []string
	for _, row := range rows.Rows {
		change, ok, err := source.Decode(row)
		if err != nil {
			return nil, nil, err
		}
		if ok && change.Config != nil {
			config = change.Config
		}
		if ok && change.DataCentre != "" {
			outDataCentres = append(outDataCentres, string(change.DataCentre))
		}
	}
	return config, outDataCentres, nil
}

type clusterStatus struct {
	options *clusterOptions
}

// Execute prints the state of the deployment.
func (command *clusterStatus) Execute([]string) error {
	return command.options.run(func(ctx context.Context, clusterStore *platform.Store) error {
		deployment, err := readSnapshot(ctx, clusterStore)
		if err != nil {
			return err
		}
		output := table{}
		output.add("Leader", deployment.leader.Term.Holder)
		output.add("Address", deployment.leader.Term.Address)
		output.add("Term", strconv.FormatInt(deployment.leader.Term.Number, 10))
		output.add("Renewals", strconv.FormatInt(deployment.leader.Heartbeat.Count, 10))
		if deployment.config != nil {
			output.add("Configuration", strconv.FormatInt(deployment.config.Version, 10))
			output.add("Queues", strconv.Itoa(len(deployment.config.Queues)))
		}
		output.add("DataCentresOut", strings.Join(deployment.outDataCentres, " "))
		for _, state := range []workflow.State{workflow.Queued, workflow.Running, workflow.Completed, workflow.Failed, workflow.Cancelled} {
			count := 0
			for _, other := range deployment.states {
				if other == state {
					count++
				}
			}
			output.add("Jobs "+string(state), strconv.Itoa(count))
		}
		return output.print(command.options.std.out)
	})
}

type clusterList struct {
	options *clusterOptions
	State   string `long:"state" value-name:"STATE" description:"Only jobs in this state"`
}

// Execute prints the jobs.
func (command *clusterList) Execute([]string) error {
	return command.options.run(func(ctx context.Context, clusterStore *platform.Store) error {
		deployment, err := readSnapshot(ctx, clusterStore)
		if err != nil {
			return err
		}
		output := table{header: []string{"JOB", "QUEUE", "STATE", "STEPS"}}
		jobIDs := make([]workflow.ID, 0, len(deployment.specs))
		for id := range deployment.specs {
			jobIDs = append(jobIDs, id)
		}
		slices.Sort(jobIDs)
		for _, id := range jobIDs {
			if state := deployment.states[id]; command.State == "" || string(state) == command.State {
				output.add(string(id), string(deployment.specs[id].Queue), string(state), strconv.Itoa(len(deployment.specs[id].Steps)))
			}
		}
		return output.print(command.options.std.out)
	})
}

// jobIDArgument is the positional argument with a job's id.
type jobIDArgument struct {
	Positional struct {
		Job string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

func (argument jobIDArgument) id() workflow.ID { return workflow.ID(argument.Positional.Job) }

type clusterShow struct {
	jobIDArgument
	options *clusterOptions
}

// Execute prints a job with its tasks.
func (command *clusterShow) Execute([]string) error {
	return command.options.run(func(ctx context.Context, clusterStore *platform.Store) error {
		jobs := intake.New(clusterStore, clock.NewBoot(), noLeader{})
		defer jobs.Close()
		job, err := jobs.Job(ctx, command.id())
		if err != nil {
			return err
		}
		output := table{}
		output.add("Job", string(job.Spec.ID))
		output.add("Queue", string(job.Spec.Queue))
		output.add("State", string(job.State))
		output.add("ObjectiveMillis", strconv.FormatInt(int64(job.Spec.Objective()), 10))
		if err := output.print(command.options.std.out); err != nil {
			return err
		}
		tasks := table{header: []string{"TASK", "PHASE", "RUN", "FAILURES", "WORKER"}}
		job.EachTask(func(name workflow.Name, task *workflow.Task) {
			tasks.add(name.String(), task.Phase.String(), strconv.Itoa(int(task.Run)), strconv.Itoa(task.Failures), task.Workers())
		})
		return tasks.print(command.options.std.out)
	})
}

type clusterCancel struct {
	jobIDArgument
	options *clusterOptions
}

// Execute cancels a job.
func (command *clusterCancel) Execute([]string) error {
	return command.options.run(func(ctx context.Context, clusterStore *platform.Store) error {
		jobs := intake.New(clusterStore, clock.NewBoot(), noLeader{})
		defer jobs.Close()
		return jobs.Cancel(ctx, command.id())
	})
}

type clusterSubmit struct {
	options    *clusterOptions
	Queue      string `long:"queue" value-name:"QUEUE" required:"true" description:"Queue of the configuration in force"`
	ID         string `long:"id" value-name:"ID" required:"true" description:"Id of the job: 16 hexadecimal digits"`
	Positional struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute submits the job of a file.
func (command *clusterSubmit) Execute([]string) error {
	submission, err := readJob(command.Positional.File)
	if err != nil {
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	if !workflow.ValidID(command.ID) {
		return ErrExit{Code: ExitUsage, Reason: workflow.ErrInvalid{Field: "ID", Reason: "is not 16 hexadecimal digits"}.Error()}
	}
	return command.options.run(func(ctx context.Context, clusterStore *platform.Store) error {
		config, _, err := readDirectives(ctx, clusterStore)
		if err != nil {
			return err
		}
		queue, ok := config.Queue(workflow.Queue(command.Queue))
		if !ok {
			return ErrExit{Code: ExitNotFound, Reason: fmt.Sprintf("no queue %s in the configuration in force", command.Queue)}
		}
		jobs := intake.New(clusterStore, clock.NewBoot(), noLeader{})
		defer jobs.Close()
		return jobs.Submit(ctx, submission.Spec(workflow.ID(command.ID), queue))
	})
}

// readJob reads a job from a JSON file, or from a TOML file if its name does not end with ".json".
func readJob(path string) (jobapi.Submission, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return jobapi.Submission{}, err
	}
	var submission jobapi.Submission
	if filepath.Ext(path) == ".json" {
		decoder := json.NewDecoder(strings.NewReader(string(data)))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&submission)
	} else {
		err = toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields().Decode(&submission)
	}
	if err != nil {
		return jobapi.Submission{}, fmt.Errorf("job file %s: %w", path, err)
	}
	if err := submission.Spec("", directive.Queue{}).Check(); err != nil {
		return jobapi.Submission{}, fmt.Errorf("job file %s: %w", path, err)
	}
	return submission, nil
}

// noLeader is an intake.Leader that always fails, so that commands use the store only.
type noLeader struct{}

// State implements intake.Leader.
func (noLeader) State(context.Context, workflow.ID) (workflow.State, bool, error) {
	return "", false, session.ErrNotLeading{}
}

// Pending implements intake.Leader.
func (noLeader) Backlog() backlog.Refusal { return backlog.Refusal{} }

func (noLeader) Pending(context.Context, workflow.Queue) (int, error) {
	return 0, session.ErrNotLeading{}
}
