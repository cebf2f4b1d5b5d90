package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as the protocol has it. workMs and fails tell the runners' stand-ins what a task does.
type step struct {
	Count         int
	Cpu           int    `json:",omitempty"`
	MemoryLimitMb int    `json:",omitempty"`
	EstimatedMs   int    `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
	Affinity      string `json:",omitempty"`

	work time.Duration
	// stagger is by how much longer each task works than the one before.
	stagger time.Duration
	// failEvery makes the first run of one task in so many fail after failAfter.
	failEvery int
}

// job is a job of a consumer.
type job struct {
	id, prefix string
	payload    string
	steps      []step
	// repetitions, startAt and interval are those of a scheduled job, in Unix milliseconds.
	repetitions       int
	startAt, interval int64

	accepted time.Time
	// answers holds all statuses of attempts to submit the job.
	answers []int
}

const failAfter = 2 * time.Second

// taskPlan is what a runner's stand-in needs to know of a task.
type taskPlan struct {
	payload      string
	work         time.Duration
	lasts, saves bool
	// failsFirst reports that the first run fails after failAfter.
	failsFirst bool
	cpu        int
}

// jobs holds all jobs that consumers sent.
type jobs struct {
	mu   sync.Mutex
	list map[string]*job
}

func newJobs() *jobs { return &jobs{list: map[string]*job{}} }

func (jobs *jobs) add(job *job) {
	jobs.mu.Lock()
	defer jobs.mu.Unlock()
	jobs.list[job.id] = job
}

// plan returns what a task does, or false if no consumer sent its job.
func (jobs *jobs) plan(task string) (taskPlan, bool) {
	parts := strings.Split(task, ".")
	jobs.mu.Lock()
	defer jobs.mu.Unlock()
	job, ok := jobs.list[parts[0]]
	if !ok || len(parts) != 4 {
		return taskPlan{}, false
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil || number >= len(job.steps) {
		return taskPlan{}, false
	}
	index, err := strconv.Atoi(parts[3])
	if err != nil {
		return taskPlan{}, false
	}
	step := job.steps[number]
	return taskPlan{payload: job.payload, work: step.work + time.Duration(index)*step.stagger, lasts: step.LongRunning, saves: step.Checkpointing, cpu: step.Cpu, failsFirst: step.failEvery > 0 && index%step.failEvery == 3%step.failEvery}, true
}

// submit sends a job as a consumer does: after no response, 502 or 504 the same request goes to another entry, at most four
// more times; after 503 or 429 it is sent again a second later.
func (cluster *cluster) submit(job *job, first int) bool {
	cluster.jobs.add(job)
	form := map[string]any{"Spec": job.payload, "Steps": job.steps}
	if job.repetitions > 0 {
		form["Repetitions"], form["StartAtMs"], form["IntervalMs"] = job.repetitions, job.startAt, job.interval
	}
	body, _ := json.Marshal(form)
	for attempt := range 5 {
		entry := cluster.entries[(first+attempt)%len(cluster.entries)]
		sent := time.Now()
		status, text := cluster.call(entry, "POST", job.prefix+job.id, body)
		cluster.record.printf("consumer: POST %s (%d bytes, %d steps) at %s sent %s: %d %s", job.prefix+job.id, len(body), len(job.steps), entry.name, cluster.record.at(sent), status, text)
		job.answers = append(job.answers, status)
		switch {
		case status >= 200 && status < 300:
			job.accepted = time.Now()
			return true
		case status == 503 || status == 429:
			time.Sleep(time.Second)
		case status == 0 || status == 502 || status == 504:
		default:
			return false
		}
	}
	return false
}

// state asks all entries in turn for the state of a job until one answers.
func (cluster *cluster) state(job *job) (string, bool) {
	for _, entry := range cluster.entries {
		status, text := cluster.call(entry, "GET", job.prefix+job.id, nil)
		if status == 200 {
			var answer struct{ State string }
			if json.Unmarshal([]byte(text), &answer) == nil {
				return answer.State, true
			}
		}
		cluster.record.printf("consumer: GET %s at %s: %d %s", job.prefix+job.id, entry.name, status, text)
		if status == 410 {
			return "410", true
		}
	}
	return "", false
}

// runsOf returns the runs of a job.
func (cluster *cluster) runsOf(id string) []run {
	var list []run
	for _, item := range cluster.log.all() {
		if strings.HasPrefix(item.task, id+".") {
			list = append(list, item)
		}
	}
	return list
}

func jobID(kind, number int) string { return fmt.Sprintf("%04x%012x", kind, number) }
