package entry

import "github.com/VictoriaMetrics/metrics"

var (
	claimTransactions = metrics.NewCounter("hyssopjunction_entry_claim_transactions_total")
	claimedTasks      = metrics.NewCounter("hyssopjunction_entry_claimed_tasks_total")
	leaseGrants       = metrics.NewCounter("hyssopjunction_entry_lease_grants_total")
	endedIncarnations = metrics.NewCounter("hyssopjunction_entry_ended_incarnations_total")
	adoptedJobs       = metrics.NewCounter("hyssopjunction_entry_adopted_jobs_total")
)
