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

// schedule schedules the requests, the jobs and the incidents.
func (deployment *deployment) schedule() {
	session := deployment.session
	deployment.scheduleRequests(session.Traffic.GapMicros, session.Traffic.ServiceMicros, session.Traffic.Patience, "")
	if session.Traffic.Keyed != "" {
		deployment.scheduleRequests(session.Traffic.KeyedGapMicros, session.Traffic.KeyedServiceMicros, session.Traffic.KeyedPatience, session.Traffic.Keyed)
	}
	deployment.scheduleJobs()
	incidents := session.Incidents
	deployment.scheduleIncident(incidents.LoadShift, "LoadShift", func() { deployment.checkRateFactor = max(incidents.LoadFactor, 1) })
	deployment.scheduleIncident(incidents.LoadNormal, "LoadNormal", func() { deployment.checkRateFactor = 1 })
	deployment.scheduleIncident(incidents.NoisyWave, "NoisyWave", deployment.noisyWave)
	// Many tasks are submitted shortly before, so that claims are in progress when the data centre
	// is taken out.
	deployment.scheduleIncident(incidents.CentreOut-400, "Rush", func() {
		deployment.newJob(job.Spec{Job: "rush", Kind: worker.Batch, Count: 24, Class: session.Batch.Class, Declared: session.Batch.MinSize},
			func() profile { return profile{actual: session.Batch.MinSize, work: session.Batch.MinWork} })
	})
	deployment.scheduleIncident(incidents.CentreOut, "CentreOut", func() { deployment.setCentreOpen(false) })
	deployment.scheduleIncident(incidents.CentreBack, "CentreBack", func() { deployment.setCentreOpen(true) })
	deployment.scheduleIncident(incidents.Race, "Race", deployment.changePresetConcurrently)
	deployment.scheduleIncident(incidents.RaceBack, "RaceBack", func() {
		deployment.changeConfig(deployment.balancedEntry(deployment.batchRandom), "operator-a", config.PresetInForce, config.Choice{Preset: config.Ordinary})
	})
	if incidents.TableDown > 0 {
		deployment.scheduleIncident(incidents.TableDown-5*clock.Second, "TableLossy", func() { deployment.store.lossy = true })
		deployment.scheduleIncident(incidents.TableDown, "TableDown", func() { deployment.store.down = true })
		deployment.scheduleIncident(incidents.TableUp, "TableUp", func() { deployment.store.down = false })
		deployment.scheduleIncident(incidents.TableUp+5*clock.Second, "TableExact", func() { deployment.store.lossy = false })
	}
	deployment.scheduleIncident(incidents.EntryDies, "EntryDies", func() { deployment.entries[1].crash() })
	deployment.scheduleIncident(incidents.EntryBack, "EntryBack", func() { deployment.entries[1].boot() })
	deployment.scheduleIncident(incidents.AgentDies, "AgentDies", func() { deployment.agents[4].alive = false })
	deployment.scheduleIncident(incidents.AgentBack, "AgentBack", func() { deployment.agents[4].boot() })
	deployment.scheduleIncident(incidents.FaultyFrom, "FaultyFrom", func() { deployment.busiest().runtime.faulty = true })
	deployment.scheduleIncident(incidents.FaultyUntil, "FaultyUntil", func() {
		for _, agent := range deployment.agents {
			agent.runtime.faulty = false
		}
	})
	deployment.scheduleIncident(incidents.CancelWave, "CancelWave", deployment.cancelWave)
	deployment.scheduleIncident(incidents.Impossible, "Impossible", func() {
		deployment.newJob(job.Spec{Job: "impossible", Kind: worker.Batch, Count: 2, Class: session.Batch.Class, Declared: session.Capacity.Times(3)},
			func() profile { return profile{actual: session.Capacity.Times(3), work: clock.Minute} })
	})
	deployment.scheduleIncident(incidents.EndpointLeaves, "EndpointLeaves", func() { deployment.agents[7].leave() })
	deployment.scheduleIncident(incidents.EndpointBack, "EndpointBack", func() {
		deployment.agents[7].ledger.Drain(false)
		deployment.agents[7].openEndpoint()
	})
	var paused *agent
	deployment.scheduleIncident(incidents.Pause, "Pause", func() {
		paused = deployment.busiest()
		paused.pause()
	})
	deployment.scheduleIncident(incidents.Wake, "Wake", func() { paused.wake() })
	deployment.scheduleIncident(incidents.Silent, "Silent", deployment.silenceConnections)
}

// scheduleIncident schedules an incident at a time after the start of the session; 0 means never.
func (deployment *deployment) scheduleIncident(at clock.Millis, name string, run func()) {
	if at <= 0 {
		return
	}
	deployment.after(at, func() {
		deployment.log.write("Incident %s", name)
		run()
	})
}

