package membership

import (
	"hyssopjunction/ident"
	"hyssopjunction/option"

	"github.com/cespare/xxhash/v2"
)

// Place is the location of a daemon or a worker.
type Place struct {
	Region     ident.Region
	DataCentre ident.DataCentre
}

// Home returns the home entry of a worker's agent among live entries. Entries in the worker's
// region are preferred, because the table of another region may be unreachable. Among them those
// outside the worker's data centre are preferred, so that agents keep their homes when a data
// centre is lost.
//
// Among equally preferred entries the home is chosen by rendezvous hashing: when an entry leaves,
// only its agents move, and when one joins, agents move only to it.
func Home(worker ident.Worker, place Place, entries []Entry) option.Option[Entry] {
	return highestScore("Worker/"+string(worker), entries, func(entry Entry) int {
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

// JobHome returns the home entry of a job among live entries. It is always in the home region of
// the job, whose table holds the row of the job.
func JobHome(job ident.Job, region ident.Region, entries []Entry) option.Option[Entry] {
	return highestScore("Job/"+string(job), entries, func(entry Entry) int {
		if entry.Region == region {
			return 0
		}
		return -1
	})
}

// highestScore returns the entry with the highest hash among those of the highest class, which is
// the entry's preference. Entries that are not live or have a negative class are not considered.
func highestScore(key string, entries []Entry, class func(Entry) int) option.Option[Entry] {
	best := option.None[Entry]()
	bestClass, bestScore := -1, uint64(0)
	for _, entry := range entries {
		entryClass := class(entry)
		if entry.State != Live || entryClass < 0 || entryClass < bestClass {
			continue
		}
		score := xxhash.Sum64String(key + "\x00" + string(entry.ID))
		current, ok := best.Get()
		if ok && entryClass == bestClass && (score < bestScore || score == bestScore && entry.ID > current.ID) {
			continue
		}
		best, bestClass, bestScore = option.Some(entry), entryClass, score
	}
	return best
}
