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
	if err := second.Grow(301, 0); !errors.As(err, &full) || full.Never() {
		t.Errorf("a second large lease: %v, want an error that may pass", err)
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

// Guards against one large request or job that shuts out the small ones of its account, also after it has passed to another
// owner, and against a second large one beside it.
func TestSmallBesideLarge(t *testing.T) {
	b := budget.New(72 << 20)
	a := b.Account("bodies", 22<<20)
	first, second, small := a.Lease(), a.Lease(), a.Lease()
	if err := first.Grow(32<<20, 0); err != nil {
		t.Fatal(err)
	}
	large := first
	first = budget.Lease{}
	if err := small.Grow(4<<20, 4<<20); err != nil {
		t.Errorf("small beside a large one: %v", err)
	}
	if err := second.Grow(19<<20, 0); err == nil {
		t.Error("more than the limit is reserved beside a large one")
	}
	if !second.Fits(30<<20, 0, &large, &small) || second.Fits(30<<20, 0, &large) || second.Fits(30<<20, 0, &small) {
		t.Error("released leases are not taken into account")
	}
	large.Shrink(30 << 20)
	if err := second.Grow(20<<20, 0); err == nil {
		t.Error("a lease that has shrunk is not charged")
	}
	large.Release()
	small.Release()
	if err := second.Grow(32<<20, 0); err != nil {
		t.Errorf("a large one after the other has ended: %v", err)
	}
	second.Release()
	if a.Used() != 0 {
		t.Errorf("%d bytes stay reserved", a.Used())
	}
}
