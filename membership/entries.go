package membership

import (
	"math/rand/v2"
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/option"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// Entries is one entry's view of all entries, from their rows and heartbeats.
type Entries struct {
	settings Settings
	self     Entry
	revision table.Revision
	// due is when the own row is renewed next, renewed when the last successful renewal was sent.
	due     clock.Time
	renewed clock.Time
	ended   bool
	seen    map[ident.Entry]sighting
	random  *rand.Rand
	// readAt is when the last complete read of the rows was sent. Missing holds the processes that
	// were asked for and have no row.
	readAt  clock.Time
	missing map[process]absence
}

// sighting is what is known of one entry.
type sighting struct {
	entry    Entry
	revision table.Revision
	// alive is when this process last learned that the entry was alive, since when it first learned
	// of the incarnation.
	alive clock.Time
	since clock.Time
	// heard is when the last heartbeat of the incarnation came, and present the last sign of life that
	// counts for the choice of homes. Both may be earlier than alive.
	heard   clock.Time
	present clock.Time
}

// NewEntries returns the view of the entry self. Row is its own row as read at start; the
// incarnation becomes one higher than the row's, which fences an older process of the same id. Each
// incarnation writes its row at least once, so the revision of a deleted row is above all of them.
func NewEntries(self Entry, row table.Row, settings Settings, now clock.Time) (*Entries, error) {
	self.State = Live
	self.Incarnation = ident.Incarnation(row.Revision) + 1
	if row.Exists() {
		before, err := DecodeEntry(row)
		if err != nil {
			return nil, err
		}
		self.Incarnation = before.Incarnation + 1
	}
	return &Entries{
		settings: settings,
		self:     self,
		revision: row.Revision,
		due:      now,
		seen:     make(map[ident.Entry]sighting),
		random:   settings.newRandom(self.ID, 1),
		missing:  make(map[process]absence),
	}, nil
}

// Self returns the own entry.
func (entries *Entries) Self() Entry {
	return entries.self
}

// SetConfigVersion sets the version that the next renewal and heartbeats tell.
func (entries *Entries) SetConfigVersion(version ident.Version) {
	entries.self.ConfigVersion = max(entries.self.ConfigVersion, version)
}

// Renewal returns the transaction that renews the own row if it is due.
func (entries *Entries) Renewal(now clock.Time) option.Option[table.Transaction] {
	if entries.ended || now.Before(entries.due) {
		return option.None[table.Transaction]()
	}
	return option.Some(entries.write())
}

// Leave ends the entry and returns the transaction that marks its row as Left. The caller must have
// stopped granting leases.
func (entries *Entries) Leave() table.Transaction {
	entries.ended = true
	entries.self.State = Left
	return entries.write()
}

func (entries *Entries) write() table.Transaction {
	next := entries.self
	next.Renewal++
	if next.State == Leaving {
		next.State = Live
	}
	value, err := EncodeEntry(next)
	if err != nil {
		// An Entry holds only strings and numbers, which can always be encoded.
		panic(err)
	}
	key := EntryKey(entries.self.ID)
	return table.Transaction{
		Conditions: []table.Condition{{Key: key, Revision: entries.revision}},
		Operations: []table.Operation{{Key: key, Value: value}},
	}
}

// Renewed records the outcome of a renewal that was sent at sent. After an unknown outcome or a
// conflict the caller reads the own row and passes it to Observe, which tells whether the entry was
// superseded.
func (entries *Entries) Renewed(result table.Result, err error, sent, now clock.Time) {
	if err != nil {
		// The table client has its own backoff; a row is due again soon but not at once.
		entries.due = now.Add(entries.settings.RenewMillis / 5)
		return
	}
	entries.revision = result.Revisions[EntryKey(entries.self.ID)]
	entries.self.Renewal++
	entries.renewed = sent
	entries.due = sent.Add(clock.Jittered(entries.settings.RenewMillis, entries.random))
}

// Observe takes a row of the table into the view. For the own row it returns ErrSuperseded if
// another process has taken the id over, or somebody marked it as Left or deleted it.
func (entries *Entries) Observe(row table.Row, now clock.Time) error {
	if row.Deleted && row.Key == EntryKey(entries.self.ID) {
		return entries.observeDeletion(row)
	}
	if !strings.HasPrefix(string(row.Key), string(EntryPrefix)) || !row.Exists() {
		return nil
	}
	entry, err := DecodeEntry(row)
	if err != nil {
		return err
	}
	if entry.ID == entries.self.ID {
		return entries.observeSelf(entry, row)
	}
	known, have := entries.seen[entry.ID]
	if have && (entry.Incarnation < known.entry.Incarnation || row.Revision <= known.revision) {
		// An old answer of the table, or no renewal since the last look.
		return nil
	}
	entries.sight(entry, row.Revision, now)
	return nil
}

// sight records that the entry was alive, or that its row says Left. Revision is 0 for a heartbeat. A
// row tells of a renewal that may be as old as the last read of the rows, so while heartbeats came
// until lately it does not make the entry count as live for longer: a dead one would be taken for live
// for up to RenewMillis more, and its agents would stop their tasks.
func (entries *Entries) sight(entry Entry, revision table.Revision, now clock.Time) {
	known, have := entries.seen[entry.ID]
	next := sighting{entry: entry, revision: max(revision, known.revision), alive: now, since: now, present: now}
	if revision == 0 {
		next.heard = now
	}
	if have && known.entry.Incarnation == entry.Incarnation {
		next.since = known.since
		if revision != 0 {
			next.heard = known.heard
			if known.heard != 0 && now.Sub(known.heard) < entries.settings.rowsMillis() {
				next.present = known.present
			}
		}
		next.entry.ConfigVersion = max(entry.ConfigVersion, known.entry.ConfigVersion)
		if rank(known.entry.State) > rank(entry.State) {
			// An entry that leaves never returns within its incarnation.
			next.entry.State = known.entry.State
		}
		if known.entry.State == Left {
			next.alive = known.alive
		}
	}
	entries.seen[entry.ID] = next
}

// rank orders the states of one incarnation.
func rank(state State) int {
	switch state {
	case Left:
		return 2
	case Leaving:
		return 1
	default:
		return 0
	}
}

func (entries *Entries) observeSelf(entry Entry, row table.Row) error {
	if entry.Incarnation > entries.self.Incarnation ||
		entry.Incarnation == entries.self.Incarnation && entry.State == Left && !entries.ended {
		entries.ended = true
		return ErrSuperseded{Entry: entry.ID, Mine: entries.self.Incarnation, Row: entry.Incarnation, State: entry.State}
	}
	if row.Revision > entries.revision {
		entries.revision = row.Revision
		entries.self.Renewal = max(entries.self.Renewal, entry.Renewal)
	}
	return nil
}

// Heartbeat takes the state that another entry told of itself. An older incarnation is ignored.
func (entries *Entries) Heartbeat(entry Entry, now clock.Time) {
	if entry.ID == "" || entry.ID == entries.self.ID || entry.Incarnation < entries.seen[entry.ID].entry.Incarnation {
		return
	}
	entries.sight(entry, 0, now)
}

// Restore returns what a heartbeat tells, with the addresses and place of the known entry if the
// heartbeat left them out. It returns false if they are not known of that incarnation.
func (entries *Entries) Restore(told Entry) (Entry, bool) {
	if told.ControlAddress != "" {
		return told, true
	}
	known, have := entries.seen[told.ID]
	if !have || known.entry.Incarnation != told.Incarnation {
		return Entry{}, false
	}
	told.ControlAddress, told.CallerAddress = known.entry.ControlAddress, known.entry.CallerAddress
	told.Region, told.DataCentre = known.entry.Region, known.entry.DataCentre
	return told, true
}

// Drain makes the own heartbeats say that the entry leaves, so that it is no home any more. Its row
// is still renewed until Leave.
func (entries *Entries) Drain() {
	if entries.self.State == Live {
		entries.self.State = Leaving
	}
}

// Live returns the entries that can be homes, the own one included unless it leaves, in ascending
// order of their ids.
func (entries *Entries) Live(now clock.Time) []Entry {
	return entries.present(now, func(entry Entry) bool { return entry.State == Live })
}

// Peers returns the other entries that run, leaving ones included, in ascending order of their ids.
func (entries *Entries) Peers(now clock.Time) []Entry {
	return entries.present(now, func(entry Entry) bool {
		return entry.State != Left && entry.ID != entries.self.ID
	})
}

func (entries *Entries) present(now clock.Time, wanted func(Entry) bool) []Entry {
	var present []Entry
	if !entries.ended && wanted(entries.self) {
		present = append(present, entries.self)
	}
	for _, id := range set.SortedKeys(entries.seen) {
		known := entries.seen[id]
		if wanted(known.entry) && now.Sub(known.present) < entries.settings.EntryExpiryMillis {
			present = append(present, known.entry)
		}
	}
	slices.SortFunc(present, func(left, right Entry) int { return strings.Compare(string(left.ID), string(right.ID)) })
	return present
}

// Get returns what is known of an entry, live or not.
func (entries *Entries) Get(id ident.Entry) (Entry, bool) {
	if id == entries.self.ID {
		return entries.self, true
	}
	known, have := entries.seen[id]
	return known.entry, have
}

// Ended reports whether this entry has left or was superseded.
func (entries *Entries) Ended() bool {
	return entries.ended
}

// RenewedAge is how long ago the own row was last renewed, or false before the first renewal.
func (entries *Entries) RenewedAge(now clock.Time) (clock.Millis, bool) {
	return now.Sub(entries.renewed), entries.renewed != 0
}

// MayGrant reports whether this entry may grant leases: it has not ended and renewed its row within
// 98% of the outage grace. Gone of other entries relies on this limit.
func (entries *Entries) MayGrant(now clock.Time) bool {
	return !entries.ended && entries.renewed != 0 && now.Sub(entries.renewed) < entries.settings.grantMillis()
}

// Gone reports whether an incarnation of an entry can certainly not have a lease in force that it
// granted: its row says Left and a term with margin has passed since this process learned so, or it
// showed no sign of life for the outage grace, a term and the margin. A newer incarnation shows only
// that the older one cannot renew its row, so the outage grace applies to the older one too. All is
// counted from when this process learned of it, which is never earlier than the event.
func (entries *Entries) Gone(id ident.Entry, incarnation ident.Incarnation, now clock.Time) bool {
	known, have := entries.seen[id]
	if !have && id != entries.self.ID {
		return entries.goneWithoutRow(process{id, incarnation}, now)
	}
	if !have || id == entries.self.ID || known.entry.Incarnation < incarnation {
		return false
	}
	term := entries.settings.LeaseTermMillis + entries.settings.LeaseMarginMillis
	switch {
	case known.entry.Incarnation > incarnation:
		return now.Sub(known.since) >= entries.settings.silenceMillis()
	case known.entry.State == Left:
		return now.Sub(known.alive) >= term
	default:
		return now.Sub(known.alive) >= entries.settings.silenceMillis()
	}
}
