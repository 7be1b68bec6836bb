package dispatch

// Counts are totals since the start of the process.
type Counts struct {
	Requests int64 // offered by callers and steps
	Attempts int64 // sent to servers
	Retries  int64 // paid from a retry budget
	Hedges   int64 // paid from the hedge budget
}

// Counts returns the totals.
func (d *Dispatcher) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

func (d *Dispatcher) sent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Attempts++
}

// budget bounds extra attempts to a part of the requests.
type budget struct {
	ratio float64
	burst float64
	level float64
}

// startLevel lets a new process repeat some of its first requests.
const startLevel = 10

func newBudget(ratio, burst float64) *budget {
	return &budget{ratio: ratio, burst: burst, level: min(burst, startLevel)}
}

// deposit counts a request.
func (b *budget) deposit() { b.level = min(b.burst, b.level+b.ratio) }

func (b *budget) ready() bool { return b.level >= 1 }

// take pays for one extra attempt and reports whether it may be made.
func (b *budget) take() bool {
	if !b.ready() {
		return false
	}
	b.level--
	return true
}

// Offer counts a request in the budgets.
func (d *Dispatcher) Offer(workspace string, hedge bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Requests++
	d.budget(workspace).deposit()
	if hedge {
		d.hedges.deposit()
	}
}

// Repeat pays for a retry of the workspace and reports whether it may be made.
func (d *Dispatcher) Repeat(workspace string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.budget(workspace).take() {
		return false
	}
	d.counts.Retries++
	return true
}

// hedge pays for a hedge from both budgets, so that hedges and retries together keep to the larger one.
func (d *Dispatcher) hedge(workspace string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budget(workspace)
	if !b.ready() || !d.hedges.take() || !b.take() {
		return false
	}
	d.counts.Hedges++
	return true
}

// budget returns the retry budget of a workspace; d.mu is held. Workspaces are named in the settings, so their number is
// bounded.
func (d *Dispatcher) budget(workspace string) *budget {
	b, ok := d.budgets[workspace]
	if !ok {
		b = newBudget(d.settings.RetryRatio, d.settings.RetryBurst)
		d.budgets[workspace] = b
	}
	return b
}
