package joblog

import (
	"cmp"
	"slices"
	"strings"

	"hyssopjunction/account"
	"hyssopjunction/bound"
	"hyssopjunction/clock"
)

// lateFactor times the objective is the age up to which the end of a job counts as late rather than lost.
const lateFactor = 3

// QueueSummary sums up the ends of the jobs of a queue. Times are means in milliseconds of the jobs that completed.
type QueueSummary struct {
	Queue, Kind                           string
	InTime, Late, Lost, Failed, Cancelled int
	Age, Objective, Path, Tail            clock.Millis
	Spent                                 account.Split
	// ShareInTime is the share of the value that jobs earned in time, and MaxShare and MaxShareUsable the highest shares that any
	// plan for filling jobs could have earned with the cores that were idle, or usable beside the serving tasks.
	ShareInTime, MaxShare, MaxShareUsable float64
}

// Queues returns the summaries of the queues, sorted by kind and name.
func (log *Log) Queues() []QueueSummary {
	byQueue := map[string][]End{}
	for _, end := range log.Ends {
		byQueue[end.Queue] = append(byQueue[end.Queue], end)
	}
	summaries := make([]QueueSummary, 0, len(byQueue))
	for _, ends := range byQueue {
		summaries = append(summaries, log.summarise(ends))
	}
	slices.SortFunc(summaries, func(left, right QueueSummary) int {
		return cmp.Or(strings.Compare(left.Kind, right.Kind), strings.Compare(left.Queue, right.Queue))
	})
	return summaries
}

func (log *Log) summarise(ends []End) QueueSummary {
	summary := QueueSummary{Queue: ends[0].Queue, Kind: ends[0].Kind}
	completed := clock.Millis(0)
	for _, end := range ends {
		switch {
		case end.State == "cancelled":
			summary.Cancelled++
		case end.State != "completed":
			summary.Failed++
		case end.Age <= end.Objective:
			summary.InTime++
		case end.Age <= lateFactor*end.Objective:
			summary.Late++
		default:
			summary.Lost++
		}
		if end.State == "completed" {
			completed++
			summary.Age, summary.Objective, summary.Path, summary.Tail = summary.Age+end.Age, summary.Objective+end.Objective, summary.Path+end.Path, summary.Tail+end.Tail
			summary.Spent = summary.Spent.Add(end.Spent)
		}
	}
	if completed > 0 {
		summary.Age, summary.Objective, summary.Path, summary.Tail = summary.Age/completed, summary.Objective/completed, summary.Path/completed, summary.Tail/completed
		for cause := range summary.Spent {
			summary.Spent[cause] /= completed
		}
	}
	summary.ShareInTime = inTimeShare(ends)
	if summary.Kind == "filling" {
		summary.MaxShare = log.maxShare(ends, func(load Load) int { return load.Idle })
		summary.MaxShareUsable = log.maxShare(ends, func(load Load) int { return load.Usable })
	}
	return summary
}

// value returns what a job earns in time: a fixed part and one for its work, relative to the mean.
func value(end End, meanWork float64) float64 {
	const fixed, most = 0.3, 4.0
	return min(fixed+(1-fixed)*float64(end.Work)/max(meanWork, 1), most)
}

// isOwed reports whether a job could have been done.
func isOwed(end End) bool { return end.State == "completed" }

func meanWork(ends []End) float64 {
	total, count := 0.0, 0
	for _, end := range ends {
		if isOwed(end) {
			total, count = total+float64(end.Work), count+1
		}
	}
	return total / float64(max(count, 1))
}

// inTimeShare returns the share of the value that jobs earned in time.
func inTimeShare(ends []End) float64 {
	mean, earned, owed := meanWork(ends), 0.0, 0.0
	for _, end := range ends {
		if !isOwed(end) {
			continue
		}
		worth := value(end, mean)
		owed += worth
		if end.Age <= end.Objective {
			earned += worth
		}
	}
	return earned / max(owed, 1e-9)
}

// maxGap is the longest time between two loads of one record. Logs of several deployments, or of days apart, hold several.
const maxGap = 30 * clock.Second

// capacities returns the cores that the loads tell, one capacity for each record.
func (log *Log) capacities(cores func(Load) int) []bound.Capacity {
	const interval = 250 * clock.Millisecond
	var records []bound.Capacity
	for position, load := range log.Loads {
		if position == 0 || load.At.Sub(log.Loads[position-1].At) > maxGap {
			records = append(records, bound.Capacity{From: load.At, Interval: interval})
		}
		record := &records[len(records)-1]
		next := load.At.Add(2 * clock.Second)
		if position+1 < len(log.Loads) && log.Loads[position+1].At.Sub(load.At) <= maxGap {
			next = log.Loads[position+1].At
		}
		for record.From.Add(clock.Millis(len(record.Cores)) * interval).Before(next) {
			record.Cores = append(record.Cores, float64(cores(load)))
		}
	}
	return records
}

// maxShare returns the highest share of the value that any plan could have earned in time with the cores that the loads tell.
func (log *Log) maxShare(ends []End, cores func(Load) int) float64 {
	mean, owed, earned := meanWork(ends), 0.0, 0.0
	var jobs []bound.Job
	for _, end := range ends {
		if !isOwed(end) {
			continue
		}
		begin := end.At.Add(-end.Age)
		worth := value(end, mean)
		owed += worth
		jobs = append(jobs, bound.Job{Begin: begin, End: begin.Add(end.Objective), Work: float64(end.Work), Value: worth})
	}
	for _, record := range log.capacities(cores) {
		last := record.From.Add(clock.Millis(len(record.Cores)) * record.Interval)
		within := slices.DeleteFunc(slices.Clone(jobs), func(job bound.Job) bool { return job.End.Before(record.From) || job.Begin.After(last) })
		earned += bound.OnTime(within, record)
	}
	return earned / max(owed, 1e-9)
}
