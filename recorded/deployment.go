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

// Policy is what decides in a run. The zero value is the project's own.
type Policy struct {
	// FirstFit places on the first worker that fits in order of name.
	FirstFit bool
	// DeclaredSizes reserves what callers declare.
	DeclaredSizes bool
	// NoInterference places without an interference model and runs no governor.
	NoInterference bool
	// NoDrain leaves tasks in a closed data centre until the bound and stops them without a checkpoint.
	NoDrain bool
	// RandomRouting sends each request to any usable endpoint.
	RandomRouting bool
}

// Baseline is the policy that the measures are compared with.
func Baseline() Policy {
	return Policy{FirstFit: true, DeclaredSizes: true, NoInterference: true, NoDrain: true, RandomRouting: true}
}

// DrainingBaseline is the baseline with the project's drain, for a fair comparison of the work while a
// data centre leaves.
func DrainingBaseline() Policy {
	policy := Baseline()
	policy.NoDrain = false
	return policy
}

// Result is what a run recorded.
type Result struct {
	// Log is the content of the golden file without the summary.
	Log string
	// Hash is that of all decision lines, also those the file summarises.
	Hash     string
	Lines    int
	Measures Measures
	// Broken are the violations of invariants, the first of them in full.
	Broken []string
}

// entryExpiry is how long a dead entry counts as live, as in membership.DefaultSettings.
const entryExpiry = 8 * clock.Second

// deployment is a run of a session.
type deployment struct {
	*timeline
	session  Session
	policy   Policy
	network  draws
	work     draws
	traffic  draws
	store    *store
	log      *decisionLog
	checks   *checks
	measures *Measures
	entries  []*entry
	agents   []*agent
	start    clock.Time

	jobs     []ident.Job
	profiles map[ident.Task]*profile
	// saved is the work that each checkpoint holds.
	saved map[string]clock.Millis
	// places is where each task runs now.
	places map[ident.Task]*agent
	// connections are the open ones between entries and agents.
	connections map[ends]*connection
	// closedAt is when a data centre's document was closed, 0 while it is open.
	closedAt map[ident.DataCentre]clock.Time
	writes   int
	changes  int
	requests int
	rate     int64
	accepted []acceptedChange
}

