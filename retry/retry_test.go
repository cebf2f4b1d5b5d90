package retry_test

import (
	"testing"

	"hyssopjunction/outcome"
	"hyssopjunction/retry"
)

// Guards against extra attempts beyond the ratio and the burst, whenever they are asked for.
func TestBudget(t *testing.T) {
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

// Guards against a repetition of a request that ran, or may have run and is not idempotent.
func TestRule(t *testing.T) {
	for _, test := range []struct {
		idempotent bool
		last       outcome.Outcome
		may        bool
	}{
		{false, outcome.NotRun, true},
		{true, outcome.NotRun, true},
		{false, outcome.Unknown, false},
		{true, outcome.Unknown, true},
		{false, outcome.Ran, false},
		{true, outcome.Ran, false},
	} {
		if may := retry.MayRetry(test.idempotent, test.last); may != test.may {
			t.Errorf("idempotent %v, %s: %v", test.idempotent, test.last, may)
		}
	}
	if retry.MayHedge(false) || !retry.MayHedge(true) {
		t.Error("only idempotent requests are hedged")
	}
}
