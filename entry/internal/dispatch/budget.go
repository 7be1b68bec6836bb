package dispatch

// Counts are totals since the process started.
type Counts struct {
	Requests int64 // received from callers and steps
	Attempts int64 // sent to servers
	Retries  int64 // charged to a retry budget
	Hedges   int64 // charged to the hedge budget
}

// Counts returns the current totals.
func (d *Dispatcher) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

func (d *Dispatcher) countAttempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Attempts++
}

// budget is a token bucket that limits extra attempts to a fraction of the requests.
type budget struct {
	ratio     float64 // credit per request
	burst     float64 // upper bound of the credit
	available float64 // credit; an extra attempt costs 1
}

// initialBudget is the number of extra attempts that a new process may make before any request has added credit.
const initialBudget = 10

func newBudget(ratio, burst float64) *budget {
	return &budget{ratio: ratio, burst: burst, available: min(burst, initialBudget)}
}

// deposit adds the credit of one request.
func (b *budget) deposit() { b.available = min(b.burst, b.available+b.ratio) }

func (b *budget) canWithdraw() bool { return b.available >= 1 }

// tryWithdraw charges one extra attempt and reports whether the budget allows it.
func (b *budget) tryWithdraw() bool {
	if !b.canWithdraw() {
		return false
	}
	b.available--
	return true
}

// CountRequest counts a request. It adds credit to the retry budget of the workspace and, if hedge is set, to the hedge
// budget.
func (d *Dispatcher) CountRequest(workspace string, hedge bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Requests++
	d.retryBudget(workspace).deposit()
	if hedge {
		d.hedgeBudget.deposit()
	}
}

// AllowRetry charges a retry to the budget of the workspace and reports whether it may be made.
func (d *Dispatcher) AllowRetry(workspace string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.retryBudget(workspace).tryWithdraw() {
		return false
	}
	d.counts.Retries++
	return true
}

// allowHedge charges a hedge to both budgets and reports whether it may be made. Because both are charged, hedges and
// retries together stay within the larger budget.
func (d *Dispatcher) allowHedge(workspace string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.retryBudget(workspace)
	if !b.canWithdraw() || !d.hedgeBudget.tryWithdraw() || !b.tryWithdraw() {
		return false
	}
	d.counts.Hedges++
	return true
}

// retryBudget returns the retry budget of a workspace. The caller holds d.mu. The map stays bounded because workspaces
// are named in the settings.
func (d *Dispatcher) retryBudget(workspace string) *budget {
	b, ok := d.retryBudgets[workspace]
	if !ok {
		b = newBudget(d.settings.RetryRatio, d.settings.RetryBurst)
		d.retryBudgets[workspace] = b
	}
	return b
}
