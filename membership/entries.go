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

// Entries is the view that one entry has of all entries, built from their rows and heartbeats.
type Entries struct {
	settings Settings
	self     Entry
	revision table.Revision
	// renewAt is when the own row is due for renewal, and renewedAt when the last successful
	// renewal was sent.
	renewAt   clock.Time
	renewedAt clock.Time
	ended     bool
	records   map[ident.Entry]entryRecord
	random    *rand.Rand
	// fullReadAt is when the last complete read of the rows was started. missing holds the
	// processes that were asked for and have no row.
	fullReadAt clock.Time
	missing    map[process]absence
}

// entryRecord is the last known state of one entry.
type entryRecord struct {
	entry    Entry
	revision table.Revision
	// seenAt is when this process last learned that the entry was alive, and firstSeenAt when it
	// first learned of the incarnation.
	seenAt      clock.Time
	firstSeenAt clock.Time
	// heartbeatAt is when the last heartbeat of the incarnation arrived. liveAt is the time from
	// which the expiry of a live entry counts. Both may be earlier than seenAt.
	heartbeatAt clock.Time
	liveAt      clock.Time
}

// NewEntries returns the view of the entry self. row is its own row, read at the start. The new
// incarnation is one higher than that of the row, which fences an older process with the same id.
// Without a row it is derived from the revision of the deleted row, which is higher than any
// earlier incarnation because each one writes its row at least once.
func NewEntries(self Entry, row table.Row, settings Settings, now clock.Time) (*Entries, error) {
	self.State = Live
	self.Incarnation = ident.Incarnation(row.Revision) + 1
	if row.Exists() {
		previous, err := DecodeEntry(row)
		if err != nil {
			return nil, err
		}
		self.Incarnation = previous.Incarnation + 1
	}
	return &Entries{
		settings: settings,
		self:     self,
		revision: row.Revision,
		renewAt:  now,
		records:  make(map[ident.Entry]entryRecord),
		random:   settings.newRandom(self.ID, 1),
		missing:  make(map[process]absence),
	}, nil
}

// Self returns the entry of this process.
func (entries *Entries) Self() Entry {
	return entries.self
}

// SetConfigVersion sets the configuration version in the next renewal and heartbeats. It never
// lowers the version.
func (entries *Entries) SetConfigVersion(version ident.Version) {
	entries.self.ConfigVersion = max(entries.self.ConfigVersion, version)
}

// NextRenewal returns the transaction that renews the own row, if a renewal is due.
func (entries *Entries) NextRenewal(now clock.Time) option.Option[table.Transaction] {
	if entries.ended || now.Before(entries.renewAt) {
		return option.None[table.Transaction]()
	}
	return option.Some(entries.rowTransaction())
}

// Leave ends the entry and returns the transaction that marks its row as Left. The caller must no
// longer grant leases.
func (entries *Entries) Leave() table.Transaction {
	entries.ended = true
	entries.self.State = Left
	return entries.rowTransaction()
}

// rowTransaction returns the transaction that writes the own row if it is unchanged since its last
// known revision.
func (entries *Entries) rowTransaction() table.Transaction {
	next := entries.self
	next.Renewal++
	if next.State == Leaving {
		next.State = Live
	}
	value, err := EncodeEntry(next)
	if err != nil {
		// Cannot fail: an Entry holds only strings and numbers.
		panic(err)
	}
	key := EntryKey(entries.self.ID)
	return table.Transaction{
		Conditions: []table.Condition{{Key: key, Revision: entries.revision}},
		Operations: []table.Operation{{Key: key, Value: value}},
	}
}

