package recorded

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/placement"
	"hyssopjunction/routing"
	"hyssopjunction/set"
)

// decisionLog keeps the lines of the golden file. The hash covers every line, also the routing
// decisions, which the file shows in one summary line per minute: they are too many for a file that
// people compare.
type decisionLog struct {
	line     *timeline
	text     strings.Builder
	hash     hash.Hash
	lines    int
	minute   int64
	routed   int
	why      map[routing.Why]int
	chosen   map[ident.Endpoint]int
	refusals map[string]int
}

func newLog(line *timeline) *decisionLog {
	log := &decisionLog{line: line, hash: sha256.New()}
	log.minute = int64(line.now()) / int64(clock.Minute)
	log.clear()
	return log
}

func (log *decisionLog) clear() {
	log.routed = 0
	log.why = make(map[routing.Why]int)
	log.chosen = make(map[ident.Endpoint]int)
	log.refusals = make(map[string]int)
}

// write adds a line to the hash and to the file.
func (log *decisionLog) write(format string, arguments ...any) {
	log.turn()
	log.text.WriteString(log.hashed(format, arguments...))
}

func (log *decisionLog) hashed(format string, arguments ...any) string {
	log.lines++
	text := fmt.Sprintf("%d ", log.line.now()) + fmt.Sprintf(format, arguments...) + "\n"
	_, _ = log.hash.Write([]byte(text))
	return text
}

// placed writes a placement decision.
func (log *decisionLog) placed(entry ident.Entry, decision placement.Decision) {
	candidates := make([]string, 0, len(decision.Candidates))
	for _, candidate := range decision.Candidates {
		candidates = append(candidates, fmt.Sprintf("%s=%d", candidate.Worker, candidate.Score))
	}
	log.write("%s %s Task=%s Epoch=%d Worker=%s Size=%s Candidates=%s Considered=%d Reason=%q", entry, decision.Kind, decision.Task,
		decision.Epoch, decision.Worker, decision.Size, strings.Join(candidates, ","), decision.Considered, decision.Reason)
}

// route adds a routing decision to the hash and to the summary of the minute. Costs are rounded to
// whole milliseconds.
func (log *decisionLog) route(entry ident.Entry, request ident.Request, decision *routing.Decision) {
	log.turn()
	log.routed++
	log.why[decision.Why]++
	log.chosen[decision.Endpoint]++
	var costs strings.Builder
	for _, candidate := range decision.Considered() {
		fmt.Fprintf(&costs, " %s=%d", candidate.Endpoint, int64(math.Round(candidate.Cost)))
	}
	log.hashed("%s Route Request=%s Endpoint=%s Why=%s Candidates=%s", entry, request, decision.Endpoint, decision.Why, costs.String())
}

// refused counts a refusal for the summary of the minute.
func (log *decisionLog) refused(reason string) {
	log.turn()
	log.refusals[reason]++
}

// turn writes the summary of the routing decisions when a minute is over.
func (log *decisionLog) turn() {
	minute := int64(log.line.now()) / int64(clock.Minute)
	if minute == log.minute {
		return
	}
	over := log.minute
	log.minute = minute
	if log.routed > 0 || len(log.refusals) > 0 {
		log.text.WriteString(log.hashed("RouteSummary Minute=%d Decisions=%d Why=%s Chosen=%s Refused=%s",
			over, log.routed, counts(log.why), counts(log.chosen), counts(log.refusals)))
	}
	log.clear()
}

// counts lists the numbers in ascending order of key.
func counts[Key ~string](numbers map[Key]int) string {
	parts := make([]string, 0, len(numbers))
	for _, key := range set.SortedKeys(numbers) {
		parts = append(parts, fmt.Sprintf("%s:%d", key, numbers[key]))
	}
	return "[" + strings.Join(parts, " ") + "]"
}
