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

// decisionLog keeps the lines of the golden file and a hash of every line. Routing decisions are
// hashed one by one, but are too many for a file that people compare: the file summarises them in
// one line per minute.
type decisionLog struct {
	timeline       *timeline
	text           strings.Builder
	hash           hash.Hash
	lines          int
	minute         int64
	routedCount    int
	reasonCounts   map[routing.Reason]int
	endpointCounts map[ident.Endpoint]int
	refusalCounts  map[string]int
}

func newLog(timeline *timeline) *decisionLog {
	log := &decisionLog{timeline: timeline, hash: sha256.New()}
	log.minute = int64(timeline.now()) / int64(clock.Minute)
	log.resetMinute()
	return log
}

func (log *decisionLog) resetMinute() {
	log.routedCount = 0
	log.reasonCounts = make(map[routing.Reason]int)
	log.endpointCounts = make(map[ident.Endpoint]int)
	log.refusalCounts = make(map[string]int)
}

// write adds a line to the hash and to the file.
func (log *decisionLog) write(format string, arguments ...any) {
	log.rollMinute()
	log.text.WriteString(log.hashLine(format, arguments...))
}

func (log *decisionLog) hashLine(format string, arguments ...any) string {
	log.lines++
	text := fmt.Sprintf("%d ", log.timeline.now()) + fmt.Sprintf(format, arguments...) + "\n"
	_, _ = log.hash.Write([]byte(text))
	return text
}

// placement logs a placement decision.
func (log *decisionLog) placement(entry ident.Entry, decision placement.Decision) {
	candidates := make([]string, 0, len(decision.Candidates))
	for _, candidate := range decision.Candidates {
		candidates = append(candidates, fmt.Sprintf("%s=%d", candidate.Worker, candidate.Score))
	}
	log.write("%s %s Task=%s Epoch=%d Worker=%s Size=%s Candidates=%s Considered=%d Reason=%q", entry, decision.Kind, decision.Task,
		decision.Epoch, decision.Worker, decision.Size, strings.Join(candidates, ","), decision.Considered, decision.Reason)
}

// routing adds a routing decision to the hash and to the summary of the minute. Costs are rounded
// to whole milliseconds.
func (log *decisionLog) routing(entry ident.Entry, request ident.Request, decision *routing.Decision) {
	log.rollMinute()
	log.routedCount++
	log.reasonCounts[decision.Reason]++
	log.endpointCounts[decision.Endpoint]++
	var costs strings.Builder
	for _, candidate := range decision.Considered() {
		fmt.Fprintf(&costs, " %s=%d", candidate.Endpoint, int64(math.Round(candidate.Cost)))
	}
	log.hashLine("%s Route Request=%s Endpoint=%s Why=%s Candidates=%s", entry, request, decision.Endpoint, decision.Reason, costs.String())
}

// refusal counts a refusal for the summary of the minute.
func (log *decisionLog) refusal(reason string) {
	log.rollMinute()
	log.refusalCounts[reason]++
}

// rollMinute writes the summary of the routing decisions once their minute is over.
func (log *decisionLog) rollMinute() {
	minute := int64(log.timeline.now()) / int64(clock.Minute)
	if minute == log.minute {
		return
	}
	previous := log.minute
	log.minute = minute
	if log.routedCount > 0 || len(log.refusalCounts) > 0 {
		log.text.WriteString(log.hashLine("RouteSummary Minute=%d Decisions=%d Why=%s Chosen=%s Refused=%s",
			previous, log.routedCount, formatCounts(log.reasonCounts), formatCounts(log.endpointCounts), formatCounts(log.refusalCounts)))
	}
	log.resetMinute()
}

// formatCounts lists the numbers in ascending order of key.
func formatCounts[Key ~string](numbers map[Key]int) string {
	formatted := make([]string, 0, len(numbers))
	for _, key := range set.SortedKeys(numbers) {
		formatted = append(formatted, fmt.Sprintf("%s:%d", key, numbers[key]))
	}
	return "[" + strings.Join(formatted, " ") + "]"
}