// Run runs the session and returns what it recorded.
func Run(session Session, policy Policy) Result {
	line := newTimeline()
	deployment := &deployment{
		timeline: line, session: session, policy: policy, start: line.now(), rate: 1,
		network: newDraws(session.Seed, 1), work: newDraws(session.Seed, 2), traffic: newDraws(session.Seed, 3),
		log: newLog(line), measures: &Measures{Losses: newLosses()}, profiles: make(map[ident.Task]*profile), saved: make(map[string]clock.Millis),
		places: make(map[ident.Task]*agent), connections: make(map[ends]*connection), closedAt: make(map[ident.DataCentre]clock.Time),
	}
	deployment.checks = newChecks(deployment)
	deployment.store = newStore(deployment)
	for index, centre := range session.Centres {
		deployment.entries = append(deployment.entries, &entry{
			deployment: deployment, id: ident.Entry(fmt.Sprintf("entry-%d", index)), centre: centre, draws: newDraws(session.Seed, uint64(100+index)),
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
	line.until(deployment.start.Add(session.Length + session.Settle))
	deployment.checks.recount()
	deployment.log.turn()
	deployment.measures.collect(deployment)
	return Result{
		Log: deployment.log.text.String(), Hash: fmt.Sprintf("%x", deployment.log.hash.Sum(nil)), Lines: deployment.log.lines,
		Measures: *deployment.measures, Broken: deployment.checks.faults,
	}
}

// configure starts the entries and writes the first configuration.
func (deployment *deployment) configure() {
	for _, entry := range deployment.entries {
		entry.boot()
	}
	first := deployment.entries[0]
	if err := first.editor.Bootstrap(background, "operator"); err != nil {
		deployment.checks.broken("bootstrap: %v", err)
	}
	for _, centre := range deployment.session.Centres {
		deployment.operate(first, "operator", config.DataCentreName(centre), config.DataCentre{
			Open: true, Region: deployment.session.Region, DrainMillis: clock.Minute,
		})
	}
	for _, entry := range deployment.entries {
		entry.follow(first)
	}
}

// hop is the time of a message between two daemons.
func (deployment *deployment) hop() clock.Millis {
	return deployment.network.millis(deployment.session.HopLow, deployment.session.HopHigh)
}

// send delivers a message after a hop.
func (deployment *deployment) send(deliver func()) { deployment.after(deployment.hop(), deliver) }

func (deployment *deployment) write(by ident.Entry) ident.Write {
	deployment.writes++
	return ident.Write(fmt.Sprintf("%s-write-%d", by, deployment.writes))
}

// live returns the entries as the others see them: a dead one counts until its expiry.
func (deployment *deployment) live() []membership.Entry {
	var live []membership.Entry
	for _, entry := range deployment.entries {
		if entry.alive || deployment.now().Sub(entry.diedAt) < entryExpiry {
			live = append(live, membership.Entry{
				ID: entry.id, State: membership.Live, Incarnation: entry.incarnation,
				Region: deployment.session.Region, DataCentre: entry.centre,
			})
		}
	}
	return live
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

// balanced returns a live entry, as the balancer in front of the entries does.
func (deployment *deployment) balanced(draws draws) *entry {
	first := draws.below(len(deployment.entries))
	for step := range deployment.entries {
		if entry := deployment.entries[(first+step)%len(deployment.entries)]; entry.alive {
			return entry
		}
	}
	return nil
}

// jobHome returns the live entry that schedules the job, or nil.
func (deployment *deployment) jobHome(name ident.Job) *entry {
	home, ok := membership.JobHome(name, deployment.session.Region, deployment.live()).Get()
	if !ok {
		return nil
	}
	return deployment.entry(home.ID)
}

// acceptedChange is an accepted configuration change that must be in force everywhere in time.
type acceptedChange struct {
	version ident.Version
	at      clock.Time
}

// operate makes a configuration change at an entry on the version that it has now.
func (deployment *deployment) operate(at *entry, operator string, name config.Name, value any) {
	document, _ := at.publisher.Current().Document(name)
	deployment.operateOn(at, operator, name, document.Version, value)
}

// operateOn makes a change on the version that the operator saw.
func (deployment *deployment) operateOn(at *entry, operator string, name config.Name, base ident.Version, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		deployment.checks.broken("document %s: %v", name, err)
		return
	}
	deployment.changes++
	version, err := at.editor.Apply(background, config.Change{
		ID: fmt.Sprintf("change-%d", deployment.changes), Operator: operator, Time: "2026-12-03T00:00:00Z",
		Edits: []config.Edit{{Document: name, Base: base, Value: text}},
	})
	if err != nil {
		if config.IsErrConflict(err) {
			deployment.checks.conflicts++
		}
		deployment.log.write("%s Change Operator=%s Document=%s Refused=%q", at.id, operator, name, err.Error())
		return
	}
	deployment.log.write("%s Change Operator=%s Document=%s Version=%d Value=%s", at.id, operator, name, version, text)
	accepted := acceptedChange{version: version, at: deployment.now()}
	deployment.accepted = append(deployment.accepted, accepted)
	deployment.checks.inForce(accepted)
	if centre, ok := value.(config.DataCentre); ok {
		affected := ident.DataCentre(name[len(config.DataCentresPrefix):])
		deployment.closedAt[affected] = 0
		if !centre.Open {
			deployment.closedAt[affected] = deployment.now()
		}
	}
	at.configured()
}

// submit writes a job's row through an entry and tells the job's home. A refused submission is sent
// again by its caller.
func (deployment *deployment) submit(spec job.Spec) {
	at := deployment.balanced(deployment.work)
	write := ident.Write("submit-" + string(spec.Job))
	transaction, err := job.Submission(spec, write)
	if err != nil {
		deployment.checks.broken("submission of %s: %v", spec.Job, err)
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
		deployment.checks.broken("submission of %s: %v", spec.Job, err)
	}
	deployment.jobs = append(deployment.jobs, spec.Job)
	deployment.log.write("%s Submit Job=%s Kind=%s Class=%s Count=%d Declared=%s Urgent=%t", at.id, spec.Job, spec.Kind, spec.Class, spec.Count, spec.Declared, spec.Urgent)
	if home := deployment.jobHome(spec.Job); home != nil {
		deployment.send(func() { home.handle(placement.JobLoaded{Row: row}) })
	}
}
