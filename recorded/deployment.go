package recorded

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/membership"
	"hyssopjunction/placement"
	"hyssopjunction/table"
)

// Policy selects the decision-making of a run. The zero value is the project's own policy.
type Policy struct {
	// FirstFit places a task on the first worker, in order of name, on which it fits.
	FirstFit bool
	// DeclaredSizes reserves the declared sizes of tasks instead of estimates.
	DeclaredSizes bool
	// NoInterference places without an interference model and runs no governor.
	NoInterference bool
	// NoDrain leaves the tasks of a closed data centre running until the drain limit and then stops
	// them without a checkpoint.
	NoDrain bool
	// RandomRouting sends each request to a random usable endpoint.
	RandomRouting bool
}

// Baseline is the policy with which the project's own is compared.
func Baseline() Policy {
	return Policy{FirstFit: true, DeclaredSizes: true, NoInterference: true, NoDrain: true, RandomRouting: true}
}

// DrainingBaseline is the baseline with the project's drain. It makes the work done while a data
// centre is taken out comparable.
func DrainingBaseline() Policy {
	policy := Baseline()
	policy.NoDrain = false
	return policy
}

// Result is the outcome of a run.
type Result struct {
	// Log is the content of the golden file without the summary at its end.
	Log string
	// Hash is the SHA-256 of all decision lines, including those that Log only summarises.
	Hash     string
	Lines    int
	Measures Measures
	// Violations describes the first violations of invariants.
	Violations []string
}

// entryExpiry is how long a crashed entry counts as live, as in membership.DefaultSettings.
const entryExpiry = 8 * clock.Second

// deployment is the state of one run of a session.
type deployment struct {
	*timeline
	session       Session
	policy        Policy
	networkRandom random
	batchRandom   random
	callerRandom  random
	store         *store
	log           *decisionLog
	checks        *checks
	measures      *Measures
	entries       []*entry
	agents        []*agent
	start         clock.Time

	jobs     []ident.Job
	profiles map[ident.Task]*profile
	// checkpointedWork is the progress saved in each checkpoint, by its name.
	checkpointedWork map[string]clock.Millis
	// taskAgents holds the agent of the worker on which each task runs.
	taskAgents map[ident.Task]*agent
	// connections are the open connections between entries and agents.
	connections map[connectionKey]*connection
	// closedAt is when a data centre was taken out, 0 while it is open.
	closedAt        map[ident.DataCentre]clock.Time
	writeCount      int
	changeCount     int
	requestCount    int
	checkRateFactor int64
	acceptedChanges []acceptedChange
}

// Run runs the session to its end and returns the result.
func Run(session Session, policy Policy) Result {
	timeline := newTimeline()
	deployment := &deployment{
		timeline: timeline, session: session, policy: policy, start: timeline.now(), checkRateFactor: 1,
		networkRandom: newRandom(session.Seed, 1), batchRandom: newRandom(session.Seed, 2), callerRandom: newRandom(session.Seed, 3),
		log: newLog(timeline), measures: &Measures{Losses: newLosses()}, profiles: make(map[ident.Task]*profile), checkpointedWork: make(map[string]clock.Millis),
		taskAgents: make(map[ident.Task]*agent), connections: make(map[connectionKey]*connection), closedAt: make(map[ident.DataCentre]clock.Time),
	}
	deployment.checks = newChecks(deployment)
	deployment.store = newStore(deployment)
	for index, centre := range session.Centres {
		deployment.entries = append(deployment.entries, &entry{
			deployment: deployment, id: ident.Entry(fmt.Sprintf("entry-%d", index)), centre: centre, random: newRandom(session.Seed, uint64(100+index)),
		})
	}
	for index := range session.Workers {
		deployment.agents = append(deployment.agents, newAgent(deployment, index))
	}
	deployment.configure()
	for _, agent := range deployment.agents {
		agent.boot()
	}
	deployment.schedule()
	deployment.every(clock.Second, func() bool {
		deployment.measures.Losses.sample(deployment)
		return true
	})
	timeline.runUntil(deployment.start.Add(session.Length + session.Settle))
	deployment.checks.recount()
	deployment.log.rollMinute()
	deployment.measures.collect(deployment)
	return Result{
		Log: deployment.log.text.String(), Hash: fmt.Sprintf("%x", deployment.log.hash.Sum(nil)), Lines: deployment.log.lines,
		Measures: *deployment.measures, Violations: deployment.checks.violations,
	}
}

// configure starts the entries and writes the first configuration.
func (deployment *deployment) configure() {
	for _, entry := range deployment.entries {
		entry.boot()
	}
	first := deployment.entries[0]
	if err := first.editor.Bootstrap(background, "operator"); err != nil {
		deployment.checks.fail("bootstrap: %v", err)
	}
	for _, centre := range deployment.session.Centres {
		deployment.changeConfig(first, "operator", config.DataCentreName(centre), config.DataCentre{
			Open: true, Region: deployment.session.Region, DrainMillis: clock.Minute,
		})
	}
	for _, entry := range deployment.entries {
		entry.pullConfig(first)
	}
}

// hop draws the transmission time of a message between two daemons.
func (deployment *deployment) hop() clock.Millis {
	return deployment.networkRandom.millis(deployment.session.MinHop, deployment.session.MaxHop)
}

