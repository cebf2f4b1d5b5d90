package retry_test

import (
	"testing"

	"hyssopjunction/outcome"
	"hyssopjunction/retry"
)

// TestBudgetBoundsExtraAttempts guards against more extra attempts than the ratio and the burst allow.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	budget := retry.NewBudget(retry.Defaults())
	if budget.Spend() {
		t.Fatal("a new budget is not empty")
	}
	for range 1000 {
		budget.Earn()
	}
	spent := 0
	for budget.Spend() {
		spent++
	}
	if spent != retry.Defaults().Burst {
		t.Fatalf("%d extra attempts after a quiet time", spent)
	}
	spent = 0
	for range 1000 {
		budget.Earn()
		if budget.Spend() {
			spent++
		}
	}
	if spent != 100 {
		t.Fatalf("%d extra attempts for 1,000 requests", spent)
	}
}

// TestOnlySafeRequestsAreRetried guards against a retry of a request that ran, or that may have run and
// is not idempotent, and against a hedge of one that is not idempotent.
func TestOnlySafeRequestsAreRetried(t *testing.T) {
	for _, test := range []struct {
		idempotent bool
		last       outcome.Outcome
		want       bool
	}{
		{false, outcome.NotRun, true},
		{true, outcome.NotRun, true},
		{false, outcome.Unknown, false},
		{true, outcome.Unknown, true},
		{false, outcome.Ran, false},
		{true, outcome.Ran, false},
	} {
		if got := retry.MayRetry(test.idempotent, test.last); got != test.want {
			t.Errorf("idempotent %v, %s: %v", test.idempotent, test.last, got)
		}
	}
	if retry.MayHedge(false) || !retry.MayHedge(true) {
		t.Error("only idempotent requests are hedged")
	}
}
