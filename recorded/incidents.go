package recorded

import (
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/placement"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// schedule plans the arrivals and the incidents.
func (deployment *deployment) schedule() {
	session := deployment.session
	deployment.arrivals(session.Traffic.GapMicros, session.Traffic.ServiceMicros, session.Traffic.Patience, "")
	if session.Traffic.Keyed != "" {
		deployment.arrivals(session.Traffic.KeyedGapMicros, session.Traffic.KeyedServiceMicros, session.Traffic.KeyedPatience, session.Traffic.Keyed)
	}
	deployment.batch()
	incidents := session.Incidents
	deployment.when(incidents.LoadShift, "LoadShift", func() { deployment.rate = max(incidents.LoadFactor, 1) })
	deployment.when(incidents.LoadNormal, "LoadNormal", func() { deployment.rate = 1 })
	deployment.when(incidents.NoisyWave, "NoisyWave", deployment.noisyWave)
	// Claims are under way while the data centre is taken out.
	deployment.when(incidents.CentreOut-400, "Rush", func() {
		deployment.newJob(job.Spec{Job: "rush", Kind: worker.Batch, Count: 24, Class: session.Batch.Class, Declared: session.Batch.Least},
			func() profile { return profile{actual: session.Batch.Least, work: session.Batch.LeastWork} })
	})
	deployment.when(incidents.CentreOut, "CentreOut", func() { deployment.openCentre(false) })
	deployment.when(incidents.CentreBack, "CentreBack", func() { deployment.openCentre(true) })
	deployment.when(incidents.Race, "Race", deployment.race)
	deployment.when(incidents.RaceBack, "RaceBack", func() {
		deployment.operate(deployment.balanced(deployment.work), "operator-a", config.InForce, config.Choice{Preset: config.Ordinary})
	})
	if incidents.TableDown > 0 {
		deployment.when(incidents.TableDown-5*clock.Second, "TableLossy", func() { deployment.store.lossy = true })
		deployment.when(incidents.TableDown, "TableDown", func() { deployment.store.down = true })
		deployment.when(incidents.TableUp, "TableUp", func() { deployment.store.down = false })
		deployment.when(incidents.TableUp+5*clock.Second, "TableExact", func() { deployment.store.lossy = false })
	}
	deployment.when(incidents.EntryDies, "EntryDies", func() { deployment.entries[1].die() })
	deployment.when(incidents.EntryBack, "EntryBack", func() { deployment.entries[1].boot() })
	deployment.when(incidents.AgentDies, "AgentDies", func() { deployment.agents[4].alive = false })
	deployment.when(incidents.AgentBack, "AgentBack", func() { deployment.agents[4].boot() })
	deployment.when(incidents.FaultyFrom, "FaultyFrom", func() { deployment.busiest().runtime.faulty = true })
	deployment.when(incidents.FaultyUntil, "FaultyUntil", func() {
		for _, agent := range deployment.agents {
			agent.runtime.faulty = false
		}
	})
	deployment.when(incidents.CancelWave, "CancelWave", deployment.cancelWave)
	deployment.when(incidents.Impossible, "Impossible", func() {
		deployment.newJob(job.Spec{Job: "impossible", Kind: worker.Batch, Count: 2, Class: session.Batch.Class, Declared: session.Capacity.Times(3)},
			func() profile { return profile{actual: session.Capacity.Times(3), work: clock.Minute} })
	})
	deployment.when(incidents.EndpointLeaves, "EndpointLeaves", func() { deployment.agents[7].leave() })
	deployment.when(incidents.EndpointBack, "EndpointBack", func() {
		deployment.agents[7].ledger.Drain(false)
		deployment.agents[7].openEndpoint()
	})
	var paused *agent
	deployment.when(incidents.Pause, "Pause", func() {
		paused = deployment.busiest()
		paused.pause()
	})
	deployment.when(incidents.Wake, "Wake", func() { paused.wake() })
	deployment.when(incidents.Silent, "Silent", deployment.silence)
}

// when plans an incident; a time of 0 means never.
func (deployment *deployment) when(at clock.Millis, name string, run func()) {
	if at <= 0 {
		return
	}
	deployment.after(at, func() {
		deployment.log.write("Incident %s", name)
		run()
	})
}

// arrivals sends requests until the end of the session. Gaps are summed in microseconds, so that
// their mean is exact although events happen at whole milliseconds.
func (deployment *deployment) arrivals(gap, service int64, patience clock.Millis, keyed ident.Service) {
	draws := newDraws(deployment.session.Seed, uint64(10+len(keyed)))
	micros := int64(0)
	var next func()
	next = func() {
		rate := deployment.rate
		if keyed != "" {
			rate = 1
		}
		micros += draws.exponential(gap) / rate
		at := deployment.start.Add(clock.Millis(micros / 1000))
		if at.Sub(deployment.start) >= deployment.session.Length {
			return
		}
		deployment.after(at.Sub(deployment.now()), func() {
			deployment.requests++
			wanted := &request{number: deployment.requests, service: service, patience: patience, arrived: deployment.now()}
			if keyed != "" {
				wanted.key = ident.Key(fmt.Sprintf("key-%d", wanted.number))
			}
			deployment.call(wanted)
			next()
		})
	}
	next()
}

// batch submits the standing jobs at the start and batch jobs until the end of the session.
func (deployment *deployment) batch() {
	batch := deployment.session.Batch
	for index := range batch.Standing {
		deployment.after(5*clock.Second+clock.Millis(index), func() {
			deployment.newJob(job.Spec{
				Job: ident.Job(fmt.Sprintf("%s-%d", batch.StandingClass, index)), Kind: worker.Standing, Count: 1,
				Class: batch.StandingClass, Declared: batch.StandingSize, Priority: 5,
			}, func() profile { return profile{actual: batch.StandingSize} })
		})
	}
	number := 0
	var next func()
	next = func() {
		deployment.after(max(clock.Millis(deployment.work.exponential(int64(batch.Gap))), 100), func() {
			if deployment.now().Sub(deployment.start) >= deployment.session.Length {
				return
			}
			number++
			spec := job.Spec{
				Job: ident.Job(fmt.Sprintf("%s-%03d", batch.Class, number)), Kind: worker.Batch, Class: batch.Class,
				Count: deployment.work.between(1, batch.Tasks), Declared: batch.Declared,
			}
			// Someone waits for each tenth job.
			spec.Urgent = number%10 == 0
			deployment.newJob(spec, deployment.batchProfile())
			next()
		})
	}
	deployment.after(6*clock.Second, next)
}

// batchProfile draws what a job really needs, and returns what each of its tasks does: tasks of one
// job are alike, to a tenth.
func (deployment *deployment) batchProfile() func() profile {
	batch := deployment.session.Batch
	alike := unit.Resources{
		CPU:    unit.MilliCPU(deployment.work.between(int(batch.Least.CPU), int(batch.Most.CPU))),
		Memory: unit.Mebibytes(deployment.work.between(int(batch.Least.Memory), int(batch.Most.Memory))),
	}
	return func() profile {
		percent := deployment.work.between(90, 110)
		return profile{
			actual: unit.Resources{CPU: alike.CPU * unit.MilliCPU(percent) / 100, Memory: alike.Memory * unit.Mebibytes(percent) / 100},
			work:   deployment.work.millis(batch.LeastWork, batch.MostWork),
		}
	}
}

func (deployment *deployment) noisyWave() {
	declared := unit.Resources{CPU: 2000, Memory: 4000}
	for index := range deployment.session.Incidents.NoisyTasks {
		deployment.newJob(job.Spec{Job: ident.Job(fmt.Sprintf("noisy-%02d", index)), Kind: worker.Batch, Count: 1, Class: "noisy", Declared: declared},
			func() profile {
				return profile{actual: declared, work: deployment.work.millis(40*clock.Second, 90*clock.Second)}
			})
	}
}

// openCentre takes the second data centre out or back.
func (deployment *deployment) openCentre(open bool) {
	deployment.operate(deployment.balanced(deployment.work), "operator-a", config.DataCentreName(deployment.session.Centres[1]),
		config.DataCentre{Open: open, Region: deployment.session.Region, DrainMillis: clock.Minute})
}

// busiest returns the worker that runs the most tasks, the first of equals: placement is likely to
// choose it again.
func (deployment *deployment) busiest() *agent {
	busiest := deployment.agents[0]
	for _, agent := range deployment.agents {
		if len(agent.runtime.tasks) > len(busiest.runtime.tasks) {
			busiest = agent
		}
	}
	return busiest
}

// race lets two operators at different entries choose different presets on the same base.
func (deployment *deployment) race() {
	first, second := deployment.entries[0], deployment.entries[2]
	document, _ := first.publisher.Current().Document(config.InForce)
	deployment.operateOn(first, "operator-a", config.InForce, document.Version, config.Choice{Preset: config.Peak})
	deployment.operateOn(second, "operator-b", config.InForce, document.Version, config.Choice{Preset: config.Maintenance})
}

// cancelWave cancels every second unfinished batch job.
func (deployment *deployment) cancelWave() {
	open := 0
	for _, name := range deployment.jobs {
		row, err := job.Decode(deployment.store.rows[job.Key(name)].Value)
		if err != nil || row.Final() || row.Spec.Kind != worker.Batch || name == "impossible" {
			continue
		}
		open++
		if home := deployment.jobHome(name); open%2 == 1 && home != nil {
			deployment.log.write("%s Cancel Job=%s", home.id, name)
			deployment.send(func() { home.handle(placement.Cancel{Job: name}) })
		}
	}
}

// leave is a planned stop of an endpoint: it refuses new work, and its agent tells all entries.
func (agent *agent) leave() {
	deployment := agent.deployment
	agent.leftAt = deployment.now()
	agent.ledger.Drain(true)
	agent.answer(agent.controller.Leave(deployment.now()))
	agent.announce()
}
