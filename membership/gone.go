package membership

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/option"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// maxDeletedRows is the maximum number of rows that one transaction deletes.
const maxDeletedRows = 32

// process is one process of an entry.
type process struct {
	entry       ident.Entry
	incarnation ident.Incarnation
}

// absence describes a process without a row: since is when it was first asked for, askedAt when it
// was last.
type absence struct {
	since, askedAt clock.Time
}

// goneWithoutRow reports whether a process of an entry without a row is gone. A process writes its
// row before it grants leases, so a missing row was deleted, which happens leftRowRetentionMillis
// after the process left. Reads may return old copies, so the row must be missing for
// goneAfterMillis.
func (entries *Entries) goneWithoutRow(process process, now clock.Time) bool {
	absence, ok := entries.missing[process]
	if !ok {
		absence.since = now
	}
	absence.askedAt = now
	entries.missing[process] = absence
	return entries.fullReadAt.Sub(absence.since) >= entries.settings.goneAfterMillis()
}

// ApplyFullRead records a complete read: rows are all rows of entries, read by calls that were sent at
// sent or later. It removes the entries that left and have no row any more, and returns them.
func (entries *Entries) ApplyFullRead(rows []table.Row, sent clock.Time) []ident.Entry {
	entries.fullReadAt = sent
	rowKeys := set.New[table.Key]()
	for _, row := range rows {
		rowKeys.Add(row.Key)
	}
	var removed []ident.Entry
	for _, id := range set.SortedKeys(entries.records) {
		if entries.records[id].entry.State == Left && !rowKeys.Has(EntryKey(id)) {
			delete(entries.records, id)
			removed = append(removed, id)
		}
	}
	for process, absence := range entries.missing {
		if rowKeys.Has(EntryKey(process.entry)) || sent.Sub(absence.askedAt) >= entries.settings.goneAfterMillis() {
			delete(entries.missing, process)
		}
	}
	return removed
}

// DeleteLeftRows returns a transaction that deletes the rows of entries that were seen as Left at least
// leftRowRetentionMillis ago. It fails if one of the rows has changed since it was read.
func (entries *Entries) DeleteLeftRows(now clock.Time) option.Option[table.Transaction] {
	var transaction table.Transaction
	for _, id := range set.SortedKeys(entries.records) {
		record := entries.records[id]
		if record.entry.State != Left || record.revision == 0 || now.Sub(record.seenAt) < entries.settings.leftRowRetentionMillis() {
			continue
		}
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: EntryKey(id), Revision: record.revision})
		transaction.Operations = append(transaction.Operations, table.Operation{Key: EntryKey(id), Delete: true})
		if len(transaction.Operations) == maxDeletedRows {
			break
		}
	}
	if len(transaction.Operations) == 0 {
		return option.None[table.Transaction]()
	}
	return option.Some(transaction)
}

// observeOwnDeletion handles the deletion of the own row. If it happened between the read at the
// start and the first renewal, the row is written anew: the incarnation is higher than that of the
// deleted row. Otherwise other entries considered this process gone, and a newer one may have its
// id, so it returns ErrSuperseded.
func (entries *Entries) observeOwnDeletion(row table.Row) error {
	switch {
	case row.Revision <= entries.revision:
		return nil
	case entries.renewedAt == 0 && row.Revision == entries.revision+1:
		entries.revision = row.Revision
		return nil
	}
	entries.ended = true
	return ErrSuperseded{Entry: entries.self.ID, Mine: entries.self.Incarnation, Row: entries.self.Incarnation, State: Left}
}

// MarkGone returns transactions that mark the rows of entries that are Gone as Left. An entry that
// resumes later finds its row changed and ends. Without the mark, the rows of failed VMs would
// count as live for EntryExpiryMillis in each newly started entry.
func (entries *Entries) MarkGone(now clock.Time) []table.Transaction {
	var transactions []table.Transaction
	for _, id := range set.SortedKeys(entries.records) {
		record := entries.records[id]
		if record.entry.State == Left || record.revision == 0 || !entries.Gone(id, record.entry.Incarnation, now) {
			continue
		}
		left := record.entry
		left.State = Left
		value, err := EncodeEntry(left)
		if err != nil {
			panic(err)
		}
		transactions = append(transactions, table.Transaction{
			Conditions: []table.Condition{{Key: EntryKey(id), Revision: record.revision}},
			Operations: []table.Operation{{Key: EntryKey(id), Value: value}},
		})
	}
	return transactions
}
