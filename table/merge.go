package table

// merger decides which offers can form one transaction.
type merger struct {
	settings   Settings
	conditions map[Key]Revision
	written    map[Key]struct{}
	bytes      int
	offers     int
	alone      bool
}

func newMerger(settings Settings) *merger {
	return &merger{settings: settings, conditions: make(map[Key]Revision), written: make(map[Key]struct{})}
}

// add includes the offer and returns true if it is independent of those included before: no row
// that one of them writes is written or required by another, and a row that several require has the
// same revision in each.
func (merger *merger) add(proposed *offer) bool {
	transaction := proposed.transaction
	if merger.offers > 0 && (merger.alone || proposed.alone || !merger.fits(transaction)) {
		return false
	}
	merger.offers++
	merger.alone = proposed.alone
	for _, condition := range transaction.Conditions {
		merger.conditions[condition.Key] = condition.Revision
	}
	for _, operation := range transaction.Operations {
		merger.written[operation.Key] = struct{}{}
		merger.bytes += len(operation.Value)
	}
	return true
}

func (merger *merger) fits(transaction Transaction) bool {
	bytes := merger.bytes
	for _, operation := range transaction.Operations {
		bytes += len(operation.Value)
		if _, required := merger.conditions[operation.Key]; required {
			return false
		}
		if _, written := merger.written[operation.Key]; written {
			return false
		}
	}
	for _, condition := range transaction.Conditions {
		if _, written := merger.written[condition.Key]; written {
			return false
		}
		if revision, required := merger.conditions[condition.Key]; required && revision != condition.Revision {
			return false
		}
	}
	rows := len(merger.written) + len(transaction.Operations)
	return rows <= merger.settings.GroupRows && bytes <= merger.settings.GroupBytes
}

// merge joins independent transactions.
func merge(batch []*offer) Transaction {
	var merged Transaction
	seen := make(map[Key]struct{})
	for _, proposed := range batch {
		for _, condition := range proposed.transaction.Conditions {
			if _, ok := seen[condition.Key]; ok {
				continue
			}
			seen[condition.Key] = struct{}{}
			merged.Conditions = append(merged.Conditions, condition)
		}
		merged.Operations = append(merged.Operations, proposed.transaction.Operations...)
	}
	return merged
}

// requires returns the revision that the offer requires of the row, and whether it requires one.
func (proposed *offer) requires(key Key) (Revision, bool) {
	for _, condition := range proposed.transaction.Conditions {
		if condition.Key == key {
			return condition.Revision, true
		}
	}
	return 0, false
}

// part returns the offer's share of the result of a merged transaction.
func (proposed *offer) part(result Result) Result {
	share := Result{Revisions: make(map[Key]Revision, len(proposed.transaction.Operations))}
	for _, operation := range proposed.transaction.Operations {
		share.Revisions[operation.Key] = result.Revisions[operation.Key]
	}
	return share
}
