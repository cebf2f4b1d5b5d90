package table

// merger selects requests that can be merged into one transaction.
type merger struct {
	settings     Settings
	conditions   map[Key]Revision
	written      map[Key]struct{}
	bytes        int
	requestCount int
	alone        bool
}

func newMerger(settings Settings) *merger {
	return &merger{settings: settings, conditions: make(map[Key]Revision), written: make(map[Key]struct{})}
}

// add adds the request and returns true if it is independent of those added before: no row that one
// of them writes is written or required by another, and all that require a row require the same
// revision of it.
func (merger *merger) add(request *commitRequest) bool {
	transaction := request.transaction
	if merger.requestCount > 0 && (merger.alone || request.alone || !merger.fits(transaction)) {
		return false
	}
	merger.requestCount++
	merger.alone = request.alone
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

// merge returns one transaction with the conditions and operations of independent requests.
func merge(batch []*commitRequest) Transaction {
	var merged Transaction
	seen := make(map[Key]struct{})
	for _, request := range batch {
		for _, condition := range request.transaction.Conditions {
			if _, ok := seen[condition.Key]; ok {
				continue
			}
			seen[condition.Key] = struct{}{}
			merged.Conditions = append(merged.Conditions, condition)
		}
		merged.Operations = append(merged.Operations, request.transaction.Operations...)
	}
	return merged
}

// requires returns the revision that the request requires of the row, and whether it requires one.
func (request *commitRequest) requires(key Key) (Revision, bool) {
	for _, condition := range request.transaction.Conditions {
		if condition.Key == key {
			return condition.Revision, true
		}
	}
	return 0, false
}

// resultOf returns the part of a merged transaction's result that belongs to the request.
func (request *commitRequest) resultOf(result Result) Result {
	share := Result{Revisions: make(map[Key]Revision, len(request.transaction.Operations))}
	for _, operation := range request.transaction.Operations {
		share.Revisions[operation.Key] = result.Revisions[operation.Key]
	}
	return share
}
