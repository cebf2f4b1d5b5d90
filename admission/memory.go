package admission

import (
	"github.com/cespare/xxhash/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// memory remembers ids in two generations, each kept for between one and two retentions. It stores
// 64-bit hashes: a collision refuses a request that was never refused before, which is safe.
type memory struct {
	retention clock.Millis
	limit     int
	rotated   clock.Time
	young     map[uint64]struct{}
	old       map[uint64]struct{}
	// lossy means that ids were forgotten for lack of room.
	lossy bool
}

// forever is the retention of a memory that forgets only for lack of room.
const forever clock.Millis = 0

func newMemory(retention clock.Millis, limit int) *memory {
	return &memory{retention: retention, limit: limit, young: map[uint64]struct{}{}}
}

// add remembers the id and reports whether there was room.
func (ids *memory) add(now clock.Time, id ident.Request) bool {
	ids.rotate(now)
	hash := xxhash.Sum64String(string(id))
	if _, ok := ids.young[hash]; ok {
		return true
	}
	if len(ids.young) >= ids.limit {
		return false
	}
	ids.young[hash] = struct{}{}
	return true
}

// push remembers the id; if there is no room, the older generation is forgotten.
func (ids *memory) push(now clock.Time, id ident.Request) {
	if ids.add(now, id) {
		return
	}
	ids.old, ids.young = ids.young, map[uint64]struct{}{}
	ids.lossy = true
	ids.add(now, id)
}

func (ids *memory) has(id ident.Request) bool {
	hash := xxhash.Sum64String(string(id))
	if _, ok := ids.young[hash]; ok {
		return true
	}
	_, ok := ids.old[hash]
	return ok
}

func (ids *memory) rotate(now clock.Time) {
	if ids.retention == forever || now.Sub(ids.rotated) < ids.retention {
		return
	}
	// After two retentions without a call both generations are due.
	if now.Sub(ids.rotated) < 2*ids.retention {
		ids.old = ids.young
	} else {
		ids.old = nil
	}
	ids.young = map[uint64]struct{}{}
	ids.rotated = now
}
