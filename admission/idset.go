package admission

import (
	"github.com/cespare/xxhash/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// idSet is a bounded set of request ids in two generations. An id is kept for one to two times the
// retention. Only 64-bit hashes are stored. A collision makes the controller refuse a request that it
// would have run, which is safe.
type idSet struct {
	retention clock.Millis
	limit     int
	rotatedAt clock.Time
	current   map[uint64]struct{}
	previous  map[uint64]struct{}
	// lossy is set once ids were removed for lack of room.
	lossy bool
}

// noExpiry is the retention of a set that removes ids only for lack of room.
const noExpiry clock.Millis = 0

func newIDSet(retention clock.Millis, limit int) *idSet {
	return &idSet{retention: retention, limit: limit, current: map[uint64]struct{}{}}
}

// add adds the id and reports whether there was room.
func (set *idSet) add(now clock.Time, id ident.Request) bool {
	set.rotate(now)
	hash := xxhash.Sum64String(string(id))
	if _, ok := set.current[hash]; ok {
		return true
	}
	if len(set.current) >= set.limit {
		return false
	}
	set.current[hash] = struct{}{}
	return true
}

// addEvicting adds the id. If there is no room, the previous generation is removed.
func (set *idSet) addEvicting(now clock.Time, id ident.Request) {
	if set.add(now, id) {
		return
	}
	set.previous, set.current = set.current, map[uint64]struct{}{}
	set.lossy = true
	set.add(now, id)
}

func (set *idSet) has(id ident.Request) bool {
	hash := xxhash.Sum64String(string(id))
	if _, ok := set.current[hash]; ok {
		return true
	}
	_, ok := set.previous[hash]
	return ok
}

// rotate starts a new generation once the retention has passed since the last one.
func (set *idSet) rotate(now clock.Time) {
	if set.retention == noExpiry || now.Sub(set.rotatedAt) < set.retention {
		return
	}
	// After two retentions without a call both generations have expired.
	if now.Sub(set.rotatedAt) < 2*set.retention {
		set.previous = set.current
	} else {
		set.previous = nil
	}
	set.current = map[uint64]struct{}{}
	set.rotatedAt = now
}
