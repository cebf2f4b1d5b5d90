package recorded

import (
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// recountTimes checks that no task started before its previous run had ended, according to the
// records of the workers.
func (checks *checks) recountTimes() {
	for _, name := range sortedTasks(checks.starts) {
		ends := checks.endTimes[name]
		for index, start := range checks.starts[name][min(1, len(checks.starts[name])):] {
			if index >= len(ends) || start.at.Before(ends[index]) {
				checks.fail("I2: task %s starts on %s at %d before its former run ended", name, start.worker, start.at)
			}
		}
	}
}

// recountExecutions checks the records of the endpoints: no attempt and no key ran twice, no
// attempt reported as not run ran, and every answered key ran.
func (checks *checks) recountExecutions() {
	attempts, keys := make(map[ident.Request]ident.Endpoint), make(map[ident.Key]ident.Request)
	for _, endpoint := range set.SortedKeys(checks.executions) {
		for _, run := range checks.executions[endpoint] {
			if former, ok := attempts[run.id]; ok {
				checks.fail("I7: the records have %s on %s and on %s", run.id, former, endpoint)
			}
			attempts[run.id] = endpoint
			if former, ok := keys[run.key]; ok && run.key != "" {
				checks.fail("I7: the records have key %s as %s and as %s", run.key, former, run.id)
			}
			keys[run.key] = run.id
			if checks.notRun[run.id] {
				checks.fail("I6: %s has %s, which was reported as not run", endpoint, run.id)
			}
		}
	}
	for _, key := range set.SortedKeys(checks.answeredKeys) {
		if _, ok := keys[key]; !ok {
			checks.fail("I7: key %s was answered and no endpoint has it", key)
		}
	}
}