// send delivers a message after a hop.
func (deployment *deployment) send(deliver func()) { deployment.after(deployment.hop(), deliver) }

func (deployment *deployment) nextWrite(entry ident.Entry) ident.Write {
	deployment.writeCount++
	return ident.Write(fmt.Sprintf("%s-write-%d", entry, deployment.writeCount))
}

// liveEntries returns the entries that membership reports as live. A crashed entry is included
// until it expires.
func (deployment *deployment) liveEntries() []membership.Entry {
	var entries []membership.Entry
	for _, entry := range deployment.entries {
		if entry.alive || deployment.now().Sub(entry.crashedAt) < entryExpiry {
			entries = append(entries, membership.Entry{
				ID: entry.id, State: membership.Live, Incarnation: entry.incarnation,
				Region: deployment.session.Region, DataCentre: entry.centre,
			})
		}
	}
	return entries
}

func (deployment *deployment) entry(id ident.Entry) *entry {
	for _, entry := range deployment.entries {
		if entry.id == id {
			return entry
		}
	}
	return nil
}

func (deployment *deployment) agent(name ident.Worker) *agent {
	for _, agent := range deployment.agents {
		if agent.name == name {
			return agent
		}
	}
	return nil
}

// balancedEntry returns a live entry, as the load balancer in front of the entries does. It returns
// nil if there is none.
func (deployment *deployment) balancedEntry(random random) *entry {
	first := random.below(len(deployment.entries))
	for step := range deployment.entries {
		if entry := deployment.entries[(first+step)%len(deployment.entries)]; entry.alive {
			return entry
		}
	}
	return nil
}

// jobHome returns the home entry of the job, or nil if no entry is live.
func (deployment *deployment) jobHome(name ident.Job) *entry {
	home, ok := membership.JobHome(name, deployment.session.Region, deployment.liveEntries()).Get()
	if !ok {
		return nil
	}
	return deployment.entry(home.ID)
}

// acceptedChange is an accepted configuration change.
type acceptedChange struct {
	version ident.Version
	at      clock.Time
}

// changeConfig makes a configuration change at an entry, based on the entry's current version.
func (deployment *deployment) changeConfig(entry *entry, operator string, name config.Name, value any) {
	document, _ := entry.publisher.Current().Document(name)
	deployment.changeConfigFrom(entry, operator, name, document.Version, value)
}

// changeConfigFrom makes a configuration change based on the given version of the document.
func (deployment *deployment) changeConfigFrom(entry *entry, operator string, name config.Name, base ident.Version, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		deployment.checks.fail("document %s: %v", name, err)
		return
	}
	deployment.changeCount++
	version, err := entry.editor.Apply(background, config.Change{
		ID: fmt.Sprintf("change-%d", deployment.changeCount), Operator: operator, Time: "2026-12-03T00:00:00Z",
		Edits: []config.Edit{{Document: name, Base: base, Value: text}},
	})
	if err != nil {
		if config.IsErrConflict(err) {
			deployment.checks.conflicts++
		}
		deployment.log.write("%s Change Operator=%s Document=%s Refused=%q", entry.id, operator, name, err.Error())
		return
	}
	deployment.log.write("%s Change Operator=%s Document=%s Version=%d Value=%s", entry.id, operator, name, version, text)
	change := acceptedChange{version: version, at: deployment.now()}
	deployment.acceptedChanges = append(deployment.acceptedChanges, change)
	deployment.checks.expectInForce(change)
	if centre, ok := value.(config.DataCentre); ok {
		affected := ident.DataCentre(name[len(config.DataCentresPrefix):])
		deployment.closedAt[affected] = 0
		if !centre.Open {
			deployment.closedAt[affected] = deployment.now()
		}
	}
	entry.applyConfig()
}

// submit writes a job's row through an entry and sends the row to the job's home entry. The caller
// repeats a refused submission after 3 s.
func (deployment *deployment) submit(spec job.Spec) {
	entry := deployment.balancedEntry(deployment.batchRandom)
	write := ident.Write("submit-" + string(spec.Job))
	transaction, err := job.Submission(spec, write)
	if err != nil {
		deployment.checks.fail("submission of %s: %v", spec.Job, err)
		return
	}
	_, err = deployment.store.Commit(background, transaction)
	row, readErr := deployment.store.Get(background, job.Key(spec.Job))
	if readErr != nil || row.Write != write {
		if row.Revision == 0 {
			deployment.after(3*clock.Second, func() { deployment.submit(spec) })
			return
		}
	}
	if err != nil && !table.IsErrUnknownOutcome(err) && !table.IsErrConflict(err) {
		deployment.checks.fail("submission of %s: %v", spec.Job, err)
	}
	deployment.jobs = append(deployment.jobs, spec.Job)
	deployment.log.write("%s Submit Job=%s Kind=%s Class=%s Count=%d Declared=%s Urgent=%t", entry.id, spec.Job, spec.Kind, spec.Class, spec.Count, spec.Declared, spec.Urgent)
	if home := deployment.jobHome(spec.Job); home != nil {
		deployment.send(func() { home.handle(placement.JobLoaded{Row: row}) })
	}
}
