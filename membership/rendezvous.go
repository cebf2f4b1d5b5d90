package membership

import (
	"hyssopjunction/ident"
	"hyssopjunction/option"

	"github.com/cespare/xxhash/v2"
)

// Place is where a daemon or worker runs.
type Place struct {
	Region     ident.Region
	DataCentre ident.DataCentre
}

// Home returns the home entry of a worker's agent among live entries. Entries of the worker's own
// region are preferred to others, because the other region's table may be cut off, and among them
// those outside the worker's data centre, so that the loss of a data centre leaves the homes of its
// agents alive. Within a class the choice is by rendezvous hashing: when an entry leaves, only its
// agents move, and when one arrives, agents move to it only.
func Home(worker ident.Worker, place Place, entries []Entry) option.Option[Entry] {
	return highest("Worker/"+string(worker), entries, func(entry Entry) int {
		switch {
		case entry.Region == place.Region && entry.DataCentre != place.DataCentre:
			return 2
		case entry.Region == place.Region:
			return 1
		default:
			return 0
		}
	})
}

// JobHome returns the entry that schedules a job among live entries. A job is scheduled in its home
// region only, whose table holds its row.
func JobHome(job ident.Job, region ident.Region, entries []Entry) option.Option[Entry] {
	return highest("Job/"+string(job), entries, func(entry Entry) int {
		if entry.Region == region {
			return 0
		}
		return -1
	})
}

// highest returns the entry with the highest hash within the highest class. Entries with a negative
// class and those that leave or left are not considered.
func highest(name string, entries []Entry, class func(Entry) int) option.Option[Entry] {
	best := option.None[Entry]()
	bestClass, bestScore := -1, uint64(0)
	for _, entry := range entries {
		mine := class(entry)
		if entry.State != Live || mine < 0 || mine < bestClass {
			continue
		}
		score := xxhash.Sum64String(name + "\x00" + string(entry.ID))
		current, have := best.Get()
		if have && mine == bestClass && (score < bestScore || score == bestScore && entry.ID > current.ID) {
			continue
		}
		best, bestClass, bestScore = option.Some(entry), mine, score
	}
	return best
}