// RecordRenewal records the result of a renewal that was sent at sent. After an unknown outcome or a
// conflict the caller reads the own row and passes it to Observe, which reports whether the entry
// was superseded.
func (entries *Entries) RecordRenewal(result table.Result, err error, sent, now clock.Time) {
	if err != nil {
		// Retry after a delay, in addition to the backoff of the table client.
		entries.renewAt = now.Add(entries.settings.RenewMillis / 5)
		return
	}
	entries.revision = result.Revisions[EntryKey(entries.self.ID)]
	entries.self.Renewal++
	entries.renewedAt = sent
	entries.renewAt = sent.Add(clock.Jittered(entries.settings.RenewMillis, entries.random))
}

// Observe applies a row of the table. For the own row it returns ErrSuperseded if another process
// has taken over the id or if the row was marked as Left or deleted by someone else.
func (entries *Entries) Observe(row table.Row, now clock.Time) error {
	if row.Deleted && row.Key == EntryKey(entries.self.ID) {
		return entries.observeOwnDeletion(row)
	}
	if !strings.HasPrefix(string(row.Key), string(EntryPrefix)) || !row.Exists() {
		return nil
	}
	entry, err := DecodeEntry(row)
	if err != nil {
		return err
	}
	if entry.ID == entries.self.ID {
		return entries.observeOwnRow(entry, row)
	}
	record, ok := entries.records[entry.ID]
	if ok && (entry.Incarnation < record.entry.Incarnation || row.Revision <= record.revision) {
		// The row was read earlier than the known state, or was not renewed since.
		return nil
	}
	entries.updateRecord(entry, row.Revision, now)
	return nil
}

// updateRecord records that the entry was alive, or has left according to its row. revision is 0
// for a heartbeat.
//
// The renewal in a row may be as old as the previous read of the rows. If heartbeats arrived until
// recently, a row therefore does not extend the time for which the entry is live. Otherwise a dead
// entry would stay live for up to RenewMillis longer, and its agents would stop their tasks.
func (entries *Entries) updateRecord(entry Entry, revision table.Revision, now clock.Time) {
	record, ok := entries.records[entry.ID]
	next := entryRecord{entry: entry, revision: max(revision, record.revision), seenAt: now, firstSeenAt: now, liveAt: now}
	if revision == 0 {
		next.heartbeatAt = now
	}
	if ok && record.entry.Incarnation == entry.Incarnation {
		next.firstSeenAt = record.firstSeenAt
		if revision != 0 {
			next.heartbeatAt = record.heartbeatAt
			if record.heartbeatAt != 0 && now.Sub(record.heartbeatAt) < entries.settings.rowIgnoredMillis() {
				next.liveAt = record.liveAt
			}
		}
		next.entry.ConfigVersion = max(entry.ConfigVersion, record.entry.ConfigVersion)
		if stateRank(record.entry.State) > stateRank(entry.State) {
			// A leaving entry does not become live again in the same incarnation.
			next.entry.State = record.entry.State
		}
		if record.entry.State == Left {
			next.seenAt = record.seenAt
		}
	}
	entries.records[entry.ID] = next
}

// stateRank returns the order of the states within an incarnation.
func stateRank(state State) int {
	switch state {
	case Left:
		return 2
	case Leaving:
		return 1
	default:
		return 0
	}
}

