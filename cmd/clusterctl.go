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

// clusterTimeout bounds a command of the operators. The store answers within 2 s on its slowest days.
const clusterTimeout = 10 * time.Second

func init() {
	registrars = append(registrars, func(parser *flags.Parser, std streams) error {
		options := &clusterOptions{std: std}
		command, err := parser.AddCommand("cluster", "Inspect and use a deployment",
			"Reads and writes the store of a deployment: its leader, its configuration and its jobs.", options)
		if err != nil {
			return err
		}
		for _, item := range []leaf{
			{"check", "Check the settings", "Checks the settings file of a daemon of the deployment.", &clusterCheck{shared: options}},
			{"status", "Show the deployment", "Shows the leader, the configuration, the data centres out and the jobs by state.", &clusterStatus{shared: options}},
			{"submit", "Submit a job", "Submits the job of a TOML or JSON file to a queue. A job with the same id counts as this one.", &clusterSubmit{shared: options}},
			{"list", "List the jobs", "Lists the jobs with their states.", &clusterList{shared: options}},
			{"show", "Show a job", "Shows a job with its steps and tasks.", &clusterShow{shared: options}},
			{"cancel", "Cancel a job", "Cancels a job. This is final.", &clusterCancel{shared: options}},
		} {
			if _, err := command.AddCommand(item.name, item.short, item.long, item.data); err != nil {
				return err
			}
		}
		return nil
	})
}

// clusterOptions are the options that all commands of the group share.
type clusterOptions struct {
	Settings string `long:"settings" value-name:"FILE" env:"HYSSOPJUNCTION_SETTINGS" description:"Settings file of a daemon of the deployment"`

	std streams
}

