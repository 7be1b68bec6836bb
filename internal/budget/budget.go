// Package budget bounds the memory that clients and servers can make a process hold. It is designed for instances with 144
// to 536 MB of memory, some thousand connections and single documents of 32 MiB.
//
// # Usage
//
//	b := budget.New(instanceMemory / 2)
//	bodies := b.Account("bodies", instanceMemory * 15 / 100)
//	lease := bodies.Lease()
//	defer lease.Release()
//	if err := lease.Grow(n, 0); err != nil { … } // before the memory is allocated
//
// A budget is divided into accounts, so that one kind of use cannot take the memory of all others. The limits of the
// accounts may add up to more than the budget, which then decides. A lease may exceed the limit of its account within the
// budget while the other leases of the account hold little: a single large request is served while the process is
// otherwise idle.
//
// Errors are *Error and tell whether the reservation can succeed later.
package budget

import (
	"fmt"
	"sync"
)

// Error reports a reservation that was refused.
type Error struct {
	account string
	bytes   int64
	never   bool
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("budget: no memory for %d bytes of %s", e.bytes, e.account)
}

// Never reports whether the reservation exceeds the whole budget, so that it cannot succeed later either.
func (e *Error) Never() bool { return e.never }

// Budget is the memory in bytes that its accounts may use together.
type Budget struct {
	total int64

	mu       sync.Mutex
	used     int64
	accounts []*Account
}

// Account is a part of a budget. Its fields are guarded by Budget.mu.
type Account struct {
	budget  *Budget
	name    string
	limit   int64
	used    int64
	exempt  int64 // bytes of the exempt lease, which are not charged to the others; 0 if there is none
	refused int64 // number of refused reservations
}

// Lease is a reservation that grows. It must not be used by two goroutines at the same time.
type Lease struct {
	account *Account
	held    int64
	exempt  bool
}

// New returns a budget of a number of bytes.
func New(total int64) *Budget { return &Budget{total: total} }

// Account adds an account that may use up to limit bytes of the budget.
func (b *Budget) Account(name string, limit int64) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, name: name, limit: limit}
	b.accounts = append(b.accounts, a)
	return a
}

// Accounts returns all accounts in the order in which they were added.
func (b *Budget) Accounts() []*Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*Account(nil), b.accounts...)
}

// Name returns the name of the account.
func (a *Account) Name() string { return a.name }

// Limit returns the bytes that the account may use.
func (a *Account) Limit() int64 { return a.limit }

// Total returns the bytes of the whole budget.
func (a *Account) Total() int64 { return a.budget.total }

// Used returns the bytes that are reserved.
func (a *Account) Used() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.used
}

// Refused returns the number of reservations that were refused.
func (a *Account) Refused() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.refused
}

// Lease returns a lease that holds nothing.
func (a *Account) Lease() Lease { return Lease{account: a} }

// Held returns the bytes that the lease holds.
func (l *Lease) Held() int64 { return l.held }

const (
	// idleShare is the part of an account's limit up to which its other leases may hold memory while one lease exceeds the
	// limit. Small requests that happen to be in progress must not prevent a large one.
	idleShare = 8
	// exemptShare is the part of an account's limit up to which an exempt lease has to shrink to be charged to the others again.
	exemptShare = 2
)

// Grow reserves n more bytes. It leaves spare bytes of the account to other leases. A lease may exceed that if the others hold
// at most an eighth of the account's limit; what it holds is then charged to the budget only. A lease without an account is
// unlimited. The error is an *Error; the lease then holds what it held before.
func (l *Lease) Grow(n, spare int64) error {
	a := l.account
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.fits(n, spare, 0, 0) {
		a.refused++
		return &Error{account: a.name, bytes: l.held + n, never: l.held+n > b.total}
	}
	needsExemption := a.used-a.exempt+n > a.limit-spare
	l.add(n)
	if needsExemption && !l.exempt {
		l.exempt, a.exempt = true, l.held
	}
	return nil
}

// Fits reports whether Grow would succeed if other leases of the account were released.
func (l *Lease) Fits(n, spare int64, released ...*Lease) bool {
	if l.account == nil {
		return true
	}
	l.account.budget.mu.Lock()
	defer l.account.budget.mu.Unlock()
	var held, exempt int64
	for _, r := range released {
		held += r.held
		if r.exempt {
			exempt += r.held
		}
	}
	return l.fits(n, spare, held, exempt)
}

// fits is Fits for the given number of released bytes, of which a part is exempt; the caller holds Budget.mu.
func (l *Lease) fits(n, spare, released, exempt int64) bool {
	a := l.account
	if a.budget.used-released+n > a.budget.total {
		return false
	}
	return l.exempt || l.othersIdle(released, exempt) || (a.used-released)-(a.exempt-exempt)+n <= a.limit-spare
}

// othersIdle reports whether the other leases of the account hold little, and none of them is exempt; the caller holds
// Budget.mu.
func (l *Lease) othersIdle(released, exempt int64) bool {
	a := l.account
	return (l.exempt || a.exempt == exempt) && a.used-released-l.held <= a.limit/idleShare
}

// add adds n bytes, which may be negative; the caller holds Budget.mu.
func (l *Lease) add(n int64) {
	a := l.account
	l.held += n
	a.used += n
	a.budget.used += n
	if l.exempt {
		a.exempt += n
	}
}

// Shrink returns n bytes, at most those held.
func (l *Lease) Shrink(n int64) {
	n = min(n, l.held)
	if n <= 0 {
		return
	}
	a := l.account
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	l.add(-n)
	if l.exempt && l.held <= a.limit/exemptShare {
		l.exempt, a.exempt = false, 0
	}
}

// Release returns all bytes. It may be repeated.
func (l *Lease) Release() { l.Shrink(l.held) }