// scheduleRequests sends requests until the end of the session. Gaps are summed in microseconds, so
// that their mean is exact although events happen at whole milliseconds.
func (deployment *deployment) scheduleRequests(gapMicros, serviceMicros int64, patience clock.Millis, keyed ident.Service) {
	random := newRandom(deployment.session.Seed, uint64(10+len(keyed)))
	micros := int64(0)
	var next func()
	next = func() {
		rate := deployment.checkRateFactor
		if keyed != "" {
			rate = 1
		}
		micros += random.exponential(gapMicros) / rate
		at := deployment.start.Add(clock.Millis(micros / 1000))
		if at.Sub(deployment.start) >= deployment.session.Length {
			return
		}
		deployment.after(at.Sub(deployment.now()), func() {
			deployment.requestCount++
			request := &request{number: deployment.requestCount, serviceMicros: serviceMicros, patience: patience, arrivedAt: deployment.now()}
			if keyed != "" {
				request.key = ident.Key(fmt.Sprintf("key-%d", request.number))
			}
			deployment.call(request)
			next()
		})
	}
	next()
}

// scheduleJobs submits the standing jobs at the start, and batch jobs until the end of the session.
func (deployment *deployment) scheduleJobs() {
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
		deployment.after(max(clock.Millis(deployment.batchRandom.exponential(int64(batch.MeanGap))), 100), func() {
			if deployment.now().Sub(deployment.start) >= deployment.session.Length {
				return
			}
			number++
			spec := job.Spec{
				Job: ident.Job(fmt.Sprintf("%s-%03d", batch.Class, number)), Kind: worker.Batch, Class: batch.Class,
				Count: deployment.batchRandom.between(1, batch.Tasks), Declared: batch.Declared,
			}
			// Each tenth job is urgent.
			spec.Urgent = number%10 == 0
			deployment.newJob(spec, deployment.batchProfile())
			next()
		})
	}
	deployment.after(6*clock.Second, next)
}

// batchProfile draws the actual size of a job's tasks. The returned function draws the profile of
// one task: its size is within 10% of the job's, its work is independent of the other tasks.
func (deployment *deployment) batchProfile() func() profile {
	batch := deployment.session.Batch
	typical := unit.Resources{
		CPU:    unit.MilliCPU(deployment.batchRandom.between(int(batch.MinSize.CPU), int(batch.MaxSize.CPU))),
		Memory: unit.Mebibytes(deployment.batchRandom.between(int(batch.MinSize.Memory), int(batch.MaxSize.Memory))),
	}
	return func() profile {
		percent := deployment.batchRandom.between(90, 110)
		return profile{
			actual: unit.Resources{CPU: typical.CPU * unit.MilliCPU(percent) / 100, Memory: typical.Memory * unit.Mebibytes(percent) / 100},
			work:   deployment.batchRandom.millis(batch.MinWork, batch.MaxWork),
		}
	}
}

// noisyWave submits the NoisyTasks, each as a job of its own.
func (deployment *deployment) noisyWave() {
	declared := unit.Resources{CPU: 2000, Memory: 4000}
	for index := range deployment.session.Incidents.NoisyTasks {
		deployment.newJob(job.Spec{Job: ident.Job(fmt.Sprintf("noisy-%02d", index)), Kind: worker.Batch, Count: 1, Class: "noisy", Declared: declared},
			func() profile {
				return profile{actual: declared, work: deployment.batchRandom.millis(40*clock.Second, 90*clock.Second)}
			})
	}
}

// setCentreOpen opens the second data centre or takes it out.
func (deployment *deployment) setCentreOpen(open bool) {
	deployment.changeConfig(deployment.balancedEntry(deployment.batchRandom), "operator-a", config.DataCentreName(deployment.session.Centres[1]),
		config.DataCentre{Open: open, Region: deployment.session.Region, DrainMillis: clock.Minute})
}

// busiest returns the agent of the worker that runs the most tasks, the first of several. Placement
// is likely to choose this worker again.
func (deployment *deployment) busiest() *agent {
	busiest := deployment.agents[0]
	for _, agent := range deployment.agents {
		if len(agent.runtime.tasks) > len(busiest.runtime.tasks) {
			busiest = agent
		}
	}
	return busiest
}

// changePresetConcurrently lets two operators at different entries choose different presets based
// on the same version.
func (deployment *deployment) changePresetConcurrently() {
	first, second := deployment.entries[0], deployment.entries[2]
	document, _ := first.publisher.Current().Document(config.PresetInForce)
	deployment.changeConfigFrom(first, "operator-a", config.PresetInForce, document.Version, config.Choice{Preset: config.Peak})
	deployment.changeConfigFrom(second, "operator-b", config.PresetInForce, document.Version, config.Choice{Preset: config.Maintenance})
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

// leave begins the planned stop of the endpoint: the endpoint refuses new requests, and the agent
// announces that at once.
func (agent *agent) leave() {
	deployment := agent.deployment
	agent.leftAt = deployment.now()
	agent.ledger.Drain(true)
	agent.perform(agent.controller.Leave(deployment.now()))
	agent.announce()
}
