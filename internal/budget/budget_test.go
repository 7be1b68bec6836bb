package budget_test

import (
	"errors"
	"testing"

	"bulrushspoke/internal/budget"
)

// Guards against accounts that take each other's memory, a large request that is refused while the process is idle, and
// memory that is not returned.
func TestLease(t *testing.T) {
	b := budget.New(1000)
	a, other := b.Account("a", 300), b.Account("other", 900)
	large, second, rest := a.Lease(), a.Lease(), other.Lease()
	if err := large.Grow(800, 0); err != nil {
		t.Errorf("a large lease beside idle accounts: %v", err)
	}
	var full *budget.Error
	if err := second.Grow(10, 0); !errors.As(err, &full) || full.Never() {
		t.Errorf("a lease beside a full account: %v, want an error that may pass", err)
	}
	if err := rest.Grow(201, 0); err == nil {
		t.Error("the accounts exceed the budget together")
	}
	if err := rest.Grow(1001, 0); !errors.As(err, &full) || !full.Never() {
		t.Errorf("a lease of more than the budget: %v, want an error for good", err)
	}
	large.Release()
	large.Release()
	if err := second.Grow(200, 0); err != nil {
		t.Error(err)
	}
	if err := large.Grow(60, 50); err == nil {
		t.Error("the spare part of the account is used")
	}
	if err := large.Grow(60, 0); err != nil {
		t.Errorf("within the limit: %v", err)
	}
	second.Shrink(500)
	large.Release()
	if a.Used() != 0 || a.Refused() != 2 {
		t.Errorf("%d bytes stay reserved after %d refusals, want 0 and 2", a.Used(), a.Refused())
	}
	var unlimited *budget.Account
	l := unlimited.Lease()
	if err := l.Grow(1<<40, 0); err != nil {
		t.Error(err)
	}
	l.Release()
}