func (entries *Entries) observeOwnRow(entry Entry, row table.Row) error {
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

// ApplyHeartbeat applies the heartbeat of another entry. Heartbeats of older incarnations are ignored.
func (entries *Entries) ApplyHeartbeat(entry Entry, now clock.Time) {
	if entry.ID == "" || entry.ID == entries.self.ID || entry.Incarnation < entries.records[entry.ID].entry.Incarnation {
		return
	}
	entries.updateRecord(entry, 0, now)
}

// FillIn fills in the addresses and the place of an entry if its heartbeat omits them. It returns
// false if they are not stored for this incarnation.
func (entries *Entries) FillIn(entry Entry) (Entry, bool) {
	if entry.ControlAddress != "" {
		return entry, true
	}
	record, ok := entries.records[entry.ID]
	if !ok || record.entry.Incarnation != entry.Incarnation {
		return Entry{}, false
	}
	entry.ControlAddress, entry.CallerAddress = record.entry.ControlAddress, record.entry.CallerAddress
	entry.Region, entry.DataCentre = record.entry.Region, record.entry.DataCentre
	return entry, true
}

// Drain marks the entry as leaving in its heartbeats, so that it is no longer chosen as a home. Its
// row is renewed until Leave.
func (entries *Entries) Drain() {
	if entries.self.State == Live {
		entries.self.State = Leaving
	}
}

// Live returns the live entries, which can be homes, in ascending order of their ids. They include
// this entry unless it is leaving.
func (entries *Entries) Live(now clock.Time) []Entry {
	return entries.filterPresent(now, func(entry Entry) bool { return entry.State == Live })
}

// Peers returns the other running entries, including leaving ones, in ascending order of their ids.
func (entries *Entries) Peers(now clock.Time) []Entry {
	return entries.filterPresent(now, func(entry Entry) bool {
		return entry.State != Left && entry.ID != entries.self.ID
	})
}

// filterPresent returns this entry and the entries that are not expired, as far as they match, in
// ascending order of their ids.
func (entries *Entries) filterPresent(now clock.Time, match func(Entry) bool) []Entry {
	var matching []Entry
	if !entries.ended && match(entries.self) {
		matching = append(matching, entries.self)
	}
	for _, id := range set.SortedKeys(entries.records) {
		record := entries.records[id]
		if match(record.entry) && now.Sub(record.liveAt) < entries.settings.EntryExpiryMillis {
			matching = append(matching, record.entry)
		}
	}
	slices.SortFunc(matching, func(left, right Entry) int { return strings.Compare(string(left.ID), string(right.ID)) })
	return matching
}

// Get returns the last known state of an entry, whether it is live or not.
func (entries *Entries) Get(id ident.Entry) (Entry, bool) {
	if id == entries.self.ID {
		return entries.self, true
	}
	record, ok := entries.records[id]
	return record.entry, ok
}

// Ended reports whether this entry has left or was superseded.
func (entries *Entries) Ended() bool {
	return entries.ended
}

// RenewedAge returns the time since the last renewal of the own row, or false before the first
// renewal.
func (entries *Entries) RenewedAge(now clock.Time) (clock.Millis, bool) {
	return now.Sub(entries.renewedAt), entries.renewedAt != 0
}

// MayGrant reports whether this entry may grant leases: it has not ended and has renewed its row
// within 98% of the outage grace. Gone at other entries relies on this limit.
func (entries *Entries) MayGrant(now clock.Time) bool {
	return !entries.ended && entries.renewedAt != 0 && now.Sub(entries.renewedAt) < entries.settings.maxGrantMillis()
}

// Gone reports whether no lease granted by an incarnation of an entry can be in force any more.
// This holds a term and a margin after its row was seen as Left. Without heartbeats and renewals it
// holds after the outage grace, a term and the margin.
//
// A newer incarnation only prevents the older one from renewing its row, so the outage grace
// applies to the older one too. Times count from when this process learned of an event, which is
// never earlier than the event.
func (entries *Entries) Gone(id ident.Entry, incarnation ident.Incarnation, now clock.Time) bool {
	record, ok := entries.records[id]
	if !ok && id != entries.self.ID {
		return entries.goneWithoutRow(process{id, incarnation}, now)
	}
	if !ok || id == entries.self.ID || record.entry.Incarnation < incarnation {
		return false
	}
	term := entries.settings.LeaseTermMillis + entries.settings.LeaseMarginMillis
	switch {
	case record.entry.Incarnation > incarnation:
		return now.Sub(record.firstSeenAt) >= entries.settings.goneAfterMillis()
	case record.entry.State == Left:
		return now.Sub(record.seenAt) >= term
	default:
		return now.Sub(record.seenAt) >= entries.settings.goneAfterMillis()
	}
}
