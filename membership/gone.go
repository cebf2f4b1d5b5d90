package membership

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/option"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// discardMax bounds the rows that one transaction deletes.
const discardMax = 32

// process is one process of an entry.
type process struct {
	entry       ident.Entry
	incarnation ident.Incarnation
}

// absence is since when a process without a row was asked for, and when it was last.
type absence struct {
	since, asked clock.Time
}

// goneWithoutRow reports whether a process of an entry without a row is gone. A process that granted a
// lease has written its row before it became the granter, so its row was deleted, which happens
// retentionMillis after it left. As a read may be answered from an old copy, the row must be missing
// for as long as an entry may be silent.
func (entries *Entries) goneWithoutRow(asked process, now clock.Time) bool {
	known, have := entries.missing[asked]
	if !have {
		known.since = now
	}
	known.asked = now
	entries.missing[asked] = known
	return entries.readAt.Sub(known.since) >= entries.settings.silenceMillis()
}

// Complete notes that rows are all rows of entries, read by calls that were sent at sent or later.
// It returns the entries that left and have no row any more, which it forgets.
func (entries *Entries) Complete(rows []table.Row, sent clock.Time) []ident.Entry {
	entries.readAt = sent
	present := set.New[table.Key]()
	for _, row := range rows {
		present.Add(row.Key)
	}
	var forgotten []ident.Entry
	for _, id := range set.SortedKeys(entries.seen) {
		if entries.seen[id].entry.State == Left && !present.Has(EntryKey(id)) {
			delete(entries.seen, id)
			forgotten = append(forgotten, id)
		}
	}
	for asked, known := range entries.missing {
		if present.Has(EntryKey(asked.entry)) || sent.Sub(known.asked) >= entries.settings.silenceMillis() {
			delete(entries.missing, asked)
		}
	}
	return forgotten
}

// Discard returns a transaction that deletes the rows of entries that left retentionMillis ago, as
// this process saw it. It only holds while each of the rows is as it was read.
func (entries *Entries) Discard(now clock.Time) option.Option[table.Transaction] {
	var transaction table.Transaction
	for _, id := range set.SortedKeys(entries.seen) {
		known := entries.seen[id]
		if known.entry.State != Left || known.revision == 0 || now.Sub(known.alive) < entries.settings.retentionMillis() {
			continue
		}
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: EntryKey(id), Revision: known.revision})
		transaction.Operations = append(transaction.Operations, table.Operation{Key: EntryKey(id), Delete: true})
		if len(transaction.Operations) == discardMax {
			break
		}
	}
	if len(transaction.Operations) == 0 {
		return option.None[table.Transaction]()
	}
	return option.Some(transaction)
}

// observeDeletion takes over that the own row was deleted. If that happened between the read at start
// and the first renewal, the row is written anew: the incarnation is above that of the deleted row.
// Otherwise this process was taken for gone, and a newer one may have its id.
func (entries *Entries) observeDeletion(row table.Row) error {
	switch {
	case row.Revision <= entries.revision:
		return nil
	case entries.renewed == 0 && row.Revision == entries.revision+1:
		entries.revision = row.Revision
		return nil
	}
	entries.ended = true
	return ErrSuperseded{Entry: entries.self.ID, Mine: entries.self.Incarnation, Row: entries.self.Incarnation, State: Left}
}

// MarkGone returns transactions that mark the rows of silent entries as Left once they are Gone. Such an
// entry that wakes later finds its row changed and ends. Without this, the rows of failed VMs would
// count as live for EntryExpiryMillis in each newly started entry.
func (entries *Entries) MarkGone(now clock.Time) []table.Transaction {
	var burials []table.Transaction
	for _, id := range set.SortedKeys(entries.seen) {
		known := entries.seen[id]
		if known.entry.State == Left || known.revision == 0 || !entries.Gone(id, known.entry.Incarnation, now) {
			continue
		}
		dead := known.entry
		dead.State = Left
		value, err := EncodeEntry(dead)
		if err != nil {
			panic(err)
		}
		burials = append(burials, table.Transaction{
			Conditions: []table.Condition{{Key: EntryKey(id), Revision: known.revision}},
			Operations: []table.Operation{{Key: EntryKey(id), Value: value}},
		})
	}
	return burials
}