// open reads the settings and returns a client of the store with the time that a command may take.
func (shared *clusterOptions) open() (*platform.Store, context.Context, context.CancelFunc, error) {
	settings, err := shared.load()
	if err != nil {
		return nil, nil, nil, err
	}
	if settings.Store == "" {
		return nil, nil, nil, ErrExit{Code: ExitUsage, Reason: cluster.ErrBadSetting{Name: "Store", Reason: "is missing"}.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	return platform.NewStore(settings.Store, clock.NewBoot(), settings.StoreWrites, settings.StoreReads), ctx, cancel, nil
}

func (shared *clusterOptions) load() (cluster.Settings, error) {
	if shared.Settings == "" {
		return cluster.Settings{}, ErrExit{Code: ExitUsage, Reason: "the required flag `--settings' was not specified"}
	}
	settings, err := platform.Load(shared.Settings)
	if err != nil {
		return settings, ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	return settings, nil
}

// run opens the store for work and gives failures their exit codes.
func (shared *clusterOptions) run(work func(ctx context.Context, service *platform.Store) error) error {
	service, ctx, cancel, err := shared.open()
	if err != nil {
		return err
	}
	defer cancel()
	defer service.Close()
	err = work(ctx, service)
	switch {
	case err == nil:
		return nil
	case intake.IsErrNoJob(err):
		return ErrExit{Code: ExitNotFound, Reason: err.Error()}
	case workflow.IsErrInvalid(err):
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	case store.IsErrUnavailable(err) || intake.IsErrNotAccepted(err) || intake.IsErrNoAnswer(err) || intake.IsErrUndecided(err):
		return ErrExit{Code: ExitRetry, Reason: err.Error()}
	default:
		return err
	}
}

type clusterCheck struct {
	shared *clusterOptions
}

// Execute checks the settings for the roles that they name addresses for.
func (command *clusterCheck) Execute([]string) error {
	settings, err := command.shared.load()
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
	_, err = fmt.Fprintf(command.shared.std.out, "%s: settings are valid\n", command.shared.Settings)
	return err
}

// snapshot is what the store holds about a deployment.
type snapshot struct {
	leader election.Reading
	config *directive.Config
	out    []string
	specs  map[workflow.ID]workflow.Spec
	states map[workflow.ID]workflow.State
}

// readSnapshot reads all rows of a deployment.
func readSnapshot(ctx context.Context, service *platform.Store) (snapshot, error) {
	read := snapshot{specs: map[workflow.ID]workflow.Spec{}, states: map[workflow.ID]workflow.State{}}
	rows, err := service.List(ctx, election.Table(), "", "")
	if err != nil {
		return read, err
	}
	if read.leader, err = election.Parse(rows.Rows); err != nil {
		return read, err
	}
	if read.config, read.out, err = readDirectives(ctx, service); err != nil {
		return read, err
	}
	if rows, err = service.List(ctx, intake.Table, "", ""); err != nil {
		return read, err
	}
	var faults []error
	for _, row := range rows.Rows {
		kind, id, err := intake.ParseKey(row.Key)
		if err != nil || kind != intake.Submission {
			faults = append(faults, err)
			continue
		}
		spec, err := workflow.DecodeSpec(id, row.Value)
		faults = append(faults, err)
		read.specs[id], read.states[id] = spec, workflow.Queued
	}
	if rows, err = service.List(ctx, intake.StateTable, "", ""); err != nil {
		return read, err
	}
	states := rows.Rows
	if rows, err = service.List(ctx, intake.EndedTable, "", ""); err != nil {
		return read, err
	}
	for _, row := range rows.Rows {
		ended, err := intake.DecodeEnded(row)
		faults = append(faults, err)
		id := workflow.ID(row.Key)
		read.specs[id], read.states[id] = workflow.Spec{ID: id, Queue: ended.Queue, Service: ended.Service}, ended.State
	}
	for _, row := range states {
		state, err := workflow.DecodeStateOf(workflow.ID(row.Key), row.Value)
		faults = append(faults, err)
		read.states[workflow.ID(row.Key)] = state
	}
	return read, errors.Join(faults...)
}

func readDirectives(ctx context.Context, service *platform.Store) (*directive.Config, []string, error) {
	source := platform.Operators{}
	rows, err := service.List(ctx, source.Table(), "", "")
	if err != nil {
		return nil, nil, err
	}
	var config *directive.Config
	var out []string
	for _, row := range rows.Rows {
		change, ok, err := source.Decode(row)
		if err != nil {
			return nil, nil, err
		}
		if ok && change.Config != nil {
			config = change.Config
		}
		if ok && change.DataCentre != "" {
			out = append(out, string(change.DataCentre))
		}
	}
	return config, out, nil
}

type clusterStatus struct {
	shared *clusterOptions
}

// Execute prints the state of the deployment.
func (command *clusterStatus) Execute([]string) error {
	return command.shared.run(func(ctx context.Context, service *platform.Store) error {
		read, err := readSnapshot(ctx, service)
		if err != nil {
			return err
		}
		page := table{}
		page.add("Leader", read.leader.Term.Holder)
		page.add("Address", read.leader.Term.Address)
		page.add("Term", strconv.FormatInt(read.leader.Term.Number, 10))
		page.add("Renewals", strconv.FormatInt(read.leader.Heartbeat.Count, 10))
		if read.config != nil {
			page.add("Configuration", strconv.FormatInt(read.config.Version, 10))
			page.add("Queues", strconv.Itoa(len(read.config.Queues)))
		}
		page.add("DataCentresOut", strings.Join(read.out, " "))
		for _, state := range []workflow.State{workflow.Queued, workflow.Running, workflow.Completed, workflow.Failed, workflow.Cancelled} {
			count := 0
			for _, other := range read.states {
				if other == state {
					count++
				}
			}
			page.add("Jobs "+string(state), strconv.Itoa(count))
		}
		return page.print(command.shared.std.out)
	})
}

type clusterList struct {
	shared *clusterOptions
	State  string `long:"state" value-name:"STATE" description:"Only jobs in this state"`
}

// Execute prints the jobs.
func (command *clusterList) Execute([]string) error {
	return command.shared.run(func(ctx context.Context, service *platform.Store) error {
		read, err := readSnapshot(ctx, service)
		if err != nil {
			return err
		}
		page := table{header: []string{"JOB", "QUEUE", "STATE", "STEPS"}}
		ids := make([]workflow.ID, 0, len(read.specs))
		for id := range read.specs {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			if state := read.states[id]; command.State == "" || string(state) == command.State {
				page.add(string(id), string(read.specs[id].Queue), string(state), strconv.Itoa(len(read.specs[id].Steps)))
			}
		}
		return page.print(command.shared.std.out)
	})
}

// jobArgument is the id of a job on the command line.
type jobArgument struct {
	Positional struct {
		Job string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

func (argument jobArgument) id() workflow.ID { return workflow.ID(argument.Positional.Job) }

type clusterShow struct {
	jobArgument
	shared *clusterOptions
}

// Execute prints a job with its tasks.
func (command *clusterShow) Execute([]string) error {
	return command.shared.run(func(ctx context.Context, service *platform.Store) error {
		job, err := intake.New(service, clock.NewBoot(), noLeader{}).Job(ctx, command.id())
		if err != nil {
			return err
		}
		page := table{}
		page.add("Job", string(job.Spec.ID))
		page.add("Queue", string(job.Spec.Queue))
		page.add("State", string(job.State))
		page.add("ObjectiveMillis", strconv.FormatInt(int64(job.Spec.Objective()), 10))
		if err := page.print(command.shared.std.out); err != nil {
			return err
		}
		tasks := table{header: []string{"TASK", "PHASE", "RUN", "FAILURES", "WORKER"}}
		job.Each(func(name workflow.Name, task *workflow.Task) {
			tasks.add(name.String(), task.Phase.String(), strconv.Itoa(int(task.Run)), strconv.Itoa(task.Failures), task.Worker)
		})
		return tasks.print(command.shared.std.out)
	})
}

type clusterCancel struct {
	jobArgument
	shared *clusterOptions
}

// Execute cancels a job.
func (command *clusterCancel) Execute([]string) error {
	return command.shared.run(func(ctx context.Context, service *platform.Store) error {
		return intake.New(service, clock.NewBoot(), noLeader{}).Cancel(ctx, command.id())
	})
}

type clusterSubmit struct {
	shared     *clusterOptions
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
	return command.shared.run(func(ctx context.Context, service *platform.Store) error {
		config, _, err := readDirectives(ctx, service)
		if err != nil {
			return err
		}
		queue, ok := config.Queue(workflow.Queue(command.Queue))
		if !ok {
			return ErrExit{Code: ExitNotFound, Reason: fmt.Sprintf("no queue %s in the configuration in force", command.Queue)}
		}
		return intake.New(service, clock.NewBoot(), noLeader{}).Submit(ctx, submission.Spec(workflow.ID(command.ID), queue))
	})
}

// readJob reads a job from a JSON file, or from a TOML file if its name does not end with ".json".
func readJob(path string) (jobapi.Submission, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return jobapi.Submission{}, err
	}
	var file jobapi.Submission
	if filepath.Ext(path) == ".json" {
		decoder := json.NewDecoder(strings.NewReader(string(data)))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&file)
	} else {
		err = toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields().Decode(&file)
	}
	if err != nil {
		return jobapi.Submission{}, fmt.Errorf("job file %s: %w", path, err)
	}
	if err := file.Spec("", directive.Queue{}).Check(); err != nil {
		return jobapi.Submission{}, fmt.Errorf("job file %s: %w", path, err)
	}
	return file, nil
}

// noLeader lets the command line read the store, which has all that is stored.
type noLeader struct{}

// State implements intake.Leader.
func (noLeader) State(context.Context, workflow.ID) (workflow.State, bool, error) {
	return "", false, session.ErrNotLeading{}
}

// Pending implements intake.Leader.
func (noLeader) Pending(context.Context, workflow.Queue) (int, error) {
	return 0, session.ErrNotLeading{}
}
